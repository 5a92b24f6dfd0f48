package sesamekeeper

import (
	"slices"
	"sort"
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesameplanner"
)

// forgetAfter is how long a lost target stays in its cell's row.
const forgetAfter = 10 * time.Minute

// Beat is one heartbeat of a target.
type Beat struct {
	Cell        sesamemodel.CellID
	Target      sesamemodel.TargetID
	Incarnation string
	Leaving     bool
	// Epoch is the newest that the agent has heard of.
	Epoch uint64
	// Announce is the full description; its ID is empty when the agent did
	// not send one.
	Announce sesamemodel.Target
}

// Grant answers a heartbeat.
type Grant struct {
	// Lease is counted from when the agent sent the heartbeat; 0 grants
	// nothing.
	Lease time.Duration
	Epoch uint64
	// Known is true when the cell's row holds the target as announced.
	Known bool
}

// pulse is when a registered target was last heard.
type pulse struct {
	target sesamemodel.Target
	heard  time.Time
	// quarantined is when the book first saw the target in quarantine.
	quarantined time.Time
}

// keep is what the book holds of one cell.
type keep struct {
	owned   bool
	epoch   uint64
	targets map[sesamemodel.TargetID]*pulse
	changes map[sesamemodel.TargetID]sesamemodel.Target
	removed map[sesamemodel.TargetID]bool
	// released are the targets whose probation has ended.
	released map[sesamemodel.TargetID]bool
}

// Book holds the heartbeats of the cells that one entry keeps. It is not safe
// for concurrent use. All times are readings of the entry's own clock.
type Book struct {
	self   string
	lease  time.Duration
	margin time.Duration
	cells  map[sesamemodel.CellID]*keep
}

// NewBook returns an empty book. The lease is what the book grants; it waits
// longer by margin before it calls a target lost.
func NewBook(self string, lease, margin time.Duration) *Book {
	return &Book{
		self:   self,
		lease:  lease,
		margin: margin,
		cells:  map[sesamemodel.CellID]*keep{},
	}
}

// Want makes the entry take over the cell at the next flush, also when it kept
// the cell before and another entry has taken it since.
func (b *Book) Want(row sesamemodel.Cell) {
	b.keep(row.ID).superseded(row.Epoch)
}

// superseded gives up the cell when another entry has taken it over since, so
// that the next write takes it back under a newer epoch.
func (k *keep) superseded(epoch uint64) {
	if epoch > k.epoch {
		k.owned = false
	}
}

// Yield forgets the cell, which another entry keeps.
func (b *Book) Yield(cell sesamemodel.CellID) {
	delete(b.cells, cell)
}

func (b *Book) keep(cell sesamemodel.CellID) *keep {
	k, ok := b.cells[cell]
	if !ok {
		k = &keep{
			targets:  map[sesamemodel.TargetID]*pulse{},
			changes:  map[sesamemodel.TargetID]sesamemodel.Target{},
			removed:  map[sesamemodel.TargetID]bool{},
			released: map[sesamemodel.TargetID]bool{},
		}
		b.cells[cell] = k
	}
	return k
}

// Heartbeat records a heartbeat and says what the agent may rely on.
func (b *Book) Heartbeat(now time.Time, beat Beat) Grant {
	k := b.keep(beat.Cell)
	k.superseded(beat.Epoch)
	grant := Grant{
		Epoch: k.epoch,
	}
	p, ok := k.targets[beat.Target]
	current := ok && p.target.Incarnation == beat.Incarnation && p.target.Health != sesamemodel.Lost
	if !current {
		k.register(beat)
		return grant
	}
	if !k.owned {
		return grant
	}
	p.heard = now
	if beat.Leaving && p.target.Health != sesamemodel.Leaving {
		left := p.target
		left.Health = sesamemodel.Leaving
		k.changes[beat.Target] = left
	}
	grant.Known = true
	grant.Lease = b.lease
	return grant
}

// register notes the announced target for the next write of the row.
func (k *keep) register(beat Beat) {
	if beat.Announce.ID == "" {
		return
	}
	target := beat.Announce
	target.Health = sesamemodel.Ready
	if beat.Leaving {
		target.Health = sesamemodel.Leaving
	}
	if p, ok := k.targets[beat.Target]; ok {
		target.ConsecutiveQuarantines = p.target.ConsecutiveQuarantines
		target.SuspectFailures = p.target.SuspectFailures
		if p.target.Health == sesamemodel.Quarantined {
			target.Health = sesamemodel.Quarantined
		}
	}
	k.changes[beat.Target] = target
}

// Sweep marks the targets that have been silent for longer than a lease and
// the margin, and forgets those that have been lost for longer than
// forgetAfter.
func (b *Book) Sweep(now time.Time) {
	for _, k := range b.cells {
		if !k.owned {
			continue
		}
		for id, p := range k.targets {
			k.probe(now, id, p)
			silence := now.Sub(p.heard)
			if p.target.Health == sesamemodel.Lost {
				k.removed[id] = silence > forgetAfter
				continue
			}
			if silence <= b.lease+b.margin {
				continue
			}
			if pending, ok := k.changes[id]; ok && pending.Incarnation != p.target.Incarnation {
				continue
			}
			lost := p.target
			lost.Health = sesamemodel.Lost
			k.changes[id] = lost
		}
	}
}

// probe follows a target's quarantine, and releases it after its probation.
func (k *keep) probe(now time.Time, id sesamemodel.TargetID, p *pulse) {
	if p.target.Health != sesamemodel.Quarantined {
		p.quarantined = time.Time{}
		return
	}
	if p.quarantined.IsZero() {
		p.quarantined = now
	}
	if now.Sub(p.quarantined) >= sesameplanner.QuarantineDuration(p.target.ConsecutiveQuarantines) {
		k.released[id] = true
	}
}

// Pending returns the cells whose rows have to be written, in order.
func (b *Book) Pending() []sesamemodel.CellID {
	var cells []sesamemodel.CellID
	for id, k := range b.cells {
		if !k.owned || len(k.changes) > 0 || k.forgets() {
			cells = append(cells, id)
		}
	}
	sort.Slice(cells, func(i, j int) bool {
		return cells[i] < cells[j]
	})
	return cells
}

// Next returns the row with the book's pending changes, and whether it differs
// from the row as read. Counts of blames and strikes stay as the row has them.
func (b *Book) Next(row sesamemodel.Cell) (sesamemodel.Cell, bool) {
	k := b.keep(row.ID)
	next := row
	if !b.current(row) {
		next = next.WithKeeper(b.self)
		k.forgiveAll()
	}
	for _, id := range sortedTargets(k.changes) {
		next = next.WithTarget(judgedBefore(k.changes[id], row))
	}
	for id := range k.released {
		if target, ok := next.Target(id); ok && target.Health == sesamemodel.Quarantined {
			next = next.WithTarget(sesameplanner.EndQuarantine(target))
		}
	}
	if next.Zone == "" && len(next.Targets) > 0 {
		next.Zone = next.Targets[0].Zone
	}
	for id, remove := range k.removed {
		if remove && !holds(row, id) {
			next = next.WithoutTarget(id)
		}
	}
	return next, !b.current(row) || !slices.EqualFunc(next.Targets, row.Targets, sesamemodel.Target.Equal)
}

// judgedBefore returns the changed target with the counts of blames and strikes
// and the quarantine that the row has for it.
func judgedBefore(target sesamemodel.Target, row sesamemodel.Cell) sesamemodel.Target {
	present, ok := row.Target(target.ID)
	if !ok {
		return target
	}
	target.ConsecutiveQuarantines = present.ConsecutiveQuarantines
	target.SuspectFailures = present.SuspectFailures
	if present.Health == sesamemodel.Quarantined && target.Health == sesamemodel.Ready {
		target.Health = sesamemodel.Quarantined
	}
	return target
}

// current reports whether the row still has the epoch in which this entry kept
// the cell, so that the book's judgements count.
func (b *Book) current(row sesamemodel.Cell) bool {
	k := b.keep(row.ID)
	return row.Keeper == b.self && k.owned && row.Epoch == k.epoch
}

// forgiveAll drops what was judged from silence: another keeper may have heard
// the targets meanwhile.
func (k *keep) forgiveAll() {
	for id, target := range k.changes {
		if target.Health == sesamemodel.Lost {
			delete(k.changes, id)
		}
	}
	k.removed = map[sesamemodel.TargetID]bool{}
}

// forgets reports whether a target is to be removed from the row, or its
// quarantine is to end.
func (k *keep) forgets() bool {
	for _, remove := range k.removed {
		if remove {
			return true
		}
	}
	return len(k.released) > 0
}

// holds reports whether an allocation on the target is still in the row.
func holds(row sesamemodel.Cell, target sesamemodel.TargetID) bool {
	return slices.ContainsFunc(row.Allocations, func(a sesamemodel.Allocation) bool {
		return a.Target == target
	})
}

// Committed records that the row now reads as given. After a take-over every
// target counts as heard at now, and so does one that was not known yet.
func (b *Book) Committed(now time.Time, row sesamemodel.Cell) {
	k := b.keep(row.ID)
	known := k.targets
	if row.Epoch != k.epoch {
		known = nil
	}
	k.owned = row.Keeper == b.self
	k.epoch = row.Epoch
	k.removed = map[sesamemodel.TargetID]bool{}
	k.released = map[sesamemodel.TargetID]bool{}
	k.targets = map[sesamemodel.TargetID]*pulse{}
	for _, target := range row.Targets {
		p, ok := known[target.ID]
		if !ok || p.target.Incarnation != target.Incarnation || p.target.Health == sesamemodel.Lost {
			p = &pulse{
				heard: now,
			}
		}
		p.target = target
		k.targets[target.ID] = p
		if pending, ok := k.changes[target.ID]; ok && sameRegistration(pending, target) {
			delete(k.changes, target.ID)
		}
	}
}

// sameRegistration reports whether the row holds what the change asked for;
// a quarantined target stays so when it announces itself as ready.
func sameRegistration(change, row sesamemodel.Target) bool {
	if change.Incarnation != row.Incarnation {
		return false
	}
	if change.Health == sesamemodel.Ready && row.Health == sesamemodel.Quarantined {
		return true
	}
	return change.Health == row.Health
}

func sortedTargets(changes map[sesamemodel.TargetID]sesamemodel.Target) []sesamemodel.TargetID {
	ids := make([]sesamemodel.TargetID, 0, len(changes))
	for id := range changes {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		return ids[i] < ids[j]
	})
	return ids
}

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

// Heartbeat is one heartbeat of a target.
type Heartbeat struct {
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

// targetState is when a registered target was last heard.
type targetState struct {
	target    sesamemodel.Target
	lastHeard time.Time
	// quarantinedSince is when the book first saw the target in quarantine.
	quarantinedSince time.Time
}

// cellState is what the book holds of one cell.
type cellState struct {
	owned    bool
	epoch    uint64
	targets  map[sesamemodel.TargetID]*targetState
	changes  map[sesamemodel.TargetID]sesamemodel.Target
	toRemove map[sesamemodel.TargetID]bool
	// toRelease are the targets whose probation has ended.
	toRelease map[sesamemodel.TargetID]bool
}

// Registry holds the heartbeats of the cells that one entry keeps. It is not safe
// for concurrent use. All times are readings of the entry's own clock.
type Registry struct {
	self   string
	lease  time.Duration
	margin time.Duration
	cells  map[sesamemodel.CellID]*cellState
}

// NewRegistry returns an empty book. The lease is what the book grants; it waits
// longer by margin before it calls a target lost.
func NewRegistry(self string, lease, margin time.Duration) *Registry {
	return &Registry{
		self:   self,
		lease:  lease,
		margin: margin,
		cells:  map[sesamemodel.CellID]*cellState{},
	}
}

// TakeOver makes the entry take over the cell at the next flush, also when it kept
// the cell before and another entry has taken it since.
func (r *Registry) TakeOver(row sesamemodel.Cell) {
	r.cell(row.ID).observeEpoch(row.Epoch)
}

// observeEpoch gives up the cell when another entry has taken it over since, so
// that the next write takes it back under a newer epoch.
func (c *cellState) observeEpoch(epoch uint64) {
	if epoch > c.epoch {
		c.owned = false
	}
}

// Drop forgets the cell, which another entry keeps.
func (r *Registry) Drop(cell sesamemodel.CellID) {
	delete(r.cells, cell)
}

func (r *Registry) cell(cell sesamemodel.CellID) *cellState {
	c, ok := r.cells[cell]
	if !ok {
		c = &cellState{
			targets:   map[sesamemodel.TargetID]*targetState{},
			changes:   map[sesamemodel.TargetID]sesamemodel.Target{},
			toRemove:  map[sesamemodel.TargetID]bool{},
			toRelease: map[sesamemodel.TargetID]bool{},
		}
		r.cells[cell] = c
	}
	return c
}

// Heartbeat records a heartbeat and says what the agent may rely on.
func (r *Registry) Heartbeat(now time.Time, beat Heartbeat) Grant {
	c := r.cell(beat.Cell)
	c.observeEpoch(beat.Epoch)
	grant := Grant{
		Epoch: c.epoch,
	}
	p, ok := c.targets[beat.Target]
	current := ok && p.target.Incarnation == beat.Incarnation && p.target.Health != sesamemodel.Lost
	if !current {
		c.register(beat)
		return grant
	}
	if !c.owned {
		return grant
	}
	p.lastHeard = now
	if beat.Leaving && p.target.Health != sesamemodel.Leaving {
		left := p.target
		left.Health = sesamemodel.Leaving
		c.changes[beat.Target] = left
	}
	grant.Known = true
	grant.Lease = r.lease
	return grant
}

// register notes the announced target for the next write of the row.
func (c *cellState) register(beat Heartbeat) {
	if beat.Announce.ID == "" {
		return
	}
	target := beat.Announce
	target.Health = sesamemodel.Ready
	if beat.Leaving {
		target.Health = sesamemodel.Leaving
	}
	if p, ok := c.targets[beat.Target]; ok {
		target.ConsecutiveQuarantines = p.target.ConsecutiveQuarantines
		target.SuspectFailures = p.target.SuspectFailures
		if p.target.Health == sesamemodel.Quarantined {
			target.Health = sesamemodel.Quarantined
		}
	}
	c.changes[beat.Target] = target
}

// Sweep marks the targets that have been silent for longer than a lease and
// the margin, and forgets those that have been lost for longer than
// forgetAfter.
func (r *Registry) Sweep(now time.Time) {
	for _, c := range r.cells {
		if !c.owned {
			continue
		}
		for id, p := range c.targets {
			c.checkQuarantine(now, id, p)
			silence := now.Sub(p.lastHeard)
			if p.target.Health == sesamemodel.Lost {
				c.toRemove[id] = silence > forgetAfter
				continue
			}
			if silence <= r.lease+r.margin {
				continue
			}
			if pending, ok := c.changes[id]; ok && pending.Incarnation != p.target.Incarnation {
				continue
			}
			lost := p.target
			lost.Health = sesamemodel.Lost
			c.changes[id] = lost
		}
	}
}

// checkQuarantine follows a target's quarantine, and releases it after its probation.
func (c *cellState) checkQuarantine(now time.Time, id sesamemodel.TargetID, p *targetState) {
	if p.target.Health != sesamemodel.Quarantined {
		p.quarantinedSince = time.Time{}
		return
	}
	if p.quarantinedSince.IsZero() {
		p.quarantinedSince = now
	}
	if now.Sub(p.quarantinedSince) >= sesameplanner.QuarantineDuration(p.target.ConsecutiveQuarantines) {
		c.toRelease[id] = true
	}
}

// PendingCells returns the cells whose rows have to be written, in order.
func (r *Registry) PendingCells() []sesamemodel.CellID {
	var cells []sesamemodel.CellID
	for id, c := range r.cells {
		if !c.owned || len(c.changes) > 0 || c.hasRemovalsOrReleases() {
			cells = append(cells, id)
		}
	}
	sort.Slice(cells, func(i, j int) bool {
		return cells[i] < cells[j]
	})
	return cells
}

// NextRow returns the row with the book's pending changes, and whether it differs
// from the row as read. Counts of blames and strikes stay as the row has them.
func (r *Registry) NextRow(row sesamemodel.Cell) (sesamemodel.Cell, bool) {
	c := r.cell(row.ID)
	next := row
	if !r.isKeeper(row) {
		next = next.WithKeeper(r.self)
		c.dropLostMarks()
	}
	for _, id := range sortedTargets(c.changes) {
		next = next.WithTarget(mergeQuarantine(c.changes[id], row))
	}
	for id := range c.toRelease {
		if target, ok := next.Target(id); ok && target.Health == sesamemodel.Quarantined {
			next = next.WithTarget(sesameplanner.EndQuarantine(target))
		}
	}
	if next.Zone == "" && len(next.Targets) > 0 {
		next.Zone = next.Targets[0].Zone
	}
	for id, remove := range c.toRemove {
		if remove && !hasAllocations(row, id) {
			next = next.WithoutTarget(id)
		}
	}
	return next, !r.isKeeper(row) || !slices.EqualFunc(next.Targets, row.Targets, sesamemodel.Target.Equal)
}

// mergeQuarantine returns the changed target with the counts of blames and strikes
// and the quarantine that the row has for it.
func mergeQuarantine(target sesamemodel.Target, row sesamemodel.Cell) sesamemodel.Target {
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

// isKeeper reports whether the row still has the epoch in which this entry kept
// the cell, so that the book's judgements count.
func (r *Registry) isKeeper(row sesamemodel.Cell) bool {
	c := r.cell(row.ID)
	return row.Keeper == r.self && c.owned && row.Epoch == c.epoch
}

// dropLostMarks drops what was judged from silence: another keeper may have heard
// the targets meanwhile.
func (c *cellState) dropLostMarks() {
	for id, target := range c.changes {
		if target.Health == sesamemodel.Lost {
			delete(c.changes, id)
		}
	}
	c.toRemove = map[sesamemodel.TargetID]bool{}
}

// hasRemovalsOrReleases reports whether a target is to be removed from the row, or its
// quarantine is to end.
func (c *cellState) hasRemovalsOrReleases() bool {
	for _, remove := range c.toRemove {
		if remove {
			return true
		}
	}
	return len(c.toRelease) > 0
}

// hasAllocations reports whether an allocation on the target is still in the row.
func hasAllocations(row sesamemodel.Cell, target sesamemodel.TargetID) bool {
	return slices.ContainsFunc(row.Allocations, func(a sesamemodel.Allocation) bool {
		return a.Target == target
	})
}

// Committed records that the row now reads as given. After a take-over every
// target counts as heard at now, and so does one that was not known yet.
func (r *Registry) Committed(now time.Time, row sesamemodel.Cell) {
	c := r.cell(row.ID)
	known := c.targets
	if row.Epoch != c.epoch {
		known = nil
	}
	c.owned = row.Keeper == r.self
	c.epoch = row.Epoch
	c.toRemove = map[sesamemodel.TargetID]bool{}
	c.toRelease = map[sesamemodel.TargetID]bool{}
	c.targets = map[sesamemodel.TargetID]*targetState{}
	for _, target := range row.Targets {
		p, ok := known[target.ID]
		if !ok || p.target.Incarnation != target.Incarnation || p.target.Health == sesamemodel.Lost {
			p = &targetState{
				lastHeard: now,
			}
		}
		p.target = target
		c.targets[target.ID] = p
		if pending, ok := c.changes[target.ID]; ok && isApplied(pending, target) {
			delete(c.changes, target.ID)
		}
	}
}

// isApplied reports whether the row holds what the change asked for;
// a quarantined target stays so when it announces itself as ready.
func isApplied(change, row sesamemodel.Target) bool {
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

package sesamekeeper

import (
	"slices"
	"sort"
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesameplanner"
)

// forgetAfter is how long a lost target stays in its cell's row before it is
// removed.
const forgetAfter = 10 * time.Minute

// Heartbeat is one heartbeat of a target, sent by its agent. Incarnation
// identifies one start of the agent. Leaving says that the target is being
// drained.
type Heartbeat struct {
	Cell        sesamemodel.CellID
	Target      sesamemodel.TargetID
	Incarnation string
	Leaving     bool
	// Epoch is the newest epoch that the agent has seen of the cell's keeper, the
	// entry that grants its targets' leases. Each take-over of a cell raises its
	// epoch.
	Epoch uint64
	// Announce is the full description of the target, for its registration. Its
	// ID is empty when the agent did not send one.
	Announce sesamemodel.Target
}

// Grant is the answer to a heartbeat.
type Grant struct {
	// Lease is the length of the granted lease, counted from when the agent sent
	// the heartbeat; 0 means that no lease is granted.
	Lease time.Duration
	// Epoch is the cell's epoch as this entry last read or wrote it.
	Epoch uint64
	// Known is true when the cell's row holds the target as announced.
	Known bool
}

// targetState is a registered target and the time of its last heartbeat.
type targetState struct {
	// target is the target in the cell's row, at the last call of Committed.
	target sesamemodel.Target
	// lastHeard is when the last heartbeat arrived; see Committed for a target
	// that has sent none to this entry.
	lastHeard time.Time
	// quarantinedSince is when the registry first saw the target in its present
	// quarantine; zero while it is not quarantined.
	quarantinedSince time.Time
}

// cellState is what the registry knows of one cell, and the changes that the
// next write of the cell's row is to make.
type cellState struct {
	// owned is true while this entry keeps the cell. epoch is that of the row
	// at the last call of Committed.
	owned bool
	epoch uint64
	// targets are those of the cell's row.
	targets map[sesamemodel.TargetID]*targetState
	// changes are the targets to be added to the row or replaced in it.
	changes map[sesamemodel.TargetID]sesamemodel.Target
	// toRemove is true for the lost targets that have been silent for longer
	// than forgetAfter.
	toRemove map[sesamemodel.TargetID]bool
	// toRelease are the targets whose time in quarantine is over.
	toRelease map[sesamemodel.TargetID]bool
}

// Registry holds the targets of the cells that one entry keeps (whose rows it
// writes and whose leases it grants) and the times of their heartbeats. It grants
// leases and detects lost targets. It is not safe for concurrent use. All times
// are readings of the entry's own clock.
type Registry struct {
	// self is the ID of the entry.
	self string
	// lease is the length of each granted lease. A target is marked lost once it
	// has been silent for longer than lease plus margin.
	lease  time.Duration
	margin time.Duration
	cells  map[sesamemodel.CellID]*cellState
}

// NewRegistry returns an empty registry for the entry with the ID self. It grants
// leases of the given length, and marks a target lost when it was silent for
// longer than the lease and the margin.
func NewRegistry(self string, lease, margin time.Duration) *Registry {
	return &Registry{
		self:   self,
		lease:  lease,
		margin: margin,
		cells:  map[sesamemodel.CellID]*cellState{},
	}
}

// TakeOver makes the entry take over the cell at the next write of its row. That
// includes a cell that it kept before and that another entry has taken since.
func (r *Registry) TakeOver(row sesamemodel.Cell) {
	r.cell(row.ID).observeEpoch(row.Epoch)
}

// observeEpoch marks the cell as not kept when a newer epoch shows that another
// entry has taken it over, so that the next write takes it back under a still
// newer epoch.
func (c *cellState) observeEpoch(epoch uint64) {
	if epoch > c.epoch {
		c.owned = false
	}
}

// Drop removes the cell from the registry, since another entry keeps it.
func (r *Registry) Drop(cell sesamemodel.CellID) {
	delete(r.cells, cell)
}

// cell returns the state of a cell; the first use of a cell adds it.
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

// Heartbeat records a heartbeat and returns the lease that it grants. It grants
// none while this entry does not keep the cell, or if the cell's row has the
// target as lost or not under that incarnation. In the latter cases, the next
// write of the row registers the target if the heartbeat announces it.
func (r *Registry) Heartbeat(now time.Time, beat Heartbeat) Grant {
	c := r.cell(beat.Cell)
	c.observeEpoch(beat.Epoch)
	grant := Grant{
		Epoch: c.epoch,
	}
	s, ok := c.targets[beat.Target]
	current := ok && s.target.Incarnation == beat.Incarnation && s.target.Health != sesamemodel.Lost
	if !current {
		c.register(beat)
		return grant
	}
	if !c.owned {
		return grant
	}
	s.lastHeard = now
	if beat.Leaving && s.target.Health != sesamemodel.Leaving {
		left := s.target
		left.Health = sesamemodel.Leaving
		c.changes[beat.Target] = left
	}
	grant.Known = true
	grant.Lease = r.lease
	return grant
}

// register adds the target that the heartbeat announces, if any, to the changes
// of the row. A new incarnation of a known target keeps its counts of suspect
// failures and of consecutive quarantines, and its quarantine.
func (c *cellState) register(beat Heartbeat) {
	if beat.Announce.ID == "" {
		return
	}
	target := beat.Announce
	target.Health = sesamemodel.Ready
	if beat.Leaving {
		target.Health = sesamemodel.Leaving
	}
	if s, ok := c.targets[beat.Target]; ok {
		target.ConsecutiveQuarantines = s.target.ConsecutiveQuarantines
		target.SuspectFailures = s.target.SuspectFailures
		if s.target.Health == sesamemodel.Quarantined {
			target.Health = sesamemodel.Quarantined
		}
	}
	c.changes[beat.Target] = target
}

// Sweep marks the targets lost that have been silent for longer than a lease
// and the margin, and the lost ones to be removed that have been silent for
// longer than forgetAfter. It also marks the end of quarantines that have
// lasted long enough. The next write of the row makes these changes.
func (r *Registry) Sweep(now time.Time) {
	for _, c := range r.cells {
		if !c.owned {
			continue
		}
		for id, s := range c.targets {
			c.checkQuarantine(now, id, s)
			silence := now.Sub(s.lastHeard)
			if s.target.Health == sesamemodel.Lost {
				c.toRemove[id] = silence > forgetAfter
				continue
			}
			if silence <= r.lease+r.margin {
				continue
			}
			if pending, ok := c.changes[id]; ok && pending.Incarnation != s.target.Incarnation {
				continue
			}
			lost := s.target
			lost.Health = sesamemodel.Lost
			c.changes[id] = lost
		}
	}
}

// checkQuarantine notes when a quarantine begins and marks the target to be
// released when it has lasted for sesameplanner.QuarantineDuration.
func (c *cellState) checkQuarantine(now time.Time, id sesamemodel.TargetID, s *targetState) {
	if s.target.Health != sesamemodel.Quarantined {
		s.quarantinedSince = time.Time{}
		return
	}
	if s.quarantinedSince.IsZero() {
		s.quarantinedSince = now
	}
	if now.Sub(s.quarantinedSince) >= sesameplanner.QuarantineDuration(s.target.ConsecutiveQuarantines) {
		c.toRelease[id] = true
	}
}

// PendingCells returns the cells whose rows have to be written, sorted by ID:
// those to be taken over and those with changes.
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

// NextRow returns the row with the pending changes, and whether it differs from
// the row as read. The counts of suspect failures and of consecutive
// quarantines stay as in the row; only the end of a quarantine changes the
// count of suspect failures.
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

// mergeQuarantine returns the changed target with the quarantine and the counts of
// suspect failures and consecutive quarantines that the row has for it.
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

// isKeeper reports whether the row still has the epoch in which this entry keeps
// the cell. Only then are the registry's lost targets and removals valid.
func (r *Registry) isKeeper(row sesamemodel.Cell) bool {
	c := r.cell(row.ID)
	return row.Keeper == r.self && c.owned && row.Epoch == c.epoch
}

// dropLostMarks drops the changes and removals that are based on missing
// heartbeats, since another keeper may have received heartbeats of those
// targets meanwhile.
func (c *cellState) dropLostMarks() {
	for id, target := range c.changes {
		if target.Health == sesamemodel.Lost {
			delete(c.changes, id)
		}
	}
	c.toRemove = map[sesamemodel.TargetID]bool{}
}

// hasRemovalsOrReleases reports whether a target is to be removed from the row or
// released from quarantine.
func (c *cellState) hasRemovalsOrReleases() bool {
	for _, remove := range c.toRemove {
		if remove {
			return true
		}
	}
	return len(c.toRelease) > 0
}

// hasAllocations reports whether the row still has an allocation on the target:
// resources that an attempt holds on it.
func hasAllocations(row sesamemodel.Cell, target sesamemodel.TargetID) bool {
	return slices.ContainsFunc(row.Allocations, func(a sesamemodel.Allocation) bool {
		return a.Target == target
	})
}

// Committed updates the registry to the row as it is stored now. Targets whose
// heartbeats it does not know count as heard at now, so that none is marked
// lost before a whole lease has passed: all after a take-over, and those that
// were lost, are new in the row or have a new incarnation.
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
		s, ok := known[target.ID]
		if !ok || s.target.Incarnation != target.Incarnation || s.target.Health == sesamemodel.Lost {
			s = &targetState{
				lastHeard: now,
			}
		}
		s.target = target
		c.targets[target.ID] = s
		if pending, ok := c.changes[target.ID]; ok && isApplied(pending, target) {
			delete(c.changes, target.ID)
		}
	}
}

// isApplied reports whether the target in the row has what the change asked for.
// A quarantined target that announces itself as ready stays quarantined, which
// counts as applied.
func isApplied(change, row sesamemodel.Target) bool {
	if change.Incarnation != row.Incarnation {
		return false
	}
	if change.Health == sesamemodel.Ready && row.Health == sesamemodel.Quarantined {
		return true
	}
	return change.Health == row.Health
}

// sortedTargets returns the IDs of the changed targets in order.
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

package sesamemodel

import (
	"reflect"
	"slices"
	"time"
)

// TargetID identifies a target.
type TargetID string

// CellID identifies a cell, as region/name. All allocations of a cell are kept
// in one row of the store's table.
type CellID string

// Health says whether a target may be given new work.
type Health string

// The healths of a target. Only a ready target is given new work.
const (
	Ready Health = "ready"
	// Leaving is the health of a target that is being drained.
	Leaving Health = "leaving"
	// Quarantined is the health of a target that is kept from new work for a
	// time because jobs failed there.
	Quarantined Health = "quarantined"
	// Lost is the health of a target whose agent sends no heartbeats.
	Lost Health = "lost"
)

// Target is a worker or executor with the agent that runs next to it and starts
// its tasks.
type Target struct {
	ID   TargetID `json:"id"`
	Kind Kind     `json:"kind"`
	Zone string   `json:"zone"`
	Rack string   `json:"rack"`
	// Address is where the agent listens, as host:port.
	Address string `json:"address"`
	// Incarnation identifies the latest known start of the agent.
	Incarnation string `json:"incarnation"`
	// Capacity is what the target offers.
	Capacity Resources `json:"capacity"`
	Health   Health    `json:"health"`
	// ConsecutiveQuarantines counts quarantines in a row; the duration of the
	// quarantine doubles with each.
	ConsecutiveQuarantines int `json:"strikes,omitempty"`
	// SuspectFailures counts the jobs that failed on this target and succeeded
	// on others, since the last job that succeeded on this one.
	SuspectFailures int `json:"blames,omitempty"`
	// Adopted are the attempts of earlier incarnations that the agent found
	// running or done at its start. The agent watches them to their end.
	Adopted []AttemptRef `json:"kept,omitempty"`
}

// Equal reports whether all fields of t and o are equal.
func (t Target) Equal(o Target) bool {
	return reflect.DeepEqual(t, o)
}

// Adopts reports whether the attempt is one of those that the agent adopted
// from an earlier incarnation; see Adopted.
func (t Target) Adopts(job JobID, attempt uint32) bool {
	return slices.Contains(t.Adopted, AttemptRef{
		Job:     job,
		Attempt: attempt,
	})
}

// Allocation is what one attempt of a job holds on one target.
type Allocation struct {
	Job JobID `json:"job"`
	// Attempt is the number of the attempt; see Job.Attempt.
	Attempt uint32   `json:"attempt"`
	Team    TeamID   `json:"team"`
	Target  TargetID `json:"target"`
	// Tasks is how many tasks of the attempt are placed on the target.
	Tasks int `json:"tasks"`
	// Resources is the amount that these tasks hold together.
	Resources Resources `json:"resources"`
	// AcceleratorMask has a bit set for each accelerator of the target that
	// the tasks hold.
	AcceleratorMask uint64 `json:"accelerators,omitempty"`
	// Owed is true when the allocation is within the team's own guarantee.
	// Otherwise it is borrowed.
	Owed bool `json:"owed,omitempty"`
	// NonPreemptible is true when the attempt must not be stopped in order to
	// reclaim its resources for a guarantee.
	NonPreemptible bool `json:"fixed,omitempty"`
	// Since is when the allocation began, by the wall clock of the entry that
	// placed the job. RunTime is the expected run time: the declared one as
	// corrected by observations, 0 when unknown. Together they give the
	// expected end, which backfill needs.
	Since   time.Time     `json:"since"`
	RunTime time.Duration `json:"runtime,omitempty"`
}

// Guarantee is one shape of a team's contract that the cell must be able to form
// from its targets.
type Guarantee struct {
	Team TeamID `json:"team"`
	// Index is the position of the shape in Contract.Guarantees.
	Index int   `json:"index"`
	Shape Shape `json:"shape"`
}

// Cell is a group of neighbouring targets of one zone with their allocations.
type Cell struct {
	ID     CellID `json:"id"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// Keeper is the ID of the entry that receives the heartbeats of the cell's
	// agents and decides which targets are lost.
	Keeper string `json:"keeper"`
	// Epoch grows by one whenever another entry becomes the keeper. It is the
	// fencing token against the former one.
	Epoch       uint64       `json:"epoch"`
	Targets     []Target     `json:"targets"`
	Allocations []Allocation `json:"allocations,omitempty"`
	Guarantees  []Guarantee  `json:"guarantees,omitempty"`
}

// Target returns the target with that ID and whether the cell has it.
func (c Cell) Target(id TargetID) (Target, bool) {
	for _, t := range c.Targets {
		if t.ID == id {
			return t, true
		}
	}
	return Target{}, false
}

// WithTarget returns the cell with the target added, or in place of the one
// with the same ID.
func (c Cell) WithTarget(t Target) Cell {
	targets := append([]Target{}, c.Targets...)
	for i := range targets {
		if targets[i].ID == t.ID {
			targets[i] = t
			c.Targets = targets
			return c
		}
	}
	c.Targets = append(targets, t)
	return c
}

// WithoutTarget returns the cell without the target with that ID.
func (c Cell) WithoutTarget(id TargetID) Cell {
	var targets []Target
	for _, t := range c.Targets {
		if t.ID != id {
			targets = append(targets, t)
		}
	}
	c.Targets = targets
	return c
}

// WithAllocations returns the cell with the allocations added.
func (c Cell) WithAllocations(added ...Allocation) Cell {
	allocations := append([]Allocation{}, c.Allocations...)
	c.Allocations = append(allocations, added...)
	return c
}

// WithoutAttempt returns the cell without the attempt's allocations on a
// target. An empty target means on all targets.
func (c Cell) WithoutAttempt(job JobID, attempt uint32, target TargetID) Cell {
	var kept []Allocation
	for _, a := range c.Allocations {
		matches := a.Job == job && a.Attempt == attempt && (target == "" || a.Target == target)
		if !matches {
			kept = append(kept, a)
		}
	}
	c.Allocations = kept
	return c
}

// WithGuarantees returns the cell with these guarantees in place of its former
// ones.
func (c Cell) WithGuarantees(g []Guarantee) Cell {
	c.Guarantees = append([]Guarantee{}, g...)
	return c
}

// WithKeeper returns the cell with the entry as its keeper, in the next epoch.
func (c Cell) WithKeeper(entry string) Cell {
	c.Keeper = entry
	c.Epoch++
	return c
}

// Member is an entry as the other entries see it in the membership list.
type Member struct {
	ID     string `json:"id"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// Address is where other entries and agents reach the entry, as host:port.
	Address string `json:"address"`
	// Heartbeat grows each time the entry renews its place in the list. A
	// reader takes the entry for gone when Heartbeat has not changed for longer
	// than the duration of a lease, by the reader's own clock.
	Heartbeat uint64 `json:"beat"`
	// Left is true after a graceful stop until the entry starts again.
	Left bool `json:"left,omitempty"`
}

package sesamemodel

import (
	"reflect"
	"slices"
	"time"
)

// TargetID names a target.
type TargetID string

// CellID names a cell as region/name. Its allocations are kept in one row.
type CellID string

// Health says whether a target may be given work.
type Health string

// The healths. Only a ready target is given new work.
const (
	Ready       Health = "ready"
	Leaving     Health = "leaving"
	Quarantined Health = "quarantined"
	Lost        Health = "lost"
)

// Target is one back end with the agent beside it.
type Target struct {
	ID   TargetID `json:"id"`
	Kind Kind     `json:"kind"`
	Zone string   `json:"zone"`
	Rack string   `json:"rack"`
	// Address is where the agent listens, as host:port.
	Address string `json:"address"`
	// Incarnation is unique to one start of the agent.
	Incarnation string    `json:"incarnation"`
	Capacity    Resources `json:"capacity"`
	Health      Health    `json:"health"`
	// ConsecutiveQuarantines counts quarantines in a row; probation doubles with each.
	ConsecutiveQuarantines int `json:"strikes,omitempty"`
	// SuspectFailures counts jobs that failed here and succeeded elsewhere since the
	// last success here.
	SuspectFailures int `json:"blames,omitempty"`
	// Adopted are the attempts of earlier incarnations that the agent found
	// running or done at its start, and watches to their end.
	Adopted []AttemptRef `json:"kept,omitempty"`
}

// Equal reports whether both are the same in every part.
func (t Target) Equal(o Target) bool {
	return reflect.DeepEqual(t, o)
}

// Adopts reports whether the agent watches that attempt of an earlier
// incarnation.
func (t Target) Adopts(job JobID, attempt uint32) bool {
	return slices.Contains(t.Adopted, AttemptRef{
		Job:     job,
		Attempt: attempt,
	})
}

// Allocation is what one attempt holds on one target.
type Allocation struct {
	Job     JobID    `json:"job"`
	Attempt uint32   `json:"attempt"`
	Team    TeamID   `json:"team"`
	Target  TargetID `json:"target"`
	Tasks   int      `json:"tasks"`
	// Resources is the amount held by all tasks here together.
	Resources       Resources `json:"resources"`
	AcceleratorMask uint64    `json:"accelerators,omitempty"`
	// Owed is true when the allocation uses the team's own guarantee.
	Owed bool `json:"owed,omitempty"`
	// NonPreemptible is true when the holder must not be stopped to reclaim.
	NonPreemptible bool `json:"fixed,omitempty"`
	// Since and RunTime give the expected end, for backfill.
	Since   time.Time     `json:"since"`
	RunTime time.Duration `json:"runtime,omitempty"`
}

// Guarantee is one guaranteed shape that this cell must be able to form.
type Guarantee struct {
	Team TeamID `json:"team"`
	// Index is the position of the shape in the team's contract.
	Index int   `json:"index"`
	Shape Shape `json:"shape"`
}

// Cell is a group of neighbouring targets of one zone with their allocations.
type Cell struct {
	ID     CellID `json:"id"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// Keeper is the entry that judges the cell's heartbeats; Epoch grows by
	// one whenever another entry takes over.
	Keeper      string       `json:"keeper"`
	Epoch       uint64       `json:"epoch"`
	Targets     []Target     `json:"targets"`
	Allocations []Allocation `json:"allocations,omitempty"`
	Guarantees  []Guarantee  `json:"guarantees,omitempty"`
}

// Target returns the target of that name and whether the cell has it.
func (c Cell) Target(id TargetID) (Target, bool) {
	for _, t := range c.Targets {
		if t.ID == id {
			return t, true
		}
	}
	return Target{}, false
}

// WithTarget returns the cell with the target added or replaced.
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

// WithoutTarget returns the cell without that target.
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

// WithoutAttempt returns the cell without what the attempt holds on that
// target; an empty target means on all of them.
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

// WithGuarantees returns the cell with these guarantees in place of its own.
func (c Cell) WithGuarantees(g []Guarantee) Cell {
	c.Guarantees = append([]Guarantee{}, g...)
	return c
}

// WithKeeper returns the cell taken over by an entry, one epoch later.
func (c Cell) WithKeeper(entry string) Cell {
	c.Keeper = entry
	c.Epoch++
	return c
}

// Member is an entry of the system as its peers see it.
type Member struct {
	ID     string `json:"id"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// Address is where peers and agents reach it, as host:port.
	Address string `json:"address"`
	// Heartbeat grows with each renewal; a beat that stands still for longer than
	// a lease on the reader's own clock means the member is gone.
	Heartbeat uint64 `json:"beat"`
	// Left is true after a graceful stop, until the entry starts again.
	Left bool `json:"left,omitempty"`
}

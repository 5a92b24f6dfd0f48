package sesamemodel

import (
	"fmt"
	"time"
)

// JobID names a job. It is derived from the team and the caller's idempotency
// key, so the same request always has the same name.
type JobID string

// State is a step in a job's life.
//
//	queued -> placed -> running -> done | failed | unknown
//	   |         \         \-> stopping -> queued | cancelled | failed | unknown
//	   |          \-> stopping
//	   \-> refused | cancelled
type State string

// The states. Placed and running jobs hold an allocation in every cell that
// their assignments name.
const (
	Queued    State = "queued"
	Placed    State = "placed"
	Running   State = "running"
	Stopping  State = "stopping"
	Done      State = "done"
	Failed    State = "failed"
	Refused   State = "refused"
	Cancelled State = "cancelled"
	Unknown   State = "unknown"
)

// Ended reports whether no further attempt follows without an operator.
func (s State) Ended() bool {
	switch s {
	case Done, Failed, Refused, Cancelled, Unknown:
		return true
	}
	return false
}

// Active reports whether the state holds allocations.
func (s State) Active() bool {
	return s == Placed || s == Running || s == Stopping
}

// Kind names what does the work.
type Kind string

// The kinds of target.
const (
	Worker   Kind = "worker"
	Executor Kind = "executor"
)

// Spec is what a caller asks for.
type Spec struct {
	Team  TeamID `json:"team"`
	Class string `json:"class"`
	Kind  Kind   `json:"kind"`
	// Tasks is the size of the gang, 1 or more.
	Tasks int `json:"tasks"`
	// Task is what each task needs.
	Task Resources `json:"task"`
	// Span is what all tasks must share; empty means no constraint beyond
	// the region.
	Span Span `json:"span,omitempty"`
	// AtMostOnce marks a job that must run at most once. It is set when the caller
	// or the class of the contract says so.
	AtMostOnce bool `json:"once,omitempty"`
	// Checkpoints is true when the work can be stopped and continued later.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// RunTime is the declared run time; 0 means unknown.
	RunTime time.Duration `json:"runtime,omitempty"`
	// Payload names the object with the caller's input; empty without input.
	Payload string `json:"payload,omitempty"`
}

// TotalResources returns the resources of all tasks together.
func (s Spec) TotalResources() Resources {
	return s.Task.Times(s.Tasks)
}

// Assignment is the part of a gang that one target runs.
type Assignment struct {
	Target TargetID `json:"target"`
	Cell   CellID   `json:"cell"`
	// Address is where the target's agent listens, as host:port.
	Address string `json:"address"`
	// Incarnation is the start of the agent that the assignment is bound to.
	Incarnation string `json:"incarnation"`
	// FirstRank is the rank of the first task here; ranks are consecutive.
	FirstRank int `json:"first"`
	Tasks     int `json:"tasks"`
	// AcceleratorMask has one bit for each accelerator of the target in use.
	AcceleratorMask uint64 `json:"accelerators,omitempty"`
}

// Result names the output of one task in the object store.
type Result struct {
	Rank   int    `json:"rank"`
	Object string `json:"object"`
	// Length is in bytes.
	Length int64 `json:"length"`
	// Digest is the SHA-256 of the output, in hex.
	Digest string `json:"digest"`
}

// Event is one step of a job's history, kept for explanations.
type Event struct {
	Time    time.Time `json:"time"`
	State   State     `json:"state"`
	Attempt uint32    `json:"attempt,omitempty"`
	Reason  string    `json:"reason,omitempty"`
}

// MaxEvents is the most events that a job's row keeps; older ones are dropped.
const MaxEvents = 16

// AttemptRef names one attempt of a job.
type AttemptRef struct {
	Job     JobID  `json:"job"`
	Attempt uint32 `json:"attempt"`
}

// Job is one request and all that is known about it.
type Job struct {
	ID   JobID `json:"id"`
	Spec Spec  `json:"spec"`
	// RequestDigest is the SHA-256 of the caller's request body, in hex.
	RequestDigest string  `json:"request"`
	Region        string  `json:"region"`
	Urgency       Urgency `json:"urgency"`
	State         State   `json:"state"`
	// Attempt counts from 1; 0 means never placed.
	Attempt     uint32       `json:"attempt"`
	Assignments []Assignment `json:"assignments,omitempty"`
	// Evicts are the attempts of other jobs that make room for this one.
	Evicts []AttemptRef `json:"evicts,omitempty"`
	// Owed is true while the attempt uses the team's own guarantee.
	Owed bool `json:"owed,omitempty"`
	// Started is true once a member of this attempt may have been told to
	// start, and false again when every member promised that it never did.
	Started bool `json:"started,omitempty"`
	// MayHaveRun is true when a member of an earlier attempt may have started.
	MayHaveRun bool `json:"ran,omitempty"`
	// Next is the state that follows Stopping.
	Next State `json:"next,omitempty"`
	// Reason says in a sentence why the job is in its state.
	Reason string `json:"reason,omitempty"`
	// Submitted is the accepting entry's wall clock, used for order and
	// reports and never for a lease.
	Submitted time.Time `json:"submitted"`
	// StartTime is the wall clock when the attempt was told to start.
	StartTime time.Time `json:"opened,omitzero"`
	Results   []Result  `json:"results,omitempty"`
	// Failures counts the attempts that failed by the job's own fault or an
	// undecided one; Avoid lists the targets they ran on.
	Failures int        `json:"failures,omitempty"`
	Avoid    []TargetID `json:"avoid,omitempty"`
	Events   []Event    `json:"events,omitempty"`
	// Resolution is set once an operator settled an unknown outcome.
	Resolution Resolution `json:"resolution,omitzero"`
}

// Resolution is what an operator found out about an unknown outcome.
type Resolution struct {
	Operator string    `json:"operator"`
	Time     time.Time `json:"time"`
	// Ran is true when the work ran, wholly or in part.
	Ran  bool   `json:"ran"`
	Note string `json:"note,omitempty"`
}

// WithEvent returns the job in that state, with the step added to its history.
func (j Job) WithEvent(now time.Time, s State, reason string) Job {
	j.State = s
	j.Reason = reason
	events := append([]Event{}, j.Events...)
	events = append(events, Event{
		Time:    now,
		State:   s,
		Attempt: j.Attempt,
		Reason:  reason,
	})
	if len(events) > MaxEvents {
		events = events[len(events)-MaxEvents:]
	}
	j.Events = events
	return j
}

// WithPlacement returns the job placed at a new attempt.
func (j Job) WithPlacement(now time.Time, assignments []Assignment, owed bool) Job {
	j.Attempt++
	j.Assignments = append([]Assignment{}, assignments...)
	j.Owed = owed
	return j.WithEvent(now, Placed, "")
}

// WithEvicts returns the job with the attempts that make room for it: those
// of the victims, which are stopping.
func (j Job) WithEvicts(victims []Job) Job {
	j.Evicts = nil
	for _, v := range victims {
		j.Evicts = append(j.Evicts, AttemptRef{
			Job:     v.ID,
			Attempt: v.Attempt,
		})
	}
	return j
}

// WithStart returns the job running: from now on its members may be started.
func (j Job) WithStart(now time.Time) Job {
	j.Started = true
	j.StartTime = now
	return j.WithEvent(now, Running, "")
}

// WithRequeue returns the job queued again, without assignments.
func (j Job) WithRequeue(now time.Time, reason string) Job {
	j.Assignments = nil
	j.Evicts = nil
	j.Owed = false
	j.MayHaveRun = j.MayHaveRun || j.Started
	j.Started = false
	j.Next = ""
	j.StartTime = time.Time{}
	return j.WithEvent(now, Queued, reason)
}

// WithStop returns the job stopping, to become next once every member of the
// attempt has confirmed that it stopped.
func (j Job) WithStop(now time.Time, next State, reason string) Job {
	j.Next = next
	return j.WithEvent(now, Stopping, reason)
}

// WithResults returns the job done with those results.
func (j Job) WithResults(now time.Time, results []Result) Job {
	j.Results = append([]Result{}, results...)
	return j.WithEvent(now, Done, "")
}

// NeverRan reports whether the job has ended and no part of it ever ran.
func (j Job) NeverRan() bool {
	return j.State.Ended() && !j.Started && !j.MayHaveRun
}

// WithResolution returns the job in the state that an operator found.
func (j Job) WithResolution(s State, r Resolution) Job {
	j.Resolution = r
	j.Started = false
	j.MayHaveRun = r.Ran
	return j.WithEvent(r.Time, s, fmt.Sprintf("resolved by %s: %s", r.Operator, r.Note))
}

// Cells returns the cells that the assignments name, each once, in order.
func (j Job) Cells() []CellID {
	seen := map[CellID]bool{}
	var cells []CellID
	for _, a := range j.Assignments {
		if !seen[a.Cell] {
			seen[a.Cell] = true
			cells = append(cells, a.Cell)
		}
	}
	return cells
}

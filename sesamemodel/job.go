package sesamemodel

import (
	"fmt"
	"time"
)

// JobID identifies a job. It is derived from the team and the caller's
// idempotency key, so a repeated request always has the same ID.
type JobID string

// State is the state of a job. These are its transitions:
//
//	queued -> placed -> running -> done | failed | unknown
//	   |         \         \-> stopping -> queued | cancelled | failed | unknown
//	   |          \-> stopping
//	   \-> refused | cancelled
type State string

// The states of a job. Placed and running jobs hold an allocation in every cell
// that their assignments name.
const (
	// Queued means that the job waits for a placement.
	Queued State = "queued"
	// Placed means that the job's tasks have targets and that none of them has
	// been told to start.
	Placed State = "placed"
	// Running means that tasks may have been started.
	Running State = "running"
	// Stopping means that the attempt is being stopped; Job.Next follows.
	Stopping State = "stopping"
	// Done means that the job has succeeded.
	Done State = "done"
	// Failed means that the job has failed and is not tried again.
	Failed State = "failed"
	// Refused means that a queued job was turned down and will not be placed.
	Refused State = "refused"
	// Cancelled means that the job was cancelled on request.
	Cancelled State = "cancelled"
	// Unknown means that the outcome could not be found out. An operator
	// settles it with a Resolution.
	Unknown State = "unknown"
)

// Ended reports whether no further attempt follows unless an operator
// intervenes.
func (s State) Ended() bool {
	switch s {
	case Done, Failed, Refused, Cancelled, Unknown:
		return true
	}
	return false
}

// Active reports whether a job in that state holds allocations.
func (s State) Active() bool {
	return s == Placed || s == Running || s == Stopping
}

// Kind is the type of target that runs a job's tasks.
type Kind string

// The kinds of target.
const (
	Worker   Kind = "worker"
	Executor Kind = "executor"
)

// Spec is what a caller asks for with a job.
type Spec struct {
	Team TeamID `json:"team"`
	// Class is the name of a Class of the team's contract.
	Class string `json:"class"`
	// Kind is the type of target that the tasks run on.
	Kind Kind `json:"kind"`
	// Tasks is the number of tasks, 1 or more. They are placed as a gang: all
	// together or not at all.
	Tasks int `json:"tasks"`
	// Task is what each task needs.
	Task Resources `json:"task"`
	// Span is the part of the platform that all tasks must share; empty means
	// no constraint beyond the region.
	Span Span `json:"span,omitempty"`
	// AtMostOnce marks a job that must run at most once. It is set when the
	// caller or the class of the contract says so.
	AtMostOnce bool `json:"once,omitempty"`
	// Checkpoints is true when the work can be stopped and resumed later.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// RunTime is the declared run time; 0 means unknown.
	RunTime time.Duration `json:"runtime,omitempty"`
	// Payload is the name of the object that holds the caller's input; empty
	// without input.
	Payload string `json:"payload,omitempty"`
}

// TotalResources returns what all tasks need together.
func (s Spec) TotalResources() Resources {
	return s.Task.Times(s.Tasks)
}

// Assignment is the part of a job's tasks that one target runs.
type Assignment struct {
	Target TargetID `json:"target"`
	Cell   CellID   `json:"cell"`
	// Address is where the target's agent listens, as host:port.
	Address string `json:"address"`
	// Incarnation identifies the start of the agent that the assignment is
	// bound to; see Target.Incarnation.
	Incarnation string `json:"incarnation"`
	// FirstRank is the rank (position in the gang) of the first task on the
	// target. Tasks is the number of tasks there; their ranks are consecutive.
	FirstRank int `json:"first"`
	Tasks     int `json:"tasks"`
	// AcceleratorMask has a bit set for each accelerator of the target that
	// the tasks use.
	AcceleratorMask uint64 `json:"accelerators,omitempty"`
}

// Result describes the output of one task, which is in the object store.
type Result struct {
	// Rank is the position of the task in the gang.
	Rank int `json:"rank"`
	// Object is the name of the object with the output.
	Object string `json:"object"`
	// Length is in bytes.
	Length int64 `json:"length"`
	// Digest is the SHA-256 of the output, in hex.
	Digest string `json:"digest"`
}

// Event is a change of state in a job's history, which is kept to explain to
// callers how the job came to its state.
type Event struct {
	Time time.Time `json:"time"`
	// State is the state after the change.
	State State `json:"state"`
	// Attempt is the job's attempt at the time; 0 before the first.
	Attempt uint32 `json:"attempt,omitempty"`
	// Reason is Job.Reason after the change.
	Reason string `json:"reason,omitempty"`
}

// MaxEvents is the most events that a job's row keeps; the oldest are dropped.
const MaxEvents = 16

// AttemptRef identifies one attempt (placement) of a job.
type AttemptRef struct {
	Job JobID `json:"job"`
	// Attempt is the number of the attempt; see Job.Attempt.
	Attempt uint32 `json:"attempt"`
}

// Job is a caller's request with the state, placement, history and results of
// its work.
type Job struct {
	ID   JobID `json:"id"`
	Spec Spec  `json:"spec"`
	// RequestDigest is the SHA-256 of the caller's request body, in hex.
	RequestDigest string  `json:"request"`
	Region        string  `json:"region"`
	Urgency       Urgency `json:"urgency"`
	State         State   `json:"state"`
	// Attempt is the number of the latest attempt, counted from 1; 0 means that
	// the job was never placed.
	Attempt     uint32       `json:"attempt"`
	Assignments []Assignment `json:"assignments,omitempty"`
	// Evicts are the attempts of other jobs that are stopped to make room for
	// this one (preemption).
	Evicts []AttemptRef `json:"evicts,omitempty"`
	// Owed is true while the attempt is placed within the team's own guarantee.
	Owed bool `json:"owed,omitempty"`
	// Started is true once a member (the tasks on one target) of this attempt
	// may have been told to start. It is false again when every member has
	// promised that it never started.
	Started bool `json:"started,omitempty"`
	// MayHaveRun is true when a member of an earlier attempt may have started.
	// After a Resolution it is what the operator found out.
	MayHaveRun bool `json:"ran,omitempty"`
	// Next is the state that follows Stopping.
	Next State `json:"next,omitempty"`
	// Reason says in a sentence why the job is in its state.
	Reason string `json:"reason,omitempty"`
	// Submitted is when an entry accepted the job, by that entry's wall clock.
	// It is used for the order of jobs and in reports, and never for a lease.
	Submitted time.Time `json:"submitted"`
	// StartTime is when the attempt was told to start, by the wall clock.
	StartTime time.Time `json:"opened,omitzero"`
	// Results describe the outputs of the tasks of a job that is done.
	Results []Result `json:"results,omitempty"`
	// Failures counts the attempts that failed through the job's own fault or
	// for an undecided reason; Avoid lists the targets on which they failed.
	Failures int        `json:"failures,omitempty"`
	Avoid    []TargetID `json:"avoid,omitempty"`
	// Events are the latest changes of state, at most MaxEvents, the oldest
	// first.
	Events []Event `json:"events,omitempty"`
	// Resolution is set once an operator has settled an unknown outcome.
	Resolution Resolution `json:"resolution,omitzero"`
}

// Resolution is what an operator found out about a job whose outcome was
// unknown.
type Resolution struct {
	Operator string    `json:"operator"`
	Time     time.Time `json:"time"`
	// Ran is true when the work ran, wholly or in part.
	Ran bool `json:"ran"`
	// Note is the operator's own explanation.
	Note string `json:"note,omitempty"`
}

// WithEvent returns the job in state s, with the change and its reason added to
// the history.
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

// WithPlacement returns the job placed for a new attempt; owed tells whether the
// placement is within the team's own guarantee.
func (j Job) WithPlacement(now time.Time, assignments []Assignment, owed bool) Job {
	j.Attempt++
	j.Assignments = append([]Assignment{}, assignments...)
	j.Owed = owed
	return j.WithEvent(now, Placed, "")
}

// WithEvicts returns the job with the attempts that it evicts: those of the
// victims, which are stopping to make room for it.
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

// WithStart returns the job in state Running: from now on the members of its
// attempt may be started.
func (j Job) WithStart(now time.Time) Job {
	j.Started = true
	j.StartTime = now
	return j.WithEvent(now, Running, "")
}

// WithRequeue returns the job queued again, without the assignments and the
// other fields of the attempt. MayHaveRun keeps whether a member may have
// started.
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

// WithStop returns the job in state Stopping. The job goes on to state next once
// every member of the attempt has settled, which means that the member does not
// run and never will again.
func (j Job) WithStop(now time.Time, next State, reason string) Job {
	j.Next = next
	return j.WithEvent(now, Stopping, reason)
}

// WithResults returns the job in state Done with those results.
func (j Job) WithResults(now time.Time, results []Result) Job {
	j.Results = append([]Result{}, results...)
	return j.WithEvent(now, Done, "")
}

// NeverRan reports whether the job has ended and certainly no part of it ran.
func (j Job) NeverRan() bool {
	return j.State.Ended() && !j.Started && !j.MayHaveRun
}

// WithResolution returns the job in the state that an operator found it to be
// in, with the operator's findings.
func (j Job) WithResolution(s State, r Resolution) Job {
	j.Resolution = r
	j.Started = false
	j.MayHaveRun = r.Ran
	return j.WithEvent(r.Time, s, fmt.Sprintf("resolved by %s: %s", r.Operator, r.Note))
}

// Cells returns the cells that the assignments name, without duplicates, in the
// order of the assignments.
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

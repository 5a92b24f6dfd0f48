// Package sesametarget describes how an agent and the target beside it talk.
//
// A target runs tasks under a lease that its agent renews. The target measures
// the lease on its own clock, so an agent that was paused beyond its lease and
// wakes up can start nothing, and a task whose agent died stops by itself.
//
//	GET  /v1/target             Description
//	PUT  /v1/lease              Lease; 409 when another holder's lease lives
//	PUT  /v1/tasks/{id}         Task; 201, 200 when it exists already,
//	                            409 without a live lease of that holder
//	GET  /v1/tasks              []Status
//	GET  /v1/tasks/{id}/output  the output's bytes, once the task is done
//	POST /v1/tasks/{id}/stop    Stop; answers with the Status after it ended
//
// # Usage
//
//	client := sesametarget.NewClient(settings.Target, httpClient)
//	err := client.Start(ctx, task)
package sesametarget

import (
	"fmt"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// Description is what a target offers.
type Description struct {
	Kind     sesamemodel.Kind      `json:"kind"`
	Capacity sesamemodel.Resources `json:"capacity"`
	// Incarnation is unique to one start of the target.
	Incarnation string `json:"incarnation"`
}

// TaskID names one task of one attempt as job/attempt/rank, with the slashes
// written as colons.
type TaskID string

// NewTaskID returns the name of a task.
func NewTaskID(job sesamemodel.JobID, attempt uint32, rank int) TaskID {
	return TaskID(fmt.Sprintf("%s:%d:%d", job, attempt, rank))
}

// Lease extends what a holder may run.
type Lease struct {
	// Holder is the agent's incarnation.
	Holder string `json:"holder"`
	// RemainingMs is in milliseconds from the receipt of the call.
	RemainingMs int64 `json:"remaining"`
	// TaskRemainingMs with a lease of their own, such as members of a gang; in
	// milliseconds from the receipt. Other tasks follow Remaining.
	TaskRemainingMs map[TaskID]int64 `json:"tasks,omitempty"`
}

// Task is one task to start.
type Task struct {
	ID     TaskID `json:"id"`
	Holder string `json:"holder"`
	// Rank and Tasks are the position in the gang and its size.
	Rank       int `json:"rank"`
	TotalTasks int `json:"tasks"`
	// Need is what this task takes.
	Need            sesamemodel.Resources `json:"need"`
	AcceleratorMask uint64                `json:"accelerators,omitempty"`
	// OutlivesLease lets the task run on when the lease ends, for work that must not
	// be repeated and is no member of a gang.
	OutlivesLease bool `json:"keep,omitempty"`
	// Payload is the caller's input.
	Payload []byte `json:"payload,omitempty"`
	// Checkpoint names the object with the state of an earlier attempt.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Phase is how far a task has come.
type Phase string

// The phases.
const (
	PhaseRunning Phase = "running"
	PhaseDone    Phase = "done"
	PhaseFailed  Phase = "failed"
	PhaseStopped Phase = "stopped"
)

// Status is what a target knows of a task.
type Status struct {
	ID     TaskID `json:"id"`
	Phase  Phase  `json:"phase"`
	Detail string `json:"detail,omitempty"`
	// OutlivesLease repeats the task's own, so that a new agent can tell the tasks that
	// outlive a lease.
	OutlivesLease bool `json:"keep,omitempty"`
	// AcceleratorMask repeats the task's own.
	AcceleratorMask uint64 `json:"accelerators,omitempty"`
	// PeakUsage is the most that the task has used so far.
	PeakUsage sesamemodel.Resources `json:"used"`
}

// StopRequest ends a task.
type StopRequest struct {
	// GraceMs is the time for a checkpoint, in milliseconds.
	GraceMs int64 `json:"grace"`
}

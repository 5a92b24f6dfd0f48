// Package sesametarget defines the HTTP interface between an agent and the
// target beside it, and has the client for it.
//
// A target runs tasks under a lease that its agent renews. The target measures
// the lease on its own clock. So an agent that was paused for longer than its
// lease can start nothing when it continues, and a task whose agent died is
// stopped when the lease ends.
//
//	GET  /v1/target             Description
//	PUT  /v1/lease              Lease; 409 while another holder's lease is valid
//	PUT  /v1/tasks/{id}         Task; 201, 200 when it exists already,
//	                            409 unless that holder has a valid lease
//	GET  /v1/tasks              []Status
//	GET  /v1/tasks/{id}/output  the output's bytes, once the task is done
//	POST /v1/tasks/{id}/stop    StopRequest; answers with the Status once the
//	                            task has ended
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

// Description is the answer to Describe: what the target is and offers.
type Description struct {
	// Kind says whether the target is a worker or an executor.
	Kind sesamemodel.Kind `json:"kind"`
	// Capacity is what the target offers to all tasks together.
	Capacity sesamemodel.Resources `json:"capacity"`
	// Incarnation is unique to one start of the target.
	Incarnation string `json:"incarnation"`
}

// TaskID identifies one task of one attempt. It has the form job:attempt:rank,
// with colons so that it is one segment of a path.
type TaskID string

// NewTaskID returns the identifier of the task with that rank.
func NewTaskID(job sesamemodel.JobID, attempt uint32, rank int) TaskID {
	return TaskID(fmt.Sprintf("%s:%d:%d", job, attempt, rank))
}

// Lease extends the time for which the holder's tasks may run.
type Lease struct {
	// Holder identifies the process of the agent that holds the lease.
	Holder string `json:"holder"`
	// RemainingMs is the time until the lease ends, in milliseconds from the
	// receipt of the call.
	RemainingMs int64 `json:"remaining"`
	// TaskRemainingMs has the tasks with a lease of their own, such as members of
	// a gang, each in milliseconds from the receipt of the call. All other tasks
	// follow RemainingMs.
	TaskRemainingMs map[TaskID]int64 `json:"tasks,omitempty"`
}

// Task is the description of one task to start.
type Task struct {
	ID TaskID `json:"id"`
	// Holder must hold the target's lease.
	Holder string `json:"holder"`
	// Rank is the task's index among all tasks of the attempt, TotalTasks their
	// number.
	Rank       int `json:"rank"`
	TotalTasks int `json:"tasks"`
	// Need is the resources that this task takes.
	Need sesamemodel.Resources `json:"need"`
	// AcceleratorMask has a bit set for each accelerator that the task uses.
	AcceleratorMask uint64 `json:"accelerators,omitempty"`
	// OutlivesLease lets the task run on when the lease ends. It is set for work
	// that must not be repeated and is no member of a gang.
	OutlivesLease bool `json:"keep,omitempty"`
	// Payload is the task's input from the caller.
	Payload []byte `json:"payload,omitempty"`
	// Checkpoint is the key of the object with the state that an earlier attempt
	// saved.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Phase is the state of a task.
type Phase string

// The phases of a task; all but the first are final.
const (
	// PhaseRunning means that the task has started and not ended.
	PhaseRunning Phase = "running"
	// PhaseDone means that the task succeeded and its output can be read.
	PhaseDone Phase = "done"
	// PhaseFailed means that the task ended with an error.
	PhaseFailed Phase = "failed"
	// PhaseStopped means that the task was stopped, by a call or the end of its
	// lease.
	PhaseStopped Phase = "stopped"
)

// Status is the state of one task on a target.
type Status struct {
	ID    TaskID `json:"id"`
	Phase Phase  `json:"phase"`
	// Detail explains a failure or a stop.
	Detail string `json:"detail,omitempty"`
	// OutlivesLease is copied from the Task. It tells a new agent which tasks of
	// the former one to adopt.
	OutlivesLease bool `json:"keep,omitempty"`
	// AcceleratorMask is copied from the Task.
	AcceleratorMask uint64 `json:"accelerators,omitempty"`
	// PeakUsage is the highest use of each resource so far.
	PeakUsage sesamemodel.Resources `json:"used"`
}

// StopRequest is the body of a call that stops a task.
type StopRequest struct {
	// GraceMs is the time that the task has to write a checkpoint, in
	// milliseconds.
	GraceMs int64 `json:"grace"`
}

// Package sesamemodel defines the immutable values that the other packages of
// sesamestack exchange: contracts, jobs, targets, cells and their parts.
//
// An entry is a process that serves callers and plans. An agent runs next to
// each target and starts tasks there under leases, which end unless they are
// renewed. A job's tasks are placed together; an attempt is one placement of a
// job. Work is owed when it is placed within the team's guarantee, and borrowed
// otherwise.
//
// The package does no input or output and reads no clock. A value is never
// changed after it has been built: methods whose names start with With return
// a changed copy, and slices are copied before they are changed.
//
// # Usage
//
//	job := sesamemodel.Job{
//		ID:    id,
//		Spec:  spec,
//		State: sesamemodel.Queued,
//	}
//	placed := job.WithPlacement(now, assignments, owed)
//
// All values encode to JSON, the form in which the store's table keeps them.
package sesamemodel

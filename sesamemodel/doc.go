// Package sesamemodel holds the immutable values that every other package of
// sesamestack exchanges: contracts, jobs, targets, cells and their parts.
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
//	placed := job.WithPlacement(1, assignments)
//
// All values encode to JSON, the form in which they are kept in the table.
package sesamemodel

package sesameentry

import (
	"fmt"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// ListenError means that the entry cannot listen on an address of its
// settings.
type ListenError struct {
	// Address is host:port.
	Address string
	Cause   error
}

// Error returns a message with the address and the cause.
func (e *ListenError) Error() string {
	return fmt.Sprintf("cannot listen on %q: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error {
	return e.Cause
}

// UncheckedRefusalError stops a transaction that would refuse a job as
// impossible to place. The planner's rows may be stale and lack a target that
// could run the job, so the planner decides again on fresh rows.
type UncheckedRefusalError struct {
	Job sesamemodel.JobID
}

// Error returns a message with the job.
func (e *UncheckedRefusalError) Error() string {
	return fmt.Sprintf("refusal of job %q has to be checked on fresh rows", e.Job)
}

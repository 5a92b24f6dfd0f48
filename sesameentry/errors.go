package sesameentry

import (
	"fmt"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// ListenError says that an address cannot be served.
type ListenError struct {
	Address string
	Cause   error
}

// Error names the address and the cause.
func (e *ListenError) Error() string {
	return fmt.Sprintf("cannot listen on %q: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error {
	return e.Cause
}

// UncheckedRefusalError says that a job would be refused on rows that may be
// older than the targets which could run it.
type UncheckedRefusalError struct {
	Job sesamemodel.JobID
}

// Error names the job.
func (e *UncheckedRefusalError) Error() string {
	return fmt.Sprintf("refusal of job %q has to be checked on fresh rows", e.Job)
}

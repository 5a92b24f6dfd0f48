package sesameentry

import (
	"fmt"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// NotReadyError says that the entry lacks something to work with.
type NotReadyError struct {
	Missing string
}

// Error names what is missing.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("entry is not ready: %s were not read yet", e.Missing)
}

// UnsettledError says that members of a stopping attempt have not confirmed.
type UnsettledError struct {
	Job     sesamemodel.JobID
	Attempt uint32
}

// Error names the attempt.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("attempt %d of job %q has members that did not confirm their stop", e.Attempt, e.Job)
}

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

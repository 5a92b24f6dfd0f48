package sesameattempt

import (
	"fmt"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// UnsettledError says that members of a stopping attempt have not confirmed.
type UnsettledError struct {
	Job     sesamemodel.JobID
	Attempt uint32
}

// Error names the attempt.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("attempt %d of job %q has members that did not confirm their stop", e.Attempt, e.Job)
}

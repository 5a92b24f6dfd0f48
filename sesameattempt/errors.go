package sesameattempt

import (
	"fmt"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// UnsettledError says that a stopping attempt has a member that neither
// confirmed its stop nor was lost with its target. The driver repeats the stop
// after a back-off.
type UnsettledError struct {
	Job     sesamemodel.JobID
	Attempt uint32
}

// Error names the attempt and its job.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("attempt %d of job %q has members that did not confirm their stop", e.Attempt, e.Job)
}

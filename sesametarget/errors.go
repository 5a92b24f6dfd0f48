package sesametarget

import (
	"fmt"
	"time"
)

// LeaseError says that the target refused a call because the holder has no
// valid lease, or because another holder's lease is valid.
type LeaseError struct {
	// Holder is the agent process that called, as in Lease.Holder.
	Holder string
	// Detail is the target's explanation.
	Detail string
}

// Error names the holder and the reason.
func (e *LeaseError) Error() string {
	return fmt.Sprintf("holder %q has no valid lease: %s", e.Holder, e.Detail)
}

// BusyError says that the target has no free resources for a task, or does not
// accept calls at present. The call had no effect.
type BusyError struct {
	Task TaskID
	// RetryAfter is the delay after which a retry may succeed; 0 means unknown.
	RetryAfter time.Duration
	// Detail is the target's explanation.
	Detail string
}

// Error names the task and the reason.
func (e *BusyError) Error() string {
	return fmt.Sprintf("target is busy, call for task %q refused: %s", e.Task, e.Detail)
}

// NotFoundError says that the target does not know the task.
type NotFoundError struct {
	Task TaskID
}

// Error names the task.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("target does not know task %q", e.Task)
}

// NotDoneError says that a task has no output, since it still runs or ended as
// failed or stopped.
type NotDoneError struct {
	Task TaskID
	// Detail is the target's explanation.
	Detail string
}

// Error names the task and the reason.
func (e *NotDoneError) Error() string {
	return fmt.Sprintf("task %q has no output: %s", e.Task, e.Detail)
}

// OutputTooLargeError says that a task's output has more than MaxOutputBytes. A
// repeated call fails in the same way.
type OutputTooLargeError struct {
	Task TaskID
}

// Error names the task and the limit.
func (e *OutputTooLargeError) Error() string {
	return fmt.Sprintf("output of task %q has more than %d bytes", e.Task, MaxOutputBytes)
}

// RefusedError says that the target refused a call for a reason that no other
// error type of this package names.
type RefusedError struct {
	// Operation is the call, such as "start".
	Operation string
	// Status is the HTTP status code.
	Status int
	// Detail is the target's explanation.
	Detail string
}

// Error names the operation, the status and the target's explanation.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("target refused %s with status %d: %s", e.Operation, e.Status, e.Detail)
}

// UnreachableError says that no complete response arrived. The call may have
// taken effect; every call can be repeated unchanged, since all are idempotent.
type UnreachableError struct {
	// Operation is the call, such as "start".
	Operation string
	Cause     error
}

// Error names the operation and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("target did not answer %s: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error {
	return e.Cause
}

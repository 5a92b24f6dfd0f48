package sesametarget

import (
	"fmt"
	"time"
)

// LeaseError says that the target refused a call for want of a live lease of
// that holder, or because another holder's lease lives.
type LeaseError struct {
	Holder string
	Detail string
}

// Error names the holder and the reason.
func (e *LeaseError) Error() string {
	return fmt.Sprintf("holder %q has no lease: %s", e.Holder, e.Detail)
}

// BusyError says that the target has no room for a task or for a call, which
// had no effect.
type BusyError struct {
	Task TaskID
	// RetryAfter is when a further try makes sense; 0 means not known.
	RetryAfter time.Duration
	Detail     string
}

// Error names the task and what is missing.
func (e *BusyError) Error() string {
	return fmt.Sprintf("target has no room for task %q: %s", e.Task, e.Detail)
}

// NotFoundError says that the target knows no such task.
type NotFoundError struct {
	Task TaskID
}

// Error names the task.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("target knows no task %q", e.Task)
}

// NotDoneError says that a task has no output, since it runs or did not end
// as done.
type NotDoneError struct {
	Task   TaskID
	Detail string
}

// Error names the task and its phase.
func (e *NotDoneError) Error() string {
	return fmt.Sprintf("task %q has no output: %s", e.Task, e.Detail)
}

// RefusedError is any other answer that the client did not expect.
type RefusedError struct {
	Operation string
	Status    int
	Detail    string
}

// Error names the operation, the status and the answer.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("target refused %s with status %d: %s", e.Operation, e.Status, e.Detail)
}

// UnreachableError says that no whole answer came. The call may have taken
// effect; each one may be repeated as it is.
type UnreachableError struct {
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

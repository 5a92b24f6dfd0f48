package sesameintake

import (
	"fmt"
	"time"

	"github.com/sesamestack/sesamestack/sesamecontention"
	"github.com/sesamestack/sesamestack/sesamerows"
)

// NotReadyError says that the process can't serve callers now.
type NotReadyError struct {
	Reason string
	// RetryAfter is how long the caller should wait before it tries again.
	RetryAfter time.Duration
}

// Error gives the reason.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("not ready: %s", e.Reason)
}

// OverloadedError says that a job was turned away before anything of it was written,
// since there is too little room for it.
type OverloadedError struct {
	// Verdict is why, and Wait the expected time until the job would have started.
	Verdict sesamecontention.Verdict
	Wait    time.Duration
	// RetryAfter is how long the caller should wait before it tries again, in whole
	// seconds.
	RetryAfter time.Duration
}

// Error gives the reason and the expected wait.
func (e *OverloadedError) Error() string {
	return fmt.Sprintf("too little room: job %s, expected wait is %s", e.Verdict, e.Wait)
}

// NoQueueError says that no queue takes requests for a path.
type NoQueueError struct {
	Host string
	Path string
}

// Error names the host and the path.
func (e *NoQueueError) Error() string {
	return fmt.Sprintf("no queue for %s%s", e.Host, e.Path)
}

// UnknownKeyError says that no team has the access key.
type UnknownKeyError struct{}

// Error leaves out the key, since it may be a valid one that was mistyped.
func (e *UnknownKeyError) Error() string {
	return "the access key belongs to no team"
}

// JobNotFoundError says that no job has the ID, or none that the caller may see.
type JobNotFoundError struct {
	ID string
}

// Error names the job.
func (e *JobNotFoundError) Error() string {
	return fmt.Sprintf("job %q does not exist", e.ID)
}

// JobConflictError says that another job was accepted under the ID: a submission
// is idempotent only with the same body.
type JobConflictError struct {
	ID string
}

// Error names the job.
func (e *JobConflictError) Error() string {
	return fmt.Sprintf("job %q was accepted with another body", e.ID)
}

// policyChangedError says that a submission was not accepted because the policy
// that admitted it is no longer the newest.
type policyChangedError struct{}

// Error says that a newer policy came into force.
func (e *policyChangedError) Error() string {
	return "a newer policy came into force"
}

// UnreadablePolicyError says that the newest policy can't be read. The one
// before it stays in force.
type UnreadablePolicyError struct {
	// Guard is a condition of transactions that holds while the unreadable
	// policy is the newest.
	Guard sesamerows.Expect
	// Cause is why the policy can't be read.
	Cause error
}

// Error names the row and the cause.
func (e *UnreadablePolicyError) Error() string {
	return fmt.Sprintf("policy in row %s can't be read: %v", e.Guard.Key, e.Cause)
}

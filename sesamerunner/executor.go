// Package sesamerunner runs tasks on the targets beside an agent (a target is a
// process that executes tasks). It reads the runs that the planner has written
// to the store, orders each target to start and stop them, keeps the targets'
// leases alive and records in the store how runs end. A run is one start of a
// unit, which is a task or a gang of tasks started together; this package
// starts and stops it task by task.
//
// A target runs tasks under a lease that is measured on its own clock. The
// runner extends the lease to at most sesamework.LeaseAfterReport after the
// last report that the store confirmed, so a planner that has had no report for
// longer (sesamework.TargetLostTimeout) may start the work elsewhere.
//
// # Usage
//
//	runner := sesamerunner.New(sesamerunner.Options{
//		Store: store,
//		Dial:  dial,
//	})
//	group.Go(func() error {
//		return runner.Run(ctx)
//	})
//	accepted := runner.Report(report)
package sesamerunner

import (
	"context"
	"fmt"
	"time"

	"github.com/sesamestack/sesamestack/sesamework"
)

// Order tells a target to start or to stop a run.
type Order struct {
	// Task and Run name the task and the number of the run.
	Task sesamework.TaskID
	Run  int
	// AgentEpoch is the number of the agent that gives the order. It grows with
	// each agent that takes over the target, and the target refuses orders with a
	// lower one (fencing).
	AgentEpoch int64
	// Specification (what the task executes) and Checkpoint (the saved state it
	// resumes from, empty for none) are set for a start only.
	Specification string
	Checkpoint    string
	// LeaseEnd is when the run's lease ends, on the target's clock. Only a start
	// has one.
	LeaseEnd time.Duration
}

// LeaseRenewal extends the lease of all runs of a target and asks for their
// state.
type LeaseRenewal struct {
	// AgentEpoch is the epoch of the calling agent; see Order.
	AgentEpoch int64
	// LeaseEnd is when the lease ends, on the target's clock; 0 leaves the lease
	// as it is.
	LeaseEnd time.Duration
	// LastRecorded acknowledges ended runs: all ends with an EndedRun.Number up
	// to it are recorded in the store, so the target need not list them again. 0
	// acknowledges none.
	LastRecorded int64
	// MaxWait is how long the target may delay its answer until a run ends (a
	// long poll).
	MaxWait time.Duration
}

// Listing is a target's answer to a lease renewal: the state of its runs.
type Listing struct {
	// Clock is the target's own clock.
	Clock time.Duration
	// Life is when the target started, in Unix milliseconds, which identifies one
	// start of it; 0 if the target did not say.
	Life int64
	// Running are the runs that have started and not ended.
	Running []sesamework.Progress
	// Ended are the runs whose end the target doesn't know to be recorded; see
	// LeaseRenewal.LastRecorded.
	Ended []EndedRun
	// More says that Ended may lack ends with higher numbers, which are listed
	// once these are acknowledged.
	More bool
}

// EndedRun is one task of a run that has ended on the target and whose end was
// not recorded when the target was asked.
type EndedRun struct {
	// Number counts the ends of one life of the target, from 1.
	Number int64
	// Task is the string form of the sesamework.TaskID, and Run the number of
	// the run.
	Task    string
	Run     int
	Outcome sesamework.Outcome
	// Checkpoint is the last saved state, empty for none.
	Checkpoint string
}

// Executor sends calls to one life of a target, that is, to the process between
// one start and the next. Start and Stop return the target's clock. After an
// error other than those of this package, the call may have been carried out or
// may be later.
type Executor interface {
	// Start orders a run. The target carries it out at most once for each run. It
	// was not carried out when the error is a *RefusedError, *UnavailableError,
	// *OtherLifeError or *NotRunningError.
	Start(ctx context.Context, o Order) (time.Duration, error)
	// Stop ends a run, so that one which has not started never will. Errors are
	// as in Start.
	Stop(ctx context.Context, o Order) (time.Duration, error)
	// RenewLease extends the lease of all runs and returns their state. Errors
	// are as in Start.
	RenewLease(ctx context.Context, r LeaseRenewal) (Listing, error)
	// Close closes the connections to the target.
	Close()
}

// Refusal is the reason for which a target refuses an order.
type Refusal string

// The reasons of refusals.
const (
	// RefusedSuperseded means that an agent with a higher epoch has called.
	RefusedSuperseded Refusal = "holder"
	// RefusedStaleRun means that this run of the task, or a later one, was
	// stopped or has ended.
	RefusedStaleRun Refusal = "old"
	// RefusedLeaseOver means that the lease ended before the order arrived.
	RefusedLeaseOver Refusal = "late"
	// RefusedNoCapacity means that the target has no room for the run.
	RefusedNoCapacity Refusal = "room"
	// RefusedInvalid means that the target can't read the order.
	RefusedInvalid Refusal = "invalid"
)

// RefusedError says that a call to a target was refused and not carried out.
type RefusedError struct {
	Reason Refusal
	// Clock is the target's clock, 0 if the target did not say.
	Clock time.Duration
}

// Error names the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("target refused the order: %s", e.Reason)
}

// UnavailableError says that a target did not carry out a call because it is
// overloaded or not ready.
type UnavailableError struct {
	// Status is the HTTP status of the answer.
	Status int
}

// Error names the status.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("target did not carry out the call: HTTP status %d", e.Status)
}

// OtherLifeError says that the target has been started anew: another life of it
// received the call, and the runs of the old one are gone.
type OtherLifeError struct{}

// Error says that the target was restarted.
func (e *OtherLifeError) Error() string {
	return "target was restarted: another life of it answered"
}

// NotRunningError says that a call was not carried out because no process
// accepts connections at the target's address.
type NotRunningError struct {
	// Cause is the error of the connection.
	Cause error
}

// Error names the cause.
func (e *NotRunningError) Error() string {
	return fmt.Sprintf("target is not running: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NotRunningError) Unwrap() error {
	return e.Cause
}

// Report is what a target tells the agent about itself.
type Report struct {
	// ID names the target among those of its node.
	ID string
	// Service names the kind of the target; see sesamework.Target.
	Service string
	// Address is where the target takes calls (host:port).
	Address string
	// Rack is the target's rack, and Labels are what tasks can ask a target to
	// have.
	Rack   string
	Labels []string
	// Capacity is what the target offers to runs.
	Capacity sesamework.Resources
	// Draining says that the target is leaving and must get no new runs.
	Draining bool
	// MinRemaining is the least time that a draining target goes on running, from
	// the moment of the report.
	MinRemaining time.Duration
	// ColdRemaining is how much longer the target should get no runs after it was
	// out of use, from the moment of the report.
	ColdRemaining time.Duration
	// Life is when the target started, in Unix milliseconds.
	Life int64
	// Sequence grows with each report of one life.
	Sequence int64
}

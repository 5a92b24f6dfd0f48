// Package sesamerunner runs tasks on the target beside it. It takes the runs
// that the planner has written to the store, orders them from the target,
// keeps the target's lease alive and records how runs end.
//
// A target runs under a lease on its own clock. The runner lets nothing run
// longer than sesamework.LeaseAfterReport after its last confirmed report, so
// a planner that has not heard of it for longer may start the work elsewhere.
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
//	err := runner.Report(ctx, report)
package sesamerunner

import (
	"context"
	"fmt"
	"time"

	"github.com/sesamestack/sesamestack/sesamework"
)

// Order starts or stops a run on a target.
type Order struct {
	Task sesamework.TaskID
	Run  int
	// AgentEpoch is the count of the agent that gives the order.
	AgentEpoch int64
	// Specification and Checkpoint are what a start needs.
	Specification string
	Checkpoint    string
	// LeaseEnd is the end of the lease on the target's clock.
	LeaseEnd time.Duration
}

// LeaseRenewal extends the lease of all runs of a target and asks for their state.
type LeaseRenewal struct {
	AgentEpoch int64
	// LeaseEnd is the end of the lease on the target's clock; 0 extends nothing.
	LeaseEnd time.Duration
	// LastRecorded is the number of the last end that was recorded.
	LastRecorded int64
	// MaxWait is how long the target may wait for an end.
	MaxWait time.Duration
}

// Listing is the state of a target's runs.
type Listing struct {
	// Clock is the target's own.
	Clock time.Duration
	// Life is when the target started, in Unix milliseconds; 0 if not said.
	Life    int64
	Running []sesamework.Progress
	Ended   []EndedRun
}

// EndedRun is a run that has ended and whose end was not yet recorded.
type EndedRun struct {
	Number     int64
	Task       string
	Run        int
	Outcome    sesamework.Outcome
	Checkpoint string
}

// Executor takes orders for one life of a target. Start and Stop return the
// target's clock. A call that returns an error other than those of this
// package may have been carried out, or may be later.
type Executor interface {
	// Start is carried out once for each run. Errors are a *RefusedError,
	// *BusyError or *GoneError when it was not carried out.
	Start(ctx context.Context, o Order) (time.Duration, error)
	// Stop ends a run, and one that has not been started never will be.
	Stop(ctx context.Context, o Order) (time.Duration, error)
	RenewLease(ctx context.Context, h LeaseRenewal) (Listing, error)
	// Close drops the connections.
	Close()
}

// Refusal says why a target won't start a run.
type Refusal string

// The refusals.
const (
	// RefusedSuperseded means that a later agent has given orders.
	RefusedSuperseded Refusal = "holder"
	// RefusedStaleRun means that this run or a later one was stopped or ended.
	RefusedStaleRun Refusal = "old"
	// RefusedLeaseOver means that the lease ended before the order arrived.
	RefusedLeaseOver Refusal = "late"
	// RefusedNoCapacity means that there is no room.
	RefusedNoCapacity Refusal = "room"
	// RefusedInvalid means that the target can't read the order.
	RefusedInvalid Refusal = "invalid"
)

// RefusedError says that a target refused an order.
type RefusedError struct {
	Reason Refusal
	// Clock is the target's, 0 if not said.
	Clock time.Duration
}

// Error names the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("target refused: %s", e.Reason)
}

// UnavailableError says that a target did nothing because it is not well.
type UnavailableError struct {
	Status int
}

// Error names the status.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("target did nothing and answered %d", e.Status)
}

// OtherLifeError says that another life of the target answered.
type OtherLifeError struct{}

// Error says so.
func (e *OtherLifeError) Error() string {
	return "another life of the target answered"
}

// Report is what a target says of itself.
type Report struct {
	ID       string
	Service  string
	Address  string
	Rack     string
	Labels   []string
	Capacity sesamework.Resources
	Draining bool
	// MinRemaining is the least time that a draining target stays.
	MinRemaining time.Duration
	// Life is when the target started, in Unix milliseconds.
	Life int64
	// Sequence grows with each report of a life.
	Sequence int64
}

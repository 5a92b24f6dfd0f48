package sesamerunner

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// runKey identifies one task of a run. task is the string form of its
// sesamework.TaskID, and run the number of the run.
type runKey struct {
	task string
	run  int
}

// phase is how far a run has come on the target, as far as the session knows.
type phase int

// The phases, in the order in which a run goes through them.
const (
	// phaseNew means that this process has not ordered the run.
	phaseNew phase = iota
	// phaseOrdered means that a start was sent: the run may start or have
	// started.
	phaseOrdered
	// phaseRunning means that the target has listed the run as running.
	phaseRunning
	// phaseEnded means that the run's end is recorded or waits to be.
	phaseEnded
)

// runState is what the session knows about one task of a run.
type runState struct {
	phase phase
	// startedAt is when this process ordered the start, on the steady clock; 0 if
	// it has not.
	startedAt time.Duration
	// reservation is what the run takes from the target's capacity, as far as
	// this process knows.
	reservation sesamework.Resources
	// orderInFlight is true while a start or stop of the run is in flight.
	orderInFlight bool
	// stopRenewal is the number of the first renewal sent after a stop was
	// answered or a start refused as stale, 0 if neither was: only its answer
	// and later ones show whether the run is gone.
	stopRenewal int64
	// acceptRenewal is the number of the last renewal sent before the target
	// accepted a start, 0 if it has not. The start is repeated only if the
	// answer to a later renewal does not list the run.
	acceptRenewal int64
	// mayStart says that a start may have been carried out or may be later.
	mayStart bool
	// refusals counts the starts answered by an *UnavailableError.
	refusals int
	// failures counts the orders in a row that failed, up to
	// maxBackoffDoublings, and retryAt is the steady time from which the next
	// order may be sent.
	failures int
	retryAt  time.Duration
	// stopReason is why this agent stops the run, empty if it doesn't.
	stopReason string
	// checkpointDropped says that a checkpoint of the run was too long to be kept.
	checkpointDropped bool
}

// session serves one life of a target, that is, the target from one start to
// the next.
type session struct {
	*Runner
	// id is the target's ID, and key that of the target's row in the store.
	id  string
	key sesamerows.Key
	// executor sends calls to this life of the target.
	executor Executor
	// fence writes the target's row, and fails once another process has written
	// that row.
	fence *sesamerows.Fence
	// wakeOrders wakes the order loop and wakeReport the report loop; over is
	// closed when the session is over.
	wakeOrders chan struct{}
	wakeReport chan struct{}
	over       chan struct{}

	mu sync.Mutex
	// report is the newest report of the target, and reportedAt when that report
	// came.
	report     Report
	reportedAt time.Duration
	// capacityAt is when the target last reported its capacity to this process, 0
	// if it has not.
	capacityAt time.Duration
	// endReason is why the session is over, empty until then.
	endReason string
	// agentEpoch is this agent's epoch in the target's row. It is one higher
	// than that of the agent before, which the target refuses from then on.
	agentEpoch int64
	// heartbeat counts the reports written.
	heartbeat int64
	// confirmedAt is when the newest report was sent that the store confirmed.
	// Times are on the steady clock, except targetClock.
	confirmedAt time.Duration
	// answeredAt is when the target last answered a renewal, and leaseEnd when
	// everything has ended that runs under the leases granted so far.
	answeredAt time.Duration
	leaseEnd   time.Duration
	// targetClock is what the target's clock showed at targetClockAt.
	targetClock   time.Duration
	targetClockAt time.Duration
	// renewalsSent counts the renewals sent, and lastAnswered is the number of
	// the newest one answered with all ends, 0 if the target must answer before
	// runs start.
	renewalsSent int64
	lastAnswered int64
	// runStates are the runs that the planner has ordered or the target listed.
	runStates map[runKey]*runState
	// wanted are the runs that the planner has ordered here, as last read.
	wanted map[runKey]bool
	// running are the runs in the target's last listing.
	running map[runKey]sesamework.Progress
	// nextReported is the task with which the next report begins to list what is
	// running; empty for the first one.
	nextReported string
	// pendingEnds are the ends to be recorded, by the key of their row.
	pendingEnds map[sesamerows.Key]pendingEnd
	// lastRecorded is the highest number of a recorded end, and lastAcknowledged
	// the number in the newest renewal.
	lastRecorded     int64
	lastAcknowledged int64
	// isGivenUp is true from when the planner was found to have given up the
	// target until the target's row is acquired again. givenUpVersion is the
	// version of the row that said so; runs with a lower one are not started.
	isGivenUp      bool
	givenUpVersion sesamerows.Version
	// refusingUntil is until when reports say that the target refuses runs.
	refusingUntil time.Duration
	// storeLost is true while reports are not confirmed, and reportsLeast after the
	// store has refused one as such.
	storeLost    bool
	reportsLeast bool
	// brokenAt is when renewals began to fail, 0 while they are answered.
	brokenAt time.Duration
	// crash tells of a crash of this life of the target, or of an earlier one;
	// nil without one.
	crash *sesamework.Crash
}

// pendingEnd is the end of one task of a run that is not yet in the store.
type pendingEnd struct {
	key runKey
	// row is the key of the end's row.
	row sesamerows.Key
	// number is EndedRun.Number, 0 for a run that never started.
	number int64
	// value is what the end's row will hold.
	value sesamework.End
}

// newSession returns a session with the target that sent the report; run begins
// it. capacityAt is 0 if the report holds what an earlier process knew. crash
// tells of the crash that an earlier session noted, if any.
func newSession(r *Runner, report Report, capacityAt time.Duration, crash *sesamework.Crash) *session {
	key := sesamework.TargetKey(r.o.Zone, r.o.Node, report.ID)
	return &session{
		Runner:     r,
		id:         report.ID,
		key:        key,
		executor:   r.o.Dial(report.Address, report.ID, report.Life),
		fence:      sesamerows.NewFence(r.o.Store, key),
		wakeOrders: make(chan struct{}, 1),
		wakeReport: make(chan struct{}, 1),
		over:       make(chan struct{}),
		report:     report,
		reportedAt: r.o.Clock.Steady(),
		capacityAt: capacityAt,
		answeredAt: r.o.Clock.Steady(),
		// An earlier process may have extended the lease just now.
		leaseEnd:    r.o.Clock.Steady() + sesamework.LapseTimeout(r.o.MaxLease),
		runStates:   map[runKey]*runState{},
		running:     map[runKey]sesamework.Progress{},
		pendingEnds: map[sesamerows.Key]pendingEnd{},
		crash:       crash,
	}
}

// signal wakes the loop that waits on c. If the loop is busy it runs once more.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// life returns when the target started, in Unix milliseconds, which identifies
// this life.
func (s *session) life() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report.Life
}

// isStale reports whether a report is older than the newest one held: of an
// earlier life, or of the same life with a lower sequence number.
func (s *session) isStale(r Report) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Life != s.report.Life {
		return r.Life < s.report.Life
	}
	return r.Sequence < s.report.Sequence
}

// update stores a report from the same life of the target, not older than the
// one held. If the target began or ceased to drain, or its capacity changed, it
// wakes the loops that write reports and give orders.
func (s *session) update(r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.report
	wasKnown := s.isCapacityKnown()
	s.report = r
	s.reportedAt = s.o.Clock.Steady()
	s.capacityAt = s.reportedAt
	if !wasKnown {
		signal(s.wakeReport)
		signal(s.wakeOrders)
	}
	if old.Capacity != r.Capacity {
		s.o.Log.Emit(eventCapacity, sesamelog.Fields{
			"target":   s.id,
			"from":     old.Capacity,
			"to":       r.Capacity,
			"sequence": r.Sequence,
		})
		signal(s.wakeReport)
		signal(s.wakeOrders)
	}
	if old.Draining != r.Draining {
		s.o.Log.Emit(eventDraining, sesamelog.Fields{
			"target":   s.id,
			"draining": r.Draining,
			"leaves":   r.MinRemaining.Milliseconds(),
			"sequence": r.Sequence,
		})
		signal(s.wakeReport)
		signal(s.wakeOrders)
	}
}

// finish ends the session with a reason: the target no longer runs anything, or
// another process serves it. The first reason stays.
func (s *session) finish(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finishLocked(reason)
}

// finishLocked does what finish does. The caller holds the lock.
func (s *session) finishLocked(reason string) {
	if s.endReason != "" {
		return
	}
	s.endReason = reason
	close(s.over)
	signal(s.wakeReport)
}

// run serves the target until the session is over or ctx ends. It returns nil:
// failures are retried or end the session.
func (s *session) run(ctx context.Context) error {
	defer s.executor.Close()
	if !s.acquire(ctx) {
		s.dropSession(s)
		return nil
	}
	serving, cancel := context.WithCancel(ctx)
	defer cancel()
	group, serving := errgroup.WithContext(serving)
	group.Go(func() error {
		s.renewLoop(serving)
		return nil
	})
	group.Go(func() error {
		s.orderLoop(serving)
		return nil
	})
	group.Go(func() error {
		defer cancel()
		s.reportLoop(ctx)
		return nil
	})
	err := group.Wait()
	s.o.Log.Emit(eventSessionEnd, sesamelog.Fields{
		"target": s.id,
		"life":   s.life(),
		"reason": s.reason(),
	})
	s.dropSession(s)
	return err
}

// reason returns why the session is over, for the log: the reason given to
// finish, or "process stops" if finish was not called.
func (s *session) reason() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endReason == "" {
		return "process stops"
	}
	return s.endReason
}

// isOver reports whether finish was called.
func (s *session) isOver() bool {
	select {
	case <-s.over:
		return true
	default:
		return false
	}
}

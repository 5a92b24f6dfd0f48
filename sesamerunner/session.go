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

// runKey names a run of a task.
type runKey struct {
	task string
	run  int
}

// phase is how far a run has come on the target, as the session knows.
type phase int

const (
	// phaseNew runs have not been ordered by this process.
	phaseNew phase = iota
	// phaseOrdered runs may start, or have started.
	phaseOrdered
	// phaseRunning runs were listed by the target.
	phaseRunning
	// phaseEnded runs have an end that is recorded or about to be.
	phaseEnded
)

// runState is what the session knows of a run.
type runState struct {
	phase phase
	// orderInFlight is true while an order for the run is under way.
	orderInFlight bool
	// stopRenewal is the number of the first hold that was sent after a stop was
	// answered; 0 before.
	stopRenewal int64
	// acceptRenewal is the same for a start.
	acceptRenewal int64
	refusals      int
	// failures counts the orders in a row that failed, and retryAt is when
	// the next one may go out.
	failures int
	retryAt  time.Duration
	// stopReason says why the run is given back; empty while it isn't.
	stopReason string
}

// session serves one life of a target.
type session struct {
	*Runner
	id       string
	key      sesamerows.Key
	executor Executor
	fence    *sesamerows.Fence
	// wakeOrders makes the order loop look, and record the report loop write.
	wakeOrders chan struct{}
	wakeReport chan struct{}
	over       chan struct{}

	mu         sync.Mutex
	report     Report
	reportedAt time.Duration
	endReason  string
	agentEpoch int64
	heartbeat  int64
	// confirmedAt is when the last report was sent that the store confirmedAt.
	confirmedAt time.Duration
	// answeredAt is when the target last answeredAt a hold, and leased until when
	// what it runs may go on by what it was last told.
	answeredAt time.Duration
	leaseEnd   time.Duration
	// targetClock is the target's at the time clockAt.
	targetClock   time.Duration
	targetClockAt time.Duration
	// renewalsSent counts the renewalsSent sent, and observed is the newest one answered.
	renewalsSent  int64
	lastAnswered  int64
	runStates     map[runKey]*runState
	running       map[runKey]sesamework.Progress
	pendingEnds   map[sesamerows.Key]pendingEnd
	lastRecorded  int64
	refusingUntil time.Duration
	// storeLost is true while reports are not confirmed.
	storeLost bool
}

// pendingEnd is an pendingEnd that has to be recorded.
type pendingEnd struct {
	key runKey
	// row is the key of the end's row.
	row sesamerows.Key
	// number is the target's, 0 for a run that never was there.
	number int64
	value  sesamework.End
}

func newSession(r *Runner, report Report) *session {
	key := sesamework.TargetKey(r.o.Zone, r.o.Node, report.ID)
	return &session{
		Runner:     r,
		id:         report.ID,
		key:        key,
		executor:   r.o.Dial(report.Address, report.ID),
		fence:      sesamerows.NewFence(r.o.Store, key),
		wakeOrders: make(chan struct{}, 1),
		wakeReport: make(chan struct{}, 1),
		over:       make(chan struct{}),
		report:     report,
		reportedAt: r.o.Clock.Steady(),
		answeredAt: r.o.Clock.Steady(),
		// An earlier process may have extended the lease just now.
		leaseEnd:    r.o.Clock.Steady() + sesamework.LapseTimeout(r.o.MaxLease),
		runStates:   map[runKey]*runState{},
		running:     map[runKey]sesamework.Progress{},
		pendingEnds: map[sesamerows.Key]pendingEnd{},
	}
}

// signal wakes a loop that waits, or lets it go on once more.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (s *session) life() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report.Life
}

// isStale reports whether a report is older than what is known of the target.
func (s *session) isStale(r Report) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Life != s.report.Life {
		return r.Life < s.report.Life
	}
	return r.Sequence < s.report.Sequence
}

func (s *session) update(r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.report.Draining != r.Draining
	s.report = r
	s.reportedAt = s.o.Clock.Steady()
	if changed {
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

// finish finishes the session: the target runs nothing any more, or another
// process serves it.
func (s *session) finish(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finishLocked(reason)
}

// finishLocked is end for callers that hold the lock.
func (s *session) finishLocked(reason string) {
	if s.endReason != "" {
		return
	}
	s.endReason = reason
	close(s.over)
	signal(s.wakeReport)
}

// run serves the target until its life is over or ctx ends.
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

func (s *session) reason() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endReason == "" {
		return "process stops"
	}
	return s.endReason
}

func (s *session) isOver() bool {
	select {
	case <-s.over:
		return true
	default:
		return false
	}
}

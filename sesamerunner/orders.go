package sesamerunner

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamework"
)

// Bounds, intervals and back-off of orders to one target.
const (
	// maxConcurrentOrders bounds the start and stop calls in flight to one
	// target.
	maxConcurrentOrders = 16
	// orderCheckInterval is how often the order loop checks for calls to make
	// when nothing wakes it, such as orders whose back-off has passed.
	orderCheckInterval = 200 * time.Millisecond
	// maxRefusals is how often a target that is overloaded or not ready may
	// refuse a run before the run is stopped, so that the planner places it
	// again.
	maxRefusals = 3
	// refusingTime is how long the target's row says that the target refuses
	// runs, after it has refused one run maxRefusals times.
	refusingTime = 3 * time.Second
	// minOrderBackoff is the pause after a failed order. It doubles with each
	// failure in a row up to maxOrderBackoff, which is short enough for the
	// other members of a gang (tasks that start together) to wait for.
	minOrderBackoff = 50 * time.Millisecond
	maxOrderBackoff = 500 * time.Millisecond
	// maxBackoffDoublings bounds the exponent, so that the shift can't overflow.
	maxBackoffDoublings = 8
	// maxRunStates is how many run states the session keeps before it drops
	// those of ended runs that the planner no longer lists.
	maxRunStates = 4096
)

// orderLoop starts and stops runs on the target as the planner has written
// them, until the session is over.
func (s *session) orderLoop(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentOrders)
	for ctx.Err() == nil && !s.isOver() {
		all, changed, fresh := s.runs.wantedBy(s.key.Name, s.life())
		for _, call := range s.pendingCalls(all, fresh) {
			group.Go(func() error {
				call(ctx)
				signal(s.wakeOrders)
				return nil
			})
		}
		s.awaitWork(ctx, changed)
	}
	if err := group.Wait(); err != nil {
		s.o.Log.Emit(eventStartFail, sesamelog.Fields{
			"error": err,
		})
	}
}

// awaitWork waits until the wanted runs change, the session's state changes, or
// orderCheckInterval has passed.
func (s *session) awaitWork(ctx context.Context, changed <-chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, orderCheckInterval)
	defer cancel()
	select {
	case <-changed:
	case <-s.wakeOrders:
	case <-s.over:
	case <-ctx.Done():
	}
}

// pendingCalls returns the start and stop calls to make now, at most one for
// each run. all are the runs that the planner wants on this life of the target;
// fresh says that they were confirmed recently enough to start runs and to stop
// unwanted ones.
func (s *session) pendingCalls(all []wantedRun, fresh bool) []func(context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var calls []func(context.Context)
	s.wanted = make(map[runKey]bool, len(all))
	for _, w := range all {
		s.wanted[w.key()] = true
		s.stateOf(w.key()).reservation = w.reservation
	}
	for _, w := range all {
		if call := s.callFor(w, w.key(), fresh); call != nil {
			calls = append(calls, call)
		}
	}
	if fresh {
		calls = append(calls, s.stopUnwanted()...)
	}
	return calls
}

// callFor returns the start or stop call that a wanted run needs now. It returns
// nil if none is needed, while an earlier call is in flight, during back-off, and
// while the answer to a lease renewal must come first. fresh says that the
// planner's orders were confirmed recently enough to start the run. On a target
// that drains, or has not reported its capacity for long, no run is started, nor one
// that checkStart forbids; see giveUpStart. The caller holds the lock.
func (s *session) callFor(w wantedRun, key runKey, fresh bool) func(context.Context) {
	k := s.stateOf(key)
	if k.orderInFlight || k.phase == phaseEnded || s.o.Clock.Steady() < k.retryAt {
		return nil
	}
	if s.isOrderGivenUp(w) {
		k.stopReason = cmp.Or(k.stopReason, givenUp)
	}
	if reason := cmp.Or(w.stopReason, k.stopReason); reason != "" {
		return s.stopCall(w.task, key, k, reason)
	}
	if !fresh || k.stopRenewal > 0 || k.phase == phaseRunning || s.lastAnswered <= k.acceptRenewal {
		// The view is too old, the target has not answered a renewal yet, or
		// the run was accepted, stopped or listed as running before: then the
		// answer to a later renewal shows whether it runs or has ended.
		return nil
	}
	if s.report.Draining {
		s.giveUpStart(key, "target is leaving")
		return nil
	}
	var forbidden *StartForbiddenError
	if errors.As(s.runs.checkStart(w), &forbidden) {
		s.forbidStart(key, forbidden)
		return nil
	}
	if !s.isCapacityKnown() {
		if s.missedReports(2) {
			s.giveUpStart(key, "target does not report")
		}
		return nil
	}
	k.orderInFlight = true
	return func(ctx context.Context) {
		s.start(ctx, w, key)
	}
}

// stopCall returns the call that stops a run. It returns nil during back-off,
// and after an answered stop unless the target still lists the run as running
// in answer to a renewal sent since then. The caller holds the lock.
func (s *session) stopCall(task sesamework.TaskID, key runKey, k *runState, reason string) func(context.Context) {
	_, isRunning := s.running[key]
	if k.stopRenewal > 0 && (!isRunning || s.renewalsSent < k.stopRenewal+1) || s.o.Clock.Steady() < k.retryAt {
		return nil
	}
	k.orderInFlight = true
	return func(ctx context.Context) {
		s.stop(ctx, task, key, reason)
	}
}

// stopUnwanted returns calls that stop the runs that the target lists as
// running and the planner hasn't ordered there, and drops the states of ended
// runs above maxRunStates. The caller holds the lock.
func (s *session) stopUnwanted() []func(context.Context) {
	var calls []func(context.Context)
	for key := range s.running {
		task, err := sesamework.ParseTask(key.task)
		k := s.stateOf(key)
		if s.wanted[key] || k.orderInFlight || err != nil {
			continue
		}
		if call := s.stopCall(task, key, k, "not ordered by the planner"); call != nil {
			s.o.Log.Emit(eventUnwanted, sesamelog.Fields{
				"job":    task.Job,
				"task":   key.task,
				"run":    key.run,
				"target": s.id,
			})
			calls = append(calls, call)
		}
	}
	if len(s.runStates) > maxRunStates {
		for key, k := range s.runStates {
			if !s.wanted[key] && k.phase == phaseEnded && !k.orderInFlight {
				delete(s.runStates, key)
			}
		}
	}
	return calls
}

// start orders the target to start the run, and updates the run's state by the
// answer.
func (s *session) start(ctx context.Context, w wantedRun, key runKey) {
	specification, err := s.specification(ctx, w.task.Job)
	if err == nil {
		err = s.sendStart(ctx, w, key, specification)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.stateOf(key)
	k.orderInFlight = false
	if err == nil {
		k.failures = 0
		k.acceptRenewal = s.renewalsSent
		s.o.Log.Emit(eventStarted, sesamelog.Fields{
			"job":        w.task.Job,
			"task":       key.task,
			"run":        key.run,
			"target":     s.id,
			"checkpoint": w.checkpoint != "",
		})
		return
	}
	s.handleStartError(key, w, err)
}

// sendStart sends the order to start the run. Without a lease to grant it
// sends nothing and returns a *RefusedError; the same holds for the
// *StartForbiddenError of checkStart and the *CapacityError of checkCapacity. Other
// errors are those of Executor.Start and checkEpoch.
func (s *session) sendStart(ctx context.Context, w wantedRun, key runKey, specification string) error {
	s.mu.Lock()
	// Reading the specification may have taken a while.
	err := s.runs.checkStart(w)
	if err == nil {
		err = s.checkCapacity(key)
	}
	if err != nil {
		s.mu.Unlock()
		return err
	}
	order := Order{
		Task:          w.task,
		Run:           w.run,
		AgentEpoch:    s.agentEpoch,
		Specification: specification,
		Checkpoint:    w.checkpoint,
		LeaseEnd:      s.grantLease(),
	}
	if order.LeaseEnd == 0 {
		s.mu.Unlock()
		return &RefusedError{
			Reason: RefusedLeaseOver,
		}
	}
	k := s.stateOf(key)
	k.phase = max(k.phase, phaseOrdered)
	if k.startedAt == 0 {
		k.startedAt = s.o.Clock.Steady()
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	started := s.o.Clock.Steady()
	clock, err := s.executor.Start(ctx, order)
	s.o.Scope.Histogram("start", callBuckets).RecordDuration(s.o.Clock.Steady() - started)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setTargetClock(clock)
	k.mayStart = k.mayStart || !wasNotCarriedOut(err)
	return s.checkEpoch(err, order.AgentEpoch)
}

// wasNotCarriedOut reports whether the error of an order says that the target
// did not and will not carry it out; see Executor.
func wasNotCarriedOut(err error) bool {
	return errors.HasType(err, (*RefusedError)(nil)) ||
		errors.HasType(err, (*UnavailableError)(nil)) ||
		errors.HasType(err, (*NotRunningError)(nil)) ||
		errors.HasType(err, (*OtherLifeError)(nil))
}

// handleStartError logs a failed start and backs off. For a refusal it also does
// what handleRefusal does. After maxRefusals answers that the target is not
// available, it has the run stopped. The caller holds the lock.
func (s *session) handleStartError(key runKey, w wantedRun, err error) {
	s.o.Log.Emit(eventStartFail, sesamelog.Fields{
		"job":    w.task.Job,
		"task":   key.task,
		"run":    key.run,
		"target": s.id,
		"error":  err,
	})
	k := s.stateOf(key)
	s.backOff(k)
	var refused *RefusedError
	var unavailable *UnavailableError
	var capacity *CapacityError
	var forbidden *StartForbiddenError
	switch {
	case errors.As(err, &forbidden):
		s.forbidStart(key, forbidden)
	case errors.As(err, &capacity):
		s.handleCapacityError(key, capacity)
	case errors.As(err, &refused):
		s.setTargetClock(refused.Clock)
		s.handleRefusal(key, refused.Reason)
	case errors.As(err, &unavailable):
		k.refusals++
		if k.refusals >= maxRefusals {
			s.refusingUntil = s.o.Clock.Steady() + refusingTime
			// Earlier orders for the run may still be in flight, so it has to be
			// stopped explicitly to make sure that it never starts.
			k.stopReason = "target refuses runs"
		}
	}
}

// backOff sets when a failed order is repeated, with an exponentially growing
// pause. The caller holds the lock.
func (s *session) backOff(k *runState) {
	k.retryAt = s.o.Clock.Steady() + min(minOrderBackoff<<k.failures, maxOrderBackoff)
	k.failures = min(k.failures+1, maxBackoffDoublings)
}

// handleRefusal acts on the reason for which the target refused to start the
// run: it waits for the answer to a later renewal, queues the run's end or has the
// run stopped, ends the session, or leaves the start to the next try. The caller
// holds the lock.
func (s *session) handleRefusal(key runKey, reason Refusal) {
	k := s.stateOf(key)
	switch reason {
	case RefusedStaleRun:
		// The run's end is either listed by the target or recorded by an earlier
		// agent; the answer to the next renewal shows which.
		k.stopRenewal = s.renewalsSent + 1
	case RefusedNoCapacity, RefusedInvalid:
		refused := "target refused: " + string(reason)
		if !k.mayStart {
			s.queueNeverRan(key, refused)
			return
		}
		// An earlier order may still arrive, so only an explicit stop makes sure
		// that the run never starts.
		k.stopReason = refused
	case RefusedSuperseded:
		s.finishLocked(superseded)
	case RefusedLeaseOver:
		// The next try has a newer lease.
	}
}

// stop orders the target to end the run, and updates the run's state by the
// answer. reason is only logged.
func (s *session) stop(ctx context.Context, task sesamework.TaskID, key runKey, reason string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.mu.Lock()
	order := Order{
		Task:       task,
		Run:        key.run,
		AgentEpoch: s.agentEpoch,
	}
	s.mu.Unlock()
	clock, err := s.executor.Stop(ctx, order)
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.stateOf(key)
	k.orderInFlight = false
	err = s.checkEpoch(err, order.AgentEpoch)
	s.setTargetClock(clock)
	event := eventStopped
	if err == nil {
		k.stopRenewal = s.renewalsSent + 1
		k.failures = 0
	} else {
		event = eventStopFail
		s.backOff(k)
		if isSupersededCall(err) {
			s.finishLocked(superseded)
		}
	}
	s.o.Log.Emit(event, sesamelog.Fields{
		"job":    task.Job,
		"task":   key.task,
		"run":    key.run,
		"target": s.id,
		"reason": reason,
		"error":  err,
	})
}

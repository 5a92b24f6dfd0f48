package sesamerunner

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

const (
	// maxOrders bounds the orders under way at one target.
	maxOrders = 16
	// orderTick is how often orders that failed are looked at again.
	orderTick = 200 * time.Millisecond
	// maxRefusals is how often a target that isn't well may refuse a run
	// before the run is given back.
	maxRefusals = 3
	// refusingTime is how long a target counts as refusing after that.
	refusingTime = 3 * time.Second
	// firstRetry is the pause after an order that failed; it doubles with each
	// failure in a row up to maxRetry, which a gang's other members outwait.
	firstRetry = 50 * time.Millisecond
	maxRetry   = 500 * time.Millisecond
	// maxFailures bounds the doubling.
	maxFailures = 8
	// keepEnded is how many runs the session remembers beyond those wanted.
	keepEnded = 4096
)

// orderLoop gives the target the orders that the planner has written.
func (s *session) orderLoop(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxOrders)
	for ctx.Err() == nil && !s.isOver() {
		all, changed, fresh := s.runs.of(s.key.Name, s.life())
		for _, action := range s.actions(all, fresh) {
			group.Go(func() error {
				action(ctx)
				signal(s.wake)
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

func (s *session) awaitWork(ctx context.Context, changed <-chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, orderTick)
	defer cancel()
	select {
	case <-changed:
	case <-s.wake:
	case <-s.over:
	case <-ctx.Done():
	}
}

// actions returns the calls to make, one for each run that needs one.
func (s *session) actions(all []wanted, fresh bool) []func(context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var calls []func(context.Context)
	asked := make(map[runKey]bool, len(all))
	for _, w := range all {
		key := runKey{
			task: w.task.String(),
			run:  w.run,
		}
		asked[key] = true
		if call := s.action(w, key, fresh); call != nil {
			calls = append(calls, call)
		}
	}
	if fresh {
		calls = append(calls, s.unasked(asked)...)
	}
	return calls
}

// action returns the call that a wanted run needs, if any. The caller holds
// the lock.
func (s *session) action(w wanted, key runKey, fresh bool) func(context.Context) {
	k := s.entry(key)
	if k.busy || k.phase == phaseEnded || s.o.Clock.Steady() < k.retryAt {
		return nil
	}
	if reason := cmp.Or(w.stop, k.unwanted); reason != "" {
		return s.stopAction(w.task, key, k, reason)
	}
	if !fresh || k.stopped > 0 || k.phase == phaseRunning || s.lastAnswered <= k.accepted {
		// A run that was accepted, listed or stopped before is settled by a
		// later listing.
		return nil
	}
	if s.report.Draining && k.phase == phaseNew {
		s.void(key, "target is leaving")
		return nil
	}
	k.busy = true
	return func(ctx context.Context) {
		s.start(ctx, w, key)
	}
}

func (s *session) stopAction(task sesamework.TaskID, key runKey, k *known, reason string) func(context.Context) {
	_, runs := s.running[key]
	if k.stopped > 0 && (!runs || s.renewalsSent < k.stopped+1) || s.o.Clock.Steady() < k.retryAt {
		return nil
	}
	k.busy = true
	return func(ctx context.Context) {
		s.stop(ctx, task, key, reason)
	}
}

// unasked stops what the target runs and the planner doesn't want there, and
// forgets runs that are over. The caller holds the lock.
func (s *session) unasked(asked map[runKey]bool) []func(context.Context) {
	var calls []func(context.Context)
	for key := range s.running {
		task, err := sesamework.ParseTask(key.task)
		k := s.entry(key)
		if asked[key] || k.busy || err != nil {
			continue
		}
		if call := s.stopAction(task, key, k, "not wanted here"); call != nil {
			s.o.Log.Emit(eventUnwanted, sesamelog.Fields{
				"job":    task.Job,
				"task":   key.task,
				"run":    key.run,
				"target": s.id,
			})
			calls = append(calls, call)
		}
	}
	if len(s.known) > keepEnded {
		for key, k := range s.known {
			if !asked[key] && k.phase == phaseEnded && !k.busy {
				delete(s.known, key)
			}
		}
	}
	return calls
}

// start orders the run from the target.
func (s *session) start(ctx context.Context, w wanted, key runKey) {
	specification, err := s.specification(ctx, w.task.Job)
	if err == nil {
		err = s.sendStart(ctx, w, key, specification)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.entry(key)
	k.busy = false
	if err == nil {
		k.failures = 0
		k.accepted = s.renewalsSent
		s.o.Log.Emit(eventStarted, sesamelog.Fields{
			"job":        w.task.Job,
			"task":       key.task,
			"run":        key.run,
			"target":     s.id,
			"checkpoint": w.checkpoint != "",
		})
		return
	}
	s.startFailed(key, w, err)
}

func (s *session) sendStart(ctx context.Context, w wanted, key runKey, specification string) error {
	s.mu.Lock()
	order := Order{
		Task:          w.task,
		Run:           w.run,
		Holder:        s.agentEpoch,
		Specification: specification,
		Checkpoint:    w.checkpoint,
		Until:         s.grantLease(),
	}
	if order.Until == 0 {
		s.mu.Unlock()
		return &RefusedError{
			Reason: RefusedLate,
		}
	}
	k := s.entry(key)
	k.phase = max(k.phase, phaseOrdered)
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	started := s.o.Clock.Steady()
	clock, err := s.executor.Start(ctx, order)
	s.o.Scope.Histogram("start", callBuckets).RecordDuration(s.o.Clock.Steady() - started)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setTargetClock(clock)
	return err
}

// startFailed decides what a failed start means. The caller holds the lock.
func (s *session) startFailed(key runKey, w wanted, err error) {
	s.o.Log.Emit(eventStartFail, sesamelog.Fields{
		"job":    w.task.Job,
		"task":   key.task,
		"run":    key.run,
		"target": s.id,
		"error":  err,
	})
	k := s.entry(key)
	s.postpone(k)
	var refused *RefusedError
	var busy *BusyError
	switch {
	case errors.As(err, &refused):
		s.setTargetClock(refused.Clock)
		s.startRefused(key, refused.Reason)
	case errors.As(err, &busy):
		k.refusals++
		if k.refusals >= maxRefusals {
			s.refusing = s.o.Clock.Steady() + refusingTime
			// Earlier orders for it may still be under way, so a stop has to
			// make sure that it never starts.
			k.unwanted = "target refuses"
		}
	}
}

// postpone sets when a failed order is repeated. The caller holds the lock.
func (s *session) postpone(k *known) {
	k.retryAt = s.o.Clock.Steady() + min(firstRetry<<k.failures, maxRetry)
	k.failures = min(k.failures+1, maxFailures)
}

func (s *session) startRefused(key runKey, reason Refusal) {
	switch reason {
	case RefusedOld:
		// Its end is listed, or recorded by an earlier process; a hold sent
		// from now on tells.
		s.entry(key).stopped = s.renewalsSent + 1
	case RefusedRoom, RefusedInvalid:
		s.void(key, "target refused: "+string(reason))
	case RefusedHolder:
		s.endLocked(superseded)
	case RefusedLate:
		// The next try has a newer lease.
	}
}

// stop orders the target to end the run.
func (s *session) stop(ctx context.Context, task sesamework.TaskID, key runKey, reason string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.mu.Lock()
	order := Order{
		Task:   task,
		Run:    key.run,
		Holder: s.agentEpoch,
	}
	s.mu.Unlock()
	clock, err := s.executor.Stop(ctx, order)
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.entry(key)
	k.busy = false
	s.setTargetClock(clock)
	event := eventStopped
	if err == nil {
		k.stopped = s.renewalsSent + 1
		k.failures = 0
	} else {
		event = eventStopFail
		s.postpone(k)
		if isSupersededCall(err) {
			s.endLocked(superseded)
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

// superseded is why a session ends once another process serves its target.
const superseded = "a later agent serves the target"

// isSupersededCall reports whether the target has seen orders of a later agent.
func isSupersededCall(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Reason == RefusedHolder
}

// specification reads what the job's tasks are told to run.
func (s *session) specification(ctx context.Context, job string) (string, error) {
	if text, ok := s.specifications.Get(job); ok {
		return text, nil
	}
	row, _, err := sesamerows.ReadRow(ctx, s.o.Store, sesamework.SpecKey(job))
	if err != nil {
		return "", err
	}
	if row.Version == 0 {
		return "", &NoSpecificationError{
			Job: job,
		}
	}
	text := string(row.Value)
	s.specifications.Add(job, text)
	return text, nil
}

// NoSpecificationError says that a job's specification is not in the store.
type NoSpecificationError struct {
	Job string
}

// Error names the job.
func (e *NoSpecificationError) Error() string {
	return "no specification of job " + e.Job
}

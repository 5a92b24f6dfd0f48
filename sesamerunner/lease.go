package sesamerunner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

const (
	// renewalWait is how long a target may wait for an end before it answers; a
	// lease is renewed that often.
	renewalWait = 900 * time.Millisecond
	// callTimeout bounds a call to the target beyond its wait. The target is
	// on the same machine; an order without an answer may be carried out
	// later, and is repeated.
	callTimeout = 300 * time.Millisecond
	// unrecordedPause is the pause between holds while ends could not be
	// recorded: the target answers those at once.
	unrecordedPause = 250 * time.Millisecond
	// silenceToReport is how long a target may not answer before its report says
	// so: a hold with its time-out.
	silenceToReport = renewalWait + callTimeout
	// minFailuresLogged is how many holds in a row may fail before it's logged.
	minFailuresLogged = 2
)

// renewLoop keeps the lease alive and listens for ends.
func (s *session) renewLoop(ctx context.Context) {
	failures := 0
	backoff := sesamerows.NewBackoff()
	for ctx.Err() == nil && !s.isOver() {
		err := s.renewLease(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if failures >= minFailuresLogged {
				s.o.Log.Emit(eventRenewBack, sesamelog.Fields{
					"target":   s.id,
					"failures": failures,
				})
			}
			failures = 0
			backoff.Reset()
			s.awaitRecorded(ctx)
			continue
		}
		failures++
		s.blockStarts()
		s.handleRenewError(err, failures)
		backoff.Wait(ctx)
	}
}

// blockStarts lets no run start until the target has answered again: another
// life under the same ID may have begun.
func (s *session) blockStarts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastAnswered = 0
}

func (s *session) handleRenewError(err error, failures int) {
	if errors.HasType(err, (*OtherLifeError)(nil)) {
		s.finish("another life of the target answers")
		return
	}
	if isSupersededCall(err) {
		s.finish(superseded)
		return
	}
	if s.hasLeaseLapsed() {
		s.finish("target has not answered until its lease ended")
		return
	}
	if failures == minFailuresLogged {
		s.o.Log.Emit(eventRenewFail, sesamelog.Fields{
			"target": s.id,
			"error":  err,
		})
	}
}

// hasLeaseLapsed reports whether all that a silent target ran has ended by now.
func (s *session) hasLeaseLapsed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silentFor() > 0 && s.o.Clock.Steady() > s.leaseEnd
}

// silentFor returns for how long the target has not answered, 0 while that is
// usual. The caller holds the lock.
func (s *session) silentFor() time.Duration {
	silent := s.o.Clock.Steady() - s.answeredAt
	if silent <= silenceToReport {
		return 0
	}
	return silent
}

// renewLease makes one call.
func (s *session) renewLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, renewalWait+callTimeout)
	defer cancel()
	h, number := s.nextRenewal()
	started := s.o.Clock.Steady()
	listing, err := s.executor.RenewLease(ctx, h)
	if err != nil {
		return err
	}
	s.o.Scope.Histogram("hold", callBuckets).RecordDuration(s.o.Clock.Steady() - started)
	s.applyListing(listing, number)
	return nil
}

func (s *session) nextRenewal() (LeaseRenewal, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewalsSent++
	h := LeaseRenewal{
		AgentEpoch:   s.agentEpoch,
		LeaseEnd:     s.grantLease(),
		LastRecorded: s.lastRecorded,
		MaxWait:      renewalWait,
	}
	return h, s.renewalsSent
}

// grantLease grants a lease and returns its end on the target's clock, or 0 when
// nothing may be extended. The caller holds the lock.
func (s *session) grantLease() time.Duration {
	now := s.o.Clock.Steady()
	left := min(s.o.MaxLease, s.confirmedAt+sesamework.LeaseAfterReport-now)
	if s.targetClockAt == 0 || left <= 0 || now-s.answeredAt > sesamework.MaxTargetSilence {
		return 0
	}
	s.leaseEnd = max(s.leaseEnd, now+sesamework.LapseTimeout(left))
	return s.targetClock + now - s.targetClockAt + left
}

// setTargetClock notes the target's clock. The caller holds the lock.
func (s *session) setTargetClock(clock time.Duration) {
	if clock > 0 {
		s.targetClock = clock
		s.targetClockAt = s.o.Clock.Steady()
	}
}

// applyListing takes the answer to the hold with that number.
func (s *session) applyListing(l Listing, number int64) {
	if l.Life != 0 && l.Life != s.life() {
		s.finish("target has begun another life")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setTargetClock(l.Clock)
	s.answeredAt = s.o.Clock.Steady()
	s.lastAnswered = number
	clear(s.running)
	for _, p := range l.Running {
		key := runKey{
			task: p.Task,
			run:  p.Run,
		}
		s.running[key] = p
		if k := s.stateOf(key); k.phase < phaseRunning {
			k.phase = phaseRunning
		}
	}
	for _, e := range l.Ended {
		s.queueEnd(e)
	}
	s.resolveStopped(number)
	signal(s.wakeOrders)
}

// stateOf returns what is known of a run. The caller holds the lock.
func (s *session) stateOf(key runKey) *runState {
	k, ok := s.runStates[key]
	if !ok {
		k = &runState{}
		s.runStates[key] = k
	}
	return k
}

// queueEnd queues an end to be recorded. The caller holds the lock.
func (s *session) queueEnd(e EndedRun) {
	key := runKey{
		task: e.Task,
		run:  e.Run,
	}
	k := s.stateOf(key)
	task, err := sesamework.ParseTask(e.Task)
	if err != nil {
		s.o.Log.Emit(eventBadRow, sesamelog.Fields{
			"target": s.id,
			"error":  err,
		})
		return
	}
	row := sesamework.EndKey(s.key, task, e.Run)
	if _, queued := s.pendingEnds[row]; queued || e.Number <= s.lastRecorded {
		return
	}
	k.phase = phaseEnded
	s.pendingEnds[row] = pendingEnd{
		key:    key,
		row:    row,
		number: e.Number,
		value: sesamework.End{
			Outcome:    e.Outcome,
			Target:     s.key.Name,
			Life:       s.report.Life,
			Checkpoint: e.Checkpoint,
		},
	}
	s.o.Log.Emit(eventRunEnded, sesamelog.Fields{
		"job":    task.Job,
		"task":   e.Task,
		"run":    e.Run,
		"how":    e.Outcome,
		"number": e.Number,
	})
	signal(s.wakeReport)
}

// resolveStopped ends the runs that were stopped and that a hold sent after
// that neither lists as running nor as ended: they never were there and never
// will be. The caller holds the lock.
func (s *session) resolveStopped(number int64) {
	for key, k := range s.runStates {
		if k.stopRenewal == 0 || k.stopRenewal > number || k.phase == phaseEnded {
			continue
		}
		if _, isRunning := s.running[key]; !isRunning {
			s.queueNeverRan(key, "stopped before it was there")
		}
	}
}

// queueNeverRan queues the end of a run that never was there. The caller holds the lock.
func (s *session) queueNeverRan(key runKey, reason string) {
	k := s.stateOf(key)
	task, err := sesamework.ParseTask(key.task)
	if err != nil || k.phase == phaseEnded {
		return
	}
	k.phase = phaseEnded
	row := sesamework.EndKey(s.key, task, key.run)
	s.pendingEnds[row] = pendingEnd{
		key: key,
		row: row,
		value: sesamework.End{
			Outcome: sesamework.EndNeverRan,
			Target:  s.key.Name,
			Life:    s.report.Life,
			Reason:  reason,
		},
	}
	s.o.Log.Emit(eventNeverRan, sesamelog.Fields{
		"job":    task.Job,
		"task":   key.task,
		"run":    key.run,
		"reason": reason,
	})
	signal(s.wakeReport)
}

// awaitRecorded waits until the listed ends are recorded, or for a moment.
func (s *session) awaitRecorded(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, unrecordedPause)
	defer cancel()
	for ctx.Err() == nil && s.hasListedEnds() {
		sesamerows.Sleep(ctx, recordPoll)
	}
}

// recordPoll is how often the hold loop looks whether ends are recorded.
const recordPoll = 5 * time.Millisecond

func (s *session) hasListedEnds() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.pendingEnds {
		if e.number > 0 {
			return true
		}
	}
	return false
}

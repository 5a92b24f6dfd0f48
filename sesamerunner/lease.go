package sesamerunner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// Times and bounds of lease renewals.
const (
	// renewalWait is how long a target may delay its answer to a lease renewal
	// while no run ends (a long poll), and so the usual time between renewals.
	renewalWait = 900 * time.Millisecond
	// callTimeout bounds a call to the target, beyond renewalWait for a renewal.
	// The target is on the same VM. An order that got no answer may still
	// be carried out later, and is repeated.
	callTimeout = 300 * time.Millisecond
	// unrecordedPause is the longest pause between renewals while the store has
	// not recorded all ends of runs that the target listed: the target answers at
	// once as long as it lists such ends, so the loop would spin.
	unrecordedPause = 250 * time.Millisecond
	// silenceToReport is how long a target may leave renewals unanswered before
	// the target's row in the store says so: one renewal with its timeout.
	silenceToReport = renewalWait + callTimeout
	// minFailuresLogged is how many renewals in a row must fail before the
	// failure is logged.
	minFailuresLogged = 2
)

// renewLoop renews the target's lease, and queues the ends of runs that the
// target lists, until the session is over.
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

// blockStarts keeps runs from being started until the target has answered a
// renewal again, since another life may have begun under the same ID.
func (s *session) blockStarts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastAnswered = 0
}

// handleRenewError ends the session when a failed renewal shows that the target
// was restarted, that another agent serves it, or that its lease has lapsed.
// failures counts the failed renewals in a row.
func (s *session) handleRenewError(err error, failures int) {
	s.noteFailure(err)
	if errors.HasType(err, (*OtherLifeError)(nil)) {
		s.finish("another life of the target answered")
		return
	}
	if isSupersededCall(err) {
		s.finish(superseded)
		return
	}
	if s.hasLeaseLapsed() {
		s.finish("target did not answer before its lease ended")
		return
	}
	if failures == minFailuresLogged {
		s.o.Log.Emit(eventRenewFail, sesamelog.Fields{
			"target": s.id,
			"error":  err,
		})
	}
}

// hasLeaseLapsed reports whether the target is silent and its lease is over, so
// that everything it ran has ended.
func (s *session) hasLeaseLapsed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silentFor() > 0 && s.o.Clock.Steady() > s.leaseEnd
}

// silentFor returns for how long the target has answered no renewal, or 0 if
// that is no longer than silenceToReport and the target has not crashed. The
// caller holds the lock.
func (s *session) silentFor() time.Duration {
	silent := s.o.Clock.Steady() - s.answeredAt
	if s.hasCrashed() {
		return max(silent, time.Millisecond)
	}
	if silent <= silenceToReport {
		return 0
	}
	return silent
}

// renewLease sends one renewal and updates the session from the answer. Errors
// are those of Executor.RenewLease and checkEpoch.
func (s *session) renewLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, renewalWait+callTimeout)
	defer cancel()
	renewal, number := s.nextRenewal()
	started := s.o.Clock.Steady()
	listing, err := s.executor.RenewLease(ctx, renewal)
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.checkEpoch(err, renewal.AgentEpoch)
	}
	s.o.Scope.Histogram("hold", callBuckets).RecordDuration(s.o.Clock.Steady() - started)
	s.applyListing(listing, number)
	return nil
}

// nextRenewal returns the next renewal and its number, counted from 1 in this
// session.
func (s *session) nextRenewal() (LeaseRenewal, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewalsSent++
	if s.lastRecorded > s.lastAcknowledged {
		s.lastAcknowledged = s.lastRecorded
		s.o.Log.Emit(eventAcknowledged, sesamelog.Fields{
			"target": s.id,
			"life":   s.report.Life,
			"number": s.lastRecorded,
		})
	}
	renewal := LeaseRenewal{
		AgentEpoch:   s.agentEpoch,
		LeaseEnd:     s.grantLease(),
		LastRecorded: s.lastRecorded,
		MaxWait:      renewalWait,
	}
	return renewal, s.renewalsSent
}

// grantLease returns the end of a new lease on the target's clock, and notes
// until when the target may run under it. It returns 0 when the lease must not
// be extended: the target's clock is not known, the store has confirmed no
// report for sesamework.LeaseAfterReport, the target has not answered for
// sesamework.MaxTargetSilence, or the planner has given it up. The caller holds
// the lock.
func (s *session) grantLease() time.Duration {
	now := s.o.Clock.Steady()
	left := min(s.o.MaxLease, s.confirmedAt+sesamework.LeaseAfterReport-now)
	if s.isGivenUp || s.targetClockAt == 0 || left <= 0 || now-s.answeredAt > sesamework.MaxTargetSilence {
		return 0
	}
	s.leaseEnd = max(s.leaseEnd, now+sesamework.LapseTimeout(left))
	return s.targetClock + now - s.targetClockAt + left
}

// setTargetClock notes what the target's clock shows now; 0, which stands for an
// answer without a clock, is ignored. The caller holds the lock.
func (s *session) setTargetClock(clock time.Duration) {
	if clock > 0 {
		s.targetClock = clock
		s.targetClockAt = s.o.Clock.Steady()
	}
}

// applyListing updates the session from the target's answer to the renewal with
// that number: which runs are running and which have ended. An answer of another
// life ends the session.
func (s *session) applyListing(l Listing, number int64) {
	if l.Life != 0 && l.Life != s.life() {
		s.noteFailure(&OtherLifeError{})
		s.finish("target was restarted")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setTargetClock(l.Clock)
	s.answeredAt = s.o.Clock.Steady()
	s.clearCrash()
	clear(s.running)
	for _, p := range l.Running {
		key := runKey{
			task: p.Task,
			run:  p.Run,
		}
		p.Checkpoint = s.boundCheckpoint(key, p.Checkpoint)
		s.running[key] = p
		if k := s.stateOf(key); k.phase < phaseRunning {
			k.phase = phaseRunning
		}
	}
	for _, e := range l.Ended {
		s.queueEnd(e)
	}
	if !l.More {
		// A run that is not listed is neither running nor has it just ended.
		s.lastAnswered = number
		s.resolveStopped(number)
	}
	signal(s.wakeOrders)
}

// stateOf returns the state of a run, creating it if the run is new. The caller
// holds the lock.
func (s *session) stateOf(key runKey) *runState {
	k, ok := s.runStates[key]
	if !ok {
		k = &runState{}
		s.runStates[key] = k
	}
	return k
}

// queueEnd queues an end that the target listed for the next report, unless it
// is queued or recorded already. It replaces the queued end of a run that was
// assumed never to have started. The caller holds the lock.
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
	queued, isQueued := s.pendingEnds[row]
	if isQueued && queued.number > 0 || e.Number <= s.lastRecorded {
		return
	}
	if isQueued {
		s.logReplaced(task, e, queued.value.Reason)
	}
	k.phase = phaseEnded
	end := sesamework.End{
		Outcome:    e.Outcome,
		Target:     s.key.Name,
		Life:       s.report.Life,
		Checkpoint: s.boundCheckpoint(key, e.Checkpoint),
	}
	if k.startedAt > 0 {
		end.Taken = (s.o.Clock.Steady() - k.startedAt).Milliseconds()
	}
	s.pendingEnds[row] = pendingEnd{
		key:    key,
		row:    row,
		number: e.Number,
		value:  end,
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

// boundCheckpoint returns the checkpoint of the run, or none if it is too long for
// the rows that would hold it, which is logged once for a run. The caller holds the
// lock.
func (s *session) boundCheckpoint(key runKey, checkpoint string) string {
	if len(checkpoint) <= sesamework.MaxCheckpointBytes {
		return checkpoint
	}
	if k := s.stateOf(key); !k.checkpointDropped {
		k.checkpointDropped = true
		s.o.Log.Emit(eventLongCheckpoint, sesamelog.Fields{
			"task":  key.task,
			"run":   key.run,
			"bytes": len(checkpoint),
		})
	}
	return ""
}

// logReplaced logs that a listed end replaces an assumed one, which had the
// reason.
func (s *session) logReplaced(task sesamework.TaskID, e EndedRun, reason string) {
	s.o.Log.Emit(eventReplaced, sesamelog.Fields{
		"job":    task.Job,
		"task":   e.Task,
		"run":    e.Run,
		"number": e.Number,
		"reason": reason,
	})
}

// resolveStopped queues the end of stopped runs that never started, after the
// answer to the renewal with that number. A run whose stop was answered before
// that renewal was sent, and that the target lists neither as running nor as
// ended, has never started and never will. The caller holds the lock.
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

// queueNeverRan queues the end of a run that has never started on the target
// and never will, with the reason that the log and the end's row give. The
// caller holds the lock.
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

// awaitRecorded waits until the store has recorded the end of each run that the
// target listed as ended, for at most unrecordedPause.
func (s *session) awaitRecorded(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, unrecordedPause)
	defer cancel()
	for ctx.Err() == nil && s.hasListedEnds() {
		sesamerows.Sleep(ctx, recordPoll)
	}
}

// recordPoll is how often awaitRecorded checks whether ends are recorded.
const recordPoll = 5 * time.Millisecond

// hasListedEnds reports whether an end that the target listed is not yet
// recorded in the store.
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

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
	// holdWait is how long a target may wait for an end before it answers; a
	// lease is renewed that often.
	holdWait = 900 * time.Millisecond
	// callTimeout bounds a call to the target beyond its wait. The target is
	// on the same machine; an order without an answer may be carried out
	// later, and is repeated.
	callTimeout = 300 * time.Millisecond
	// unrecordedPause is the pause between holds while ends could not be
	// recorded: the target answers those at once.
	unrecordedPause = 250 * time.Millisecond
	// silenceToTell is how long a target may not answer before its report says
	// so: a hold with its time-out.
	silenceToTell = holdWait + callTimeout
	// maxSilentHolds is how many holds in a row may fail before it's logged.
	maxSilentHolds = 2
)

// holdLoop keeps the lease alive and listens for ends.
func (s *session) holdLoop(ctx context.Context) {
	failures := 0
	retry := sesamerows.NewBackoff()
	for ctx.Err() == nil && !s.isOver() {
		err := s.hold(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if failures >= maxSilentHolds {
				s.o.Log.Emit(eventHoldBack, sesamelog.Fields{
					"target":   s.id,
					"failures": failures,
				})
			}
			failures = 0
			retry.Reset()
			s.awaitRecord(ctx)
			continue
		}
		failures++
		s.unobserve()
		s.holdFailed(err, failures)
		retry.Wait(ctx)
	}
}

// unobserve lets no run start until the target has answered again: another
// life under the same ID may have begun.
func (s *session) unobserve() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observed = 0
}

func (s *session) holdFailed(err error, failures int) {
	if errors.HasType(err, (*GoneError)(nil)) {
		s.end("another life of the target answers")
		return
	}
	if isSupersededCall(err) {
		s.end(superseded)
		return
	}
	if s.hasLapsed() {
		s.end("target has not answered until its lease ended")
		return
	}
	if failures == maxSilentHolds {
		s.o.Log.Emit(eventHoldFail, sesamelog.Fields{
			"target": s.id,
			"error":  err,
		})
	}
}

// hasLapsed reports whether all that a silent target ran has ended by now.
func (s *session) hasLapsed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silence() > 0 && s.o.Clock.Steady() > s.leased
}

// silence returns for how long the target has not answered, 0 while that is
// usual. The caller holds the lock.
func (s *session) silence() time.Duration {
	silent := s.o.Clock.Steady() - s.answered
	if silent <= silenceToTell {
		return 0
	}
	return silent
}

// hold makes one call.
func (s *session) hold(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, holdWait+callTimeout)
	defer cancel()
	h, number := s.nextHold()
	started := s.o.Clock.Steady()
	listing, err := s.executor.Hold(ctx, h)
	if err != nil {
		return err
	}
	s.o.Scope.Histogram("hold", callBuckets).RecordDuration(s.o.Clock.Steady() - started)
	s.observe(listing, number)
	return nil
}

func (s *session) nextHold() (Hold, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holds++
	h := Hold{
		Holder:   s.holder,
		Until:    s.until(),
		Recorded: s.recorded,
		Wait:     holdWait,
	}
	return h, s.holds
}

// until grants a lease and returns its end on the target's clock, or 0 when
// nothing may be extended. The caller holds the lock.
func (s *session) until() time.Duration {
	now := s.o.Clock.Steady()
	left := min(s.o.MaxLease, s.confirmed+sesamework.LeaseAfterReport-now)
	if s.clockAt == 0 || left <= 0 || now-s.answered > sesamework.MaxTargetSilence {
		return 0
	}
	s.leased = max(s.leased, now+sesamework.LapseTimeout(left))
	return s.clock + now - s.clockAt + left
}

// heard notes the target's clock. The caller holds the lock.
func (s *session) heard(clock time.Duration) {
	if clock > 0 {
		s.clock = clock
		s.clockAt = s.o.Clock.Steady()
	}
}

// observe takes the answer to the hold with that number.
func (s *session) observe(l Listing, number int64) {
	if l.Life != 0 && l.Life != s.life() {
		s.end("target has begun another life")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard(l.Clock)
	s.answered = s.o.Clock.Steady()
	s.observed = number
	clear(s.running)
	for _, p := range l.Running {
		key := runKey{
			task: p.Task,
			run:  p.Run,
		}
		s.running[key] = p
		if k := s.entry(key); k.phase < phaseRunning {
			k.phase = phaseRunning
		}
	}
	for _, e := range l.Ended {
		s.noteEnd(e)
	}
	s.settleStopped(number)
	signal(s.wake)
}

// entry returns what is known of a run. The caller holds the lock.
func (s *session) entry(key runKey) *known {
	k, ok := s.known[key]
	if !ok {
		k = &known{}
		s.known[key] = k
	}
	return k
}

// noteEnd queues an end to be recorded. The caller holds the lock.
func (s *session) noteEnd(e Ended) {
	key := runKey{
		task: e.Task,
		run:  e.Run,
	}
	k := s.entry(key)
	task, err := sesamework.ParseTask(e.Task)
	if err != nil {
		s.o.Log.Emit(eventBadRow, sesamelog.Fields{
			"target": s.id,
			"error":  err,
		})
		return
	}
	row := sesamework.EndKey(s.key, task, e.Run)
	if _, queued := s.ends[row]; queued || e.Number <= s.recorded {
		return
	}
	k.phase = phaseEnded
	s.ends[row] = end{
		key:    key,
		place:  row,
		number: e.Number,
		value: sesamework.End{
			Outcome:    e.How,
			Target:     s.key.Name,
			Life:       s.report.Life,
			Checkpoint: e.Checkpoint,
		},
	}
	s.o.Log.Emit(eventEnd, sesamelog.Fields{
		"job":    task.Job,
		"task":   e.Task,
		"run":    e.Run,
		"how":    e.How,
		"number": e.Number,
	})
	signal(s.record)
}

// settleStopped ends the runs that were stopped and that a hold sent after
// that neither lists as running nor as ended: they never were there and never
// will be. The caller holds the lock.
func (s *session) settleStopped(number int64) {
	for key, k := range s.known {
		if k.stopped == 0 || k.stopped > number || k.phase == phaseEnded {
			continue
		}
		if _, runs := s.running[key]; !runs {
			s.void(key, "stopped before it was there")
		}
	}
}

// void queues the end of a run that never was there. The caller holds the lock.
func (s *session) void(key runKey, reason string) {
	k := s.entry(key)
	task, err := sesamework.ParseTask(key.task)
	if err != nil || k.phase == phaseEnded {
		return
	}
	k.phase = phaseEnded
	row := sesamework.EndKey(s.key, task, key.run)
	s.ends[row] = end{
		key:   key,
		place: row,
		value: sesamework.End{
			Outcome: sesamework.EndNeverRan,
			Target:  s.key.Name,
			Life:    s.report.Life,
			Reason:  reason,
		},
	}
	s.o.Log.Emit(eventVoid, sesamelog.Fields{
		"job":    task.Job,
		"task":   key.task,
		"run":    key.run,
		"reason": reason,
	})
	signal(s.record)
}

// awaitRecord waits until the listed ends are recorded, or for a moment.
func (s *session) awaitRecord(ctx context.Context) {
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
	for _, e := range s.ends {
		if e.number > 0 {
			return true
		}
	}
	return false
}

package sesamerunner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamework"
)

// noteFailure notes a failed renewal. If it shows that the target has crashed, it
// logs which runs were there, and has them reported at once. A target that leaves
// doesn't crash.
func (s *session) noteFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.brokenAt == 0 {
		s.brokenAt = s.o.Clock.Steady()
	}
	if s.hasCrashed() || s.report.Draining || s.endReason != "" || !s.provesCrash(err) {
		return
	}
	runs := s.exposedRuns()
	listed := runs[:min(len(runs), sesamework.MaxCrashedRuns)]
	s.crash = &sesamework.Crash{
		Life:    s.report.Life,
		Runs:    listed,
		Omitted: len(runs) - len(listed),
	}
	s.o.Log.Emit(eventCrashed, sesamelog.Fields{
		"target": s.id,
		"life":   s.report.Life,
		"runs":   s.crash.Runs,
		"more":   s.crash.Omitted,
		"error":  err,
	})
	signal(s.wakeReport)
}

// provesCrash reports whether the error of a renewal shows that the target's
// process has ended while this agent was in touch with it. A target that starts
// anew after a long silence, or before it has answered this agent, may have been
// lost in another way. The caller holds the lock.
func (s *session) provesCrash(err error) bool {
	if errors.HasType(err, (*NotRunningError)(nil)) {
		return true
	}
	return errors.HasType(err, (*OtherLifeError)(nil)) && s.targetClockAt > 0 && s.o.Clock.Steady()-s.answeredAt <= silenceToReport
}

// exposedRuns returns the runs that were on the target when renewals began to
// fail, as far as the session knows: those that it has listed as running, and
// those ordered until then which the target has not refused. Those that a crash may
// be blamed on, by when they were ordered, come first. The caller holds the lock.
func (s *session) exposedRuns() []sesamework.CrashedRun {
	var runs []sesamework.CrashedRun
	for key, k := range s.runStates {
		ordered := k.phase == phaseOrdered && k.startedAt <= s.brokenAt && (k.mayStart || k.orderInFlight)
		if !ordered && k.phase != phaseRunning {
			continue
		}
		ran := int64(-1)
		if k.startedAt > 0 {
			ran = max(0, (s.brokenAt - k.startedAt).Milliseconds())
		}
		runs = append(runs, sesamework.CrashedRun{
			Task: key.task,
			Run:  key.run,
			Ran:  ran,
		})
	}
	slices.SortFunc(runs, func(a, b sesamework.CrashedRun) int {
		return cmp.Or(
			cmp.Compare(secondsBefore(a), secondsBefore(b)),
			cmp.Compare(a.Task, b.Task),
			cmp.Compare(a.Run, b.Run),
		)
	})
	return runs
}

// secondsBefore returns how many whole seconds before the crash the run was
// ordered, the greatest number if that is not known.
func secondsBefore(r sesamework.CrashedRun) int64 {
	if r.Ran < 0 {
		return math.MaxInt64
	}
	return r.Ran / time.Second.Milliseconds()
}

// hasCrashed reports whether this life of the target has crashed. The caller
// holds the lock.
func (s *session) hasCrashed() bool {
	return s.crash != nil && s.crash.Life == s.report.Life
}

// clearCrash notes that the target has answered a renewal. The caller holds the
// lock.
func (s *session) clearCrash() {
	s.brokenAt = time.Duration(0)
	if s.hasCrashed() {
		s.crash = nil
	}
}

// knownCrash returns the crash that the session has noted, or nil.
func (s *session) knownCrash() *sesamework.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crash
}

// reportedCrash returns the crash for the target's row, or nil. That of an
// earlier life is dropped once the planner has replaced all runs of that life.
// The caller holds the lock.
func (s *session) reportedCrash() *sesamework.Crash {
	if s.crash == nil || s.hasCrashed() {
		return s.crash
	}
	if all, _, fresh := s.runs.wantedBy(s.key.Name, s.crash.Life); fresh && len(all) == 0 {
		s.crash = nil
	}
	return s.crash
}

package sesamerunner

import (
	"fmt"
	"time"

	"github.com/sesamestack/sesamestack/sesamework"
)

// reportTolerance is how late a target's next report may be before the capacity
// in the last one counts as unknown: another may be lost.
const reportTolerance = 1500 * time.Millisecond

// CapacityError says that a target can't take one more run, though the planner
// has ordered it: the target has shrunk since, or runs what the planner doesn't
// count.
type CapacityError struct {
	// Used is what the target would use with the run, and Capacity what it
	// offers.
	Used     sesamework.Resources
	Capacity sesamework.Resources
	// Temporary says that the run may fit later: it fits beside what the planner
	// has ordered, or the capacity is not known.
	Temporary bool
}

// Error names both amounts.
func (e *CapacityError) Error() string {
	return fmt.Sprintf("target would use %+v of %+v", e.Used, e.Capacity)
}

// isCapacityKnown reports whether the target has reported its capacity recently
// enough to start runs. The caller holds the lock.
func (s *session) isCapacityKnown() bool {
	return s.capacityAt > 0 && s.o.Clock.Steady()-s.capacityAt <= s.o.TargetReportInterval+reportTolerance
}

// missedReports reports whether that many reports of the target are overdue since
// the last one or since the session began. The caller holds the lock.
func (s *session) missedReports(count int) bool {
	return s.o.Clock.Steady()-s.reportedAt > time.Duration(count)*(s.o.TargetReportInterval+reportTolerance)
}

// checkCapacity returns a *CapacityError unless the run fits on the target beside
// all that runs there or may still start. The caller holds the lock.
func (s *session) checkCapacity(key runKey) error {
	ordered := s.stateOf(key).reservation
	used := ordered
	for other, k := range s.runStates {
		_, isRunning := s.running[other]
		isOrdered := s.wanted[other] && k.phase != phaseEnded && (isRunning || k.phase > phaseNew)
		if other == key || !isRunning && !isOrdered {
			continue
		}
		used = used.Plus(k.reservation)
		if isOrdered {
			ordered = ordered.Plus(k.reservation)
		}
	}
	if s.isCapacityKnown() && used.Fits(s.report.Capacity) {
		return nil
	}
	return &CapacityError{
		Used:      used,
		Capacity:  s.report.Capacity,
		Temporary: !s.isCapacityKnown() || ordered.Fits(s.report.Capacity),
	}
}

// handleCapacityError gives up a run that does not fit on the target, or leaves it
// to the next try if it will once the target reports or other runs have ended. The
// caller holds the lock.
func (s *session) handleCapacityError(key runKey, err *CapacityError) {
	if !err.Temporary {
		s.giveUpStart(key, err.Error())
	}
}

// giveUpStart ends a run that is not to be started here after all, so that the
// planner places it again. An unanswered order for the run may still be carried
// out, and then it has to be stopped. The caller holds the lock.
func (s *session) giveUpStart(key runKey, reason string) {
	k := s.stateOf(key)
	if k.phase == phaseNew {
		s.queueNeverRan(key, reason)
		return
	}
	k.stopReason = reason
}

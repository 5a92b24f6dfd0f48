package sesamerunner

import (
	"fmt"
	"time"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
)

// Reasons for which no start of a run is sent any more, as they are logged and
// stored with its end.
const (
	zoneEvacuated  = "zone is evacuated"
	startTooLate   = "start is no longer allowed"
	evacuatedLabel = "evacuated"
	lateLabel      = "late"
)

// StartForbiddenError says that the start of a run was not sent because none may be
// sent any more.
type StartForbiddenError struct {
	// Reason is zoneEvacuated or startTooLate.
	Reason string
}

// Error names the reason.
func (e *StartForbiddenError) Error() string {
	return fmt.Sprintf("start not sent: %s", e.Reason)
}

// setEvacuation keeps the row that says whether the zone is evacuated, unless a
// newer one is known. The caller holds the lock.
func (r *runView) setEvacuation(row sesamerows.Row) {
	if row.Version >= r.evacuation.Version {
		r.evacuation = row
	}
}

// isEvacuated reports whether the zone is evacuated. The caller holds the lock.
func (r *runView) isEvacuated() bool {
	return r.evacuation.Version > 0 && !r.evacuation.Removed
}

// logEvacuation logs that the zone was evacuated or taken back, if it was. The
// caller holds the lock.
func (r *runView) logEvacuation(before bool) {
	if now := r.isEvacuated(); now != before {
		r.log.Emit(eventEvacuation, sesamelog.Fields{
			"zone":      r.zone,
			"evacuated": now,
		})
	}
}

// checkStart returns a *StartForbiddenError if no start of the run may be sent any
// more: the zone is evacuated, or the time until which the planner allows the start
// is over. The store's clock is at least as far as estimated here, by the time that
// its newest answer was on its way; the planner allows for that.
func (r *runView) checkStart(w wantedRun) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isEvacuated() {
		return &StartForbiddenError{
			Reason: zoneEvacuated,
		}
	}
	if w.startBy > 0 && r.storeNow > 0 && r.storeNow+r.sinceStoreNow() >= w.startBy {
		return &StartForbiddenError{
			Reason: startTooLate,
		}
	}
	return nil
}

// sinceStoreNow returns how long ago storeNow was read. The caller holds the lock.
func (r *runView) sinceStoreNow() time.Duration {
	return r.clock.Steady() - r.storeNowAt
}

// forbidStart gives up a run of which no start may be sent any more; see
// giveUpStart. The caller holds the lock.
func (s *session) forbidStart(key runKey, err *StartForbiddenError) {
	label := lateLabel
	if err.Reason == zoneEvacuated {
		label = evacuatedLabel
	}
	s.o.Scope.Tagged(map[string]string{
		"reason": label,
	}).Counter("forbidden_starts").Inc(1)
	s.giveUpStart(key, err.Reason)
}

package sesamedispatch

import (
	"time"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamespeed"
	"github.com/sesamestack/sesamestack/sesamework"
)

const (
	// maxReportAge is how old a target's last report may be for the target to
	// be given work: two reports may be late.
	maxReportAge = 2500 * time.Millisecond
	// failedUnitsToQuarantine is how many units must fail on a target, without
	// a success in between, before the target is quarantined.
	failedUnitsToQuarantine = 2
	// firstQuarantine is how long a target is given no work after repeated
	// failures or a stalled task. It doubles with each quarantine in a row up
	// to maxQuarantine (exponential back-off).
	firstQuarantine = 5 * time.Second
	maxQuarantine   = time.Minute
	// minStallTimeout is the least time for which a task's reported progress
	// must stay the same before the task counts as stalled: two reports.
	minStallTimeout = 2100 * time.Millisecond
)

// target is what the planner knows of a target during one life (one start): its
// last report and what the planner has observed itself. Times are on the steady
// (monotonic) clock.
type target struct {
	sesamework.Target
	// name and part are those of the target's row, and version is the row's.
	name    string
	part    string
	version sesamerows.Version
	// reportedAt is when the last report arrived.
	reportedAt time.Duration
	// progress is the last reported progress by task name.
	progress map[string]progress
	// speed is what is known of the target's speed.
	speed sesamespeed.Estimate
	// removed says that the platform does not run this life any more.
	removed bool
	// failedUnits are the units that failed on the target since its last success
	// or quarantine.
	failedUnits map[sesamework.UnitID]bool
	// quarantines counts the quarantines since the last success, and
	// quarantinedUntil is when the latest one ends.
	quarantines      int
	quarantinedUntil time.Duration
	// isSuspect says that the latest quarantine followed failures of several jobs
	// or a task without progress, not failures of one job.
	isSuspect bool
	// rejections of its writes keep the target from being marked as gone, and its
	// row from being removed.
	rejections rejections
}

// key returns the key of the target's row.
func (t *target) key() sesamerows.Key {
	return sesamerows.Key{
		Table: sesamework.WorkTable,
		Part:  t.part,
		Name:  t.name,
	}
}

// progress is what a target reported of a run. changedAt is when the percentage
// last changed, and answeredAt when the target last told its agent of the run, both
// on the steady clock. firstPercent is the percentage that was reported first of the
// run, at firstAt.
type progress struct {
	sesamework.Progress
	changedAt    time.Duration
	answeredAt   time.Duration
	firstAt      time.Duration
	firstPercent int
}

// maxProgressAge is how long the progress of a task is kept that partial reports
// don't repeat. They come each second, and a target's tasks are spread over a few.
const maxProgressAge = time.Minute

// setTarget updates a target from its row, which holds its agent's latest
// report. The failures, quarantine and progress of the same life are kept. A
// removed row removes the target. Rows older than the known one are ignored: a
// conflict may have shown a newer one than the feed.
func (v *View) setTarget(_ string, row sesamerows.Row) {
	name := row.Key.Name
	old, known := v.targets[name]
	if row.Removed {
		if !known || row.Version >= old.version {
			delete(v.targets, name)
			v.forgetSpeed(old)
			v.needsDecision = true
		}
		return
	}
	if known && row.Version <= old.version {
		return
	}
	t := &target{
		name:        name,
		part:        row.Key.Part,
		version:     row.Version,
		reportedAt:  v.now.Steady,
		progress:    map[string]progress{},
		failedUnits: map[sesamework.UnitID]bool{},
	}
	if !v.decode(row, sesamerows.DecodeFenceValue(row.Value), &t.Target) {
		return
	}
	if known {
		t.keepObservations(old)
	}
	if !known || t.isChanged(old) {
		v.needsDecision = true
		v.log.Emit(eventTarget, sesamelog.Fields{
			"target":   name,
			"state":    t.State,
			"life":     t.Life,
			"rack":     t.Rack,
			"silent":   t.SilentFor,
			"capacity": t.Capacity,
		})
	}
	t.updateProgress(v.now.Steady)
	v.targets[name] = t
	v.setSpeed(t, old)
	v.observeProgress(t)
}

// isChanged reports whether the target differs from what was known before in a
// way that may change a decision.
func (t *target) isChanged(old *target) bool {
	return old.State != t.State || old.Life != t.Life || old.Capacity != t.Capacity ||
		old.Refusing != t.Refusing || (old.SilentFor > 0) != (t.SilentFor > 0)
}

// keepObservations copies from the target as it was known before what the
// planner has observed of it, if it is still in the same life. A target that the
// inventory lacks stays removed until it answers its agent again.
func (t *target) keepObservations(old *target) {
	if old.Life != t.Life {
		return
	}
	t.failedUnits = old.failedUnits
	t.quarantines = old.quarantines
	t.quarantinedUntil = old.quarantinedUntil
	t.isSuspect = old.isSuspect
	t.progress = old.progress
	t.removed = old.removed && t.SilentFor > 0
}

// keepObservations copies what the planner has observed of targets and units,
// and can't read from the store, from the view that v replaces.
func (v *View) keepObservations(old *View) {
	for name, t := range v.targets {
		if known, ok := old.targets[name]; ok {
			t.keepObservations(known)
			if t.version == known.version {
				t.reportedAt = known.reportedAt
			}
			t.updateProgress(v.now.Steady)
		}
	}
	for id, known := range old.units {
		u, ok := v.createByID(id)
		if !ok || known.run.Number != u.run.Number {
			continue
		}
		u.orderedAt = known.orderedAt
		u.readySince = known.readySince
		u.claim = known.claim
	}
	for id, j := range v.jobs {
		known, ok := old.jobs[id]
		if ok && known.endedAt > 0 {
			j.endedAt = known.endedAt
		}
		if ok {
			j.keepReadySince(known)
		}
	}
}

// answeredAt returns when the target last answered its agent, on the steady
// clock.
func (t *target) answeredAt() time.Duration {
	return t.reportedAt - time.Duration(t.SilentFor)*time.Millisecond
}

// updateProgress replaces the progress by what the target reports to be running
// now, and keeps changedAt where the run and its percentage are the same; now
// is on the steady clock. A partial report leaves the progress of other tasks.
func (t *target) updateProgress(now time.Duration) {
	seen := make(map[string]progress, len(t.Running))
	if t.Partial {
		for task, p := range t.progress {
			if now-p.answeredAt < maxProgressAge {
				seen[task] = p
			}
		}
	}
	for _, p := range t.Running {
		old, ok := t.progress[p.Task]
		moved := now
		if ok && old.Run == p.Run && old.Percent == p.Percent {
			moved = old.changedAt
		}
		firstAt, firstPercent := now, p.Percent
		if ok && old.Run == p.Run {
			firstAt, firstPercent = old.firstAt, old.firstPercent
		}
		seen[p.Task] = progress{
			Progress:  p,
			changedAt: moved,

			answeredAt:   t.answeredAt(),
			firstAt:      firstAt,
			firstPercent: firstPercent,
		}
	}
	t.progress = seen
}

// recordEnd counts how a member of the unit's run ended on t: a success ends a
// series of failures and quarantines, and failures of failedUnitsToQuarantine
// units quarantine the target. now is on the steady clock.
func (t *target) recordEnd(u *unit, e sesamework.End, now time.Duration) {
	switch e.Outcome {
	case sesamework.EndDone:
		clear(t.failedUnits)
		t.quarantines = 0
	case sesamework.EndFailed:
		t.failedUnits[u.id] = true
		if len(t.failedUnits) >= failedUnitsToQuarantine {
			t.quarantine(now)
		}
	}
}

// quarantine keeps work off the target from now (on the steady clock) for a
// while, longer each time. The end of a quarantine that is still in force does
// not change.
func (t *target) quarantine(now time.Duration) {
	if now < t.quarantinedUntil {
		return
	}
	t.isSuspect = len(t.failedUnits) < failedUnitsToQuarantine || areOfSeveralJobs(t.failedUnits)
	t.quarantinedUntil = now + min(firstQuarantine<<t.quarantines, maxQuarantine)
	t.quarantines++
	clear(t.failedUnits)
}

// acceptsWork reports whether a run of that service can be ordered on the
// target now (on the steady clock): the target is ready, its agent reports, it
// answers and takes orders, and it is not in quarantine.
func (t *target) acceptsWork(service string, now time.Duration) bool {
	return t.State == sesamework.TargetReady &&
		t.Service == service &&
		!t.Refusing &&
		t.SilentFor == 0 &&
		now-t.reportedAt < maxReportAge &&
		now >= t.quarantinedUntil
}

// hasLabel reports whether the target has the label that the step needs, if
// any.
func (t *target) hasLabel(s *sesamework.Step) bool {
	if s.Label == "" {
		return true
	}
	for _, l := range t.Labels {
		if l == s.Label {
			return true
		}
	}
	return false
}

package sesamedispatch

import (
	"time"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

const (
	// maxReportAge is how old a target's last report may be when something
	// is started there: two reports may be late.
	maxReportAge = 2500 * time.Millisecond
	// failedUnitsToQuarantine is how many units must fail on a target before it is
	// left unused for a while.
	failedUnitsToQuarantine = 2
	// firstQuarantine is how long a suspect target is left unused; it doubles
	// with each suspicion in a row up to maxSuspicion.
	firstQuarantine = 5 * time.Second
	maxQuarantine   = time.Minute
	// minStallTimeout is the least time that a task may show no progress while its
	// target reports it: two reports.
	minStallTimeout = 2100 * time.Millisecond
)

// target is one life of a target with what the planner has seen of it.
type target struct {
	sesamework.Target
	// name and part are those of the target's row.
	name    string
	part    string
	version sesamerows.Version
	// reportedAt is when the last report arrived.
	reportedAt time.Duration
	progress   map[string]progress
	// removed says that the platform does not run this life any more.
	removed bool
	// failedUnits are the units that failed here since the last success.
	failedUnits      map[sesamework.UnitID]bool
	quarantines      int
	quarantinedUntil time.Duration
}

// progress is a reported run with the time of its last change.
type progress struct {
	sesamework.Progress
	changedAt time.Duration
}

func (v *View) setTarget(_ string, row sesamerows.Row) {
	name := row.Key.Name
	old, known := v.targets[name]
	if row.Removed {
		delete(v.targets, name)
		v.needsDecision = true
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
	if !v.decode(row, sesamerows.Open(row.Value), &t.Target) {
		return
	}
	if known && old.Life == t.Life {
		t.failedUnits = old.failedUnits
		t.quarantines = old.quarantines
		t.quarantinedUntil = old.quarantinedUntil
		t.progress = old.progress
	}
	if !known || old.State != t.State || old.Life != t.Life || old.Refusing != t.Refusing || (old.SilentFor > 0) != (t.SilentFor > 0) {
		v.needsDecision = true
		v.log.Emit(eventTarget, sesamelog.Fields{
			"target": name,
			"state":  t.State,
			"life":   t.Life,
			"rack":   t.Rack,
			"silent": t.SilentFor,
		})
	}
	t.updateProgress(v.now.Steady)
	v.targets[name] = t
}

// answeredAt returns when the target last answeredAt its agent.
func (t *target) answeredAt() time.Duration {
	return t.reportedAt - time.Duration(t.SilentFor)*time.Millisecond
}

// updateProgress updates the progress of what runs here.
func (t *target) updateProgress(now time.Duration) {
	seen := make(map[string]progress, len(t.Running))
	for _, p := range t.Running {
		old, ok := t.progress[p.Task]
		moved := now
		if ok && old.Run == p.Run && old.Percent == p.Percent {
			moved = old.changedAt
		}
		seen[p.Task] = progress{
			Progress:  p,
			changedAt: moved,
		}
	}
	t.progress = seen
}

// recordEnd takes an end as evidence about the target.
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

// quarantine leaves the target unused for a while, longer each time.
func (t *target) quarantine(now time.Duration) {
	if now < t.quarantinedUntil {
		return
	}
	t.quarantinedUntil = now + min(firstQuarantine<<t.quarantines, maxQuarantine)
	t.quarantines++
	clear(t.failedUnits)
}

// acceptsWork reports whether the target can be given work of that service now.
func (t *target) acceptsWork(service string, now time.Duration) bool {
	return t.State == sesamework.TargetReady &&
		t.Service == service &&
		!t.Refusing &&
		t.SilentFor == 0 &&
		now-t.reportedAt < maxReportAge &&
		now >= t.quarantinedUntil
}

// hasLabel reports whether the step's label is among the target's.
func (t *target) hasLabel(s sesamework.Step) bool {
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

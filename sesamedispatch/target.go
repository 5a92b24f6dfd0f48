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
	// strikesToSuspect is how many units must fail on a target before it is
	// left unused for a while.
	strikesToSuspect = 2
	// firstSuspicion is how long a suspect target is left unused; it doubles
	// with each suspicion in a row up to maxSuspicion.
	firstSuspicion = 5 * time.Second
	maxSuspicion   = time.Minute
	// stallTime is the least time that a task may show no progress while its
	// target reports it: two reports.
	stallTime = 2100 * time.Millisecond
)

// target is one life of a target with what the planner has seen of it.
type target struct {
	sesamework.Target
	// name and part are those of the target's row.
	name    string
	part    string
	version sesamerows.Version
	// heard is when the last report arrived.
	heard    time.Duration
	progress map[string]progress
	// removed says that the platform does not run this life any more.
	removed bool
	// strikes are the units that failed here since the last success.
	strikes      map[sesamework.UnitID]bool
	suspicions   int
	suspectUntil time.Duration
}

// progress is a reported run with the time of its last change.
type progress struct {
	sesamework.Progress
	moved time.Duration
}

func (b *Book) setTarget(_ string, row sesamerows.Row) {
	name := row.Key.Name
	old, known := b.targets[name]
	if row.Removed {
		delete(b.targets, name)
		b.news = true
		return
	}
	if known && row.Version <= old.version {
		return
	}
	t := &target{
		name:     name,
		part:     row.Key.Part,
		version:  row.Version,
		heard:    b.now.Steady,
		progress: map[string]progress{},
		strikes:  map[sesamework.UnitID]bool{},
	}
	if !b.decode(row, sesamerows.Open(row.Value), &t.Target) {
		return
	}
	if known && old.Life == t.Life {
		t.strikes = old.strikes
		t.suspicions = old.suspicions
		t.suspectUntil = old.suspectUntil
		t.progress = old.progress
	}
	if !known || old.State != t.State || old.Life != t.Life || old.Refusing != t.Refusing || (old.SilentFor > 0) != (t.SilentFor > 0) {
		b.news = true
		b.log.Emit(eventTarget, sesamelog.Fields{
			"target": name,
			"state":  t.State,
			"life":   t.Life,
			"rack":   t.Rack,
			"silent": t.SilentFor,
		})
	}
	t.note(b.now.Steady)
	b.targets[name] = t
}

// answered returns when the target last answered its agent.
func (t *target) answered() time.Duration {
	return t.heard - time.Duration(t.SilentFor)*time.Millisecond
}

// note updates the progress of what runs here.
func (t *target) note(now time.Duration) {
	seen := make(map[string]progress, len(t.Running))
	for _, p := range t.Running {
		old, ok := t.progress[p.Task]
		moved := now
		if ok && old.Run == p.Run && old.Percent == p.Percent {
			moved = old.moved
		}
		seen[p.Task] = progress{
			Progress: p,
			moved:    moved,
		}
	}
	t.progress = seen
}

// judge takes an end as evidence about the target.
func (t *target) judge(u *unit, e sesamework.End, now time.Duration) {
	switch e.Outcome {
	case sesamework.EndDone:
		clear(t.strikes)
		t.suspicions = 0
	case sesamework.EndFailed:
		t.strikes[u.id] = true
		if len(t.strikes) >= strikesToSuspect {
			t.suspect(now)
		}
	}
}

// suspect leaves the target unused for a while, longer each time.
func (t *target) suspect(now time.Duration) {
	if now < t.suspectUntil {
		return
	}
	t.suspectUntil = now + min(firstSuspicion<<t.suspicions, maxSuspicion)
	t.suspicions++
	clear(t.strikes)
}

// takes reports whether the target can be given work of that service now.
func (t *target) takes(service string, now time.Duration) bool {
	return t.State == sesamework.TargetReady &&
		t.Service == service &&
		!t.Refusing &&
		t.SilentFor == 0 &&
		now-t.heard < maxReportAge &&
		now >= t.suspectUntil
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

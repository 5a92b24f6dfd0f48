package sesamedispatch

import (
	"math"
	"strconv"
	"time"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamespeed"
	"github.com/sesamestack/sesamestack/sesamework"
)

const (
	// reportLag is the error of the time at which a target had the reported
	// percentage: agents ask their targets every 0.9 s and report each second.
	reportLag = 350 * time.Millisecond
	// percentError is the error of a percentage that is rounded down, in points.
	percentError = 0.3
	// minPercent is the least percentage that is compared with the time since the
	// order: before it, a pause at the start counts too much.
	minPercent = 3
	// maxProgressError is the relative error from which on a duration that was
	// derived from progress is not used.
	maxProgressError = 1
	// estimateVariance is the variance of the logarithm of a duration about its
	// prediction for the queue: a factor of 1.65 either way.
	estimateVariance = 0.25
)

// withSpeeds makes the view use and update this model of the targets' speeds, so
// that what earlier terms of this process learnt is not lost. With nil, all
// targets count as alike. It returns v.
func (v *View) withSpeeds(model *sesamespeed.Model) *View {
	v.speeds = model
	return v
}

// speedsDiffer reports whether decisions take the speeds of targets into account;
// see updateSpeedsDiffer.
func (v *View) speedsDiffer() bool {
	return v.speedsCount
}

// updateSpeedsDiffer compares the slowest kind of targets with the policy. Speeds
// count where a slow target alone makes work of a queue late: its factor exceeds the
// queue's stretch. Milder differences are within what callers allow; keeping the
// kinds apart for them costs a small deployment more room than it gains time.
func (v *View) updateSpeedsDiffer() {
	v.speedsCount = false
	v.speedsPolicy = v.policy
	if v.speeds == nil || v.policy == nil || !v.speeds.Differ() {
		return
	}
	kinds := v.speeds.Kinds()
	slowest := kinds[len(kinds)-1]
	for _, q := range v.policy.Queues {
		if q.Terms.Stretch > 0 && slowest > q.Terms.Stretch {
			v.speedsCount = true
			return
		}
	}
}

// speedOf returns the estimate for the target, or none while speeds don't count.
func (v *View) speedOf(t *target) sesamespeed.Estimate {
	if !v.speedsCount {
		return sesamespeed.Estimate{
			Kind: sesamespeed.UnknownKind,
		}
	}
	return v.speeds.Estimate(t.speedID())
}

// speedID identifies the target's life in the model of speeds.
func (t *target) speedID() sesamespeed.Target {
	return sesamespeed.Target{
		Name: t.name,
		Life: t.Life,
	}
}

// setSpeed sets the speed of a target that was read from its row. old is what was
// known of the target before, nil if nothing was. An estimate belongs to one life.
func (v *View) setSpeed(t, old *target) {
	if v.speeds == nil {
		return
	}
	if old != nil && old.Life != t.Life {
		v.forgetSpeed(old)
	}
	t.speed = v.speedOf(t)
}

// forgetSpeed drops the estimate of a target whose life has ended; nil for none.
func (v *View) forgetSpeed(t *target) {
	if v.speeds != nil && t != nil {
		v.speeds.Forget(t.speedID())
	}
}

// refreshSpeeds takes new observations into account, and logs when the kinds of
// targets change.
func (v *View) refreshSpeeds() {
	if v.speeds == nil {
		return
	}
	before := len(v.speeds.Kinds())
	if !v.speeds.Refresh(v.now.Steady) && v.speedsPolicy == v.policy {
		return
	}
	v.updateSpeedsDiffer()
	kinds := v.speeds.Kinds()
	counts := make([]int, len(kinds))
	unknown := 0
	for _, t := range v.targets {
		t.speed = v.speedOf(t)
		if kind := v.speeds.Estimate(t.speedID()).Kind; kind == sesamespeed.UnknownKind {
			unknown++
		} else {
			counts[kind]++
		}
	}
	if len(kinds) != before {
		v.log.Emit(eventSpeeds, sesamelog.Fields{
			"factors": kinds,
			"targets": counts,
			"unknown": unknown,
			"used":    v.speedsCount,
		})
	}
}

// factor returns the time that work takes on the target, as a multiple of the
// middle of the targets.
func (t *target) factor() float64 {
	if t.speed.Factor == 0 {
		return 1
	}
	return t.speed.Factor
}

// runFactor returns the factor of the unit's newest run: that of the slowest
// target, since the members of a gang wait for each other.
func (v *View) runFactor(u *unit) float64 {
	slowest := 0.0
	for _, m := range u.members {
		if t, ok := v.targets[m.Target]; ok && t.Life == m.Life {
			slowest = max(slowest, t.factor())
		}
	}
	if slowest == 0 {
		return 1
	}
	return slowest
}

// scaled returns the duration multiplied by the factor.
func scaled(d time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return d
	}
	return time.Duration(float64(d) * factor)
}

// expectedDurationOn returns how long a run of the unit is expected to take on
// the target.
func (u *unit) expectedDurationOn(t *target) time.Duration {
	return scaled(u.expectedDuration(), t.factor())
}

// isSpeedEvidence reports whether how long the unit's newest run takes tells
// something of the target: the run ends by itself, all of it is there, and where
// the unit is fast.
func (v *View) isSpeedEvidence(u *unit, t *target) bool {
	if u.step.LongRunning || len(u.members) == 0 {
		return false
	}
	for _, m := range u.members {
		if m.Target != t.name || m.Life != t.Life {
			return false
		}
	}
	return !v.missedFastRack(u)
}

// observe adds to the model that the unit's newest run takes that long on the
// target, with that relative error.
func (v *View) observe(u *unit, t *target, taken time.Duration, uncertainty float64) {
	v.speeds.Observe(sesamespeed.Observation{
		ID: strconv.Itoa(u.id.Occurrence) + "." + strconv.Itoa(u.id.Index) + "/" + strconv.Itoa(u.run.Number),

		Group:       u.id.Job + "." + strconv.Itoa(u.id.Step),
		Target:      t.speedID(),
		Taken:       taken,
		Expected:    u.expectedDuration(),
		Uncertainty: uncertainty,
		At:          v.now.Steady,
	})
}

// observeEnd takes the end of a member as evidence for the speed of its target. A
// run that resumed from a checkpoint tells nothing by its duration.
func (v *View) observeEnd(u *unit, m member, e sesamework.End) {
	if v.speeds == nil || e.Outcome != sesamework.EndDone || e.Taken <= 0 || u.run.Checkpoint != "" {
		return
	}
	if t, ok := v.targets[m.Target]; ok && v.isSpeedEvidence(u, t) {
		v.observe(u, t, time.Duration(e.Taken)*time.Millisecond, 0)
	}
}

// observeProgress takes the newest report of a target as evidence for its speed.
func (v *View) observeProgress(t *target) {
	if v.speeds == nil || v.loading {
		return
	}
	for _, reported := range t.Running {
		p := t.progress[reported.Task]
		if p.changedAt != v.now.Steady || p.Percent >= 100 {
			continue
		}
		task, err := sesamework.ParseTask(reported.Task)
		if err != nil {
			continue
		}
		u, ok := v.unitOf(task)
		if !ok || u.run.Number != p.Run || !v.isSpeedEvidence(u, t) {
			continue
		}
		if taken, uncertainty := v.durationByProgress(u, p); uncertainty < maxProgressError {
			v.observe(u, t, taken, uncertainty)
		}
	}
}

// startedAt returns when the unit's newest run was ordered, on the steady clock.
// Unlike orderedAt, it is right for runs that an earlier planner ordered.
func (v *View) startedAt(u *unit) time.Duration {
	return v.now.Steady - v.now.Store + time.Duration(u.run.OrderedAt)*time.Millisecond
}

// durationByProgress returns how long a run of the unit takes by its progress,
// and the relative error of that. It goes by the change since the first report or
// by the time since the order, whichever is more exact; the latter tells nothing of
// a run that resumed from a checkpoint.
func (v *View) durationByProgress(u *unit, p progress) (time.Duration, float64) {
	best, least := time.Duration(0), math.Inf(1)
	consider := func(elapsed time.Duration, points, samples float64) {
		if elapsed <= 0 || points <= 0 {
			return
		}
		lag := reportLag.Seconds() / elapsed.Seconds()
		rounding := percentError / points
		if e := math.Sqrt(samples * (lag*lag + rounding*rounding)); e < least {
			best = time.Duration(float64(elapsed) * 100 / points)
			least = e
		}
	}
	consider(p.changedAt-p.firstAt, float64(p.Percent-p.firstPercent), 2)
	if u.run.Checkpoint == "" && p.Percent >= minPercent {
		const half = 0.5 // percentages are rounded down
		consider(p.changedAt-v.startedAt(u), float64(p.Percent)+half, 1)
	}
	return best, least
}

// remainingBySpeed estimates how much longer an active member takes, from the
// expected duration at the speed of the run's targets and from its progress, each
// weighted by its precision.
func (v *View) remainingBySpeed(u *unit, m member) time.Duration {
	expected := scaled(u.expectedDuration(), v.runFactor(u))
	elapsed := v.now.Steady - v.startedAt(u)
	t, ok := v.targets[m.Target]
	if !ok {
		return overdue(expected, elapsed)
	}
	p, reported := t.progress[u.id.Task(m.Index).String()]
	if !reported || p.Run != u.run.Number || p.Percent <= 0 {
		return overdue(expected, elapsed)
	}
	taken, uncertainty := v.durationByProgress(u, p)
	if math.IsInf(uncertainty, 1) {
		return overdue(expected, elapsed)
	}
	if expected > 0 {
		byProgress := 1 / (uncertainty * uncertainty)
		const byEstimate = 1 / estimateVariance
		log := (byProgress*logSeconds(taken) + byEstimate*logSeconds(expected)) / (byProgress + byEstimate)
		taken = time.Duration(math.Exp(log) * float64(time.Second))
	}
	left := time.Duration(float64(taken) * float64(100-p.Percent) / 100)
	return max(0, left-(v.now.Steady-p.changedAt))
}

// countSpeeds updates the metrics of the kinds of targets and of the waits for
// faster ones.
func (r *term) countSpeeds(d Decision) {
	if r.view.speeds == nil {
		return
	}
	r.o.Scope.Gauge("target_kinds").Update(float64(max(1, len(r.view.speeds.Kinds()))))
	if d.speedWaits > 0 {
		r.o.Scope.Counter("speed_waits").Inc(int64(d.speedWaits))
	}
}

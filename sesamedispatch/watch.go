package sesamedispatch

import (
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamework"
)

// addLostTargets adds the targets that are to be marked as gone: those that the
// platform has removed, and those that have not reported for so long that the
// leases of everything that ran on them have lapsed.
func (v *View) addLostTargets(d *Decision) {
	for _, t := range v.targets {
		if t.isLost(v.now.Steady) && !t.rejections.isInForce(v.now.Steady) {
			d.Lost = append(d.Lost, t)
		}
	}
}

// isLost reports whether the target is to be marked as gone: the platform has
// removed it, or it has not reported for TargetLostTimeout. now is on the steady
// clock.
func (t *target) isLost(now time.Duration) bool {
	lapsed := now-t.reportedAt >= sesamework.TargetLostTimeout
	return t.State != sesamework.TargetGone && (lapsed || t.removed)
}

// stopStalled stops runs with a task that makes no progress. It quarantines the
// task's target unless the unit has made none elsewhere either.
func (v *View) stopStalled(d *Decision) {
	for _, u := range v.units {
		if !u.isActive() || u.run.StopReason != "" || u.step.LongRunning {
			continue
		}
		for _, m := range u.members {
			if m.outcome == "" && v.isStalled(u, m) {
				v.log.Emit(eventStalled, sesamelog.Fields{
					"job":    u.id.Job,
					"task":   u.id.Task(m.Index).String(),
					"run":    u.run.Number,
					"target": m.Target,
					"stalls": u.run.Stalls,
				})
				if u.run.Stalls == 0 {
					v.targets[m.Target].quarantine(v.now.Steady)
				}
				d.stop(u, stopNoProgress)
				break
			}
		}
	}
}

// isStalled reports whether the target has reported the same progress of the
// task for longer than stallTimeout. Time in which the target didn't answer its
// agent does not count.
func (v *View) isStalled(u *unit, m member) bool {
	t, ok := v.targets[m.Target]
	if !ok {
		return false
	}
	p, ok := t.progress[u.id.Task(m.Index).String()]
	return ok && p.Run == u.run.Number && p.Percent < 100 && p.answeredAt-p.changedAt > u.stallTimeout()
}

// stallTimeout returns how long a task may take for one percent of progress: a
// slow one takes up to twenty times as long as expected. It doubles with each run
// that took longer, since the declared duration may be too short.
func (u *unit) stallTimeout() time.Duration {
	const (
		slowestPercent = 20
		maxDoublings   = 8
	)
	return max(minStallTimeout, u.expectedDuration()*slowestPercent/100) << min(u.run.Stalls, maxDoublings)
}

// drainStopLead is how long before a draining target's announced end its runs
// are stopped to save their progress: the stop takes a second, and the order
// takes time to arrive.
const drainStopLead = 1500 * time.Millisecond

// stopDraining stops runs that save checkpoints and can't end before their
// target leaves, drainStopLead before its announced end. Other runs go on: targets often
// stay for seconds longer than they say, and a stop would lose the work for
// sure.
func (v *View) stopDraining(d *Decision) {
	for _, u := range v.units {
		if !u.isActive() || u.run.StopReason != "" || !u.step.Checkpoints {
			continue
		}
		for _, m := range u.members {
			t, ok := v.targets[m.Target]
			if !ok || m.outcome != "" || t.State != sesamework.TargetDraining {
				continue
			}
			stays := time.Duration(t.MinRemaining)*time.Millisecond - (v.now.Steady - t.reportedAt)
			if stays <= drainStopLead && v.expectedEnd(u) > v.now.Steady+stays {
				d.stop(u, stopTargetLeaves)
			}
		}
	}
}

// stopIncomplete stops the gangs of which a member will never run. The others
// would wait for it until they time out.
func (v *View) stopIncomplete(d *Decision) {
	for _, u := range v.units {
		if u.step.Gang && slices.ContainsFunc(u.members, member.neverRan) {
			d.stop(u, stopIncomplete)
		}
	}
}

// stopNeedless stops the runs of units of which an earlier run turned out to be
// done.
func (v *View) stopNeedless(d *Decision) {
	for _, u := range v.units {
		if u.doneBefore {
			d.stop(u, stopDone)
		}
	}
}

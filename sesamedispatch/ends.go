package sesamedispatch

import (
	"fmt"
	"time"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// setEnd ends the member that an end row names. Of an earlier run only an end as
// done counts. It ignores, and logs, other ends, and those that differ from what
// the view holds already.
func (v *View) setEnd(_ string, row sesamerows.Row) {
	if row.Removed {
		delete(v.ends, row.Key)
		delete(v.obsolete.rows, row.Key)
		return
	}
	task, number, ok := sesamework.ParseEndKey(row.Key)
	if !ok {
		return
	}
	u, ok := v.unitOf(task)
	if !ok {
		v.addOrphan(row.Key, task.Job)
		return
	}
	v.holdEnd(u, row)
	e, ok := v.readEnd(u, number, row)
	if !ok {
		return
	}
	m := u.memberOf(task.Index)
	if m != nil && u.run.Number == number && m.Target == e.Target && m.Life == e.Life {
		if m.outcome != e.Outcome && !m.accepts(e.Outcome) {
			v.logIgnoredEnd(u, row, e, m.outcome)
		}
		v.endMember(u, *m, e)
		return
	}
	if u.acceptsEarlier(number, e) {
		u.done = true
		u.doneBefore = true
		v.log.Emit(eventLateEnd, sesamelog.Fields{
			"job":    u.id.Job,
			"row":    row.Key.Name,
			"target": e.Target,
			"newest": u.run.Number,
		})
		return
	}
	if !v.loading && number <= u.run.Number {
		v.logIgnoredEnd(u, row, e, "")
	}
}

// holdEnd notes that the row holds an end of a run of the unit.
func (v *View) holdEnd(u *unit, row sesamerows.Row) {
	if _, known := v.ends[row.Key]; !known {
		u.endKeys = append(u.endKeys, row.Key)
	}
	v.ends[row.Key] = row.Version
	delete(v.obsolete.rows, row.Key)
}

// readEnd returns the end of the unit's run with that number from its row, and
// false for a row that can't be read.
func (v *View) readEnd(u *unit, number int, row sesamerows.Row) (sesamework.End, bool) {
	var e sesamework.End
	ok := v.decode(row, row.Value, &e)
	if !ok && number == u.run.Number {
		u.unreadableEnd = true
	}
	return e, ok
}

// acceptsEarlier reports whether the end, of an earlier run or of another life of
// its target, completes the unit: a task that has ended as done never runs again.
func (u *unit) acceptsEarlier(number int, e sesamework.End) bool {
	return e.Outcome == sesamework.EndDone && number <= u.run.Number && !u.done && !u.step.LongRunning
}

// logIgnoredEnd logs an end row without effect: the member has the outcome known
// already, or, if known is empty, belongs to a run that is not the newest.
func (v *View) logIgnoredEnd(u *unit, row sesamerows.Row, e sesamework.End, known sesamework.Outcome) {
	v.log.Emit(eventEndIgnored, sesamelog.Fields{
		"job":     u.id.Job,
		"row":     row.Key.Name,
		"version": row.Version,
		"how":     e.Outcome,
		"target":  e.Target,
		"life":    e.Life,
		"known":   known,
		"newest":  u.run.Number,
	})
}

// endMember records how a member ended, for its unit and as evidence; see learn.
// It does nothing when a recorded end of the member is known already.
func (v *View) endMember(u *unit, m member, e sesamework.End) {
	if !m.accepts(e.Outcome) {
		return
	}
	over := u.endMember(m.Index, e)
	v.log.Emit(eventEnded, sesamelog.Fields{
		"job":    u.id.Job,
		"task":   u.id.Task(m.Index).String(),
		"run":    u.run.Number,
		"how":    e.Outcome,
		"reason": e.Reason,
		"target": m.Target,
		"after":  (v.now.Steady - u.orderedAt).Milliseconds(),
		"over":   over,
	})
	v.learn(u, m, e, over)
	if over {
		v.updateSuspicion(u)
	}
	if over && e.Outcome == sesamework.EndFailed && len(u.avoid) > 1 {
		v.clearFailedUnit(u)
	}
}

// learn takes the end of a member as evidence about its target and, if the unit
// is over with it, about the durations of its queue's tasks. While rows of
// earlier times are loaded, only a duration that the end's row tells counts.
func (v *View) learn(u *unit, m member, e sesamework.End, over bool) {
	if t, ok := v.targets[m.Target]; ok && t.Life == m.Life && !v.loading {
		t.recordEnd(u, e, v.now.Steady)
	}
	taken := v.now.Store - time.Duration(u.run.OrderedAt)*time.Millisecond
	if v.loading {
		taken = time.Duration(e.Taken) * time.Millisecond
	}
	v.observeEnd(u, m, e)
	if !over || !u.done || taken <= 0 {
		return
	}
	if v.loading {
		v.loadedRuns = append(v.loadedRuns, doneRun{
			unit:  u,
			taken: taken,
		})
		return
	}
	v.updateDurationModel(u, taken)
}

// doneRun is a run with which a unit was done, and how long it took.
type doneRun struct {
	unit  *unit
	taken time.Duration
}

// learnLoadedRuns teaches the duration models the runs that were found while
// loading, now that their ends have shown how fast the targets are.
func (v *View) learnLoadedRuns() {
	v.refreshSpeeds()
	for _, r := range v.loadedRuns {
		v.updateDurationModel(r.unit, r.taken)
	}
	v.loadedRuns = nil
}

// clearFailedUnit removes the unit from the failedUnits of the targets on which
// it failed. Once a unit has failed on several targets, its failures no longer
// count against these.
func (v *View) clearFailedUnit(u *unit) {
	for _, name := range u.avoid {
		if t, ok := v.targets[name]; ok {
			delete(t.failedUnits, u.id)
		}
	}
}

// endLostMembers ends, as lost or crashed, the members whose target is gone or
// has begun another life (one start of a target).
func (v *View) endLostMembers() {
	for _, u := range v.units {
		for _, m := range u.members {
			t, ok := v.targets[m.Target]
			if m.outcome != "" || ok && t.Life == m.Life && t.State != sesamework.TargetGone {
				continue
			}
			v.endMember(u, m, v.endOfLost(t, u, m))
		}
	}
}

// lossReason says from what the view concludes that the member is lost. t is its
// target, nil for an unknown one.
func lossReason(t *target, m member) string {
	switch {
	case t == nil:
		return "target has no row"
	case t.Life != m.Life:
		return fmt.Sprintf("life %d of the target reports at version %d", t.Life, t.version)
	}
	return fmt.Sprintf("target is gone at version %d", t.version)
}

// lastCheckpoint returns the newest checkpoint of the unit's newest run that
// the target reported for the task with that index, or "" if there is none. t
// is nil for an unknown target.
func (v *View) lastCheckpoint(t *target, u *unit, index int) string {
	if t == nil {
		return ""
	}
	p, ok := t.progress[u.id.Task(index).String()]
	if !ok || p.Run != u.run.Number {
		return ""
	}
	return p.Checkpoint
}

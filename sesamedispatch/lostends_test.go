package sesamedispatch

import (
	"testing"
	"time"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// endRow returns the row of an end of the run that jobFillingTarget's task has
// on the target.
func endRow(job string, run int, target sesamework.Target, outcome sesamework.Outcome) sesamerows.Row {
	row := targetRow(target, 0)
	task := sesamework.TaskID{
		Job: job,
	}
	return sesamerows.Row{
		Key: sesamework.EndKey(row.Key, task, run),
		Value: encode(sesamework.End{
			Outcome: outcome,
			Target:  row.Key.Name,
			Life:    target.Life,
		}),
	}
}

// changed returns the row as the feed brings it, at the store's newest version.
func (f *termFixture) changed(row sesamerows.Row) sesamerows.Row {
	f.t.Helper()
	found, _, err := sesamerows.ReadRow(f.t.Context(), f.memory, row.Key)
	f.is.NoErr(err)
	return found
}

// applyInventory gives the view an inventory made now that names these targets.
func (f *termFixture) applyInventory(targets ...string) {
	live := map[string]bool{}
	for _, id := range targets {
		live[id] = true
	}
	f.term.view.now = f.term.now()
	f.term.view.ApplyInventory(inventory{
		live:        live,
		requestedAt: f.term.now().Steady,
	})
}

// assertRuns checks how often the job's task was started, by its run's row, and
// whether the view holds it as done.
func (f *termFixture) assertRuns(job string, runs int, done bool) {
	f.t.Helper()
	id := sesamework.UnitID{
		Job: job,
	}
	row, _, err := sesamerows.ReadRow(f.t.Context(), f.memory, sesamework.RunKey(id, "zone"))
	f.is.NoErr(err)
	v := NewView(sesamelog.Discard())
	var r sesamework.Run
	f.is.True(v.decode(row, row.Value, &r))
	f.is.Equal(r.Number, runs)
	f.is.Equal(f.term.view.units[id].done, done)
}

// newRunningTask begins a term in which the job's task runs on a target that has
// left the inventory and is silent, and another target is free.
func newRunningTask(t *testing.T, job string) (*termFixture, sesamework.Target) {
	left, other := newTarget("a"), newTarget("b")
	f := newTermFixture(t, jobFillingTarget(job, 1), targetRow(left, 0))
	f.decide(1)
	f.assertRuns(job, 1, false)
	f.write(targetRow(other, 0))
	f.clock.Advance(inventorySilence)
	f.term.view.Apply([]sesamerows.Row{f.changed(targetRow(other, 0))}, f.term.now())
	f.applyInventory(other.ID)
	return f, left
}

// TestEndNotSeenYet records the end of a run, after which its target leaves,
// while the feed has brought neither. The task must not start again.
func TestEndNotSeenYet(t *testing.T) {
	for name, change := range map[string]func(*sesamework.Target){
		"target is gone":      func(left *sesamework.Target) { left.State = sesamework.TargetGone },
		"target began a life": func(left *sesamework.Target) { left.Life++ },
		"target goes on":      func(left *sesamework.Target) { left.SilentFor = 2000 },
	} {
		t.Run(name, func(t *testing.T) {
			f, left := newRunningTask(t, "job")
			f.write(endRow("job", 1, left, sesamework.EndDone))
			change(&left)
			f.write(targetRow(left, 0))
			f.decide(3)
			f.assertRuns("job", 1, true)
		})
	}
}

// TestEndAfterLoss lets a planner give a run up before the feed brings its end,
// which was recorded all the same. The end must count, whenever it comes.
func TestEndAfterLoss(t *testing.T) {
	for _, outcome := range []sesamework.Outcome{sesamework.EndDone, sesamework.EndFailed} {
		t.Run(string(outcome), func(t *testing.T) {
			left := newTarget("a")
			f := newTermFixture(t, jobFillingTarget("job", 1), targetRow(left, 0))
			f.decide(1)
			gone := left
			gone.State = sesamework.TargetGone
			f.write(targetRow(gone, 0))
			f.term.view.Apply([]sesamerows.Row{f.changed(targetRow(gone, 0))}, f.term.now())
			unit := f.term.view.units[sesamework.UnitID{Job: "job"}]
			f.is.True(!unit.isActive())

			end := endRow("job", 1, left, outcome)
			f.write(end)
			f.term.view.Apply([]sesamerows.Row{f.changed(end)}, f.term.now())
			f.is.Equal(unit.members[0].outcome, outcome)
			f.is.Equal(unit.done, outcome == sesamework.EndDone)
			f.is.Equal(unit.failures > 0, outcome == sesamework.EndFailed)
		})
	}
}

// TestStartAfterUnseenEnd lets a planner give a run up and decide to start its
// task again, while the run's end is in the store already.
func TestStartAfterUnseenEnd(t *testing.T) {
	left, other := newTarget("a"), newTarget("b")
	f := newTermFixture(t, jobFillingTarget("job", 1), targetRow(left, 0))
	f.decide(1)
	f.write(targetRow(other, 0), endRow("job", 1, left, sesamework.EndDone))
	left.State = sesamework.TargetGone
	f.write(targetRow(left, 0))
	f.term.view.Apply([]sesamerows.Row{
		f.changed(targetRow(left, 0)),
		f.changed(targetRow(other, 0)),
	}, f.term.now())
	f.decide(2)
	f.assertRuns("job", 1, true)
}

// TestUnreadableEnd finds an end that can't be read when it starts a lost task
// again. Other work must start all the same.
func TestUnreadableEnd(t *testing.T) {
	f, left := newRunningTask(t, "lost")
	f.decide(1) // gives the target up
	end := endRow("lost", 1, left, sesamework.EndDone)
	end.Value = []byte("{")
	f.write(end, jobFillingTarget("other", 2), targetRow(newTarget("c"), 0))
	f.term.view.Apply([]sesamerows.Row{
		f.changed(jobFillingTarget("other", 2)),
		f.changed(targetRow(newTarget("c"), 0)),
	}, f.term.now())
	f.decide(1)
	f.assertRuns("lost", 1, false)
	f.assertRuns("other", 1, false)
}

// TestOldTombstone brings the removal of a target's row after the planner has
// seen the row that was written since. What runs on the target must go on.
func TestOldTombstone(t *testing.T) {
	target := newTarget("a")
	f := newTermFixture(t, jobFillingTarget("job", 1), targetRow(target, 0))
	f.decide(1)
	newest := f.changed(targetRow(target, 0))
	f.term.view.Apply([]sesamerows.Row{{
		Key:     newest.Key,
		Version: newest.Version - 1,
		Removed: true,
	}}, f.term.now())
	f.is.True(f.term.view.units[sesamework.UnitID{Job: "job"}].isActive())
}

// TestReportSeenByRebuild rebuilds the view after a long silence of the feed. A
// target that reported meanwhile must not count as silent since then.
func TestReportSeenByRebuild(t *testing.T) {
	target := newTarget("a")
	f := newTermFixture(t, targetRow(target, 0))
	f.clock.Advance(sesamework.TargetLostTimeout)
	target.Heartbeat++
	f.write(targetRow(target, 0))
	snapshot, err := sesamerows.NewFollower(f.memory, sesamerows.FollowOptions{
		Table: sesamework.WorkTable,
	}).Next(t.Context())
	f.is.NoErr(err)
	_, err = f.term.apply(t.Context(), snapshot)
	f.is.NoErr(err)
	f.clock.Advance(time.Millisecond)
	f.decide(1)
	f.is.Equal(f.targetState(target), sesamework.TargetReady)
}

// TestOldInventory applies an inventory that was made before a target began, and
// that was held up until the target's reports are late. The target is alive.
func TestOldInventory(t *testing.T) {
	target := newTarget("a")
	f := newTermFixture(t)
	requestedAt := f.term.now().Steady
	f.clock.Advance(time.Second)
	f.write(targetRow(target, 0))
	f.term.view.Apply([]sesamerows.Row{f.changed(targetRow(target, 0))}, f.term.now())
	f.clock.Advance(inventorySilence)
	f.term.view.now = f.term.now()
	f.term.view.ApplyInventory(inventory{
		requestedAt: requestedAt,
	})
	f.decide(1)
	f.is.Equal(f.targetState(target), sesamework.TargetReady)
}

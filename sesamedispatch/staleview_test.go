package sesamedispatch

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// feed passes the rows to the view as the store holds them now.
func (f *termFixture) feed(rows ...sesamerows.Row) {
	f.t.Helper()
	var found []sesamerows.Row
	for _, row := range rows {
		found = append(found, f.changed(row))
	}
	f.term.view.Apply(found, f.term.now())
}

// writeAndFeed writes the rows and passes them to the view.
func (f *termFixture) writeAndFeed(rows ...sesamerows.Row) {
	f.t.Helper()
	f.write(rows...)
	f.feed(rows...)
}

// takeOverAgain ends the term and begins another one, of another process.
func (f *termFixture) takeOverAgain() {
	f.t.Helper()
	f.term.stepDown()
	next := NewPlanner(f.term.o)
	absent, err := next.isLeaderAbsent(f.t.Context())
	f.is.NoErr(err)
	f.is.True(absent)
	f.term, err = next.takeOver(f.t.Context())
	f.is.NoErr(err)
}

// assertActive checks that the newest run of the job's task still counts as
// running.
func (f *termFixture) assertActive(job string) {
	f.t.Helper()
	f.is.True(f.term.view.units[sesamework.UnitID{Job: job}].isActive())
}

// TestEndRowOfAnotherLife records the end of a run that a late start began in the
// target's next life. It must keep neither that task nor another job waiting.
func TestEndRowOfAnotherLife(t *testing.T) {
	target := newTarget("a")
	f := newTermFixture(t, jobFillingTarget("job", 1), targetRow(target, 0))
	f.decide(1)
	target.Life++
	f.writeAndFeed(
		endRow("job", 1, target, sesamework.EndStopped),
		targetRow(target, 0), targetRow(newTarget("b"), 0),
		jobFillingTarget("other", 1))
	f.decide(3)
	f.assertActive("other")
	f.assertRuns("job", 2, false)
}

// TestUnreadableEndRow puts a row that can't be decoded at the place of a lost
// run's end. Another job must start all the same.
func TestUnreadableEndRow(t *testing.T) {
	target := newTarget("a")
	f := newTermFixture(t, jobFillingTarget("job", 1), targetRow(target, 0))
	f.decide(1)
	end := endRow("job", 1, target, sesamework.EndDone)
	end.Value = []byte("{")
	target.State = sesamework.TargetGone
	f.writeAndFeed(
		end, targetRow(target, 0), targetRow(newTarget("b"), 0), targetRow(newTarget("c"), 0),
		jobFillingTarget("other", 1))
	f.decide(3)
	f.assertActive("other")
}

// TestSnapshotOlderThanConflict rebuilds the view from a snapshot that was read
// before a conflict showed the target's next life, on which a run was ordered
// since. That run must not count as lost.
func TestSnapshotOlderThanConflict(t *testing.T) {
	target := newTarget("a")
	f := newTermFixture(t, jobFillingTarget("job", 1), targetRow(target, 0))
	f.decide(1)
	snapshot, err := sesamerows.NewFollower(f.memory, sesamerows.FollowOptions{
		Table: sesamework.WorkTable,
	}).Next(t.Context())
	f.is.NoErr(err)

	target.Life++
	f.write(targetRow(target, 0))
	f.clock.Advance(inventorySilence)
	f.applyInventory()
	f.decide(2)
	f.assertRuns("job", 2, false)

	_, err = f.term.apply(t.Context(), snapshot)
	f.is.NoErr(err)
	f.assertActive("job")
	f.decide(2)
	f.assertRuns("job", 2, false)
}

// TestEndOfEarlierRun records that a run ended as done after its target was given
// up and the next run was ordered. Once that one fails, no other may start.
func TestEndOfEarlierRun(t *testing.T) {
	first, second := newTarget("a"), newTarget("b")
	f := newTermFixture(t, jobFillingTarget("job", 1), targetRow(first, 0))
	f.decide(1)
	gone := first
	gone.State = sesamework.TargetGone
	f.writeAndFeed(targetRow(gone, 0), targetRow(second, 0))
	f.decide(1)
	f.assertRuns("job", 2, false)

	f.writeAndFeed(endRow("job", 1, first, sesamework.EndDone), targetRow(first, 0))
	f.writeAndFeed(endRow("job", 2, second, sesamework.EndFailed))
	f.decide(2)
	f.assertRuns("job", 2, true)
}

// TestEndAfterNeverRan records that a run ended as done, in place of the end
// that says that it never started. The task must not start again.
func TestEndAfterNeverRan(t *testing.T) {
	target := newTarget("a")
	f := newTermFixture(t, jobFillingTarget("job", 1), targetRow(target, 0))
	f.decide(1)
	f.writeAndFeed(endRow("job", 1, target, sesamework.EndNeverRan))
	f.writeAndFeed(endRow("job", 1, target, sesamework.EndDone))
	f.decide(2)
	f.assertRuns("job", 1, true)
}

// endedJob returns the rows of a completed job whose one task ran that often, and
// of all ends of these runs.
func endedJob(id string, runs int) []sesamerows.Row {
	target := newTarget("a")
	rows := []sesamerows.Row{
		jobFillingTarget(id, 1),
		{
			Key:   sesamework.StateKey(sesamework.PlanPart, id),
			Value: []byte(`{"s":"completed"}`),
		},
		{
			Key: sesamework.RunKey(sesamework.UnitID{
				Job: id,
			}, "zone"),
			Value: encode(sesamework.Run{
				Number: runs,
				Members: []sesamework.Member{{
					Target: targetRow(target, 0).Key.Name,
					Zone:   "zone",
				}},
			}),
		},
	}
	for run := 1; run < runs; run++ {
		rows = append(rows, endRow(id, run, target, sesamework.EndStopped))
	}
	return append(rows, endRow(id, runs, target, sesamework.EndDone))
}

// TestTakeOverDuringSweep lets another planner take over while some of an ended
// job's rows are removed. The job must not begin anew.
func TestTakeOverDuringSweep(t *testing.T) {
	for runs := 30; runs <= 40; runs++ {
		t.Run(fmt.Sprint(runs), func(t *testing.T) {
			f := newTermFixture(t, endedJob("job", runs)...)
			f.clock.Advance(endedJobRetention + time.Second)
			f.decide(1)
			f.takeOverAgain()
			f.write(targetRow(newTarget("b"), 0))
			f.feed(targetRow(newTarget("b"), 0))
			f.decide(1)
			if u, ok := f.term.view.units[sesamework.UnitID{Job: "job"}]; ok {
				f.is.True(!u.isActive())
			}
		})
	}
}

// TestUnseenEndOfWideGang loses a gang on two targets, one of which has recorded
// the ends of the last members, while the feed has brought none of these. The gang
// must not start again.
func TestUnseenEndOfWideGang(t *testing.T) {
	const tasks = 60
	gang := sesamework.UnitID{
		Job:   "job",
		Index: sesamework.GangIndex,
	}
	var job sesamework.Job
	row := jobFillingTarget("job", 1)
	is.New(t).NoErr(json.Unmarshal(row.Value, &job))
	job.Steps[0].Gang = true
	job.Steps[0].Count = tasks
	job.Steps[0].Need.Accelerators = 1
	row.Value = encode(job)
	targets := []sesamework.Target{newTarget("a"), newTarget("b"), newTarget("c")}
	targets[0].Capacity.Accelerators = 45
	targets[1].Capacity.Accelerators = 15
	targets[2].Capacity.Accelerators = tasks
	f := newTermFixture(t, row, targetRow(targets[0], 0), targetRow(targets[1], 0))
	f.decide(1)
	u := f.term.view.units[gang]
	f.is.Equal(len(u.members), tasks)
	last := u.members[tasks-1]
	for _, m := range u.members {
		if m.Target == last.Target {
			f.write(sesamerows.Row{
				Key: sesamework.EndKey(m.TargetKey(), gang.Task(m.Index), 1),
				Value: encode(sesamework.End{
					Outcome: sesamework.EndDone,
					Target:  m.Target,
				}),
			})
		}
	}
	targets[0].State = sesamework.TargetGone
	targets[1].State = sesamework.TargetGone
	f.writeAndFeed(targetRow(targets[0], 0), targetRow(targets[1], 0), targetRow(targets[2], 0))
	f.decide(2)
	f.is.Equal(u.run.Number, 1)
	f.is.True(u.done)
}

package sesamedispatch

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// secondCrash puts the job's task on a target after one crash in an earlier run,
// so that one more gives the task up.
func secondCrash(t *testing.T) (*termFixture, sesamework.Target) {
	left := newTarget("a")
	f := newTermFixture(t, jobFillingTarget("job", 1), targetRow(left, 0))
	f.decide(1)
	f.writeAndFeed(targetRow(crashed(left, 10*time.Millisecond, "job"), 0))
	next := newTarget("b")
	f.writeAndFeed(targetRow(next, 0))
	f.decide(1)
	f.assertRuns("job", 2, false)
	return f, next
}

// TestGivenUpAfterUnseenEnd concludes a second crash while the end of the run as
// done is in the store already. The job must not be shown as failed.
func TestGivenUpAfterUnseenEnd(t *testing.T) {
	f, left := secondCrash(t)
	gone := crashed(left, 10*time.Millisecond, "job")
	gone.Crash.Runs[0].Run = 2
	end := endRow("job", 2, left, sesamework.EndDone)
	f.write(end, targetRow(gone, 0))
	f.feed(targetRow(gone, 0))
	f.decide(1)
	f.feed(end)
	f.decide(1)
	f.is.Equal(f.term.view.jobs["job"].published, sesamework.JobCompleted)
}

// TestCrashOfWaitingSuspect lets another planner take over after a crash while
// the suspect waits and the target has begun another life. The crash must still
// count.
func TestCrashOfWaitingSuspect(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*sesamework.Target)
	}{
		{name: "another task has crashed the next life", change: func(next *sesamework.Target) {
			*next = crashed(*next, 10*time.Millisecond, "other")
		}},
		{name: "another agent reports the next life", change: func(*sesamework.Target) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			left := newTarget("a")
			f := newTermFixture(t, jobFillingTarget("job", 1), targetRow(left, 0))
			f.decide(1)
			f.writeAndFeed(targetRow(crashed(left, 10*time.Millisecond, "job"), 0))
			id := sesamework.UnitID{Job: "job"}
			f.is.Equal(f.term.view.units[id].suspicion.crashes[0], 1)
			f.decide(1)

			next := left
			next.Life++
			c.change(&next)
			f.writeAndFeed(targetRow(next, 0))
			f.takeOverAgain()
			f.is.Equal(f.term.view.units[id].suspicion.crashes[0], 1)
		})
	}
}

// TestSuspectsOfTwoServices keeps a target for suspects of a large service. A
// suspect of a small one must get its own.
func TestSuspectsOfTwoServices(t *testing.T) {
	is := is.New(t)
	large, small := newTarget("a"), newTarget("b")
	large.Service = "large"
	f := newTermFixture(t, jobFillingTarget("job", 1), targetRow(large, 0), targetRow(small, 0))
	p := f.term.view.newPass(&Decision{})
	p.isolated = append(p.isolated, targetRow(large, 0).Key.Name)
	is.True(p.mayIsolateMore(f.term.view.unit("job")))
}

// jobOf returns the row of a job of the team whose one task needs that many
// accelerators.
func jobOf(id, team string, accelerators int64) sesamerows.Row {
	row := jobFillingTarget(id, 0)
	var j sesamework.Job
	if err := json.Unmarshal(row.Value, &j); err != nil {
		panic(err)
	}
	j.Team = team
	j.Steps[0].Need.Accelerators = accelerators
	row.Value = encode(j)
	return row
}

// TestOwedWorkBesideWaitingSuspects lets small suspects of another team wait on a
// full system. Work that is owed must claim room all the same.
func TestOwedWorkBesideWaitingSuspects(t *testing.T) {
	is := is.New(t)
	now := Now{
		Steady: time.Hour,
		Store:  time.Hour,
	}
	v := NewView(sesamelog.Discard())
	v.SetPolicy(&sesamework.Policy{
		Teams: []sesamework.Team{{
			Name:       "team",
			Guaranteed: 8,
		}},
	})
	v.Load([]sesamerows.Row{
		jobFillingTarget("batch-a", 2), jobFillingTarget("batch-b", 2),
		targetRow(newTarget("a"), 1), targetRow(newTarget("b"), 1),
	}, nil, nil, now)
	v.applyDecision(v.Decide(now))
	v.Apply([]sesamerows.Row{jobOf("s1", "other", 1), jobOf("s2", "other", 1), jobOf("urgent", "team", 4)}, now)
	for _, id := range []string{"s1", "s2"} {
		v.unit(id).suspicion.suspect = true
	}
	now.Steady += 100 * time.Millisecond
	now.Store += 100 * time.Millisecond
	d := v.Decide(now)
	is.Equal(len(d.Stops), 1)
	is.Equal(len(v.units[sesamework.UnitID{Job: "urgent"}].claim.targets), 1)
}

// BenchmarkSuspects measures one decision while all units that wait are suspects.
func BenchmarkSuspects(b *testing.B) {
	for _, targets := range []int{62, 300} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			view := overloadedView(targets)
			now := view.now
			for range 10 {
				view.applyDecision(view.Decide(now))
				now.Steady += 10 * time.Millisecond
			}
			for _, u := range view.units {
				if u.isWaiting() {
					u.suspicion.suspect = true
				}
			}
			for b.Loop() {
				now.Steady += time.Millisecond
				view.Decide(now)
			}
		})
	}
}

// TestStartsAfterThreeCrashes crashes three targets late under a task with a
// neighbour, and then stops its runs. The platform allows two more starts.
func TestStartsAfterThreeCrashes(t *testing.T) {
	const (
		crashes    = 3
		mostStarts = crashes + 2
	)
	f := newTermFixture(t, jobFillingTarget("job", 1))
	unit := f.term.view.unit("job")
	for run := 1; run <= mostStarts+1; run++ {
		target := newTarget(fmt.Sprint("t", run))
		f.writeAndFeed(targetRow(target, 0))
		f.decide(1)
		if unit.run.Number < run {
			break
		}
		if run <= crashes {
			gone := crashed(target, 5*time.Second, "job", "neighbour")
			gone.Crash.Runs[0].Run = run
			f.writeAndFeed(targetRow(gone, 0))
			f.is.Equal(unit.suspicion.crashes[0], run)
			continue
		}
		leaving := target
		leaving.State = sesamework.TargetGone
		f.writeAndFeed(endRow("job", run, target, sesamework.EndStopped), targetRow(leaving, 0))
	}
	f.is.True(unit.run.Number <= mostStarts)
}

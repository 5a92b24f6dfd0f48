package sesamedispatch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// labelled returns a target with the label "only".
func labelled(id string) sesamework.Target {
	t := newTarget(id)
	t.Labels = []string{"only"}
	return t
}

// taskWithLabel returns the row of a job whose tasks of one accelerator need the
// label "only".
func taskWithLabel(id string, tasks int, lasts bool) sesamerows.Row {
	return withStep(jobFillingTarget(id, 1), func(_ *sesamework.Job, s *sesamework.Step) {
		s.Count = tasks
		s.Need.Accelerators = 1
		s.Label = "only"
		s.LongRunning = lasts
	})
}

// failAll lets all active members of the jobs fail.
func (f *termFixture) failAll(jobs ...string) {
	f.term.view.now = f.term.now()
	for _, id := range jobs {
		f.term.view.jobs[id].eachUnit(func(u *unit) {
			for _, m := range u.members {
				f.term.view.endMember(u, m, sesamework.End{
					Outcome: sesamework.EndFailed,
				})
			}
		})
	}
}

// TestQuarantineOfOnlyTarget guards against tasks that wait for a quarantine of up to
// a minute beside the empty target, the only one that they can use, and against
// attempts that a target uses up which fails the tasks of several jobs.
func TestQuarantineOfOnlyTarget(t *testing.T) {
	for _, c := range []struct {
		name string
		jobs int
		// lasts says that the tasks last, and other that another target could run
		// them but is full.
		lasts bool
		other bool
		// afterWait says that they start again before the quarantine is over.
		afterWait bool
	}{
		{name: "tasks that last", jobs: 1, lasts: true, afterWait: true},
		{name: "tasks that last, of several jobs", jobs: 2, lasts: true, afterWait: true},
		{name: "tasks that last beside a full target", jobs: 1, lasts: true, other: true, afterWait: true},
		{name: "tasks of one job", jobs: 1, afterWait: true},
		{name: "tasks of several jobs", jobs: 2},
		{name: "tasks of one job beside a full target", jobs: 1, other: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			targets := []sesamework.Target{labelled("target-0"), newTarget("target-1")}
			if c.other {
				targets[1] = labelled("target-1")
			}
			report := func(f *termFixture) {
				f.writeAndFeed(targetRow(targets[0], 0), targetRow(targets[1], 0))
			}
			f := newTermFixture(t, targetRow(targets[1], 0), withStep(jobFillingTarget("full", 0), func(_ *sesamework.Job, s *sesamework.Step) {
				s.LongRunning = true
			}))
			f.decide(1)
			report(f)
			var jobs []string
			for i := range c.jobs {
				jobs = append(jobs, fmt.Sprint("job-", i))
				f.writeAndFeed(taskWithLabel(jobs[i], 2/c.jobs, c.lasts))
			}
			f.decide(1)
			is.Equal(f.runsOf(jobs[0]), 1)
			f.failAll(jobs...)
			f.decide(1)
			is.Equal(f.runsOf(jobs[0]), 1) // a quarantine holds for a while at least
			f.clock.Advance(maxQuarantineWait)
			report(f)
			f.decide(1)
			for _, id := range jobs {
				is.Equal(f.runsOf(id) == 2, c.afterWait)
			}
			f.clock.Advance(firstQuarantine - maxQuarantineWait)
			report(f)
			f.decide(1)
			is.Equal(f.runsOf(jobs[0]), 2)
		})
	}
}

// TestLongestWaitingTaskFirst guards against a task that lasts and never runs again
// because another one of its step, which fails again and again, comes first and may
// not use the target yet.
func TestLongestWaitingTaskFirst(t *testing.T) {
	is := is.New(t)
	f := newTermFixture(t, taskWithLabel("job", 2, true), targetRow(labelled("target-0"), 0))
	f.decide(1)
	f.failAll("job")
	f.decide(1)
	units := f.term.view.jobs["job"].occurrences[0][0].created
	first, second := units[0], units[1]
	f.clock.Advance(maxQuarantineWait)
	f.writeAndFeed(targetRow(labelled("target-0"), 0))
	first.readySince = f.term.now().Steady
	f.decide(1)
	is.Equal(first.run.Number, 1)
	is.Equal(second.run.Number, 2)
}

// TestQuarantineAfterStall guards against a target on which a task made no progress and
// that gets other tasks again because no other target could hold them.
func TestQuarantineAfterStall(t *testing.T) {
	is := is.New(t)
	row := targetRow(labelled("target-0"), 0)
	f := newTermFixture(t, row)
	f.term.view.targets[row.Key.Name].quarantine(f.term.now().Steady)
	f.writeAndFeed(taskWithLabel("job", 1, false))
	f.decide(1)
	f.clock.Advance(maxQuarantineWait)
	f.writeAndFeed(row)
	f.decide(1)
	is.Equal(f.runsOf("job"), 0)
	f.clock.Advance(firstQuarantine - maxQuarantineWait)
	f.writeAndFeed(row)
	f.decide(1)
	is.Equal(f.runsOf("job"), 1)
}

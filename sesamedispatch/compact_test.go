package sesamedispatch

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// jobWithSteps returns the row of a job with steps of that many tasks, of which each
// target holds 64.
func jobWithSteps(id string, counts ...int) sesamerows.Row {
	return withStep(jobFillingTarget(id, 1), func(j *sesamework.Job, s *sesamework.Step) {
		s.Need = sesamework.Resources{
			Cores: 1000,
		}
		step := *s
		j.Steps = nil
		for _, count := range counts {
			step.Count = count
			j.Steps = append(j.Steps, step)
		}
	})
}

// runner takes the part of the agents in tests without any: it ends what the planner
// has ordered.
type runner struct {
	*termFixture
	// starts counts the runs of each task.
	starts map[string]int
	// most is the most units, ends and obsolete rows that the view held at once.
	most int
}

func newRunner(f *termFixture) *runner {
	return &runner{
		termFixture: f,
		starts:      map[string]int{},
	}
}

// end records, in the store, that all active runs have ended so.
func (r *runner) end(outcome func(u *unit) sesamework.Outcome) {
	r.t.Helper()
	for _, u := range r.term.view.units {
		for _, m := range u.members {
			if m.outcome != "" {
				continue
			}
			task := u.id.Task(m.Index)
			r.starts[task.String()]++
			r.commit(sesamerows.Row{
				Key: sesamework.EndKey(m.TargetKey(), task, u.run.Number),
				Value: encode(sesamework.End{
					Outcome: outcome(u),
					Target:  m.Target,
					Life:    m.Life,
				}),
			})
		}
	}
}

// isDone is the outcome of runs that succeed.
func isDone(*unit) sesamework.Outcome { return sesamework.EndDone }

// step lets the planner decide, and once more while its runs are active, ends these, and
// feeds the ends back.
func (r *runner) step(outcome func(u *unit) sesamework.Outcome) {
	r.t.Helper()
	for range 2 {
		r.clock.Advance(time.Millisecond)
		r.decide(1)
	}
	v := r.term.view
	r.most = max(r.most, len(v.units), len(v.ends)+len(v.obsolete.rows))
	r.end(outcome)
	r.followOnce()
}

// published returns the state of the job that callers see.
func (r *runner) published(job string) sesamework.JobState {
	return r.term.view.jobs[job].published
}

// countRows returns how many rows the store holds of a job's runs and their ends.
func (r *runner) countRows() int {
	r.t.Helper()
	rows := 0
	for _, key := range []sesamerows.Key{
		sesamework.RunKey(sesamework.UnitID{}, "zone"),
		targetRow(newTarget("a"), 0).Key,
	} {
		page, err := sesamerows.ReadAll(r.t.Context(), r.memory, sesamerows.Range{
			Table: key.Table,
			Part:  key.Part,
		})
		r.is.NoErr(err)
		rows += len(page.Rows)
	}
	return rows
}

// TestEndedTasksAreReleased guards against planners that run out of memory by what has
// ended: their memory, and the rows that the next one reads, grew by some 1.8 KB with
// each task. Two planners take over while the job is half done, and no task runs twice.
func TestEndedTasksAreReleased(t *testing.T) {
	const tasks, held, running = 3000, 100, 64
	f := newTermFixture(t, jobWithSteps("wide", tasks, 10), targetRow(newTarget("a"), 0))
	r := newRunner(f)
	for i := 0; r.published("wide") != sesamework.JobCompleted; i++ {
		f.is.True(i < 2*tasks/running)
		f.term.o.HeldEnds = held
		if i == 20 || i == 21 {
			f.replacePlanner(f.memory)
			f.is.True(len(f.term.view.ends) <= 2*held+running)
		}
		r.step(isDone)
		f.write(targetRow(newTarget("a"), 0))
	}
	f.is.Equal(len(r.starts), tasks+10)
	for task, starts := range r.starts {
		if starts != 1 {
			t.Errorf("%s was started %d times", task, starts)
		}
	}
	f.is.True(r.most <= 2*held+2*maxChangeEntries+running)
	f.is.True(r.countRows() <= 2*(2*held+2*maxChangeEntries+running))
}

// TestEndsOfLastingTasksAreTrimmed guards against tasks that last and end again and
// again, each time with a row that stayed until the job was cancelled.
func TestEndsOfLastingTasksAreTrimmed(t *testing.T) {
	const held, tasks = 20, 8
	row := withStep(jobWithSteps("lasting", tasks), func(_ *sesamework.Job, s *sesamework.Step) {
		s.LongRunning = true
	})
	f := newTermFixture(t, row, targetRow(newTarget("a"), 0))
	f.term.o.HeldEnds = held
	r := newRunner(f)
	for range 100 {
		r.step(isDone)
		f.write(targetRow(newTarget("a"), 0))
	}
	f.is.Equal(r.starts["lasting.0.0.0"], 100)
	f.is.True(r.most <= held+tasks+maxChangeEntries)
	f.replacePlanner(f.memory)
	f.is.True(len(f.term.view.ends) <= held+tasks+maxChangeEntries)
}

// TestTrimmedEndChanges guards against the removal of an end that has become another
// one meanwhile: that the task is done after all would be lost, and it would run again.
func TestTrimmedEndChanges(t *testing.T) {
	target := newTarget("a")
	f := newTermFixture(t, jobWithSteps("job", 1), targetRow(target, 0))
	f.term.o.HeldEnds = 1
	r := newRunner(f)
	for range 3 {
		r.step(func(*unit) sesamework.Outcome { return sesamework.EndNeverRan })
	}
	first := endRow("job", 1, target, sesamework.EndDone)
	f.write(first) // the feed has not brought it yet
	f.is.NoErr(f.term.compact(t.Context(), 0))
	f.term.view.trimEnds()
	_, err := f.term.removeObsolete(t.Context())
	f.is.NoErr(err)
	found, _, err := sesamerows.ReadRow(t.Context(), f.memory, first.Key)
	f.is.NoErr(err)
	f.is.True(found.Version > 0)
	f.is.True(f.unit("job").done)
	f.replacePlanner(f.memory)
	f.is.True(f.unit("job").done)
}

// TestReleasedGangLeavesRows guards against a gang whose rows don't fit into one
// transaction: a planner that finds some of them must neither run it again nor keep
// them.
func TestReleasedGangLeavesRows(t *testing.T) {
	const members = 300
	target := newTarget("a")
	row := withStep(jobWithSteps("gang", members, 1), func(j *sesamework.Job, s *sesamework.Step) {
		s.Gang = true
		s.Need = sesamework.Resources{}
		j.Steps[1].After = []int{0}
	})
	f := newTermFixture(t, row, targetRow(target, 0))
	r := newRunner(f)
	r.step(isDone)
	f.is.Equal(len(r.starts), members)
	f.term.o.HeldEnds = 1
	run := f.changed(sesamerows.Row{
		Key: sesamework.RunKey(sesamework.UnitID{
			Job:   "gang",
			Index: sesamework.GangIndex,
		}, "zone"),
	})
	_, err := f.term.release(t.Context(), maxChangeEntries)
	f.is.NoErr(err)
	f.write(run)
	f.replacePlanner(f.memory)
	f.term.o.HeldEnds = 1
	f.is.Equal(len(f.term.view.obsolete.rows), members+1)
	for r.published("gang") != sesamework.JobCompleted {
		r.step(isDone)
	}
	for len(f.term.view.obsolete.rows) > 0 {
		_, err := f.term.removeObsolete(t.Context())
		f.is.NoErr(err)
	}
	f.is.Equal(len(r.starts), members+1)
	f.replacePlanner(f.memory)
	f.is.Equal(len(f.term.view.obsolete.rows), 0)
}

// recurringJob returns the row of a job of that many occurrences, one each
// millisecond from 1970 on.
func recurringJob(id string, recurrences int, counts ...int) sesamerows.Row {
	return withStep(jobWithSteps(id, counts...), func(j *sesamework.Job, _ *sesamework.Step) {
		j.Recurrences = recurrences
		j.Interval = 1
	})
}

// TestDueOccurrencesOpenInTurn guards against a recurring job of which so many
// occurrences are due that their units end the planner. They open as earlier ones are
// started, and are not kept once they are done; a planner that takes over knows them.
func TestDueOccurrencesOpenInTurn(t *testing.T) {
	const recurrences, held, running = 1000, 50, 64
	f := newTermFixture(t, recurringJob("often", recurrences, 2, 1), targetRow(newTarget("a"), 0))
	r := newRunner(f)
	for i := 0; r.published("often") != sesamework.JobCompleted; i++ {
		f.is.True(i < recurrences)
		f.term.o.HeldEnds = held
		if i%10 == 5 {
			f.replacePlanner(f.memory)
		}
		r.step(isDone)
		f.write(targetRow(newTarget("a"), 0))
		f.is.True(len(f.term.view.jobs["often"].occurrences) <= sesamework.MaxWaitingOccurrences+held+running+maxChangeEntries)
	}
	f.is.Equal(len(r.starts), 3*recurrences)
	for task, starts := range r.starts {
		if starts != 1 {
			t.Errorf("%s was started %d times", task, starts)
		}
	}
	f.is.True(r.countRows() <= 2*(2*held+2*maxChangeEntries+running))
}

// TestOccurrencesBeforeTheirTime guards against occurrences that open early because
// others, after them, are recorded as done.
func TestOccurrencesBeforeTheirTime(t *testing.T) {
	j := &job{
		Job: sesamework.Job{
			Recurrences: 100,
			Interval:    1000,
		},
		doneOccurrences: sesamework.IndexSet{}.With(0, 1, 2, 5, 6),
	}
	for wall, due := range []int{0, 0, 0, 1, 2, 2, 2, 3, 4} {
		t.Run(fmt.Sprint(wall, " s"), func(t *testing.T) {
			f := newTermFixture(t)
			f.is.Equal(j.dueToOpen(int64(wall)*1000), due)
		})
	}
}

// TestSpanOfOccurrences guards against a record of done occurrences that grows with
// their number while one goes on and on.
func TestSpanOfOccurrences(t *testing.T) {
	f := newTermFixture(t)
	var after []int
	for i := 1; i < sesamework.MaxIndexSpan-1; i++ {
		after = append(after, i)
	}
	j := &job{
		Job: sesamework.Job{
			Recurrences: 1 << 20,
		},
		doneOccurrences: sesamework.IndexSet{}.With(after...),
		opened:          len(after) + 1,
	}
	f.is.Equal(j.dueToOpen(0), 1)
	j.opened++
	f.is.Equal(j.dueToOpen(0), 0)
}

// TestRowsOfUnreadableJobStay guards against the removal of what belongs to a job whose
// row this version can't read.
func TestRowsOfUnreadableJobStay(t *testing.T) {
	for name, value := range map[string]string{"unreadable": "{", "unknown": ""} {
		t.Run(name, func(t *testing.T) {
			end := endRow("job", 1, newTarget("a"), sesamework.EndDone)
			f := newTermFixture(t, end)
			if value != "" {
				f.commit(sesamerows.Row{
					Key:   sesamework.JobKey("job"),
					Value: json.RawMessage(value),
				})
			}
			f.replacePlanner(f.memory)
			f.clock.Advance(maxObsoleteAge)
			f.decide(1)
			found, _, err := sesamerows.ReadRow(t.Context(), f.memory, end.Key)
			f.is.NoErr(err)
			f.is.Equal(found.Version > 0, value != "")
		})
	}
}

// TestInterruptedTasksComeFirst guards against planners that run out of memory by tasks
// that were started and have to be started again, as when a lease lapses or their room
// is taken: they waited behind all of their step that never were.
func TestInterruptedTasksComeFirst(t *testing.T) {
	const tasks, held, running = 6000, 100, 64
	f := newTermFixture(t, jobWithSteps("wide", tasks), targetRow(newTarget("a"), 0))
	f.term.o.HeldEnds = held
	r := newRunner(f)
	for i := 0; r.published("wide") != sesamework.JobCompleted; i++ {
		f.is.True(i < 4*tasks/running)
		r.step(func(u *unit) sesamework.Outcome {
			if u.run.Number == 1 {
				return sesamework.EndLapsed
			}
			return sesamework.EndDone
		})
		f.write(targetRow(newTarget("a"), 0))
	}
	for task, starts := range r.starts {
		if starts != 2 {
			t.Errorf("%s was started %d times", task, starts)
		}
	}
	f.is.True(r.most <= maxInterruptedUnits+2*held+2*maxChangeEntries+running)
}

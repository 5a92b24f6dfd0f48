package sesamedispatch

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// TestReleaseOfScheduledJobs guards against a planner that panics when the occurrences
// that it releases leave one entry of the transaction. The next planner did so too.
func TestReleaseOfScheduledJobs(t *testing.T) {
	for recurrences := 1; recurrences <= 20; recurrences++ {
		t.Run(fmt.Sprint(recurrences, " occurrences"), func(t *testing.T) {
			jobs := maxChangeEntries/recurrences + 1
			rows := []sesamerows.Row{targetRow(newTarget("a"), 0)}
			for i := range jobs {
				rows = append(rows, recurringJob(fmt.Sprint("job", i), recurrences, 1))
			}
			f := newTermFixture(t, rows...)
			r := newRunner(f)
			for len(r.starts) < jobs*recurrences {
				r.step(isDone)
				f.write(targetRow(newTarget("a"), 0))
			}
			f.term.o.HeldEnds = 1
			for len(f.term.view.ends) > f.term.o.HeldEnds {
				before := len(f.term.view.ends)
				f.decide(1)
				f.is.True(len(f.term.view.ends) < before)
			}
			f.replacePlanner(f.memory)
			for i := range jobs {
				f.is.Equal(r.published(fmt.Sprint("job", i)), sesamework.JobCompleted)
			}
		})
	}
}

// TestReleaseWithinTransaction guards against releases that fill a transaction badly,
// since their entries were estimated, and against two of the same record.
func TestReleaseWithinTransaction(t *testing.T) {
	for entries := 1; entries <= maxChangeEntries; entries++ {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			f := newTermFixture(t, targetRow(newTarget("a"), 0),
				recurringJob("recurs", 12, 3, 1), jobWithSteps("plain", 9, 8), jobWithSteps("small", 1))
			r := newRunner(f)
			for range 4 {
				r.step(isDone)
				f.write(targetRow(newTarget("a"), 0))
			}
			all := f.term.view.finishedUnits(entries)
			records := map[sesamerows.Key]bool{}
			total := 0
			for _, finished := range all {
				f.is.True(len(finished.units) > 0)
				c, err := f.term.releaseChange(finished)
				f.is.NoErr(err)
				f.is.True(c.entries() <= finished.entries())
				f.is.True(!records[finished.group.key()])
				records[finished.group.key()] = true
				total += c.entries()
			}
			f.is.True(len(all) > 0)
			f.is.True(len(all) == 1 || total <= entries)
		})
	}
}

// mixedJob is a job of a mix.
type mixedJob struct {
	// Counts are the numbers of tasks of its steps, the second of which is a gang if
	// Gang is set.
	Counts []int
	Gang   bool
	// Times is how often the job recurs; 0 means that it doesn't.
	Times int
	// Lasts says that its tasks end and start again until the job is cancelled.
	Lasts bool
	// CancelAt is the step of the test at which the job is cancelled; 0 means never.
	CancelAt int
}

// mix is a number of jobs for a planner that holds few ends.
type mix struct {
	Jobs     []mixedJob
	HeldEnds int
	// Entries is the room in a transaction for one more release in each step.
	Entries int
	// TakeOvers holds the steps at which another planner takes over.
	TakeOvers map[int]bool
}

// mixSteps is the number of steps within which cancels and changes of planners come.
const mixSteps = 12

// drawMixedJob draws a job of any kind.
func drawMixedJob(t *rapid.T) mixedJob {
	j := mixedJob{
		Counts: rapid.SliceOfN(rapid.IntRange(1, 6), 1, 3).Draw(t, "counts"),
		Gang:   rapid.Bool().Draw(t, "gang"),
	}
	switch rapid.IntRange(0, 11).Draw(t, "kind") {
	case 0:
		j.Lasts = true
		j.CancelAt = rapid.IntRange(1, mixSteps).Draw(t, "ends")
	case 1:
		j.CancelAt = rapid.IntRange(1, mixSteps).Draw(t, "cancelled")
	case 2:
		j.Counts[0] = rapid.IntRange(maxChangeEntries/2, 2*maxChangeEntries).Draw(t, "wide")
	case 3:
		// It runs once, and its rows fit into a transaction.
	default:
		j.Times = rapid.IntRange(1, 9).Draw(t, "times")
	}
	return j
}

// drawMix draws a mix.
func drawMix(t *rapid.T) mix {
	m := mix{
		Jobs:      rapid.SliceOfN(rapid.Custom(drawMixedJob), 1, 30).Draw(t, "jobs"),
		HeldEnds:  rapid.IntRange(1, 120).Draw(t, "held"),
		Entries:   rapid.IntRange(1, 20).Draw(t, "entries"),
		TakeOvers: map[int]bool{},
	}
	for _, step := range rapid.SliceOfN(rapid.IntRange(1, mixSteps), 0, 3).Draw(t, "takeovers") {
		m.TakeOvers[step] = true
	}
	return m
}

// row returns the row of the job.
func (j mixedJob) row(id string) sesamerows.Row {
	return withStep(jobWithSteps(id, j.Counts...), func(job *sesamework.Job, first *sesamework.Step) {
		first.LongRunning = j.Lasts
		if j.Times > 0 {
			job.Recurrences = j.Times
			job.Interval = 1
		}
		for i := range job.Steps[1:] {
			job.Steps[i+1].After = []int{i}
		}
		if j.Gang && len(job.Steps) > 1 {
			job.Steps[1].Gang = true
		}
	})
}

// tasks returns how many tasks the job has.
func (j mixedJob) tasks() int {
	tasks := 0
	for _, count := range j.Counts {
		tasks += count
	}
	return tasks * max(1, j.Times)
}

// play submits the jobs, cancels some and changes planners, until all have ended.
func (m mix) play(r *runner, targets ...sesamework.Target) {
	r.t.Helper()
	ended := func() bool {
		for _, j := range r.term.view.jobs {
			if !j.published.Ended() {
				return false
			}
		}
		return true
	}
	for step := 1; step <= mixSteps || !ended(); step++ {
		r.is.True(step < 100) // the jobs end
		if m.TakeOvers[step] {
			r.replacePlanner(r.memory)
		}
		r.term.o.HeldEnds = m.HeldEnds
		for i, j := range m.Jobs {
			if j.CancelAt == step {
				r.writeAndFeed(sesamerows.Row{
					Key:   sesamework.CancelKey(fmt.Sprint("job", i)),
					Value: []byte("{}"),
				})
			}
		}
		_, err := r.term.release(r.t.Context(), m.Entries)
		r.is.NoErr(err)
		r.step(isDone)
		for _, t := range targets {
			r.write(targetRow(t, 0))
		}
	}
}

// check checks that each job has ended, and each task of a job that was not cancelled
// has run once.
func (m mix) check(r *runner) {
	r.t.Helper()
	starts := map[string]int{}
	for name, count := range r.starts {
		task, err := sesamework.ParseTask(name)
		r.is.NoErr(err)
		starts[task.Job] += count
		if m.job(task.Job).CancelAt == 0 && count != 1 {
			r.t.Errorf("%s was started %d times", name, count)
		}
	}
	for i, j := range m.Jobs {
		id := fmt.Sprint("job", i)
		if j.CancelAt == 0 {
			r.is.Equal(r.published(id), sesamework.JobCompleted)
			r.is.Equal(starts[id], j.tasks())
		}
	}
}

// job returns the job with that ID.
func (m mix) job(id string) mixedJob {
	var i int
	if _, err := fmt.Sscanf(id, "job%d", &i); err != nil {
		panic(err)
	}
	return m.Jobs[i]
}

// TestReleaseOfMixedJobs plays mixes of jobs of all kinds with planners that hold few
// ends and release them in transactions of any size.
func TestReleaseOfMixedJobs(t *testing.T) {
	for seed := range 100 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			m := rapid.Custom(drawMix).Example(seed)
			first, second := newTarget("a"), newTarget("b")
			second.Zone = "other"
			rows := []sesamerows.Row{targetRow(first, 0), targetRow(second, 0)}
			for i, j := range m.Jobs {
				rows = append(rows, j.row(fmt.Sprint("job", i)))
			}
			r := newRunner(newTermFixture(t, rows...))
			m.play(r, first, second)
			m.check(r)
			r.replacePlanner(r.memory)
			m.check(r)
		})
	}
}

// TestUnreadableRecordStays guards against a planner that replaces a record of done tasks
// that it can't read by its own: the tasks in it would run again.
func TestUnreadableRecordStays(t *testing.T) {
	for _, c := range []struct {
		name string
		job  sesamerows.Row
		key  sesamerows.Key
	}{
		{
			name: "of a step",
			job:  jobWithSteps("job", 100),
			key:  sesamework.DoneUnitsKey("job", 0, 0),
		},
		{
			name: "of occurrences",
			job:  recurringJob("job", 100, 1),
			key:  sesamework.DoneOccurrencesKey("job"),
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			const unreadable = `"unreadable"`
			f := newTermFixture(t, c.job, targetRow(newTarget("a"), 0))
			f.decide(1)
			f.commit(sesamerows.Row{
				Key:   c.key,
				Value: []byte(unreadable),
			})
			f.replacePlanner(f.memory)
			newRunner(f).end(isDone)
			f.replacePlanner(f.memory)
			f.term.o.HeldEnds = 1
			f.decide(2)
			f.is.Equal(string(f.changed(sesamerows.Row{Key: c.key}).Value), unreadable)
			f.is.Equal(f.term.view.jobs["job"].published, sesamework.JobRunning)
		})
	}
}

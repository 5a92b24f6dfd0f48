package sesamedispatch

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// viewOfWideJobs returns a view with targets for 8 tasks each, and jobs of steps with
// that many tasks.
func viewOfWideJobs(targets, jobs int, counts ...int) *View {
	v := NewView(sesamelog.Discard())
	var rows []sesamerows.Row
	for i := range targets {
		rows = append(rows, targetRow(sesamework.Target{
			ID:      fmt.Sprint(i),
			Zone:    "zone",
			Service: "service",
			State:   sesamework.TargetReady,
			Capacity: sesamework.Resources{
				Cores:        8000,
				Accelerators: 8,
			},
		}, 1))
	}
	for i := range jobs {
		j := sesamework.Job{
			ID: fmt.Sprintf("%016x", i),
			Terms: sesamework.Terms{
				Service:  "service",
				Priority: 2,
				Attempts: 3,
				Stretch:  3,
			},
		}
		for _, count := range counts {
			j.Steps = append(j.Steps, sesamework.Step{
				Count:    count,
				Estimate: 1000,
				Need: sesamework.Resources{
					Cores:        1000,
					Accelerators: 1,
				},
			})
		}
		rows = append(rows, sesamerows.Row{
			Key:     sesamework.JobKey(j.ID),
			Value:   encode(j),
			Version: 1,
		})
	}
	v.Load(rows, nil, nil, Now{
		Steady: time.Hour,
		Store:  time.Hour,
	})
	return v
}

// unit returns the unit of a job with one task, which is created if need be.
func (v *View) unit(job string) *unit {
	u, _ := v.createByID(sesamework.UnitID{
		Job: job,
	})
	return u
}

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestWaitingUnitsTakeNoMemory guards against a planner that runs out of memory when
// one job has many tasks: with a unit in memory for each, eight steps of 65,536 tasks
// took 397 MB.
func TestWaitingUnitsTakeNoMemory(t *testing.T) {
	const maxBytes = 1 << 20
	is := is.New(t)
	before := heapBytes()
	v := viewOfWideJobs(3, 1, 65536, 65536, 65536)
	d := v.Decide(v.now)
	is.Equal(len(d.Starts), 24)
	is.True(heapBytes()-before < maxBytes)
	is.Equal(v.Units(), 24+3+3) // runs, waiting ones, the job with its steps
}

// TestWidestJob guards against a job that is so wide that none of its tasks start, or
// none of others: it starts beside another job of its priority, what it runs already
// counts, and it can be cancelled.
func TestWidestJob(t *testing.T) {
	is := is.New(t)
	counts := slices.Repeat([]int{65536}, sesamework.MaxSteps)
	v := viewOfWideJobs(3, 1, counts...)
	const wide = "0000000000000000"
	running := sesamework.UnitID{
		Job:   wide,
		Index: 40000,
	}
	v.setRun(sesamerows.Row{
		Key: sesamework.RunKey(running, "zone"),
		Value: encode(sesamework.Run{
			Number: 1,
			Members: sesamework.Members{{
				Index:  40000,
				Target: targetRow(sesamework.Target{ID: "0", Zone: "zone"}, 1).Key.Name,
				Zone:   "zone",
			}},
		}),
		Version: 2,
	})
	v.setJob("other", withStep(jobFillingTarget("other", 2), func(_ *sesamework.Job, s *sesamework.Step) {
		s.Count = 20
		s.Need = sesamework.Resources{
			Accelerators: 1,
		}
	}))
	started := map[string]int{}
	for _, s := range v.Decide(v.now).Starts {
		started[s.unit.id.Job]++
	}
	is.Equal(started, map[string]int{wide: 3, "other": 20}) // one of 24 accelerators is in use
	v.setCancel(wide, sesamerows.Row{})
	d := v.Decide(v.now)
	is.Equal(len(d.Stops), 1)
	is.True(v.jobs[wide].state() == sesamework.JobCancelled)
}

// TestDueOccurrencesAreBounded guards against a recurring job of which so many
// occurrences are due that their units end the planner; they come as earlier ones are
// done.
func TestDueOccurrencesAreBounded(t *testing.T) {
	const maxBytes = 1 << 20
	is := is.New(t)
	v := viewOfWideJobs(1, 0)
	before := heapBytes()
	v.setJob("job", withStep(jobFillingTarget("job", 2), func(j *sesamework.Job, s *sesamework.Step) {
		j.Recurrences = 1 << 20
		j.Interval = 1
		s.Count = 65536
	}))
	v.now.Wall = 1 << 20
	v.Decide(v.now)
	j := v.jobs["job"]
	is.Equal(len(j.occurrences), sesamework.MaxWaitingOccurrences)
	is.True(heapBytes()-before < maxBytes)
	for position := range j.occurrences[0][0].count {
		v.create(j.occurrences[0][0], position).done = true
	}
	v.Decide(v.now)
	is.Equal(len(j.occurrences), sesamework.MaxWaitingOccurrences+1)
}

// TestRebuiltViewKeepsWaits guards against units that wait anew for their data's rack
// or for other targets after the view was read anew, created or not.
func TestRebuiltViewKeepsWaits(t *testing.T) {
	is := is.New(t)
	old := viewOfWideJobs(1, 1, 100)
	old.Decide(old.now)
	v := viewOfWideJobs(1, 1, 100)
	v.keepObservations(old)
	v.now.Steady += time.Second
	v.Decide(v.now)
	step := v.jobs["0000000000000000"].occurrences[0][0]
	is.Equal(v.create(step, 0).readySince, old.now.Steady)
	is.Equal(v.create(step, 99).readySince, old.now.Steady)
}

// TestUnitsFollowMemory guards against a count of units that is below what jobs take: a
// planner would exceed its memory before entries turn jobs away. Nor may it be far above:
// they would turn jobs away in vain.
func TestUnitsFollowMemory(t *testing.T) {
	for _, steps := range []int{1, 16, sesamework.MaxSteps} {
		t.Run(fmt.Sprint(steps, " steps"), func(t *testing.T) {
			const leastShare = 0.4
			is := is.New(t)
			before := heapBytes()
			v := viewOfWideJobs(1, 4000/steps, slices.Repeat([]int{100}, steps)...)
			v.Decide(v.now)
			perUnit := float64(heapBytes()-before) / float64(v.Units())
			is.True(perUnit <= unitBytes)
			is.True(perUnit >= leastShare*unitBytes)
		})
	}
}

// BenchmarkDecideManyTasks measures one decision while 190,000 tasks wait.
func BenchmarkDecideManyTasks(b *testing.B) {
	for _, c := range []struct {
		jobs, tasks int
	}{
		{jobs: 1, tasks: 190000 / 3},
		{jobs: 190000 / 39, tasks: 39 / 3},
	} {
		b.Run(fmt.Sprint(c.jobs, " jobs"), func(b *testing.B) {
			before := heapBytes()
			v := viewOfWideJobs(62, c.jobs, c.tasks, c.tasks, c.tasks)
			v.applyDecision(v.Decide(v.now))
			held := float64(heapBytes()-before) / float64(v.Units())
			for b.Loop() {
				v.now.Steady += time.Millisecond
				v.Decide(v.now)
			}
			b.ReportMetric(held, "B/unit")
		})
	}
}

// BenchmarkUnitBytes measures the memory of a planner for each task that waits, that
// runs with its progress known, whose end is held, and that is released, 2,000 at a time.
func BenchmarkUnitBytes(b *testing.B) {
	const tasks, chunk = 60_000, 2_000
	for name, prepare := range map[string]func(v *View){
		"waiting": func(*View) {},
		"running": func(v *View) { v.runTasks(0, tasks) },
		"ended": func(v *View) {
			v.runTasks(0, tasks)
			v.endTasks()
		},
		"released": func(v *View) {
			for first := 0; first < tasks; first += chunk {
				v.runTasks(first, chunk)
				v.endTasks()
				v.releaseAll()
			}
		},
	} {
		b.Run(name, func(b *testing.B) {
			before := heapBytes()
			v := viewOfWideJobs(1, 1, tasks)
			prepare(v)
			held := heapBytes() - before
			for b.Loop() {
				v.Units()
			}
			b.ReportMetric(float64(held)/tasks, "B/task")
		})
	}
}

// runTasks runs that many tasks of the first job from the first one on, on a target that
// reports their progress.
func (v *View) runTasks(first, count int) {
	on := v.targets[targetRow(sesamework.Target{ID: "0"}, 0).Key.Name]
	s := v.jobs["0000000000000000"].occurrences[0][0]
	for position := first; position < first+count; position++ {
		u := v.create(s, position)
		v.setRun(sesamerows.Row{
			Key:   sesamework.RunKey(u.id, on.Zone),
			Value: encode(u.nextRun([]*target{on}, v.now.Store)),
		})
		on.Running = append(on.Running, sesamework.Progress{
			Task: u.id.Task(position).String(),
			Run:  1,
		})
	}
	on.updateProgress(v.now.Steady)
	on.Running = nil // a report holds few of them
}

// doneRow returns the row that records the end of a member of the unit's run as done.
func doneRow(u *unit, m sesamework.Member) sesamerows.Row {
	return sesamerows.Row{
		Key: sesamework.EndKey(m.TargetKey(), u.id.Task(m.Index), u.run.Number),
		Value: encode(sesamework.End{
			Outcome: sesamework.EndDone,
			Target:  m.Target,
			Life:    m.Life,
		}),
		Version: 1,
	}
}

// endTasks ends all runs as done.
func (v *View) endTasks() {
	for _, u := range v.units {
		v.setEnd("", doneRow(u, u.members[0].Member))
	}
	for _, t := range v.targets {
		t.updateProgress(v.now.Steady)
	}
}

// releaseAll releases all units, whose rows are then removed.
func (v *View) releaseAll() {
	for len(v.units) > 0 {
		for _, f := range v.finishedUnits(maxChangeEntries) {
			v.dropFinished(f, f.record(), nil)
		}
	}
	clear(v.obsolete.rows)
}

package sesamedispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamework"
)

// smallTasks returns a job of that many tasks, of which each target could hold 100,000.
func smallTasks(id string, count int, gang bool) *View {
	v := viewOfWideJobs(3, 0)
	v.addSmallTasks(id, count, gang)
	return v
}

// addSmallTasks adds such a job to the view.
func (v *View) addSmallTasks(id string, count int, gang bool) {
	v.setJob(id, withStep(jobFillingTarget(id, 2), func(_ *sesamework.Job, s *sesamework.Step) {
		s.Count = count
		s.Gang = gang
		s.Need = sesamework.Resources{
			Memory: 1,
		}
	}))
}

// startMost decides until nothing more starts, and returns the most units that one
// decision started.
func (v *View) startMost(is *is.I) int {
	most := 0
	for range 100 {
		v.now.Steady += 10 * time.Millisecond
		for _, t := range v.targets {
			t.reportedAt = v.now.Steady
			t.Capacity.Memory = 100_000
		}
		d := v.Decide(v.now)
		if len(d.Starts) == 0 {
			return most
		}
		most = max(most, len(d.Starts))
		v.applyDecision(d)
	}
	is.Fail() // it goes on starting
	return most
}

// tasksOf counts, by target, the tasks of a job that run.
func (v *View) tasksOf(job string) map[string]int {
	counts := map[string]int{}
	for _, u := range v.units {
		for _, m := range u.members {
			if u.id.Job == job && m.outcome == "" {
				counts[m.Target]++
			}
		}
	}
	return counts
}

// TestManySmallTasks guards against planners and agents that are killed for their
// memory, each in turn, by one job of so small tasks that the targets hold all of them,
// and against such a job that leaves no place to others.
func TestManySmallTasks(t *testing.T) {
	is := is.New(t)
	v := smallTasks("small", 65536, false)
	is.Equal(v.startMost(is), maxDecisionUnits)
	is.Equal(len(v.tasksOf("small")), 3)
	for target, tasks := range v.tasksOf("small") {
		if tasks != maxTargetTasks/2 {
			t.Errorf("%s runs %d tasks", target, tasks)
		}
	}
	v.addSmallTasks("other", 65536, false)
	v.startMost(is)
	for target, tasks := range v.tasksOf("other") {
		if tasks != maxTargetTasks/4 {
			t.Errorf("%s runs %d tasks of the other job", target, tasks)
		}
	}
	v.addSmallTasks("third", 3, false)
	v.startMost(is)
	total := 0
	for _, tasks := range v.tasksOf("third") {
		total += tasks
	}
	is.Equal(total, 3)
}

// TestMemoryOfPlanner guards against a planner of little memory that starts more than it
// can hold, and against a job that takes all of it.
func TestMemoryOfPlanner(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprint("gang ", gang), func(t *testing.T) {
			const bound = 1000
			is := is.New(t)
			v := smallTasks("first", 600, gang)
			v.maxUnits = bound
			for i := range 20 {
				v.addSmallTasks(fmt.Sprint("job-", i), 600, gang)
			}
			v.startMost(is)
			held := 0
			for _, u := range v.units {
				held += weightOf(len(u.members))
			}
			is.True(held <= bound*createdUnitsShare)
			for _, u := range v.units {
				for i := range u.members {
					u.members[i].outcome = sesamework.EndDone
				}
				u.done = len(u.members) > 0
			}
			v.releaseAllDone()
			started := v.startMost(is)
			is.True(started > 0) // the others follow
		})
	}
}

// releaseAllDone releases the units that are done.
func (v *View) releaseAllDone() {
	for _, f := range v.finishedUnits(len(v.units)) {
		v.dropFinished(f, f.record(), nil)
	}
}

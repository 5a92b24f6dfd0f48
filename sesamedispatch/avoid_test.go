package sesamedispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// serviceJob returns the row of a job of tasks that last, one on each target.
func serviceJob(id string, tasks int) sesamerows.Row {
	row := jobFillingTarget(id, 1)
	row.Value = encode(sesamework.Job{
		ID: id,
		Terms: sesamework.Terms{
			Service:  "service",
			Attempts: 3,
			Stretch:  3,
		},
		Steps: []sesamework.Step{{
			Count: tasks,
			Need: sesamework.Resources{
				Accelerators: 5,
			},
			Estimate:     1000,
			MaxPerTarget: 1,
			LongRunning:  true,
		}},
	})
	return row
}

// TestAvoidedTargetIsUsedAgain guards against a task that has failed once and is
// never started again, because work that lasts fills all other targets.
func TestAvoidedTargetIsUsedAgain(t *testing.T) {
	targets := []sesamework.Target{newTarget("a"), newTarget("b")}
	report := func(f *termFixture) {
		f.writeAndFeed(targetRow(targets[0], 0), targetRow(targets[1], 0))
	}
	fail := func(f *termFixture, u *unit) {
		f.term.view.endMember(u, u.members[0], sesamework.End{
			Outcome: sesamework.EndFailed,
		})
	}
	t.Run("a task that lasts", func(t *testing.T) {
		is := is.New(t)
		f := newTermFixture(t, serviceJob("job", 2), targetRow(targets[0], 0), targetRow(targets[1], 0))
		f.decide(1)
		u := f.unit("job")
		is.Equal(u.run.Number, 1)
		fail(f, u)
		f.decide(1)
		is.Equal(u.run.Number, 1) // the other target holds the other task
		f.clock.Advance(minAvoidWait)
		report(f)
		f.decide(1)
		is.Equal(u.run.Number, 2)
	})
	for _, c := range []struct {
		name string
		// accelerators are what work that lasts uses of the other target, and wait is
		// how long the failed task waits for that target.
		accelerators int64
		wait         time.Duration
	}{
		{name: "a task beside work that lasts", accelerators: 5, wait: minAvoidWait},
		{name: "a task while half of the service is in use", accelerators: 8, wait: 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newTermFixture(t, withStep(serviceJob("service", 1), func(_ *sesamework.Job, s *sesamework.Step) {
				s.Need.Accelerators = c.accelerators
			}), targetRow(targets[0], 0))
			f.decide(1)
			f.writeAndFeed(jobFillingTarget("job", 1), targetRow(targets[1], 0))
			f.decide(1)
			u := f.unit("job")
			is.Equal(u.run.Number, 1)
			fail(f, u)
			f.decide(1)
			for elapsed := time.Duration(0); elapsed < c.wait; elapsed += time.Second {
				is.Equal(u.run.Number, 1) // until the wait is over
				f.clock.Advance(time.Second)
				report(f)
				f.decide(1)
			}
			is.Equal(u.run.Number, 2)
		})
	}
}

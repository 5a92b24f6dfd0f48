package sesamedispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// expectedToTake returns the row of a job of that many tasks, each of that many
// accelerators. Gangs come before other jobs.
func expectedToTake(id string, tasks int, accelerators int64, estimate time.Duration) sesamerows.Row {
	priority := 2
	if tasks > 1 {
		priority = 1
	}
	return withStep(jobFillingTarget(id, priority), func(_ *sesamework.Job, s *sesamework.Step) {
		s.Count = tasks
		s.Gang = tasks > 1
		s.Need.Accelerators = accelerators
		s.Estimate = estimate.Milliseconds()
	})
}

// TestReservationIsWorthItsIdleTime guards against a blocked gang that keeps a job that
// takes longer from 31 of 32 free accelerators until a long task ends, and against
// gangs that start too late because longer work takes what they wait for.
func TestReservationIsWorthItsIdleTime(t *testing.T) {
	const longWait = 3 * time.Second
	for _, c := range []struct {
		name string
		// running and gang are the expected durations of a task of one accelerator and
		// of a gang that waits for it and needs all accelerators. The small job comes
		// after the time before, and starts after waiting for the time given, or does
		// not within a few seconds.
		running, gang, before, wait time.Duration
	}{
		{name: "a task of ten minutes", running: 10 * time.Minute, gang: time.Minute},
		{name: "a task half as long as the gang", running: 30 * time.Second, gang: time.Minute, wait: maxIdleWait},
		{name: "a task that ends soon", running: 6 * time.Second, gang: time.Minute, before: 4 * time.Second, wait: longWait},
		{name: "a gang that has waited for long", running: 20 * time.Second, gang: 5 * time.Second, before: 21 * time.Second, wait: longWait},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			targets := inRacks(4)
			f := newTermFixture(t, targets...)
			pass := func(d time.Duration) {
				f.clock.Advance(d)
				f.writeAndFeed(targets...)
				f.decide(1)
			}
			f.writeAndFeed(expectedToTake("running", 1, 1, c.running))
			f.decide(1)
			f.writeAndFeed(expectedToTake("gang", 4, 8, c.gang))
			f.decide(1)
			pass(c.before)
			f.writeAndFeed(expectedToTake("small", 1, 1, 3*time.Hour))
			f.decide(1)
			for elapsed := time.Duration(0); elapsed < c.wait; elapsed += 500 * time.Millisecond {
				is.Equal(f.runsOf("small"), 0)
				pass(500 * time.Millisecond)
			}
			is.Equal(f.runsOf("small") == 1, c.wait < longWait)
		})
	}
}

// TestPassingJobBehindBlockedOne guards against a job that may use reserved room and
// does not start because one that may not yet, and needs as much, found none.
func TestPassingJobBehindBlockedOne(t *testing.T) {
	is := is.New(t)
	targets := inRacks(4)
	f := newTermFixture(t, targets...)
	f.writeAndFeed(expectedToTake("running", 1, 1, 30*time.Second))
	f.decide(1)
	f.writeAndFeed(expectedToTake("gang", 4, 8, time.Minute), expectedToTake("small", 1, 1, 3*time.Hour))
	f.decide(1)
	f.clock.Advance(maxIdleWait)
	f.writeAndFeed(targets...)
	f.writeAndFeed(expectedToTake("newer", 1, 1, time.Hour))
	f.decide(1)
	is.Equal(f.runsOf("newer"), 0)
	is.Equal(f.runsOf("small"), 1)
}

// TestRestartBesideReservation guards against a task that lasts and is not started again
// while a blocked gang holds the room that it had, also when half of the service is in
// use.
func TestRestartBesideReservation(t *testing.T) {
	is := is.New(t)
	targets := inRacks(2)
	f := newTermFixture(t, targets...)
	f.writeAndFeed(expectedToTake("running", 1, 8, 30*time.Second))
	f.decide(1)
	f.writeAndFeed(withStep(lastingOn("lasting", "", 1), func(_ *sesamework.Job, s *sesamework.Step) {
		s.Estimate = time.Hour.Milliseconds()
	}))
	f.decide(1)
	f.writeAndFeed(expectedToTake("gang", 2, 8, time.Minute))
	f.decide(1)
	f.failAll("lasting")
	f.decide(1)
	is.Equal(f.runsOf("lasting"), 1)
	f.clock.Advance(maxIdleWait)
	f.writeAndFeed(targets...)
	f.decide(1)
	is.Equal(f.runsOf("lasting"), 2)
}

package sesamedispatch

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesameclock"
	"github.com/sesamestack/sesamestack/sesamecontention"
	"github.com/sesamestack/sesamestack/sesamework"
)

// preemptionFixture is a view, by value, of one target that a task of 20 s with the
// given priority fills, and of the decisions that follow.
type preemptionFixture struct {
	*replay
	is      *is.I
	running *unit
}

// newPreemptionFixture starts the task.
func newPreemptionFixture(t *testing.T) *preemptionFixture {
	f := &preemptionFixture{
		replay: newReplay(1, 1),
		is:     is.New(t),
	}
	f.view.byValue = true
	f.running = f.submit(1, fillingStep(20*time.Second))
	f.step(100 * time.Millisecond)
	f.is.True(f.running.isActive())
	return f
}

// fillingStep returns a step of one task that needs a whole target.
func fillingStep(d time.Duration) sesamework.Step {
	return sesamework.Step{
		Count: 1,
		Need: sesamework.Resources{
			Accelerators: 8,
		},
		Estimate: d.Milliseconds(),
	}
}

// decideAfter submits an urgent task of 5 s, which was accepted that long ago, once
// the running one has run that long, and reports whether that one is stopped.
// guaranteed is what the urgent one's team, without a name, is guaranteed.
func (f *preemptionFixture) decideAfter(elapsed, age time.Duration, guaranteed int64) bool {
	f.view.SetPolicy(&sesamework.Policy{
		Teams: []sesamework.Team{{
			Guaranteed: guaranteed,
		}},
	})
	f.now.Steady += elapsed
	f.now.Store += elapsed
	for _, target := range f.view.targets {
		target.reportedAt = f.now.Steady
	}
	f.now.Store -= age
	f.submit(0, fillingStep(5*time.Second))
	f.now.Store += age
	return f.stops()
}

// stops takes a decision and reports whether it stops a run.
func (f *preemptionFixture) stops() bool {
	d := f.view.Decide(f.now)
	f.view.applyDecision(d)
	return len(d.Stops) > 0
}

// TestBoundedPreemption guards against throwing work away for urgent work that is not
// owed where that loses more than it earns, and against owed work that waits for it.
func TestBoundedPreemption(t *testing.T) {
	const early = time.Second
	for _, c := range []struct {
		name       string
		elapsed    time.Duration
		guaranteed int64
		stopBefore bool
		age        time.Duration
		stops      bool
	}{
		{name: "a run that has just begun", elapsed: early, stops: true},
		{name: "a run that has lost as much as the urgent job earns", elapsed: 12 * time.Second},
		{name: "a run that was stopped before", elapsed: early, stopBefore: true},
		{name: "a job that is late anyway", elapsed: early, age: 14 * time.Second},
		{name: "owed work takes a run that was stopped before", elapsed: early, guaranteed: 8, stopBefore: true, stops: true},
		{name: "owed work takes a run that has lost much", elapsed: 12 * time.Second, guaranteed: 8, stops: true},
		{name: "owed work takes a run that ends in a second or more", elapsed: 17 * time.Second, guaranteed: 8, stops: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newPreemptionFixture(t)
			f.running.run.Preempted = c.stopBefore
			f.is.Equal(f.decideAfter(c.elapsed, c.age, c.guaranteed), c.stops)
		})
	}
}

// TestOwedWorkAwaitsEnds guards against a stop that throws work away for owed work,
// though the run ends sooner by itself, and against waiting for it for too long.
func TestOwedWorkAwaitsEnds(t *testing.T) {
	const elapsed = 19800 * time.Millisecond
	f := newPreemptionFixture(t)
	m := f.running.members[0]
	f.view.targets[m.Target].progress[f.running.id.Task(0).String()] = progress{
		Progress: sesamework.Progress{
			Run:     1,
			Percent: 99,
		},
		changedAt:  f.now.Steady + elapsed,
		answeredAt: f.now.Steady + elapsed,
	}
	f.is.True(!f.decideAfter(elapsed, 0, 8))
	f.now.Steady += maxOwedDelay
	f.now.Store += maxOwedDelay
	f.is.True(f.stops())
}

// TestStoppedUnitIsMarked guards against a unit that is stopped again and again,
// since nothing tells a later planner that it was.
func TestStoppedUnitIsMarked(t *testing.T) {
	f := newPreemptionFixture(t)
	f.running.run.StopReason = stopPreempted
	f.step(100 * time.Millisecond)
	f.is.Equal(f.running.run.Number, 2)
	f.is.True(f.running.run.Preempted)
}

// TestContentionSetting guards against a setting without effect: by value, an urgent
// job that is worth nothing any more leaves the only target to one that is.
func TestContentionSetting(t *testing.T) {
	for _, c := range []struct {
		policy sesamecontention.Policy
		first  int
	}{
		{policy: "", first: 0},
		{policy: sesamecontention.ByOrder, first: 0},
		{policy: sesamecontention.ByValue, first: 1},
	} {
		t.Run(string(c.policy), func(t *testing.T) {
			r := newReplay(1, 1)
			r.view.byValue = NewPlanner(Options{
				Clock:      sesameclock.Wrap(clockwork.NewFakeClock()),
				Contention: c.policy,
			}).newView().byValue
			urgent := r.submit(0, fillingStep(5*time.Second))
			r.now.Store += time.Minute
			r.now.Steady += time.Minute
			units := []*unit{urgent, r.submit(1, fillingStep(5*time.Second))}
			r.step(100 * time.Millisecond)
			is.New(t).True(units[c.first].isActive())
		})
	}
}

package sesamedispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamespeed"
	"github.com/sesamestack/sesamestack/sesamework"
)

// speedReplay is a replay on targets that differ in speed and that report the
// progress of their runs once a second. A gang runs as fast as its slowest member.
type speedReplay struct {
	*replay
	factors    map[string]float64
	names      []string
	reportedAt time.Duration
	endedAt    map[*unit]time.Duration
}

// newSpeedReplay returns a replay on empty targets, of which the factors repeat.
func newSpeedReplay(speeds bool, racks, perRack int, factors ...float64) *speedReplay {
	r := &speedReplay{
		replay:  newReplay(racks, perRack),
		factors: map[string]float64{},
		endedAt: map[*unit]time.Duration{},
	}
	if speeds {
		r.view.speeds = sesamespeed.NewModel()
	}
	r.view.SetPolicy(policyOfStretch(1.5))
	for name := range r.view.targets {
		r.names = append(r.names, name)
	}
	slices.Sort(r.names)
	for i, name := range r.names {
		r.factors[name] = factors[i%len(factors)]
	}
	return r
}

// policyOfStretch returns a policy with one queue of that stretch.
func policyOfStretch(stretch float64) *sesamework.Policy {
	return &sesamework.Policy{
		Queues: []sesamework.Queue{{
			Terms: sesamework.Terms{
				Stretch: stretch,
			},
		}},
	}
}

// actual returns how long the unit's newest run takes where it is.
func (r *speedReplay) actual(u *unit) time.Duration {
	slowest := 0.0
	for _, m := range u.members {
		slowest = max(slowest, r.factors[m.Target])
	}
	return scaled(u.duration(), slowest)
}

// step lets time pass: runs end, targets report, and a decision is taken.
func (r *speedReplay) step(d time.Duration) {
	r.now.Steady += d
	r.now.Store += d
	r.view.now = r.now
	for _, u := range r.view.units {
		for _, m := range u.members {
			switch {
			case m.outcome != "":
			case u.run.StopReason != "":
				r.view.endMember(u, m, sesamework.End{
					Outcome: sesamework.EndStopped,
				})
			case r.now.Steady-u.orderedAt >= r.actual(u):
				r.endedAt[u] = r.now.Steady
				r.view.endMember(u, m, sesamework.End{
					Outcome: sesamework.EndDone,
					Taken:   r.actual(u).Milliseconds(),
				})
			}
		}
	}
	if r.now.Steady-r.reportedAt >= time.Second {
		r.report()
	}
	r.view.applyDecision(r.view.Decide(r.now))
}

// report lets all targets report what runs there.
func (r *speedReplay) report() {
	r.reportedAt = r.now.Steady
	running := map[string][]sesamework.Progress{}
	for _, u := range r.view.units {
		for _, m := range u.members {
			if m.outcome == "" {
				running[m.Target] = append(running[m.Target], sesamework.Progress{
					Task:    u.id.Task(m.Index).String(),
					Run:     u.run.Number,
					Percent: int(100 * (r.now.Steady - u.orderedAt) / r.actual(u)),
				})
			}
		}
	}
	for _, name := range r.names {
		t := r.view.targets[name]
		next := t.Target
		next.Running = running[name]
		r.view.setTarget("", targetRow(next, t.version+1))
	}
}

// wideStep is a step of 39 small tasks.
func wideStep() sesamework.Step {
	return sesamework.Step{
		Count: 39,
		Need: sesamework.Resources{
			Cores:        5500,
			Accelerators: 1,
		},
		Estimate: 5200,
	}
}

// gangStep is a gang of 5 tasks.
func gangStep() sesamework.Step {
	return sesamework.Step{
		Count: 5,
		Need: sesamework.Resources{
			Cores:        16000,
			Accelerators: 4,
		},
		Estimate: 2100,
		Gang:     true,
	}
}

// submitUrgent adds a job whose objective is 1.5 times its duration and 250 ms.
func (r *speedReplay) submitUrgent(s sesamework.Step) *unit {
	u := r.submit(0, s)
	u.job.Terms.Stretch = 1.5
	u.job.Terms.Latency = 250
	u.job.durations = nil
	r.view.estimate(u.job)
	return u
}

// learn runs wide steps for some seconds, so that the speeds of targets become
// known, and lets them end.
func (r *speedReplay) learn() {
	for range 16 {
		r.submit(2, wideStep())
	}
	for range 300 {
		r.step(100 * time.Millisecond)
	}
}

// lateUrgent returns how many of the urgent gangs that come each half second among
// wide steps end late, by their actual durations, and how many there are.
func lateUrgent(speeds bool) (late, total int) {
	const (
		tick    = 100 * time.Millisecond
		ticks   = 300
		latency = 250 * time.Millisecond
	)
	r := newSpeedReplay(speeds, 6, 7, 0.7, 0.7, 1.7)
	submittedAt := map[*unit]time.Duration{}
	for i := range ticks {
		if i%12 == 0 {
			r.submit(2, wideStep())
		}
		if i >= 30 && i%5 == 0 {
			submittedAt[r.submitUrgent(gangStep())] = r.now.Steady
		}
		r.step(tick)
	}
	for range ticks {
		r.step(tick)
	}
	for u, at := range submittedAt {
		if r.endedAt[u] == 0 || r.endedAt[u]-at > u.duration()*3/2+latency {
			late++
		}
	}
	return late, len(submittedAt)
}

// TestUrgentOnSlowTargets guards against urgent gangs that are late on slow targets
// while fast ones run work that has time.
func TestUrgentOnSlowTargets(t *testing.T) {
	is := is.New(t)
	without, total := lateUrgent(false)
	with, _ := lateUrgent(true)
	t.Logf("of %d urgent gangs, %d are late without speeds and %d with", total, without, with)
	is.True(without > total/4)
	is.True(with <= total/20)
}

// kindsOf returns which factors the targets of the unit's newest run have, each once.
func (r *speedReplay) kindsOf(u *unit) []float64 {
	var kinds []float64
	for _, m := range u.members {
		kinds = append(kinds, r.factors[m.Target])
	}
	slices.Sort(kinds)
	return slices.Compact(kinds)
}

// TestKindsOfWork checks which targets work takes on a fleet of known speeds.
func TestKindsOfWork(t *testing.T) {
	learnt := func() *speedReplay {
		r := newSpeedReplay(true, 6, 7, 0.7, 0.7, 1.7)
		r.learn()
		return r
	}
	start := func(r *speedReplay, priority int, s sesamework.Step) *unit {
		u := r.submit(priority, s)
		r.step(time.Millisecond)
		return u
	}
	t.Run("an urgent gang takes fast targets", func(t *testing.T) {
		r := learnt()
		is.New(t).Equal(r.kindsOf(start(r, 0, gangStep())), []float64{0.7})
	})
	t.Run("a gang with slack leaves them free", func(t *testing.T) {
		r := learnt()
		is.New(t).Equal(r.kindsOf(start(r, 1, gangStep())), []float64{1.7})
	})
	t.Run("a wide gang does not mix kinds", func(t *testing.T) {
		r := learnt()
		s := gangStep()
		s.Count = 15 // 14 targets are slow
		s.Need.Accelerators = 8
		is.New(t).Equal(r.kindsOf(start(r, 1, s)), []float64{0.7})
	})
	t.Run("a gang mixes kinds rather than wait", func(t *testing.T) {
		r := learnt()
		s := gangStep()
		s.Count = 42
		s.Need.Accelerators = 8
		is.New(t).Equal(r.kindsOf(start(r, 1, s)), []float64{0.7, 1.7})
	})
	t.Run("the last tasks of a step take fast targets", func(t *testing.T) {
		is := is.New(t)
		r := learnt()
		first := r.submit(2, wideStep())
		first.job.Terms.Latency = 60000 // there is much time
		first.job.durations = nil
		r.step(time.Millisecond)
		is.Equal(r.kindsOf(first), []float64{1.7})
		units := first.job.occurrences[0][0]
		last := units.created[units.count-1]
		last.setRun(sesamework.Run{
			Number: 2,
		}, r.now.Steady) // its run was lost
		r.step(time.Millisecond)
		is.Equal(r.kindsOf(last), []float64{0.7})
	})
	t.Run("durations and expected ends count the factor", func(t *testing.T) {
		is := is.New(t)
		r := learnt()
		slow, fast := start(r, 1, gangStep()), start(r, 0, gangStep())
		ratio := float64(r.view.remaining(slow)) / float64(r.view.remaining(fast))
		expected := float64(slow.expectedDuration()) / float64(fast.expectedDuration()) * 1.7 / 0.7
		is.True(ratio > 0.85*expected && ratio < 1.15*expected)
	})
}

// fillFast fills all fast targets with runs that take that long of that priority,
// and returns in how long they are expected to end.
func (r *speedReplay) fillFast(priority int, estimate time.Duration) time.Duration {
	var remaining time.Duration
	for _, name := range r.names {
		if r.factors[name] > 1 {
			continue
		}
		u := r.submit(priority, sesamework.Step{
			Count: 1,
			Need: sesamework.Resources{
				Accelerators: 8,
			},
			Estimate: estimate.Milliseconds(),
		})
		r.view.now = r.now
		u.setRun(u.nextRun([]*target{r.view.targets[name]}, r.now.Store), r.now.Steady)
		remaining = r.view.remaining(u)
	}
	return remaining
}

// TestWaitForFasterTargets checks when an urgent unit waits beside idle slow targets:
// only if it would be late there and in time on others soon.
func TestWaitForFasterTargets(t *testing.T) {
	for _, c := range []struct {
		name string
		// free is in how long the work on the fast targets is expected to end.
		free  time.Duration
		kinds []float64
	}{
		{name: "fast ones are free soon", free: 300 * time.Millisecond},
		{name: "fast ones are free much later", free: 3 * time.Second, kinds: []float64{1.7}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newSpeedReplay(true, 6, 7, 0.7, 0.7, 1.7)
			r.learn()
			passed := r.fillFast(0, 5*time.Second) - c.free
			r.now.Steady += passed
			r.now.Store += passed
			r.report()
			u := r.submitUrgent(gangStep())
			r.view.applyDecision(r.view.Decide(r.now))
			is.New(t).Equal(r.kindsOf(u), c.kinds)
		})
	}
	t.Run("never for longer than maxSpeedWait", func(t *testing.T) {
		is := is.New(t)
		r := newSpeedReplay(true, 6, 7, 0.7, 0.7, 1.7)
		r.learn()
		remaining := r.fillFast(0, 5*time.Second)
		s := gangStep()
		s.Estimate = 60000 // there would be time to wait for longer
		u := r.submitUrgent(s)
		waited := time.Duration(0)
		for waited <= maxSpeedWait {
			r.almostEnd(remaining)
			r.view.applyDecision(r.view.Decide(r.now))
			if u.run.Number > 0 {
				break
			}
			const tick = 100 * time.Millisecond
			waited += tick
			r.now.Steady += tick
			r.now.Store += tick
		}
		is.True(waited >= maxSpeedWait/4)
		is.Equal(r.kindsOf(u), []float64{1.7})
	})
}

// almostEnd lets the runs on the fast targets have been ordered that long ago, and
// all targets have reported just now.
func (r *speedReplay) almostEnd(elapsed time.Duration) {
	for _, u := range r.view.units {
		if u.isActive() && u.step.Count == 1 {
			u.run.OrderedAt = (r.now.Store - elapsed).Milliseconds()
		}
	}
	for _, t := range r.view.targets {
		t.reportedAt = r.now.Steady
	}
}

// TestDurationsWithoutSpeed guards against queues whose tasks seem to take longer
// because they ran on slow targets.
func TestDurationsWithoutSpeed(t *testing.T) {
	is := is.New(t)
	r := newSpeedReplay(true, 6, 7, 0.7, 0.7, 1.7)
	r.learn()
	u := r.submit(1, gangStep())
	r.step(time.Millisecond)
	is.Equal(r.kindsOf(u), []float64{1.7})
	const middle = 2 * time.Second
	for range 10 * windowTasks {
		r.view.updateDurationModel(u, scaled(middle, r.view.runFactor(u)))
	}
	predicted := r.view.durationModels[""].predict(u.step.Duration())
	is.True(predicted > middle*9/10 && predicted < middle*11/10)
}

// TestMildDifferences guards against placing by speed where no target is so slow that
// a queue's objective doesn't allow for it: keeping kinds apart then only costs room.
func TestMildDifferences(t *testing.T) {
	is := is.New(t)
	r := newSpeedReplay(true, 6, 7, 0.8, 1, 1.25)
	r.learn()
	is.True(r.view.speeds.Differ())
	is.True(!r.view.speedsDiffer())
	is.Equal(r.view.targets[r.names[0]].factor(), 1.0)
	r.view.SetPolicy(policyOfStretch(1.1)) // tighter objectives make it matter
	r.step(time.Millisecond)
	is.True(r.view.speedsDiffer())
	is.True(r.view.targets[r.names[0]].factor() < 0.95)
}

// TestSameWithoutEvidence checks that decisions on targets that are alike, or of
// which nothing is known, are those without a model of speeds.
func TestSameWithoutEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := drawRows(t)
		alike := rapid.Bool().Draw(t, "alike")
		now := Now{
			Steady: time.Hour,
			Store:  time.Hour,
		}
		var views []*View
		for _, speeds := range []bool{false, true} {
			v := NewView(sesamelog.Discard())
			if speeds {
				v.speeds = sesamespeed.NewModel()
			}
			v.Load(rows, nil, nil, now)
			views = append(views, v)
		}
		if alike {
			observeAlike(views[1])
		}
		for range 6 {
			now.Steady += 700 * time.Millisecond
			now.Store += 700 * time.Millisecond
			off, on := views[0].Decide(now), views[1].Decide(now)
			is.New(t).Equal(off.describe(), on.describe())
			for i, d := range []Decision{off, on} {
				v := views[i]
				v.applyDecision(d)
				for _, u := range v.units {
					for _, m := range u.members {
						if m.outcome == "" && (u.run.StopReason != "" || now.Steady-u.orderedAt >= u.duration()) {
							v.endMember(u, m, sesamework.End{
								Outcome: sesamework.EndDone,
								Taken:   u.duration().Milliseconds(),
							})
						}
					}
				}
			}
		}
	})
}

// observeAlike observes many tasks that take equally long on all targets.
func observeAlike(v *View) {
	for i := range 30 {
		for name, t := range v.targets {
			v.speeds.Observe(sesamespeed.Observation{
				ID:     name,
				Group:  fmt.Sprint(i),
				Target: t.speedID(),
				Taken:  time.Second + time.Duration(i)*time.Millisecond,
			})
		}
	}
}

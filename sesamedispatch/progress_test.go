package sesamedispatch

import (
	"testing"
	"time"

	"github.com/sesamestack/sesamestack/sesamework"
)

// TestProgressInPartialReports checks that a task counts as stalled only by reports
// that tell of it.
func TestProgressInPartialReports(t *testing.T) {
	left := newTarget("a")
	left.Partial = true
	f := newTermFixture(t, jobFillingTarget("job", 1), targetRow(left, 0))
	f.decide(1)
	report := func(percents ...int) {
		next := left
		for i, percent := range percents {
			task := sesamework.TaskID{Job: []string{"job", "other"}[i]}
			if percent >= 0 {
				next.Running = append(next.Running, sesamework.Progress{
					Task:    task.String(),
					Run:     1,
					Percent: percent,
				})
			}
		}
		f.writeAndFeed(targetRow(next, 0))
	}
	u := f.unit("job")
	isStalled := func() bool {
		return f.term.view.isStalled(u, u.members[0])
	}
	report(10, -1)
	f.clock.Advance(minStallTimeout)
	report(-1, 10)
	f.is.Equal(f.term.view.targets[u.members[0].Target].progress[u.id.Task(0).String()].Percent, 10)
	f.clock.Advance(minStallTimeout)
	report(-1, 20)
	f.is.True(!isStalled()) // not told of since
	report(10, -1)
	f.is.True(isStalled()) // told of twice with the same percentage
}

// TestDeclaredDurationIsTooShort guards against a sound task that is stopped for
// lack of progress again and again, and against sound targets in quarantine for it,
// because it takes far longer than declared.
func TestDeclaredDurationIsTooShort(t *testing.T) {
	const actual = 400 * time.Second
	target := newTarget("a")
	f := newTermFixture(t, jobFillingTarget("job", 1), targetRow(target, 0))
	u := f.unit("job")
	quarantines := 0
	for elapsed := time.Duration(0); elapsed < 2*time.Minute; elapsed += time.Second {
		f.decide(1)
		known := f.term.view.targets[targetRow(target, 0).Key.Name]
		quarantines = max(quarantines, known.quarantines)
		if u.run.StopReason != "" && u.isActive() {
			f.term.view.endMember(u, u.members[0], sesamework.End{
				Outcome: sesamework.EndStopped,
			})
		}
		next := target
		if u.isActive() {
			next.Running = []sesamework.Progress{{
				Task:    u.id.Task(0).String(),
				Run:     u.run.Number,
				Percent: int(100 * (f.term.now().Steady - u.orderedAt) / actual),
			}}
		}
		f.clock.Advance(time.Second)
		f.writeAndFeed(targetRow(next, 0))
	}
	f.is.True(u.isActive())
	f.is.Equal(u.run.Number, 2) // stopped once
	f.is.Equal(quarantines, 1)
}

package sesamedispatch

import (
	"testing"

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

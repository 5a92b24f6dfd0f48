package sesamework

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestCheckTasks guards against a job that no planner can hold: each step is within
// its bound, but all tasks that may be due together are not.
func TestCheckTasks(t *testing.T) {
	const now = 1_800_000_000_000
	recurring := func(times int, first, interval int64) Job {
		return Job{
			Recurrences: times,
			FirstDue:    first,
			Interval:    interval,
		}
	}
	for _, c := range []struct {
		name        string
		job         Job
		counts      []int
		gang        bool
		occurrences int // that are due together; 0 means that the job is accepted
	}{
		{name: "190,000 tasks", counts: []int{65536, 65536, 58928}},
		{name: "a wide gang", counts: []int{1024}, gang: true},
		{name: "the largest job", counts: []int{65536, 65536, 65536}},
		{name: "one task more", counts: []int{65536, 65536, 65536, 1}, occurrences: 1},
		{name: "occurrences far apart", job: recurring(1<<20, now, 3_600_000), counts: []int{65536}},
		{name: "many small occurrences", job: recurring(1<<20, now, 1000), counts: []int{100}},
		{name: "all at once", job: recurring(1<<20, now, 0), counts: []int{1}, occurrences: 1 << 20},
		{name: "close together", job: recurring(1<<20, now, 10_000), counts: []int{65536}, occurrences: 7},
		{name: "overdue", job: recurring(1<<20, now-3_600_000, 1000), counts: []int{100}, occurrences: 3661},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tasks := 0
			for _, count := range c.counts {
				tasks += count
				c.job.Steps = append(c.job.Steps, Step{
					Count: count,
					Gang:  c.gang,
				})
			}
			is.NoErr(c.job.Validate())
			err := c.job.CheckTasks(now)
			if c.occurrences == 0 {
				is.NoErr(err)
				return
			}
			var tooMany *TooManyTasksError
			is.True(errors.As(err, &tooMany))
			is.Equal(*tooMany, TooManyTasksError{
				Tasks:       tasks,
				Occurrences: c.occurrences,
				Bound:       MaxJobTasks,
			})
		})
	}
}

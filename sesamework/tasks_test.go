package sesamework

import (
	"testing"

	"github.com/matryer/is"
)

// TestWideJobs guards against a job that is refused for the number of its tasks, or of
// its occurrences that are due together: callers choose both freely, within the bounds
// of a step and of a job, and what waits takes nothing of a planner.
func TestWideJobs(t *testing.T) {
	const now = 1_800_000_000_000
	recurring := func(times int, first, interval int64) Job {
		return Job{
			Recurrences: times,
			FirstDue:    first,
			Interval:    interval,
		}
	}
	for _, c := range []struct {
		name   string
		job    Job
		counts []int
		gang   bool
		held   int
	}{
		{name: "190,000 tasks", counts: []int{65536, 65536, 58928}, held: 6},
		{name: "a wide gang", counts: []int{1024}, gang: true, held: 2},
		{name: "three full steps", counts: []int{65536, 65536, 65536}, held: 6},
		{name: "one task more", counts: []int{65536, 65536, 65536, 1}, held: 7},
		{name: "eight full steps", counts: []int{65536, 65536, 65536, 65536, 65536, 65536, 65536, 65536}, held: 14},
		{name: "occurrences far apart", job: recurring(1<<20, now, 3_600_000), counts: []int{65536}, held: 86},
		{name: "many small occurrences", job: recurring(1<<20, now, 1000), counts: []int{100}, held: 86},
		{name: "all at once", job: recurring(1<<20, now, 0), counts: []int{1}, held: 86},
		{name: "close together", job: recurring(1<<20, now, 10_000), counts: []int{65536}, held: 86},
		{name: "overdue", job: recurring(1<<20, now-3_600_000, 1000), counts: []int{100}, held: 86},
		{name: "few occurrences", job: recurring(2, now, 0), counts: []int{100}, held: 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for _, count := range c.counts {
				c.job.Steps = append(c.job.Steps, Step{
					Count: count,
					Gang:  c.gang,
				})
			}
			is.NoErr(c.job.Validate())
			is.Equal(c.job.HeldUnits(), c.held)
		})
	}
}

package sesamedispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// inRacks returns the rows of that many targets, each in a rack of its own.
func inRacks(targets int) []sesamerows.Row {
	var rows []sesamerows.Row
	for i := range targets {
		t := newTarget(fmt.Sprint("target-", i))
		t.Rack = fmt.Sprint("rack-", i)
		rows = append(rows, targetRow(t, 0))
	}
	return rows
}

// nearData returns the row of a job that fills a target, with its data in rack-0, and
// is expected to take ten minutes.
func nearData(id string) sesamerows.Row {
	return withStep(jobFillingTarget(id, 1), func(_ *sesamework.Job, s *sesamework.Step) {
		s.DataRack = "rack-0"
		s.Estimate = 600_000
	})
}

// lastingOn returns the row of a job of one accelerator that lasts, with the rack of
// its data.
func lastingOn(id, rack string, accelerators int64) sesamerows.Row {
	return withStep(jobFillingTarget(id, 2), func(_ *sesamework.Job, s *sesamework.Step) {
		s.DataRack = rack
		s.Need.Accelerators = accelerators
		s.LongRunning = true
	})
}

// TestRackWaitReservesNothingElsewhere guards against jobs that wait for the rack of
// their data and keep empty targets of other racks, which they don't use, from work
// that comes after them.
func TestRackWaitReservesNothingElsewhere(t *testing.T) {
	is := is.New(t)
	f := newTermFixture(t, inRacks(3)...)
	f.writeAndFeed(lastingOn("full", "rack-0", 8))
	f.decide(1)
	f.writeAndFeed(nearData("first"), nearData("second"))
	f.decide(1)
	f.writeAndFeed(lastingOn("small", "", 1))
	f.decide(1)
	is.Equal(f.runsOf("first"), 0)
	is.Equal(f.runsOf("second"), 0)
	is.Equal(f.runsOf("small"), 1)
}

// TestRackWaitIsBounded guards against a job that waits for the rack of its data for
// its expected duration, with nothing running, beside empty targets.
func TestRackWaitIsBounded(t *testing.T) {
	for _, c := range []struct {
		name string
		// targets are filled by other work up to that number, of five, and running says
		// that another task of the job runs.
		filled  int
		running bool
		starts  bool
	}{
		{name: "a job with nothing running", filled: 1, starts: true},
		{name: "a job with another task running", filled: 1, running: true},
		{name: "half of the service is in use", filled: 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			targets := inRacks(5)
			f := newTermFixture(t, targets...)
			for i := range c.filled {
				f.writeAndFeed(lastingOn(fmt.Sprint("full-", i), fmt.Sprint("rack-", i), 8))
			}
			f.decide(1)
			f.writeAndFeed(withStep(nearData("job"), func(j *sesamework.Job, _ *sesamework.Step) {
				if c.running {
					j.Steps = append(j.Steps, sesamework.Step{
						Count:    1,
						Need:     j.Steps[0].Need,
						Estimate: 600_000,
					})
				}
			}))
			f.decide(1)
			f.clock.Advance(minRackWait - time.Millisecond)
			f.writeAndFeed(targets...)
			f.decide(1)
			is.Equal(f.runsOf("job"), 0)
			f.clock.Advance(time.Millisecond)
			f.writeAndFeed(targets...)
			f.decide(1)
			is.Equal(f.runsOf("job") == 1, c.starts)
		})
	}
}

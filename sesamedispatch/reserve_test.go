package sesamedispatch

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// withStep returns the row of the job with its step changed.
func withStep(row sesamerows.Row, change func(*sesamework.Job, *sesamework.Step)) sesamerows.Row {
	var j sesamework.Job
	if err := json.Unmarshal(row.Value, &j); err != nil {
		panic(err)
	}
	change(&j, &j.Steps[0])
	row.Value = encode(j)
	return row
}

// waitingGang begins a term in which a gang waits for all three targets, on each of
// which a task of one accelerator and the same priority runs, and lets that much
// time pass.
func waitingGang(t *testing.T, priority int, lasts bool, passed time.Duration) *termFixture {
	const targets = 3
	rows := []sesamerows.Row{withStep(jobFillingTarget("running", priority), func(j *sesamework.Job, s *sesamework.Step) {
		j.Team = "third"
		s.Count = targets
		s.Need.Accelerators = 1
		s.MaxPerTarget = 1
		s.LongRunning = lasts
		s.Estimate = 20000
	})}
	for i := range targets {
		rows = append(rows, targetRow(newTarget(fmt.Sprint("target-", i)), 0))
	}
	f := newTermFixture(t, rows...)
	f.decide(1)
	f.writeAndFeed(withStep(jobFillingTarget("gang", priority), func(j *sesamework.Job, s *sesamework.Step) {
		s.Count = targets
		s.Gang = true
		j.Team = "other"
	}))
	f.clock.Advance(passed)
	f.feedTargets(targets)
	f.decide(1)
	return f
}

// TestReservationWithoutKnownEnd guards against a gang that keeps all targets from
// other jobs for ever while it waits for work that has no known end.
func TestReservationWithoutKnownEnd(t *testing.T) {
	small := withStep(jobFillingTarget("small", 2), func(_ *sesamework.Job, s *sesamework.Step) {
		s.Need.Accelerators = 1
	})
	for _, c := range []struct {
		name   string
		lasts  bool
		passed time.Duration
		starts int
	}{
		{name: "work that lasts", lasts: true, passed: time.Minute, starts: 1},
		{name: "a task that takes far longer than declared", passed: time.Minute, starts: 1},
		{name: "a task that ends soon", passed: 19 * time.Second, starts: 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := waitingGang(t, 1, c.lasts, c.passed)
			f.writeAndFeed(small)
			f.decide(1)
			is.New(t).Equal(f.runsOf("small"), c.starts)
		})
	}
}

// TestOwedWorkBesideReservation guards against owed work that waits beside idle
// accelerators because these are reserved for work that is not owed.
func TestOwedWorkBesideReservation(t *testing.T) {
	f := waitingGang(t, 0, false, time.Second)
	f.term.view.policy = &sesamework.Policy{
		Teams: []sesamework.Team{{
			Name:       "team",
			Guaranteed: 8,
		}},
	}
	f.writeAndFeed(withStep(jobFillingTarget("owed", 0), func(_ *sesamework.Job, s *sesamework.Step) {
		s.Need.Accelerators = 1
		s.Estimate = 60000
	}))
	f.decide(1)
	is.New(t).Equal(f.runsOf("owed"), 1)
}

package sesamedispatch

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// crashed returns the target after a crash under the first run of the tasks of
// these jobs, which began that long before.
func crashed(t sesamework.Target, ran time.Duration, jobs ...string) sesamework.Target {
	t.State = sesamework.TargetGone
	t.Crash = &sesamework.Crash{
		Life: t.Life,
	}
	for _, id := range jobs {
		t.Crash.Runs = append(t.Crash.Runs, sesamework.CrashedRun{
			Task: sesamework.TaskID{Job: id}.String(),
			Run:  1,
			Ran:  ran.Milliseconds(),
		})
	}
	return t
}

// TestEndAfterCrash lets the planner conclude that a run ended with a crash of its
// target, while its end was recorded all the same: the crash must not count.
func TestEndAfterCrash(t *testing.T) {
	for _, outcome := range []sesamework.Outcome{sesamework.EndDone, sesamework.EndStopped} {
		t.Run(string(outcome), func(t *testing.T) {
			left := newTarget("a")
			f := newTermFixture(t, jobFillingTarget("job", 1), targetRow(left, 0))
			f.decide(1)
			gone := targetRow(crashed(left, 10*time.Millisecond, "job"), 0)
			f.write(gone)
			f.term.view.Apply([]sesamerows.Row{f.changed(gone)}, f.term.now())
			unit := f.term.view.units[sesamework.UnitID{Job: "job"}]
			f.is.Equal(unit.members[0].outcome, sesamework.EndCrashed)
			f.is.Equal(unit.suspicion.crashes[0], 1)
			f.is.True(unit.suspicion.suspect)

			end := endRow("job", 1, left, outcome)
			f.write(end)
			f.term.view.Apply([]sesamerows.Row{f.changed(end)}, f.term.now())
			f.is.Equal(unit.members[0].outcome, outcome)
			f.is.Equal(unit.suspicion.crashes[0], 0)
			f.is.True(!unit.suspicion.suspect)
		})
	}
}

// TestStartAfterCrashAndUnseenEnd decides to start a task again after a crash,
// while the end of its run is in the store already.
func TestStartAfterCrashAndUnseenEnd(t *testing.T) {
	left, other := newTarget("a"), newTarget("b")
	f := newTermFixture(t, jobFillingTarget("job", 1), targetRow(left, 0))
	f.decide(1)
	gone := targetRow(crashed(left, 10*time.Millisecond, "job"), 0)
	f.write(targetRow(other, 0), endRow("job", 1, left, sesamework.EndDone), gone)
	f.term.view.Apply([]sesamerows.Row{f.changed(gone), f.changed(targetRow(other, 0))}, f.term.now())
	f.decide(2)
	f.assertRuns("job", 1, true)
}

// TestEvidence checks which crashes suffice to give a task up.
func TestEvidence(t *testing.T) {
	for _, c := range []struct {
		name  string
		found evidence
		nth   int
	}{
		{name: "alone and blamed", found: evidence{alone: true, blamed: true}, nth: 2},
		{name: "alone", found: evidence{alone: true}, nth: 3},
		{name: "blamed among others", found: evidence{blamed: true}, nth: 3},
		{name: "among others", nth: 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(c.found.isProof(c.nth))
			is.True(!c.found.isProof(c.nth - 1))
		})
	}
}

// TestBlame checks whom a planner that has just read all rows makes a suspect
// after a crash.
func TestBlame(t *testing.T) {
	for _, c := range []struct {
		name    string
		ran     time.Duration
		suspect bool
	}{
		{name: "just started", ran: 10 * time.Millisecond, suspect: true},
		{name: "there for long", ran: 5 * time.Second},
		{name: "started by another agent", ran: -time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			left := newTarget("a")
			f := newTermFixture(t, jobFillingTarget("job", 1), targetRow(left, 0))
			f.decide(1)
			id := sesamework.UnitID{Job: "job"}
			gone := targetRow(crashed(left, c.ran, "job"), 0)
			f.write(gone)
			v := NewView(sesamelog.Discard())
			v.Load(
				[]sesamerows.Row{jobFillingTarget("job", 1), f.changed(gone)},
				[]sesamerows.Row{f.changed(sesamerows.Row{Key: sesamework.RunKey(id, "zone")})},
				nil, f.term.now(),
			)
			u := v.units[id]
			is.Equal(u.suspicion.suspect, c.suspect)
			is.Equal(u.suspicion.crashes[0], 1)
			next := u.nextRun([]*target{v.targets[gone.Key.Name]}, 0)
			is.Equal(next.Crashes[0], 1) // the count is in the next run's row
		})
	}
}

// TestRunWithoutCrashes checks that the row of a run that was written without
// counts of crashes is read as one without crashes.
func TestRunWithoutCrashes(t *testing.T) {
	is := is.New(t)
	var r sesamework.Run
	is.NoErr(json.Unmarshal([]byte(`{"n":3,"m":[],"at":5}`), &r))
	u := &unit{}
	u.setRun(r, 0)
	is.Equal(u.suspicion.crashes[0], 0)
	is.True(!u.isGivenUp())
}

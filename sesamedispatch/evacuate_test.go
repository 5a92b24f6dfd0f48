package sesamedispatch

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// knownEvacuations are Evacuations that a test sets.
type knownEvacuations struct {
	known sesamework.Evacuations
}

// Evacuations returns what the test has set.
func (e *knownEvacuations) Evacuations() sesamework.Evacuations {
	return e.known
}

// evacuationFixture is a term of a planner whose zones operators may evacuate.
type evacuationFixture struct {
	*termFixture
	operators *knownEvacuations
	targets   map[string]sesamework.Target
}

// newEvacuations begins a term with the rows and one target in each of two zones,
// which have the zones' names.
func newEvacuations(t *testing.T, rows ...sesamerows.Row) *evacuationFixture {
	f := &evacuationFixture{
		operators: &knownEvacuations{},
		targets:   map[string]sesamework.Target{},
	}
	for _, zone := range []string{"a", "b"} {
		target := newTarget(zone)
		target.Zone = zone
		f.targets[zone] = target
		rows = append(rows, targetRow(target, 0))
	}
	f.termFixture = newTermFixture(t, rows...)
	f.term.o.Evacuations = f.operators
	f.term.o.EvacuationBound = 5 * time.Second
	f.evacuate()
	return f
}

// evacuate lets operators evacuate these zones and take back all others.
func (f *evacuationFixture) evacuate(zones ...string) {
	f.operators.known = sesamework.Evacuations{
		Zones:  zones,
		ReadAt: time.Hour,
	}
}

// plan lets the planner take and write that many decisions, as its loop does.
func (f *evacuationFixture) plan(decisions int) {
	f.t.Helper()
	for range decisions {
		f.is.NoErr(f.term.updateEvacuation(f.t.Context()))
		f.decide(1)
	}
}

// marked returns the zones with a marker row in the store.
func (f *evacuationFixture) marked() []string {
	f.t.Helper()
	var found []string
	for _, zone := range []string{"a", "b", "c"} {
		row, _, err := sesamerows.ReadRow(f.t.Context(), f.memory, sesamework.EvacuationKey(zone))
		f.is.NoErr(err)
		if row.Version > 0 && !row.Removed {
			found = append(found, zone)
		}
	}
	return found
}

// started returns how many units have a run.
func (f *evacuationFixture) started() int {
	n := 0
	for _, u := range f.term.view.units {
		if u.run.Number > 0 {
			n++
		}
	}
	return n
}

// zones returns the zones of the members of the job's newest run.
func (f *evacuationFixture) zones(job string) []string {
	return f.unit(job).run.Zones()
}

// end records how the job's first task ended, whose newest run has that number.
func (f *evacuationFixture) end(job string, run int, outcome sesamework.Outcome) {
	f.t.Helper()
	f.writeAndFeed(endRow(job, run, f.targets[f.zones(job)[0]], outcome))
}

// lasting returns the row of a job whose one task fills a target until the job is
// cancelled.
func lasting(id string) sesamerows.Row {
	return withStep(jobFillingTarget(id, 1), func(_ *sesamework.Job, s *sesamework.Step) {
		s.LongRunning = true
		s.Checkpoints = true
	})
}

// TestNothingPlacedInEvacuatedZone guards against starts, claims and reservations in
// an evacuated zone, in all zones while it is not known which are evacuated, and
// against an effect where the deployment has no evacuations.
func TestNothingPlacedInEvacuatedZone(t *testing.T) {
	jobs := []sesamerows.Row{jobFillingTarget("first", 1), jobFillingTarget("second", 1)}
	t.Run("all zones and then one", func(t *testing.T) {
		f := newEvacuations(t, jobs...)
		f.evacuate("a", "b")
		f.plan(2)
		f.is.Equal(f.started(), 0)
		f.evacuate("a")
		f.plan(2)
		f.is.Equal(f.zones("first"), []string{"b"})
		f.is.Equal(f.unit("second").run.Number, 0)
		f.is.Equal(f.unit("first").run.StartBy, (time.Hour + 4*time.Second).Milliseconds())
		f.evacuate()
		f.plan(1)
		f.is.Equal(f.zones("second"), []string{"a"})
		f.is.Equal(f.marked(), nil)
	})
	t.Run("not known", func(t *testing.T) {
		f := newEvacuations(t, jobs...)
		f.operators.known.Age = maxEvacuationsAge + 1
		f.plan(2)
		f.is.Equal(f.started(), 0)
		f.operators.known.Age = maxEvacuationsAge
		f.plan(1)
		f.is.Equal(f.started(), 2)
	})
	t.Run("no evacuations", func(t *testing.T) {
		f := newEvacuations(t, jobs...)
		f.term.o.Evacuations = nil
		f.evacuate("a")
		f.plan(2)
		f.is.Equal(f.started(), 2)
		f.is.Equal(f.unit("first").run.StartBy, int64(0))
		f.is.Equal(f.marked(), nil)
	})
	t.Run("a target is cold", func(t *testing.T) {
		f := newEvacuations(t, jobs[0])
		for _, target := range f.targets {
			target.ColdFor = 300
			f.writeAndFeed(targetRow(target, 0))
		}
		f.plan(1)
		f.is.Equal(f.started(), 0)
		f.clock.Advance(300 * time.Millisecond)
		f.plan(1)
		f.is.Equal(f.started(), 1)
	})
	t.Run("the data's rack is there", func(t *testing.T) {
		f := newEvacuations(t)
		target := f.targets["a"]
		target.Rack = "rack"
		f.writeAndFeed(targetRow(target, 0), withStep(jobFillingTarget("job", 1), func(_ *sesamework.Job, s *sesamework.Step) {
			s.DataRack = "rack"
		}))
		f.evacuate("a")
		f.plan(1)
		f.is.Equal(f.zones("job"), []string{"b"})
	})
}

// TestClaimInEvacuatedZone evacuates the zone in which owed work has claimed a
// target. Neither that claim nor another one may lead to a start there.
func TestClaimInEvacuatedZone(t *testing.T) {
	f := newEvacuations(t, jobFillingTarget("batch-a", 2), jobFillingTarget("batch-b", 2))
	f.plan(1)
	f.term.view.SetPolicy(&sesamework.Policy{
		Teams: []sesamework.Team{{
			Name:       "team",
			Guaranteed: 8,
		}},
	})
	f.writeAndFeed(jobFillingTarget("urgent", 0))
	f.plan(1)
	claimed := f.term.view.targets[f.unit("urgent").claim.targets[0]].Zone
	f.evacuate(claimed)
	for _, job := range []string{"batch-a", "batch-b"} {
		if f.zones(job)[0] == claimed {
			f.end(job, 1, sesamework.EndStopped)
		}
	}
	f.plan(2)
	f.is.Equal(f.unit("urgent").run.Number, 0)
	other := f.term.view.targets[f.unit("urgent").claim.targets[0]].Zone
	f.is.True(other != claimed)
}

// TestMarkers guards against marker rows that are missing or stay: after a change of
// the planner, for a zone without readable rows, and for a zone whose targets came
// after the planner had read its view.
func TestMarkers(t *testing.T) {
	t.Run("written and removed once", func(t *testing.T) {
		f := newEvacuations(t)
		f.evacuate("a", "c")
		f.plan(1)
		f.is.Equal(f.marked(), []string{"a", "c"})
		before, err := f.memory.Commit(f.t.Context(), sesamerows.Transaction{})
		f.is.NoErr(err)
		f.plan(3)
		after, err := f.memory.Commit(f.t.Context(), sesamerows.Transaction{})
		f.is.NoErr(err)
		f.is.True(after-before <= 1)
		f.evacuate("c")
		f.plan(1)
		f.is.Equal(f.marked(), []string{"c"})
	})
	t.Run("other planners", func(t *testing.T) {
		f := newEvacuations(t)
		f.evacuate("a")
		f.plan(1)
		f.evacuate()
		f.operators.known.Age = maxEvacuationsAge + 1
		f.takeOverAgain()
		f.plan(1)
		f.is.Equal(f.marked(), []string{"a"}) // not removed without knowledge
		f.evacuate("b")
		f.takeOverAgain()
		f.is.Equal(f.marked(), []string{"a", "b"}) // b before anything was read
		f.plan(1)
		f.is.Equal(f.marked(), []string{"b"})
		f.term.o.Evacuations = nil // no longer set
		f.takeOverAgain()
		f.plan(1)
		f.is.Equal(f.marked(), nil)
	})
	t.Run("a zone that the view lacked", func(t *testing.T) {
		f := newEvacuations(t)
		key := sesamework.EvacuationKey("c")
		f.write(sesamerows.Row{
			Key:   key,
			Value: []byte("{}"),
		})
		target := newTarget("c")
		target.Zone = "c"
		f.writeAndFeed(targetRow(target, 0))
		f.plan(1)
		f.is.Equal(f.marked(), nil)
	})
}

// TestLastingRunMoves guards against work without an end that stays in an evacuated
// zone although there is room elsewhere, or that is stopped although there is none.
func TestLastingRunMoves(t *testing.T) {
	f := newEvacuations(t, lasting("lasts"), jobFillingTarget("ends", 1))
	f.plan(1)
	from := f.zones("lasts")[0]
	f.evacuate(from)
	f.plan(2)
	f.is.Equal(f.unit("lasts").run.StopReason, "") // no room
	f.is.Equal(f.unit("ends").run.StopReason, "")
	f.end("ends", 1, sesamework.EndDone)
	f.plan(1)
	f.is.Equal(f.unit("lasts").run.StopReason, stopEvacuated)
	f.writeAndFeed(jobFillingTarget("other", 1))
	f.plan(1)
	f.is.Equal(f.unit("other").run.Number, 0) // the room is held
	f.end("lasts", 1, sesamework.EndStopped)
	f.plan(1)
	f.is.Equal(f.unit("lasts").run.Number, 2)
	f.is.True(f.zones("lasts")[0] != from)
}

// TestLastingGangMovesWhole guards against a gang that starts while it needs an
// evacuated zone, and against one without an end of which only the members in such a
// zone are stopped, or that starts again before all of them have ended.
func TestLastingGangMovesWhole(t *testing.T) {
	f := newEvacuations(t, withStep(lasting("gang"), func(_ *sesamework.Job, s *sesamework.Step) {
		s.Count = 2
		s.Gang = true
	}))
	f.evacuate("a")
	f.plan(2)
	f.is.Equal(f.started(), 0)
	f.evacuate()
	f.plan(1)
	u, ok := f.term.view.createByID(sesamework.UnitID{
		Job:   "gang",
		Index: sesamework.GangIndex,
	})
	f.is.True(ok)
	f.is.Equal(u.run.Zones(), []string{"a", "b"})
	f.evacuate("a")
	f.plan(2)
	f.is.Equal(u.run.StopReason, "") // no room
	target := newTarget("c")
	target.Zone = "c"
	f.writeAndFeed(targetRow(target, 0))
	f.plan(2)
	f.is.Equal(u.run.StopReason, stopEvacuated)
	for i := range u.members {
		f.is.Equal(u.run.Number, 1) // not all have ended
		f.term.view.endMember(u, u.members[i], sesamework.End{
			Outcome: sesamework.EndStopped,
		})
		f.plan(1)
	}
	f.is.Equal(u.run.Number, 2)
	f.is.Equal(u.run.Zones(), []string{"b", "c"})
}

// TestUnfitGuaranteedWork guards against guaranteed work that waits for an evacuated
// zone without a word to operators, and against a log line of each decision.
func TestUnfitGuaranteedWork(t *testing.T) {
	f := newEvacuations(t)
	var log bytes.Buffer
	f.term.view.log = sesamelog.New(&log, sesamelog.Info, sesamelog.JSON)
	f.term.view.SetPolicy(&sesamework.Policy{
		Teams: []sesamework.Team{{
			Name:       "team",
			Guaranteed: 16,
		}},
	})
	f.writeAndFeed(jobFillingTarget("fits", 0), jobFillingTarget("unfit", 0))
	logged := func() int {
		return strings.Count(log.String(), fmt.Sprintf(`"event":%d`, eventUnfit.Number))
	}
	f.evacuate("a")
	f.plan(3)
	f.is.Equal(f.started(), 1)
	f.is.Equal(logged(), 1)
	for _, field := range []string{`"team":"team"`, `"job":"unfit"`, `"requested":8`, `"guaranteed":16`, `"remaining":8`, `"zones":["a"]`} {
		if !strings.Contains(log.String(), field) {
			t.Errorf("%s is not in %s", field, log.String())
		}
	}
	f.evacuate()
	f.plan(2)
	f.is.Equal(f.started(), 2)
	f.is.Equal(logged(), 1)
}

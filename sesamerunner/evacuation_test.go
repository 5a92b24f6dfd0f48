package sesamerunner

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// evacuationFixture is a session whose target's zone may be evacuated, with one run
// that the planner has ordered.
type evacuationFixture struct {
	*session
	is      *is.I
	version sesamerows.Version
	starts  int
	stops   int
}

// startLimit is until when the run of the fixture may be started, on the store's
// clock.
const startLimit = time.Hour

// newEvacuationFixture returns a session with the ordered run; unanswered says that
// a start of it was sent that got no answer.
func newEvacuationFixture(t *testing.T, unanswered bool) *evacuationFixture {
	f := &evacuationFixture{
		is: is.New(t),
	}
	f.session = newTestSession(t, &scriptedTarget{
		start: func() error {
			f.starts++
			return context.DeadlineExceeded
		},
		stop: func() error {
			f.stops++
			return nil
		},
	})
	row := orderedRun(f.is, 1, f.key.Name, 1)
	var run sesamework.Run
	f.is.NoErr(json.Unmarshal(row.Value, &run))
	run.StartBy = startLimit.Milliseconds()
	value, err := json.Marshal(run)
	f.is.NoErr(err)
	row.Value = value
	f.apply(startLimit-time.Minute, true, row)
	f.lastAnswered = 1
	if unanswered {
		f.giveOrders(t)
		f.is.Equal(f.starts, 1)
		f.starts = 0
	}
	return f
}

// apply passes the rows to the view of runs, as read when the store's clock showed
// now.
func (f *evacuationFixture) apply(now time.Duration, snapshot bool, rows ...sesamerows.Row) {
	f.version++
	for i := range rows {
		rows[i].Version = f.version
	}
	f.runs.apply(sesamerows.Batch{
		Rows:     rows,
		Snapshot: snapshot,
		Now:      now,
		Version:  f.version,
	}, f.o.Clock.Steady())
}

// marker returns the row that says that the zone is evacuated, with a value that
// does not matter, or its tombstone.
func marker(evacuated bool) sesamerows.Row {
	return sesamerows.Row{
		Key:     sesamework.EvacuationKey("zone"),
		Value:   []byte("not JSON"),
		Removed: !evacuated,
	}
}

// giveOrders makes all calls that are due, without back-off, as often as the order
// loop would within a second.
func (f *evacuationFixture) giveOrders(t *testing.T) {
	for _, k := range f.runStates {
		k.retryAt = 0
	}
	wanted, _, fresh := f.runs.wantedBy(f.key.Name, 1)
	for range 2 {
		for _, call := range f.pendingCalls(wanted, fresh) {
			call(t.Context())
		}
	}
}

// TestNoStartInEvacuatedZone guards against starts that follow an evacuation: of a
// run that was not ordered yet, and of one whose start was sent and is repeated
// because its answer was lost. That one has to be stopped, since the order may be
// carried out late.
func TestNoStartInEvacuatedZone(t *testing.T) {
	for _, c := range []struct {
		name   string
		forbid func(f *evacuationFixture)
		allow  func(f *evacuationFixture)
	}{
		{"the marker is there", func(f *evacuationFixture) {
			f.apply(startLimit-time.Minute, false, marker(true))
		}, func(f *evacuationFixture) {
			f.apply(startLimit-time.Minute, false, marker(false))
		}},
		{"the time for starts is over", func(f *evacuationFixture) {
			f.apply(startLimit, false)
		}, func(f *evacuationFixture) {
			f.apply(startLimit-time.Second, false)
		}},
	} {
		t.Run(c.name+", nothing was sent", func(t *testing.T) {
			f := newEvacuationFixture(t, false)
			c.forbid(f)
			f.giveOrders(t)
			f.is.Equal(f.starts+f.stops, 0)
			f.is.Equal(len(f.pendingEnds), 1)
			for _, e := range f.pendingEnds {
				f.is.Equal(e.value.Outcome, sesamework.EndNeverRan)
			}
		})
		t.Run(c.name+", the start was not answered", func(t *testing.T) {
			f := newEvacuationFixture(t, true)
			c.forbid(f)
			f.giveOrders(t)
			f.is.Equal(f.starts, 0)
			f.is.Equal(f.stops, 1)
			f.is.Equal(len(f.pendingEnds), 0)
		})
		t.Run(c.name+" no longer", func(t *testing.T) {
			f := newEvacuationFixture(t, false)
			c.forbid(f)
			c.allow(f)
			f.giveOrders(t)
			f.is.True(f.starts > 0)
		})
		t.Run(c.name+" while the specification is read", func(t *testing.T) {
			f := newEvacuationFixture(t, false)
			wanted, _, fresh := f.runs.wantedBy(f.key.Name, 1)
			calls := f.pendingCalls(wanted, fresh)
			c.forbid(f)
			for _, call := range calls {
				call(t.Context())
			}
			f.is.Equal(f.starts, 0)
		})
	}
	t.Run("a snapshot without the marker", func(t *testing.T) {
		f := newEvacuationFixture(t, false)
		f.apply(startLimit-time.Minute, false, marker(true))
		f.apply(startLimit-time.Minute, true, orderedRun(f.is, 1, f.key.Name, 1))
		f.giveOrders(t)
		f.is.True(f.starts > 0)
	})
}

package sesamedispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// claimWorld is a book with two targets that batch work fills, and an owed job
// that has claimed one of them.
type claimWorld struct {
	is      *is.I
	book    *View
	now     Now
	version sesamerows.Version
	targets map[string]sesamework.Target
	// claimed is the row name of the claimed target, and other the other's.
	claimed, other string
	urgent         *unit
}

func wholeTarget(id string) sesamework.Target {
	return sesamework.Target{
		ID:      id,
		Zone:    "zone",
		Service: "service",
		State:   sesamework.TargetReady,
		Capacity: sesamework.Resources{
			Cores:        64000,
			Memory:       1 << 18,
			Accelerators: 8,
		},
	}
}

func wholeJob(id string, priority int) sesamerows.Row {
	return sesamerows.Row{
		Key:     sesamework.JobKey(id),
		Version: 1,
		Value: encode(sesamework.Job{
			ID:   id,
			Team: "team",
			Terms: sesamework.Terms{
				Service:  "service",
				Priority: priority,
				Attempts: 3,
				Stretch:  3,
			},
			Accepted: time.Hour.Milliseconds(),
			Steps: []sesamework.Step{{
				Count: 1,
				Need: sesamework.Resources{
					Accelerators: 8,
				},
				Estimate: 5000,
			}},
		}),
	}
}

func newClaimWorld(t *testing.T) *claimWorld {
	w := &claimWorld{
		is:      is.New(t),
		book:    NewView(sesamelog.Discard()),
		version: 1,
		targets: map[string]sesamework.Target{},
		now: Now{
			Steady: time.Hour,
			Store:  time.Hour,
		},
	}
	w.book.SetPolicy(&sesamework.Policy{
		Teams: []sesamework.Team{{
			Name:       "team",
			Guaranteed: 8,
		}},
	})
	rows := []sesamerows.Row{wholeJob("batch-a", 2), wholeJob("batch-b", 2)}
	for _, id := range []string{"a", "b"} {
		row := targetRow(wholeTarget(id), 1)
		w.targets[row.Key.Name] = wholeTarget(id)
		rows = append(rows, row)
	}
	w.book.Load(rows, nil, nil, w.now)
	w.is.Equal(len(w.decide().Starts), 2)
	w.book.Apply([]sesamerows.Row{wholeJob("urgent", 0)}, w.now)
	w.is.Equal(len(w.decide().Stops), 1)
	for id, u := range w.book.units {
		if id.Job == "urgent" {
			w.urgent = u
		}
	}
	w.claimed = w.urgent.claim.targets[0]
	for name := range w.targets {
		if name != w.claimed {
			w.other = name
		}
	}
	return w
}

// decide decides a little later, and applies the decision.
func (w *claimWorld) decide() Decision {
	w.now.Steady += 100 * time.Millisecond
	w.now.Store += 100 * time.Millisecond
	d := w.book.Decide(w.now)
	w.book.settle(d)
	return d
}

// drain lets the claimed target say that it leaves.
func (w *claimWorld) drain() {
	t := w.targets[w.claimed]
	t.State = sesamework.TargetDraining
	t.MinRemaining = time.Minute.Milliseconds()
	w.version++
	w.book.Apply([]sesamerows.Row{targetRow(t, w.version)}, w.now)
}

// TestClaimIsNotWaitedFor checks that owed work doesn't wait for the targets
// that were claimed for it when it can have others sooner.
func TestClaimIsNotWaitedFor(t *testing.T) {
	t.Run("another target has room", func(t *testing.T) {
		w := newClaimWorld(t)
		for _, u := range w.book.units {
			for _, m := range u.members {
				if m.Target == w.other {
					w.book.endMember(u, m, sesamework.End{
						Outcome: sesamework.EndDone,
					})
				}
			}
		}
		d := w.decide()
		w.is.Equal(len(d.Starts), 1)
		w.is.Equal(d.Starts[0].unit, w.urgent)
		w.is.Equal(d.Starts[0].run.Members[0].Target, w.other)
	})
	t.Run("the claimed target leaves", func(t *testing.T) {
		w := newClaimWorld(t)
		w.drain()
		d := w.decide()
		w.is.Equal(len(d.Stops), 1)
		w.is.Equal(w.urgent.claim.targets, []string{w.other})
	})
	t.Run("the claimed target is stopping its run", func(t *testing.T) {
		w := newClaimWorld(t)
		d := w.decide()
		w.is.True(d.IsEmpty())
		w.is.Equal(w.urgent.claim.targets, []string{w.claimed})
	})
}

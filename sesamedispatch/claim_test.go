package sesamedispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// claimFixture is a view with two targets that batch work fills, and an owed
// job (within its team's guarantee) that has claimed one of them.
type claimFixture struct {
	is      *is.I
	view    *View
	now     Now
	version sesamerows.Version
	targets map[string]sesamework.Target
	// claimedName is the row name of the claimed target, and otherName that of
	// the other one.
	claimedName, otherName string
	urgent                 *unit
}

// newTarget returns a ready target with 8 accelerators.
func newTarget(id string) sesamework.Target {
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

// jobFillingTarget returns the row of a job whose one task needs all
// accelerators of a target.
func jobFillingTarget(id string, priority int) sesamerows.Row {
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

// newClaimFixture starts batch work on both targets and then submits the urgent
// job, for which one run is stopped.
func newClaimFixture(t *testing.T) *claimFixture {
	w := &claimFixture{
		is:      is.New(t),
		view:    NewView(sesamelog.Discard()),
		version: 1,
		targets: map[string]sesamework.Target{},
		now: Now{
			Steady: time.Hour,
			Store:  time.Hour,
		},
	}
	w.view.SetPolicy(&sesamework.Policy{
		Teams: []sesamework.Team{{
			Name:       "team",
			Guaranteed: 8,
		}},
	})
	rows := []sesamerows.Row{jobFillingTarget("batch-a", 2), jobFillingTarget("batch-b", 2)}
	for _, id := range []string{"a", "b"} {
		row := targetRow(newTarget(id), 1)
		w.targets[row.Key.Name] = newTarget(id)
		rows = append(rows, row)
	}
	w.view.Load(rows, nil, nil, w.now)
	w.is.Equal(len(w.decide().Starts), 2)
	w.view.Apply([]sesamerows.Row{jobFillingTarget("urgent", 0)}, w.now)
	w.is.Equal(len(w.decide().Stops), 1)
	for id, u := range w.view.units {
		if id.Job == "urgent" {
			w.urgent = u
		}
	}
	w.claimedName = w.urgent.claim.targets[0]
	for name := range w.targets {
		if name != w.claimedName {
			w.otherName = name
		}
	}
	return w
}

// decide takes a decision 100 ms later and applies it.
func (w *claimFixture) decide() Decision {
	w.now.Steady += 100 * time.Millisecond
	w.now.Store += 100 * time.Millisecond
	d := w.view.Decide(w.now)
	w.view.applyDecision(d)
	return d
}

// announceDrain makes the claimed target report that it is draining.
func (w *claimFixture) announceDrain() {
	t := w.targets[w.claimedName]
	t.State = sesamework.TargetDraining
	t.MinRemaining = time.Minute.Milliseconds()
	w.version++
	w.view.Apply([]sesamerows.Row{targetRow(t, w.version)}, w.now)
}

// TestClaimDroppedForOtherTargets checks that owed work doesn't wait for the
// targets that were claimed for it when it can have others sooner, and waits
// while the runs there are being stopped.
func TestClaimDroppedForOtherTargets(t *testing.T) {
	t.Run("another target has room", func(t *testing.T) {
		w := newClaimFixture(t)
		for _, u := range w.view.units {
			for _, m := range u.members {
				if m.Target == w.otherName {
					w.view.endMember(u, m, sesamework.End{
						Outcome: sesamework.EndDone,
					})
				}
			}
		}
		d := w.decide()
		w.is.Equal(len(d.Starts), 1)
		w.is.Equal(d.Starts[0].unit, w.urgent)
		w.is.Equal(d.Starts[0].run.Members[0].Target, w.otherName)
	})
	t.Run("the claimed target leaves", func(t *testing.T) {
		w := newClaimFixture(t)
		w.announceDrain()
		d := w.decide()
		w.is.Equal(len(d.Stops), 1)
		w.is.Equal(w.urgent.claim.targets, []string{w.otherName})
	})
	t.Run("the claimed target is stopping its run", func(t *testing.T) {
		w := newClaimFixture(t)
		d := w.decide()
		w.is.True(d.IsEmpty())
		w.is.Equal(w.urgent.claim.targets, []string{w.claimedName})
	})
}

// TestClaimedTargetShrinks checks that owed work gives up a claimed target that
// has become too small for it, and claims another one.
func TestClaimedTargetShrinks(t *testing.T) {
	w := newClaimFixture(t)
	shrunk := w.targets[w.claimedName]
	shrunk.Capacity.Accelerators = 4
	w.version++
	w.is.True(w.view.Apply([]sesamerows.Row{targetRow(shrunk, w.version)}, w.now))
	d := w.decide()
	w.is.Equal(len(d.Stops), 1)
	w.is.Equal(w.urgent.claim.targets, []string{w.otherName})
}

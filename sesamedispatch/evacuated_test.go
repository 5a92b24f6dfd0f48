package sesamedispatch_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesamework"
)

// evacuationBound is the platform's: nothing may be started in a zone later than
// this after its evacuation was acknowledged.
const evacuationBound = 5 * time.Second

// evacuatedZone is a zone that operators have evacuated.
type evacuatedZone struct {
	// since is when the evacuation was acknowledged, and times how many evacuations
	// overlap.
	since time.Time
	times int
}

// evacuationKey names the row that evacuates the zone.
func evacuationKey(zone string) sesamerows.Key {
	return sesamerows.Key{
		Table: policyKey.Table,
		Name:  zone,
	}
}

// evacuate evacuates the zone for a while.
func (w *world) evacuate(zone string, d time.Duration) {
	w.beginEvacuation(zone)
	w.sleep(d)
	w.endEvacuation(zone)
}

// beginEvacuation evacuates the zone.
func (w *world) beginEvacuation(zone string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.evacuated[zone]
	if e.times == 0 {
		w.commitOperator(sesamerows.Transaction{
			Writes: []sesamerows.Write{{
				Key:   evacuationKey(zone),
				Value: []byte("{}"),
			}},
		})
		e.since = w.clock.Now()
	}
	e.times++
	w.evacuated[zone] = e
}

// endEvacuation takes the zone back unless another evacuation of it goes on.
func (w *world) endEvacuation(zone string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.evacuated[zone]
	e.times--
	w.evacuated[zone] = e
	if e.times == 0 {
		delete(w.evacuated, zone)
		w.commitOperator(sesamerows.Transaction{
			Removes: []sesamerows.Key{evacuationKey(zone)},
		})
	}
}

// commitOperator writes to the store as operators do, whose calls don't fail.
func (w *world) commitOperator(t sesamerows.Transaction) {
	if _, err := w.store.Commit(context.WithoutCancel(w.ctx), t); err != nil {
		w.t.Error(err)
	}
}

// mayStart reports whether a run may be started on the target as far as
// evacuations matter.
func (w *world) mayStart(target *sesamestandin.LeasedTarget) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		if strings.HasPrefix(target.ID(), n.name+"-life-") || target.ID() == n.name {
			e, ok := w.evacuated[n.zone]
			return !ok || w.clock.Since(e.since) <= evacuationBound
		}
	}
	return true
}

// testEvacuation runs the test on a system in whose two zones there is work that
// lasts for the whole test: tasks of half a second that each take a quarter of a
// target.
func testEvacuation(t *testing.T, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := startWorld(t, 3, 4, worldOptions{
			evacuations: true,
		})
		w.sleep(3 * time.Second)
		for i := range 5 {
			const taskTime = 500 * time.Millisecond
			w.submit(newClientJob(fmt.Sprintf("load-%d", i), sesamework.Step{
				Count:    60,
				Need:     accelerators(2),
				Estimate: taskTime.Milliseconds(),
			}, taskTime), "batch", "key-b", 0)
		}
		w.sleep(2 * time.Second)
		test(w)
		assertPromisesKept(t, w, 3*time.Minute)
	})
}

// TestEvacuationUnderFaults evacuates a zone in which work waits and runs, while
// failures begin that keep processes from learning of it in time.
func TestEvacuationUnderFaults(t *testing.T) {
	refuse := func(bool) sesamestandin.RowFault {
		return sesamestandin.RowFault{
			Refused: true,
		}
	}
	late := func(write bool) sesamestandin.RowFault {
		if !write {
			return sesamestandin.RowFault{}
		}
		return sesamestandin.RowFault{
			AnswerLost:  true,
			CommitDelay: 5900 * time.Millisecond,
		}
	}
	const zone = "zone-0"
	for _, c := range []struct {
		name string
		// before happens just before the evacuation and after during it.
		before, after func(w *world)
	}{
		{"no fault", nil, nil},
		{"the planner dies", nil, (*world).killPlanner},
		{"the store is away for all", nil, func(w *world) {
			w.setFaults(refuse)
			w.sleep(6 * time.Second)
			w.setFaults(nil)
		}},
		{"all entries are cut off", nil, func(w *world) {
			w.setEntryFaults(refuse)
			w.sleep(9 * time.Second)
			w.setEntryFaults(nil)
		}},
		{"runs are written late", func(w *world) {
			w.setEntryFaults(late)
		}, func(w *world) {
			w.sleep(8 * time.Second)
			w.setEntryFaults(nil)
		}},
		{"the agents start again", nil, func(w *world) {
			w.sleep(5 * time.Second)
			for _, n := range w.nodes {
				n.kill(100 * time.Millisecond)
			}
		}},
		{"the targets are silent", func(w *world) {
			w.setUnreachable(true)
		}, func(w *world) {
			w.sleep(5500 * time.Millisecond)
			w.setUnreachable(false)
		}},
	} {
		// What the planner is about to write when the fault begins differs by time.
		for wait := range 3 {
			t.Run(fmt.Sprint(c.name, " ", wait), func(t *testing.T) {
				testEvacuation(t, func(w *world) {
					w.sleep(time.Duration(wait) * 170 * time.Millisecond)
					if c.before != nil {
						c.before(w)
						w.sleep(600 * time.Millisecond)
					}
					w.beginEvacuation(zone)
					if c.after != nil {
						c.after(w)
					}
					w.sleep(10 * time.Second)
					w.endEvacuation(zone)
				})
			})
		}
	}
}

// setEntryFaults sets the fate of the entries' calls to the store, nil for none.
func (w *world) setEntryFaults(fate func(write bool) sesamestandin.RowFault) {
	for _, e := range w.entries {
		e.rows.SetFault(fate)
	}
}

// setUnreachable sets whether the targets answer no call.
func (w *world) setUnreachable(unreachable bool) {
	for _, n := range w.nodes {
		n.currentTarget().SetUnreachable(unreachable)
	}
}

// killPlanner stops the entry that plans, and starts it again later.
func (w *world) killPlanner() {
	for _, e := range w.entries {
		row, _, err := sesamerows.ReadRow(w.ctx, w.store, sesamework.LeaderKey())
		if err == nil && strings.Contains(string(row.Value), e.name) {
			e.stop()
			w.sleep(time.Second)
			e.start()
		}
	}
}

package sesamerunner_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamerunner"
	"github.com/sesamestack/sesamestack/sesamework"
)

// targetOf decodes the target's row.
func (w *world) targetOf(row sesamerows.Row) sesamework.Target {
	var t sesamework.Target
	w.is.NoErr(json.Unmarshal(sesamerows.DecodeFenceValue(row.Value), &t))
	return t
}

// targetState returns the state in the target's row.
func (w *world) targetState() sesamework.TargetState {
	row, _, err := sesamerows.ReadRow(w.ctx, w.memory, targetKey())
	w.is.NoErr(err)
	return w.targetOf(row).State
}

// giveUp marks the target as gone, as the planner does.
func (w *world) giveUp() {
	row, _, err := sesamerows.ReadRow(w.ctx, w.memory, targetKey())
	w.is.NoErr(err)
	target := w.targetOf(row)
	target.State = sesamework.TargetGone
	value, err := json.Marshal(target)
	w.is.NoErr(err)
	w.put(targetKey(), sesamerows.EncodeUnfencedValue(value))
}

// endsBeforeGone returns how many ends were in the store when the target's row
// first said that the target is gone.
func (w *world) endsBeforeGone() int {
	page, err := w.memory.Changes(w.ctx, sesamework.WorkTable, 0, 0)
	w.is.NoErr(err)
	var gone sesamerows.Version
	for _, row := range page.Rows {
		if row.Key == targetKey() && gone == 0 && w.targetOf(row).State == sesamework.TargetGone {
			gone = row.Version
		}
	}
	ends := 0
	for _, row := range page.Rows {
		if _, _, ok := sesamework.ParseEndKey(row.Key); ok && row.Version <= gone {
			ends++
		}
	}
	return ends
}

// TestGoneWithLastEnds guards against runs that are given up with their target
// although the agent knows how they ended.
func TestGoneWithLastEnds(t *testing.T) {
	t.Run("more ends than one report holds", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			const tasks = 60
			var durations []time.Duration
			var indexes []int
			for i := range tasks {
				durations = append(durations, 300*time.Millisecond)
				indexes = append(indexes, i)
			}
			w := newWorld(t, durations...)
			w.refuseWrites()
			w.order(indexes...)
			w.sleep(2 * time.Second)
			w.runner.EndSession(targetID)
			// The report that is being written is given up.
			w.sleep(settleTime)
			w.store.SetFault(nil)
			w.sleep(settleTime)
			w.is.Equal(w.targetState(), sesamework.TargetGone)
			w.is.Equal(w.endsBeforeGone(), tasks)
		})
	})
	t.Run("an end that is recorded already", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, time.Second)
			w.target.setRefuse(func(sesamerunner.Order) error {
				return &sesamerunner.RefusedError{
					Reason: sesamerunner.RefusedNoCapacity,
				}
			})
			w.refuseWrites()
			w.order(0)
			w.sleep(time.Second)
			value, err := json.Marshal(sesamework.End{
				Outcome: sesamework.EndDone,
			})
			w.is.NoErr(err)
			w.put(sesamework.EndKey(targetKey(), task(0), 1), value)
			w.runner.EndSession(targetID)
			// The report that is being written is given up.
			w.sleep(settleTime)
			w.store.SetFault(nil)
			w.sleep(settleTime)
			w.assertOutcomes(sesamework.EndDone)
			w.is.Equal(w.targetState(), sesamework.TargetGone)
		})
	})
}

// TestOwnHigherEpoch guards against a session that ends because the target
// refuses a call which the agent made before it acquired the target's row again.
func TestOwnHigherEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, time.Second)
		w.giveUp()
		for w.targetState() == sesamework.TargetGone {
			w.sleep(10 * time.Millisecond)
		}
		// A renewal with the earlier epoch is in flight.
		w.order(0)
		w.sleep(settleTime)
		w.is.Equal(w.targetState(), sesamework.TargetReady)
		w.assertOutcomes(sesamework.EndDone)
	})
}

// TestGivenUpTarget guards against an agent that goes on with the runs of a
// target that the planner has given up, and that may be started elsewhere.
func TestGivenUpTarget(t *testing.T) {
	// leaseTime is longer than any lease of the target lasts.
	leaseTime := sesamework.LapseTimeout(maxLease) + time.Second
	t.Run("starts no run that was ordered before", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, time.Second, time.Second)
			w.target.setRefuse(func(sesamerunner.Order) error {
				return &sesamerunner.RefusedError{
					Reason: sesamerunner.RefusedLeaseOver,
				}
			})
			w.order(0)
			w.sleep(time.Second)
			w.giveUp()
			// The agent finds the row with its next report.
			w.sleep(sesamework.ReportInterval + time.Second)
			w.target.setRefuse(nil)
			w.sleep(leaseTime + settleTime)
			w.assertOutcomes(sesamework.EndNeverRan)
			w.is.Equal(w.targetState(), sesamework.TargetReady)
			w.is.Equal(w.fleet.Starts(), 0)
			w.order(1)
			w.sleep(settleTime)
			w.assertOutcomes(sesamework.EndNeverRan, sesamework.EndDone)
		})
	})
	t.Run("acknowledges no end within the lease", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 2*time.Second)
			w.order(0)
			w.sleep(time.Second)
			w.giveUp()
			w.sleep(leaseTime + settleTime)
			w.assertOutcomes(sesamework.EndDone)
			_, err := w.target.LeasedTarget.Start(w.ctx, sesamerunner.Order{
				Task:          task(0),
				Run:           2,
				AgentEpoch:    99,
				Specification: "text",
				LeaseEnd:      time.Hour,
			})
			w.is.NoErr(err)
			w.is.Equal(w.fleet.Violations(), nil)
		})
	})
	t.Run("starts nothing of before in a new process", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, time.Second)
			w.target.setRefuse(func(sesamerunner.Order) error {
				return &sesamerunner.RefusedError{
					Reason: sesamerunner.RefusedLeaseOver,
				}
			})
			w.order(0)
			w.sleep(time.Second)
			w.stop()
			w.is.NoErr(w.group.Wait())
			w.giveUp()
			w.target.setRefuse(nil)
			w.start()
			w.assertOutcomes(sesamework.EndNeverRan)
			w.is.Equal(w.fleet.Starts(), 0)
		})
	})
}

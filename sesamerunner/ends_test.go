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

// runNevertheless makes the target refuse the first task for lack of capacity
// and run it all the same.
func (w *world) runNevertheless() {
	w.target.setRefuse(func(o sesamerunner.Order) error {
		if o.Task.Index != 0 {
			return nil
		}
		_, err := w.target.LeasedTarget.Start(w.ctx, o)
		w.is.NoErr(err)
		return &sesamerunner.RefusedError{
			Reason: sesamerunner.RefusedNoCapacity,
		}
	})
}

// TestListedEndIsRecorded guards against an end that the target lists but that
// is acknowledged without a record, because the agent takes the run for one that
// never started.
func TestListedEndIsRecorded(t *testing.T) {
	t.Run("the assumed end waits for the store", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 300*time.Millisecond, 600*time.Millisecond)
			w.runNevertheless()
			w.refuseWrites()
			w.order(0, 1)
			w.sleep(2 * time.Second)
			w.store.SetFault(nil)
			w.sleep(settleTime)
			w.assertOutcomes(sesamework.EndDone, sesamework.EndDone)
		})
	})
	t.Run("the assumed end is being recorded", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 300*time.Millisecond, 700*time.Millisecond)
			w.runNevertheless()
			w.slowWrites()
			w.order(0, 1)
			w.sleep(settleTime)
			w.assertOutcomes(sesamework.EndDone, sesamework.EndDone)
		})
	})
}

// TestUnansweredStartIsStopped guards against a run that is recorded as one that
// never ran and runs nevertheless: a later start is refused while an earlier one
// is still on its way.
func TestUnansweredStartIsStopped(t *testing.T) {
	for _, reason := range []sesamerunner.Refusal{sesamerunner.RefusedNoCapacity, sesamerunner.RefusedInvalid} {
		t.Run(string(reason), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, time.Second)
				starts := 0
				w.target.setRefuse(func(sesamerunner.Order) error {
					starts++
					if starts == 1 {
						return nil
					}
					return &sesamerunner.RefusedError{
						Reason: reason,
					}
				})
				orders := 0
				w.target.SetLostOrders(func() (time.Duration, bool) {
					orders++
					return 2 * time.Second, orders == 1
				})
				w.order(0)
				w.sleep(settleTime)
				w.assertOutcomes(sesamework.EndNeverRan)
				w.is.Equal(w.fleet.Starts(), 0)
			})
		})
	}
}

// endUnrecorded orders one task more than the target lists ends, lets all end as
// done while the store refuses the agent's writes, and stops the agent.
func (w *world) endUnrecorded() {
	w.refuseWrites()
	for i := range w.durations {
		w.order(i)
	}
	w.sleep(2 * time.Second)
	w.stop()
	w.is.NoErr(w.group.Wait())
	w.store.SetFault(nil)
}

// assertAllDone checks that the end of each task was recorded as done, and no
// other end before.
func (w *world) assertAllDone() {
	page, err := w.memory.Changes(w.ctx, sesamework.WorkTable, 0, 0)
	w.is.NoErr(err)
	done := map[sesamerows.Key]bool{}
	for _, row := range page.Rows {
		if _, _, ok := sesamework.ParseEndKey(row.Key); !ok {
			continue
		}
		var e sesamework.End
		w.is.NoErr(json.Unmarshal(row.Value, &e))
		w.is.Equal(e.Outcome, sesamework.EndDone)
		done[row.Key] = true
	}
	w.is.Equal(len(done), len(w.durations))
}

// TestMoreEndsThanListed guards against a run that is taken for one that never
// started, because the target has more ends than it lists at a time.
func TestMoreEndsThanListed(t *testing.T) {
	durations := make([]time.Duration, maxListed+1)
	t.Run("on a draining target", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, durations...)
			w.endUnrecorded()
			w.startWith(sesamerunner.Report{
				Draining:     true,
				MinRemaining: time.Minute,
			})
			w.assertAllDone()
		})
	})
	t.Run("when the target refuses a start", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, durations...)
			w.endUnrecorded()
			w.slowWrites()
			w.start()
			w.assertAllDone()
		})
	})
}

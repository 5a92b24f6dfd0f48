package sesamerunner_test

import (
	"encoding/json"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamerunner"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesamework"
)

// faultyTasks is how many tasks are ordered while faults happen.
const faultyTasks = 12

// faultStep is a fault that lasts for a while. A step with an order also writes
// the run of the next task.
type faultStep struct {
	fault string
	lasts time.Duration
	order bool
}

// faults start a fault, by its name.
var faults = map[string]func(w *world, lasts time.Duration){
	"none": func(*world, time.Duration) {},
	"store refuses": func(w *world, _ time.Duration) {
		w.refuseWrites()
	},
	"store is slow": func(w *world, _ time.Duration) {
		w.slowWrites()
	},
	"answers of the store are lost": func(w *world, lasts time.Duration) {
		w.store.SetFault(func(write bool) sesamestandin.RowFault {
			return sesamestandin.RowFault{
				AnswerLost:  write,
				CommitDelay: lasts,
			}
		})
	},
	"agent restarts": func(w *world, _ time.Duration) {
		w.stop()
		w.is.NoErr(w.group.Wait())
		w.launch()
	},
	"target is unreachable": func(w *world, _ time.Duration) {
		w.target.SetUnreachable(true)
	},
	"orders arrive late": func(w *world, lasts time.Duration) {
		w.target.SetLostOrders(func() (time.Duration, bool) {
			return 2 * lasts, true
		})
	},
	"target has no room": func(w *world, _ time.Duration) {
		w.target.setRefuse(func(sesamerunner.Order) error {
			return &sesamerunner.RefusedError{
				Reason: sesamerunner.RefusedNoCapacity,
			}
		})
	},
	"target is overloaded": func(w *world, _ time.Duration) {
		w.target.setRefuse(func(sesamerunner.Order) error {
			return &sesamerunner.UnavailableError{}
		})
	},
	"planner gives up the target": func(w *world, _ time.Duration) {
		w.giveUp()
	},
}

// endFaults ends all faults.
func (w *world) endFaults() {
	w.store.SetFault(nil)
	w.target.SetUnreachable(false)
	w.target.SetLostOrders(nil)
	w.target.setRefuse(nil)
}

// drawSteps draws the steps of a case.
func drawSteps(r *rapid.T) []faultStep {
	names := make([]string, 0, len(faults))
	for name := range faults {
		names = append(names, name)
	}
	slices.Sort(names)
	steps := make([]faultStep, rapid.IntRange(4, faultyTasks).Draw(r, "steps"))
	for i := range steps {
		steps[i] = faultStep{
			fault: rapid.SampledFrom(names).Draw(r, "fault"),
			lasts: time.Duration(rapid.IntRange(20, 1500).Draw(r, "lasts")) * time.Millisecond,
			order: rapid.Bool().Draw(r, "order"),
		}
	}
	return steps
}

// assertOneEndEach checks that each of the tasks has an end, that no end was
// replaced by another one, and that the target's own ends are recorded.
func (w *world) assertOneEndEach(tasks int) {
	page, err := w.memory.Changes(w.ctx, sesamework.WorkTable, 0, 0)
	w.is.NoErr(err)
	recorded := map[sesamerows.Key]sesamework.Outcome{}
	for _, row := range page.Rows {
		if _, _, ok := sesamework.ParseEndKey(row.Key); !ok {
			continue
		}
		var e sesamework.End
		w.is.NoErr(json.Unmarshal(row.Value, &e))
		if earlier, ok := recorded[row.Key]; ok {
			w.is.Equal(e.Outcome, earlier)
		}
		recorded[row.Key] = e.Outcome
	}
	w.is.Equal(len(recorded), tasks)
	for _, e := range w.target.listed {
		w.is.Equal(w.outcome(e.Task), e.Outcome)
	}
}

// TestEndsUnderFaults checks that each run gets one end, which is never replaced,
// and that each acknowledged end is recorded, whatever faults of the store, the
// target, its orders and the agent come together.
func TestEndsUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := drawSteps(r)
		synctest.Test(t, func(t *testing.T) {
			durations := make([]time.Duration, faultyTasks)
			for i := range durations {
				durations[i] = time.Duration(100+300*i) * time.Millisecond
			}
			w := newWorld(t, durations...)
			ordered := 0
			for _, step := range steps {
				faults[step.fault](w, step.lasts)
				if step.order {
					w.order(ordered)
					ordered++
				}
				w.sleep(step.lasts)
				w.endFaults()
				w.report()
			}
			// Leases lapse, and late orders and transactions arrive.
			for range 40 {
				w.sleep(time.Second)
				w.report()
			}
			w.assertOneEndEach(ordered)
			w.is.Equal(len(w.fleet.Violations()), 0)
		})
		if t.Failed() {
			r.Fatalf("steps %+v", steps)
		}
	})
}

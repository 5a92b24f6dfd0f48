package sesamedispatch_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesamework"
)

const (
	// capacityWork is how long the tasks of these tests take: longer than
	// shrinkGrace.
	capacityWork = 6 * time.Second
	// pastGrace is when a shrunk target's former capacity no longer counts.
	pastGrace = shrinkGrace + 200*time.Millisecond
)

// tasksOf returns a job of n tasks of capacityWork with 2 accelerators each.
func tasksOf(id string, n int) *clientJob {
	return newClientJob(id, sesamework.Step{
		Count:    n,
		Need:     accelerators(2),
		Estimate: capacityWork.Milliseconds(),
	}, capacityWork)
}

// setCapacity changes the capacity of the node's target to that of n
// accelerators.
func (n *nodeProcess) setCapacity(accelerators int64) {
	capacity := nodeCapacity()
	n.currentTarget().SetCapacity(sesamework.Resources{
		Cores:        capacity.Cores / capacity.Accelerators * accelerators,
		Memory:       capacity.Memory / capacity.Accelerators * accelerators,
		Accelerators: accelerators,
	})
}

// testCapacity runs the test on a system whose only target is the first node's,
// and then lets the target grow again and checks that all promises were kept.
func testCapacity(t *testing.T, entries int, test func(is *is.I, w *world, n *nodeProcess)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, entries, 1)
		w.sleep(3 * time.Second)
		test(is.New(t), w, w.nodes[0])
		w.nodes[0].setCapacity(8)
		assertPromisesKept(t, w, time.Minute)
	})
}

// TestShrunkTargetGetsNoMore shrinks a target and checks that what runs goes on,
// that nothing is started beyond its capacity, and that work starts at once when
// it grows again.
func TestShrunkTargetGetsNoMore(t *testing.T) {
	// startsAfterReport bounds the time from the target's report to the starts.
	const startsAfterReport = 50 * time.Millisecond
	t.Run("below what runs", func(t *testing.T) {
		testCapacity(t, 1, func(is *is.I, w *world, n *nodeProcess) {
			w.submit(tasksOf("running", 4), "normal", "key-a", 0)
			w.sleep(500 * time.Millisecond)
			n.setCapacity(4)
			w.submit(tasksOf("waiting", 4), "normal", "key-a", 0)
			w.sleep(capacityWork + time.Second)
			is.Equal(w.state("running"), sesamework.JobCompleted)
			is.Equal(w.fleet.Starts(), 6)
		})
	})
	t.Run("to zero and back", func(t *testing.T) {
		testCapacity(t, 1, func(is *is.I, w *world, n *nodeProcess) {
			n.setCapacity(0)
			w.sleep(pastGrace)
			w.submit(tasksOf("waiting", 4), "normal", "key-a", 0)
			w.sleep(5 * time.Second)
			is.Equal(w.fleet.Starts(), 0)
			n.setCapacity(8)
			n.awaitReport(w.ctx)
			w.sleep(startsAfterReport)
			is.Equal(w.fleet.Starts(), 4)
		})
	})
	t.Run("again and again", func(t *testing.T) {
		testCapacity(t, 1, func(_ *is.I, w *world, n *nodeProcess) {
			for i := range 12 {
				n.setCapacity(int64(i * 5 % 9))
				w.submit(tasksOf(fmt.Sprintf("job-%d", i), 2), "normal", "key-a", 0)
				w.sleep(pastGrace)
			}
		})
	})
	t.Run("another life has its own capacity", func(t *testing.T) {
		testCapacity(t, 1, func(is *is.I, w *world, n *nodeProcess) {
			n.setCapacity(0)
			w.sleep(pastGrace)
			n.crash(time.Second)
			w.submit(tasksOf("waiting", 4), "normal", "key-a", 0)
			w.sleep(reportInterval)
			is.Equal(w.fleet.Starts(), 4)
		})
	})
}

// TestOrderForShrunkTarget orders starts on a target that has shrunk before the
// order arrives, later than the platform allows for.
func TestOrderForShrunkTarget(t *testing.T) {
	t.Run("orders unanswered", func(t *testing.T) {
		testCapacity(t, 1, func(_ *is.I, w *world, n *nodeProcess) {
			n.currentTarget().SetLostOrders(func() (time.Duration, bool) {
				return time.Hour, true
			})
			w.submit(tasksOf("job", 4), "normal", "key-a", 0)
			w.sleep(300 * time.Millisecond)
			n.setCapacity(2)
			w.sleep(pastGrace)
			n.currentTarget().SetLostOrders(nil)
			w.sleep(5 * time.Second)
		})
	})
	t.Run("orders carried out late", func(t *testing.T) {
		testCapacity(t, 1, func(_ *is.I, w *world, n *nodeProcess) {
			n.currentTarget().SetLostOrders(func() (time.Duration, bool) {
				return 8 * time.Second, true
			})
			w.submit(tasksOf("job", 4), "normal", "key-a", 0)
			w.sleep(300 * time.Millisecond)
			n.setCapacity(2)
			w.sleep(pastGrace)
			n.currentTarget().SetLostOrders(nil)
			w.sleep(5 * time.Second)
		})
	})
	t.Run("planner's writes carried out late", func(t *testing.T) {
		testCapacity(t, 1, func(_ *is.I, w *world, n *nodeProcess) {
			w.sleep(100 * time.Millisecond)
			accepted := false
			w.entries[0].rows.SetFault(func(write bool) sesamestandin.RowFault {
				late := write && accepted
				accepted = accepted || write
				return sesamestandin.RowFault{
					AnswerLost:  late,
					CommitDelay: 6 * time.Second,
				}
			})
			w.submit(tasksOf("job", 4), "normal", "key-a", 0)
			n.setCapacity(2)
			w.sleep(2 * pastGrace)
			w.entries[0].rows.SetFault(nil)
			w.sleep(10 * time.Second)
		})
	})
	t.Run("specification read late", func(t *testing.T) {
		testCapacity(t, 1, func(_ *is.I, w *world, n *nodeProcess) {
			n.rows.SetFault(func(write bool) sesamestandin.RowFault {
				if write {
					return sesamestandin.RowFault{}
				}
				return sesamestandin.RowFault{
					AnswerDelay: 5 * time.Second,
				}
			})
			w.submit(tasksOf("job", 4), "normal", "key-a", 0)
			w.sleep(50 * time.Millisecond)
			n.setCapacity(2)
			w.sleep(pastGrace)
			n.rows.SetFault(nil)
			w.sleep(10 * time.Second)
		})
	})
	t.Run("agent restarted", func(t *testing.T) {
		testCapacity(t, 1, func(_ *is.I, w *world, n *nodeProcess) {
			n.stop()
			w.submit(tasksOf("job", 4), "normal", "key-a", 0)
			n.setCapacity(2)
			// The next report comes only after the target has answered the agent.
			w.sleep(4 * reportInterval)
			n.start()
			w.sleep(5 * time.Second)
		})
	})
	t.Run("agent cut off the store", func(t *testing.T) {
		testCapacity(t, 2, func(_ *is.I, w *world, n *nodeProcess) {
			w.sleep(100 * time.Millisecond)
			n.rows.SetFault(storeFate("agent cut"))
			w.submit(tasksOf("job", 4), "normal", "key-a", 0)
			n.setCapacity(2)
			w.sleep(pastGrace)
			n.rows.SetFault(nil)
			w.sleep(5 * time.Second)
		})
	})
}

// TestShrunkTargetBreaksNoPromise shrinks a target while planners change, while
// the store is slow, and while a gang, claimed room or reserved room depends on
// it.
func TestShrunkTargetBreaksNoPromise(t *testing.T) {
	t.Run("planners change", func(t *testing.T) {
		testCapacity(t, 2, func(_ *is.I, w *world, n *nodeProcess) {
			for i := range 6 {
				w.submit(tasksOf(fmt.Sprintf("job-%d", i), 4), "normal", "key-a", i)
				n.setCapacity(int64(2 + 4*(i%2)))
				w.killEntry(i%2, time.Second)
				w.sleep(pastGrace)
			}
		})
	})
	t.Run("slow store", func(t *testing.T) {
		testCapacity(t, 2, func(_ *is.I, w *world, n *nodeProcess) {
			w.slowStore(slowTransaction, slowAnswer)
			for i := range 6 {
				n.setCapacity(int64(8 - 6*(i%2)))
				w.submit(tasksOf(fmt.Sprintf("job-%d", i), 2), "normal", "key-a", i)
				w.sleep(pastGrace)
			}
			w.slowStore(0, 0)
		})
	})
	t.Run("claimed and reserved room", func(t *testing.T) {
		testCapacity(t, 2, func(_ *is.I, w *world, n *nodeProcess) {
			w.submit(tasksOf("batch", 8), "batch", "key-b", 0)
			w.sleep(time.Second)
			n.setCapacity(4)
			w.submit(newClientJob("owed", sesamework.Step{
				Count:    1,
				Need:     accelerators(8),
				Estimate: 1000,
			}, time.Second), "urgent", "key-a", 0)
			w.submit(tasksOf("blocked", 4), "normal", "key-a", 0)
			w.sleep(2 * pastGrace)
		})
	})
}

// TestGangOnShrunkTarget shrinks one of two targets below a gang's member that is
// ordered there. The other member must not wait for it until it times out, and
// the gang must run once there is room.
func TestGangOnShrunkTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2, 2)
		w.sleep(3 * time.Second)
		w.sleep(300 * time.Millisecond)
		w.nodes[0].rows.SetFault(func(write bool) sesamestandin.RowFault {
			if write {
				return sesamestandin.RowFault{}
			}
			return sesamestandin.RowFault{
				AnswerDelay: reportInterval,
			}
		})
		w.nodes[0].setCapacity(2)
		gang := newClientJob("gang", sesamework.Step{
			Count:    2,
			Need:     accelerators(8),
			Estimate: capacityWork.Milliseconds(),
			Gang:     true,
		}, capacityWork)
		w.submit(gang, "normal", "key-a", 0)
		w.sleep(2 * pastGrace)
		is.Equal(w.ends(sesamework.EndNeverRan), 1)
		is.Equal(w.ends(sesamework.EndStopped), 1)
		w.nodes[0].rows.SetFault(nil)
		w.nodes[0].setCapacity(8)
		assertPromisesKept(t, w, time.Minute)
		is.Equal(w.state("gang"), sesamework.JobCompleted)
	})
}

// ends returns how many recorded ends of runs have that outcome.
func (w *world) ends(outcome sesamework.Outcome) int {
	w.t.Helper()
	count := 0
	for _, n := range w.nodes {
		page, err := w.store.Read(w.ctx, sesamerows.Range{
			Table: sesamework.WorkTable,
			Part:  sesamework.NodePart(n.zone, n.name),
			From:  sesamework.EndPrefix,
			To:    sesamework.TargetPrefix,
		})
		is.New(w.t).NoErr(err)
		for _, row := range page.Rows {
			var e sesamework.End
			is.New(w.t).NoErr(json.Unmarshal(row.Value, &e))
			if e.Outcome == outcome && e.Target == sesamework.TargetKey(n.zone, n.name, n.id).Name {
				count++
			}
		}
	}
	return count
}

// capacityFaultKinds are targets that shrink, with the faults that delay what
// the planner learns of them and what it orders.
var capacityFaultKinds = []string{
	"target shrinks", "target shrinks", "target shrinks", "agent killed", "entry killed", "all killed", "orders late",
	"target silent", "answers late", "store slow", "store silent", "agent cut", "history lost",
}

// capacityRegressions are those of TestModelCapacities: a new agent started runs
// by the capacity that the one before it had reported.
var capacityRegressions = []int{108, 147, 242, 283, 318, 364}

// TestModelCapacities is TestModel with targets that shrink and grow again.
func TestModelCapacities(t *testing.T) {
	runSeeds(t, capacityFaultKinds, worldOptions{}, capacityRegressions)
}

// TestTargetStopsReporting lets a target go on answering its agent but no longer
// report its capacity, from the start of the agent or later. Work must run
// elsewhere, and work that was ordered there must not wait for it.
func TestTargetStopsReporting(t *testing.T) {
	for name, restart := range map[string]bool{
		"while its agent runs":        false,
		"before its agent is started": true,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 1, 2)
				w.sleep(3 * time.Second)
				if restart {
					w.nodes[0].stop()
				}
				w.submit(newClientJob("ordered", sesamework.Step{
					Count:    2,
					Need:     accelerators(8),
					Estimate: 1000,
				}, time.Second), "normal", "key-a", 0)
				w.mu.Lock()
				w.nodes[0].reportsNothing = true
				w.mu.Unlock()
				if restart {
					w.nodes[0].start()
				}
				w.sleep(4 * time.Second)
				w.submit(tasksOf("later", 4), "normal", "key-a", 0)
				assertPromisesKept(t, w, 20*time.Second)
			})
		})
	}
}

package sesamedispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamestack/sesamestack/sesamestandin"
)

// leave ends the node's target as a graceful shutdown does: it tells its agent,
// and the inventory lacks it from then on.
func (n *nodeProcess) leave() {
	n.w.mu.Lock()
	n.reportsNothing = true
	n.removed = true
	id, runner := n.id, n.runner
	n.w.mu.Unlock()
	n.currentTarget().Crash()
	runner.EndSession(id)
}

// leaveFor lets the node's target leave and begins another life of it after d.
func (n *nodeProcess) leaveFor(d time.Duration) {
	n.leave()
	n.w.sleep(d)
	n.startNewLife()
	n.w.mu.Lock()
	n.reportsNothing = false
	n.removed = false
	n.w.mu.Unlock()
}

// TestTargetLeavesBehindSilentFeed lets a run end, and then its target leave,
// while the planner's writes go through but its feed of changes brings nothing.
// The task must not start again.
func TestTargetLeavesBehindSilentFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			work = 2500 * time.Millisecond
			// feedCall is how long a call for changes that is under way goes on.
			feedCall = time.Second
			silence  = 3 * time.Second
		)
		w := newWorld(t, 1, 2)
		w.sleep(3 * time.Second)
		w.submit(newClientJob("job", plainStep(8, work), work), "normal", "key-a", 0)
		w.sleep(work - feedCall - 100*time.Millisecond)
		w.entries[0].rows.SetFault(func(write bool) sesamestandin.RowFault {
			return sesamestandin.RowFault{
				Dropped: !write,
			}
		})
		w.sleep(feedCall + 400*time.Millisecond)
		for _, n := range w.nodes {
			if n.currentTarget().Ran() {
				n.leave()
			}
		}
		w.sleep(silence)
		w.entries[0].rows.SetFault(nil)
		assertPromisesKept(t, w, time.Minute)
	})
}

// leavingFaultKinds are targets that leave as planned, and faults by which a
// planner lags behind what their agents record.
var leavingFaultKinds = []string{
	"target leaves", "target leaves", "reads unanswered", "reads unanswered", "history lost", "answers lost", "entry killed",
}

// TestModelLeaving is TestModel with targets that leave, and planners that lag.
func TestModelLeaving(t *testing.T) {
	runSeeds(t, leavingFaultKinds, worldOptions{}, nil)
}

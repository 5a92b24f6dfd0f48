package sesamedispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamework"
)

// Live returns the targets of the nodes that have not been removed; world is
// the planners' Inventory.
func (w *world) Live(context.Context) (map[string]bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	live := map[string]bool{}
	for _, n := range w.nodes {
		if !n.removed {
			live[n.id] = true
		}
	}
	return live, nil
}

// TestRemovedTarget removes a node for good, from the inventory too: its work
// must start elsewhere long before the target's lease would have lapsed.
func TestRemovedTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2, 2)
		w.sleep(3 * time.Second)
		w.submit(newClientJob("urgent", sesamework.Step{
			Count:    2,
			Need:     accelerators(8),
			Estimate: 3000,
		}, 3*time.Second), "urgent", "key-a", 0)
		w.sleep(time.Second)
		started := w.clock.Now()
		w.mu.Lock()
		w.nodes[0].removed = true
		w.mu.Unlock()
		w.nodes[0].stop()
		w.nodes[0].currentTarget().Crash()
		assertPromisesKept(t, w, time.Minute)
		const bound = 2*3*time.Second + 3*time.Second // both tasks in turn, and the time to notice the loss
		is.True(w.clock.Since(started) < bound)
	})
}

// TestSilentTarget checks that a target whose agent is down for a while loses
// no work as long as the inventory lists it.
func TestSilentTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 1, 1)
		w.sleep(3 * time.Second)
		w.submit(newClientJob("long", sesamework.Step{
			Count:    1,
			Need:     accelerators(8),
			Estimate: 9000,
		}, 9*time.Second), "normal", "key-a", 0)
		w.sleep(time.Second)
		w.nodes[0].kill(4 * time.Second)
		assertPromisesKept(t, w, time.Minute)
		is.Equal(w.fleet.Starts(), 1)
	})
}

// TestDrainingTarget checks that a draining target is given no work, and that a
// run which outlasts it is continued elsewhere from its checkpoint.
func TestDrainingTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2, 2)
		w.sleep(3 * time.Second)
		w.submit(newClientJob("long", sesamework.Step{
			Count:       2,
			Need:        accelerators(8),
			Estimate:    8000,
			Checkpoints: true,
		}, 8*time.Second), "normal", "key-a", 0)
		w.sleep(4 * time.Second)
		w.mu.Lock()
		w.nodes[0].draining = true
		w.mu.Unlock()
		const drainBound = 2 * time.Second
		w.sleep(drainBound)
		w.nodes[0].currentTarget().ForbidStarts()
		started := w.clock.Now()
		assertPromisesKept(t, w, time.Minute)
		const rest = 4*time.Second + 4*time.Second + 2*time.Second // the rest of both tasks, and the stops
		is.True(w.clock.Since(started) < rest)
	})
}

// TestDrainingTargetKeepsWork checks that work without checkpoints goes on
// where it is: the target stays longer than it announces, and a stop would lose
// the work.
func TestDrainingTargetKeepsWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, 2)
		w.sleep(3 * time.Second)
		w.submit(newClientJob("long", sesamework.Step{
			Count:    1,
			Need:     accelerators(8),
			Estimate: 8000,
		}, 8*time.Second), "normal", "key-a", 0)
		w.sleep(time.Second)
		w.mu.Lock()
		for _, n := range w.nodes {
			n.draining = true
		}
		w.mu.Unlock()
		assertPromisesKept(t, w, 10*time.Second)
		is.New(t).Equal(w.fleet.Starts(), 1)
	})
}

// TestUnansweredOrderForDrainingTarget leaves the orders for a target unanswered
// until it drains. They must not be repeated then, and the task must run elsewhere.
func TestUnansweredOrderForDrainingTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, 2)
		w.sleep(3 * time.Second)
		w.nodes[0].currentTarget().SetLostOrders(func() (time.Duration, bool) {
			return time.Hour, true
		})
		w.submit(jobOnTwoNodes(), "normal", "key-a", 0)
		w.sleep(time.Second)
		w.mu.Lock()
		w.nodes[0].draining = true
		w.mu.Unlock()
		const drainBound = 2 * time.Second
		w.sleep(reportInterval + drainBound)
		w.nodes[0].currentTarget().ForbidStarts()
		w.nodes[0].currentTarget().SetLostOrders(nil)
		assertPromisesKept(t, w, time.Minute)
	})
}

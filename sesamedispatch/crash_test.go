package sesamedispatch_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// crashUnreported ends the node's target without a report of it. The agent goes
// on running.
func (n *nodeProcess) crashUnreported() {
	n.w.mu.Lock()
	n.reportsNothing = true
	n.w.mu.Unlock()
	n.currentTarget().SetUnreachable(true)
	n.currentTarget().Crash()
}

// crashUnreportedFor ends the target without a report and after d starts another
// life of it, which reports to the same agent.
func (n *nodeProcess) crashUnreportedFor(d time.Duration) {
	n.crashUnreported()
	n.w.sleep(d)
	n.w.mu.Lock()
	n.reportsNothing = false
	n.w.mu.Unlock()
	n.startNewLife()
}

// jobOnTwoNodes returns a job of two tasks of 9 s, each of which fills a node.
func jobOnTwoNodes() *clientJob {
	return newClientJob("long", sesamework.Step{
		Count:    2,
		Need:     accelerators(8),
		Estimate: 9000,
	}, 9*time.Second)
}

// TestUnreportedCrash ends a target without a report while its agent goes on
// running. The lost task must run again as soon as the inventory lacks the
// target, or else when the target's lease has surely lapsed, and never before.
func TestUnreportedCrash(t *testing.T) {
	const (
		work = 9 * time.Second
		// noticed covers the silence until the inventory is requested, the
		// request, and an inventory that is a second old.
		noticed = 4 * time.Second
		// lapsed covers a lease that the last unanswered call extended, on a
		// clock that is 2% slow, and the time to end what has lapsed.
		lapsed = 2*time.Second + maxLease*102/100 + 2*time.Second
	)
	for _, c := range []struct {
		name    string
		removed bool
		bound   time.Duration
	}{
		{name: "the inventory knows", removed: true, bound: noticed},
		{name: "the inventory doesn't", removed: false, bound: lapsed},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, 2, 2)
				w.sleep(3 * time.Second)
				w.submit(jobOnTwoNodes(), "normal", "key-a", 0)
				w.sleep(time.Second)
				w.mu.Lock()
				w.nodes[0].removed = c.removed
				w.mu.Unlock()
				w.nodes[0].crashUnreported()
				vanished := w.clock.Now()
				w.sleep(c.bound)
				w.nodes[0].startNewLife()
				w.nodes[0].currentTarget().ForbidStarts()
				assertPromisesKept(t, w, time.Minute)
				// The lost task runs again after the other one.
				is.True(w.clock.Since(vanished) < 2*work+c.bound)
				is.Equal(w.fleet.Starts(), 3)
			})
		})
	}
}

// TestTemporarilySilentTarget checks that a target which doesn't answer for
// less than its lease loses no work, and that nothing runs twice at once after
// a longer silence.
func TestTemporarilySilentTarget(t *testing.T) {
	for _, c := range []struct {
		name   string
		silent time.Duration
		starts int
	}{
		{name: "within the lease", silent: 3 * time.Second, starts: 2},
		{name: "beyond the lease", silent: 14 * time.Second, starts: 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 2, 2)
				w.sleep(3 * time.Second)
				w.submit(jobOnTwoNodes(), "normal", "key-a", 0)
				w.sleep(time.Second)
				w.nodes[0].currentTarget().SetUnreachable(true)
				w.sleep(c.silent)
				w.nodes[0].currentTarget().SetUnreachable(false)
				assertPromisesKept(t, w, time.Minute)
				is.New(t).Equal(w.fleet.Starts(), c.starts)
			})
		})
	}
}

// TestEndTellsDuration checks that the row of an end tells how long the run has
// taken, from which a planner that takes over learns.
func TestEndTellsDuration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const duration = 2 * time.Second
		w := newWorld(t, 1, 1)
		w.sleep(3 * time.Second)
		a := newClientJob("job", sesamework.Step{
			Count:    1,
			Need:     accelerators(1),
			Estimate: 1000,
		}, duration)
		w.submit(a, "normal", "key-a", 0)
		w.sleep(2 * duration)
		page, err := w.store.Read(w.ctx, sesamerows.Range{
			Table: sesamework.WorkTable,
			Part:  sesamework.NodePart(w.nodes[0].zone, w.nodes[0].name),
			From:  sesamework.EndPrefix,
			To:    sesamework.TargetPrefix,
		})
		is.NoErr(err)
		is.Equal(len(page.Rows), 1)
		var end sesamework.End
		is.NoErr(json.Unmarshal(page.Rows[0].Value, &end))
		taken := time.Duration(end.Taken) * time.Millisecond
		is.True(taken >= duration && taken < duration+200*time.Millisecond)
	})
}

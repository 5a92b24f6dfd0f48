package sesamedispatch_test

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesamework"
)

// newClientJob returns a job of one step whose tasks all take that long.
func newClientJob(id string, step sesamework.Step, duration time.Duration) *clientJob {
	job := sesamework.Job{
		ID:     id,
		Digest: id,
		Steps:  []sesamework.Step{step},
	}
	return &clientJob{
		job:   job,
		tasks: plainTasks(job, duration),
	}
}

// plainStep returns a step of one task with n accelerators that declares its
// duration truly.
func plainStep(n int64, duration time.Duration) sesamework.Step {
	return sesamework.Step{
		Count:    1,
		Need:     accelerators(n),
		Estimate: duration.Milliseconds(),
	}
}

// accelerators returns the resources of a task with n accelerators.
func accelerators(n int64) sesamework.Resources {
	return sesamework.Resources{
		Cores:        1000 * n,
		Memory:       1000,
		Accelerators: n,
	}
}

// assertPromisesKept checks that all accepted jobs end within the bound, and
// that the targets saw nothing that the promises to callers forbid.
func assertPromisesKept(t *testing.T, w *world, bound time.Duration) {
	t.Helper()
	for _, open := range w.awaitEnds(bound) {
		t.Errorf("not ended: %s", open)
	}
	for _, broken := range w.fleet.Violations() {
		t.Error(broken)
	}
}

// TestJobsOfEachShape runs single tasks, a gang and a chain of steps without
// faults.
func TestJobsOfEachShape(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2, 4)
		w.sleep(3 * time.Second)
		single := newClientJob("single", sesamework.Step{
			Count:    3,
			Need:     accelerators(1),
			Estimate: 2000,
		}, 2*time.Second)
		gang := newClientJob("gang", sesamework.Step{
			Count:    4,
			Need:     accelerators(4),
			Estimate: 2000,
			Gang:     true,
			SameRack: true,
		}, 2*time.Second)
		chain := newClientJob("chain", sesamework.Step{
			Count:    2,
			Need:     accelerators(1),
			Estimate: 1000,
		}, time.Second)
		chain.job.Steps = append(chain.job.Steps, sesamework.Step{
			Count:    1,
			Need:     accelerators(8),
			Estimate: 1000,
			After:    []int{0},
		})
		chain.tasks = plainTasks(chain.job, time.Second)
		w.submit(single, "normal", "key-a", 0)
		w.submit(gang, "urgent", "key-a", 1)
		w.submit(chain, "batch", "key-b", 0)
		started := w.clock.Now()
		assertPromisesKept(t, w, 30*time.Second)
		is.True(w.clock.Since(started) < 8*time.Second) // all of it fits at once
		is.Equal(w.fleet.Starts(), 3+4+2+1)
		for _, id := range []string{"single", "gang", "chain"} {
			is.Equal(w.state(id), sesamework.JobCompleted)
		}
	})
}

// TestPreemptionForOwedWork checks that work within its team's guarantee starts
// in the time that the platform states though other work uses all accelerators.
func TestPreemptionForOwedWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2, 4)
		w.sleep(3 * time.Second)
		for i := range 4 {
			w.submit(newClientJob(fmt.Sprintf("filler-%d", i), sesamework.Step{
				Count:       8,
				Need:        accelerators(1),
				Estimate:    20000,
				Checkpoints: true,
			}, 20*time.Second), "batch", "key-b", 0)
		}
		w.sleep(2 * time.Second)
		begun := make(chan time.Time, 8)
		owed := newClientJob("owed", sesamework.Step{
			Count:    2,
			Need:     accelerators(8),
			Estimate: 3000,
			Gang:     true,
			SameRack: true,
		}, 3*time.Second)
		plain := owed.tasks
		owed.tasks = func(task sesamework.TaskID) sesamestandin.FleetTask {
			begun <- w.clock.Now()
			return plain(task)
		}
		w.submit(owed, "urgent", "key-a", 0)
		accepted := w.clock.Now()
		<-begun
		last := <-begun
		const reclaimBound = 2900 * time.Millisecond
		is.True(last.Sub(accepted) < reclaimBound)
		owed.tasks = plain
		assertPromisesKept(t, w, 2*time.Minute)
	})
}

// TestRunsSurviveAgentRestart restarts an agent while its target works: the
// runs must go on under the new agent.
func TestRunsSurviveAgentRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 1, 1)
		w.sleep(3 * time.Second)
		w.submit(newClientJob("long", sesamework.Step{
			Count:    4,
			Need:     accelerators(2),
			Estimate: 10000,
		}, 10*time.Second), "normal", "key-a", 0)
		w.sleep(2 * time.Second)
		w.nodes[0].stop()
		w.sleep(3 * time.Second)
		w.nodes[0].start()
		assertPromisesKept(t, w, 30*time.Second)
		is.Equal(w.fleet.Starts(), 4) // nothing was started again
	})
}

// TestLostTarget stops a node's agent for good, without a last report: its job
// must run again elsewhere.
func TestLostTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, 2)
		w.sleep(3 * time.Second)
		for i := range 2 {
			w.submit(newClientJob(fmt.Sprintf("job-%d", i), sesamework.Step{
				Count:    1,
				Need:     accelerators(8),
				Estimate: 8000,
			}, 8*time.Second), "normal", "key-a", 0)
		}
		w.sleep(time.Second)
		w.nodes[0].stop()
		assertPromisesKept(t, w, 40*time.Second)
	})
}

// TestPartitionedNode cuts a node off the store for longer than its leases
// last: its work must run elsewhere, and never twice at once.
func TestPartitionedNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, 2)
		w.sleep(3 * time.Second)
		w.submit(newClientJob("long", sesamework.Step{
			Count:    2,
			Need:     accelerators(8),
			Estimate: 30000,
		}, 30*time.Second), "normal", "key-a", 0)
		w.sleep(time.Second)
		w.nodes[0].rows.SetFault(func(bool) sesamestandin.RowFault {
			return sesamestandin.RowFault{
				Dropped: true,
			}
		})
		w.sleep(40 * time.Second)
		w.nodes[0].rows.SetFault(nil)
		assertPromisesKept(t, w, 2*time.Minute)
	})
}

// testLog returns a logger that prints events when SESAMESTACK_TEST_LOG is set.
func testLog() *sesamelog.Logger {
	if os.Getenv("SESAMESTACK_TEST_LOG") == "" {
		return sesamelog.Discard()
	}
	return sesamelog.New(os.Stderr, sesamelog.Info, sesamelog.Text)
}

// assertUrgentStarts submits jobs of one accelerator in the urgent queue, one
// each interval, and fails the test for each one that does not start in time.
func (w *world) assertUrgentStarts(jobs int, interval time.Duration) {
	w.t.Helper()
	waits := make(chan time.Duration, jobs)
	for i := range jobs {
		a := newClientJob(fmt.Sprintf("urgent-%02d", i), sesamework.Step{
			Count:    1,
			Need:     accelerators(1),
			Estimate: 1000,
		}, time.Second)
		w.group.Go(func() error {
			handed := w.clock.Now()
			w.submit(a, "urgent", "key-a", i)
			for s := w.state(a.job.ID); s == sesamework.JobQueued || s == ""; s = w.state(a.job.ID) {
				w.sleep(20 * time.Millisecond)
			}
			waits <- w.clock.Since(handed)
			return nil
		})
		w.sleep(interval)
	}
	for range jobs {
		if waited := <-waits; waited > urgentStart {
			w.t.Errorf("started after %v, expected %v at the most", waited, urgentStart)
		}
	}
}

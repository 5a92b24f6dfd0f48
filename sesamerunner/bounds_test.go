package sesamerunner_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamerunner"
	"github.com/sesamestack/sesamestack/sesamework"
)

// manyTasks is more tasks than a target's row can list.
const manyTasks = 1500

// newBusyWorld starts manyTasks tasks that last for a minute, as does one more that
// is not started.
func newBusyWorld(t *testing.T) *world {
	w := newWorld(t, slices.Repeat([]time.Duration{time.Minute}, manyTasks+1)...)
	for i := range manyTasks {
		w.order(i)
	}
	w.sleep(settleTime)
	return w
}

// reported returns the target's row.
func (w *world) reported() sesamework.Target {
	row, _, err := sesamerows.ReadRow(w.ctx, w.memory, targetKey())
	w.is.NoErr(err)
	return w.targetOf(row)
}

// TestManyRunningTasks guards against a target whose row is refused, so that its
// lease lapses and all its work is lost, because it runs many tasks.
func TestManyRunningTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newBusyWorld(t)
		w.is.Equal(w.fleet.Starts(), manyTasks)
		listed := map[string]bool{}
		first := w.reported().Heartbeat
		for range 30 {
			for _, p := range w.reported().Running {
				listed[p.Task] = true
			}
			w.sleep(sesamework.ReportInterval)
		}
		w.is.Equal(len(listed), manyTasks)
		w.is.True(w.reported().Heartbeat >= first+25)
	})
}

// TestCrashUnderManyTasks guards against a crash that is never reported because it
// names more runs than a target's row can list.
func TestCrashUnderManyTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newBusyWorld(t)
		w.sleep(2 * time.Second)
		w.order(manyTasks)
		w.sleep(500 * time.Millisecond)
		w.target.CrashProcess()
		w.sleep(2 * time.Second)
		crash := w.crash()
		w.is.True(crash != nil)
		w.is.Equal(len(crash.Runs)+crash.Omitted, manyTasks+1)
		w.is.Equal(crash.Runs[0].Task, task(manyTasks).String()) // ordered last
	})
}

// TestRefusedReport guards against a lease that lapses because the store refuses
// the target's row as such: what is needed for the lease is reported all the same,
// and ends are recorded.
func TestRefusedReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, time.Minute, 5*time.Second)
		w.order(0, 1)
		w.sleep(2 * time.Second)
		w.picky.refuse(func(t sesamerows.Transaction) bool {
			return slices.ContainsFunc(t.Writes, func(w sesamerows.Write) bool {
				return strings.Contains(string(w.Value), `"run":[`)
			})
		})
		w.sleep(20 * time.Second)
		w.assertOutcomes("", sesamework.EndDone)
		w.is.Equal(w.reported().State, sesamework.TargetReady)
		w.is.Equal(w.fleet.Starts(), 2)
	})
}

// TestLongCheckpoint guards against an end that the store refuses because of its
// checkpoint, which is as long as the target likes.
func TestLongCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2*time.Second)
		w.target.setCheckpoint(strings.Repeat("x", sesamerows.MaxValueBytes))
		w.order(0)
		w.sleep(10 * time.Second)
		w.assertOutcomes(sesamework.EndDone)
	})
}

// pickyRows is a store that refuses some transactions as such.
type pickyRows struct {
	sesamerows.Store

	mu      sync.Mutex
	refuses func(sesamerows.Transaction) bool
}

// refuse sets which transactions are refused.
func (p *pickyRows) refuse(refuses func(sesamerows.Transaction) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuses = refuses
}

// Commit implements sesamerows.Store.
func (p *pickyRows) Commit(ctx context.Context, t sesamerows.Transaction) (sesamerows.Version, error) {
	p.mu.Lock()
	refuses := p.refuses
	p.mu.Unlock()
	if refuses != nil && refuses(t) {
		return 0, &sesamerows.RejectedError{
			Operation: "commit",
			Cause: &sesamerows.LimitError{
				Subject: "row",
			},
		}
	}
	return p.Store.Commit(ctx, t)
}

// setCheckpoint sets the checkpoint that the target lists for all that it runs and
// that has ended.
func (t *watchedTarget) setCheckpoint(checkpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checkpoint = checkpoint
}

// withCheckpoint returns the listing with the checkpoint that was set, if any. The
// caller holds the lock.
func (t *watchedTarget) withCheckpoint(l sesamerunner.Listing) sesamerunner.Listing {
	if t.checkpoint == "" {
		return l
	}
	for i := range l.Running {
		l.Running[i].Checkpoint = t.checkpoint
	}
	for i := range l.Ended {
		l.Ended[i].Checkpoint = t.checkpoint
	}
	return l
}

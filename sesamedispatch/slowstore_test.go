package sesamedispatch_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesamework"
)

const (
	// slowTransaction and slowAnswer are the platform's 4 ms while its store is
	// 60 times as slow as usual.
	slowTransaction = 240 * time.Millisecond
	slowAnswer      = 240 * time.Millisecond
	// urgentStart bounds the time from submission to start of urgent work, as
	// the platform asks.
	urgentStart = 2600 * time.Millisecond
)

// slowStore makes every transaction and the answer of every other call to the
// store take these times.
func (w *world) slowStore(transaction, answer time.Duration) {
	w.serialStore.SetCommitTime(transaction)
	fate := func(write bool) sesamestandin.RowFault {
		if write {
			return sesamestandin.RowFault{}
		}
		return sesamestandin.RowFault{
			AnswerDelay: answer,
		}
	}
	for _, e := range w.entries {
		e.rows.SetFault(fate)
	}
	for _, n := range w.nodes {
		n.rows.SetFault(fate)
	}
}

// TestSlowStore submits urgent work while each part of the store takes only
// about four transactions a second. Work must start in time nevertheless, which
// fails when entries, the planner and agents wait for each other's transactions
// in one part.
func TestSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 12
		w := newWorld(t, 4, 24)
		w.sleep(3 * time.Second)
		for i := range 8 {
			w.submit(newClientJob(fmt.Sprintf("wide-%d", i), sesamework.Step{
				Count:    18,
				Need:     accelerators(1),
				Estimate: 4000,
			}, time.Duration(4+i)*time.Second), "batch", "key-a", i)
		}
		w.slowStore(slowTransaction, slowAnswer)
		w.sleep(2 * time.Second)
		w.assertUrgentStarts(jobs, 600*time.Millisecond)
		assertPromisesKept(t, w, time.Minute)
	})
}

// TestSlowStoreAcceptance submits 6 jobs a second at 12 entries while each part
// of the store takes only about four transactions a second. Each job must be
// accepted before its caller gives up, which fails when all submissions share a
// row, or a part, of the store.
func TestSlowStoreAcceptance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			entries    = 12
			jobs       = 30
			interval   = time.Second / 6
			callerWait = 3 * time.Second
		)
		w := newWorld(t, entries, 2)
		w.sleep(3 * time.Second)
		w.slowStore(slowTransaction, slowAnswer)
		w.sleep(2 * time.Second)
		failures := make(chan error, jobs)
		for i := range jobs {
			a := newClientJob(fmt.Sprintf("job-%02d", i), sesamework.Step{
				Count:    1,
				Need:     accelerators(1),
				Estimate: 1000,
			}, time.Second)
			w.group.Go(func() error {
				ctx, cancel := context.WithTimeout(w.ctx, callerWait)
				defer cancel()
				intake := w.entries[i%entries].currentIntake()
				admission, err := intake.Admit("host", "/batch/", "key-a")
				if err == nil {
					err = intake.Submit(ctx, admission, a.job, specPrefix+a.job.ID)
				}
				failures <- err
				return nil
			})
			w.sleep(interval)
		}
		for range jobs {
			if err := <-failures; err != nil {
				t.Errorf("a job was not accepted: %v", err)
			}
		}
	})
}

package sesamedispatch_test

import (
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

package sesamedispatch_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamework"
)

// TestUrgentOnSlowTargetsOfWorld runs entries, agents and targets of which the first
// ones, which would be taken by their order, are slow. After one wide step, urgent
// gangs must end in time, also those after a change of planner; without the model of
// speeds they don't.
func TestUrgentOnSlowTargetsOfWorld(t *testing.T) {
	for _, noSpeeds := range []bool{false, true} {
		t.Run(fmt.Sprint("without speeds ", noSpeeds), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				late := lateUrgentOfWorld(t, noSpeeds)
				is.New(t).Equal(late > 0, noSpeeds)
			})
		})
	}
}

// lateUrgentOfWorld returns how many of the urgent gangs end late.
func lateUrgentOfWorld(t *testing.T, noSpeeds bool) int {
	const (
		nodes    = 10
		work     = 4 * time.Second
		slow     = 3.0
		fast     = 0.7
		deadline = 2*work + time.Second // see testPolicy
	)
	is := is.New(t)
	w := newWorld(t, 2, nodes)
	w.noSpeeds = noSpeeds
	for i, e := range w.entries {
		e.stop()
		w.entries[i].start()
	}
	for i, n := range w.nodes {
		if i < nodes/3 {
			n.currentTarget().SetTimeFactor(slow)
		} else {
			n.currentTarget().SetTimeFactor(fast)
		}
	}
	w.sleep(3 * time.Second)
	wide := newClientJob("wide", sesamework.Step{
		Count:    8 * nodes,
		Need:     accelerators(1),
		Estimate: work.Milliseconds(),
	}, work)
	w.submit(wide, "batch", "key-b", 0)
	w.sleep(slow*work + time.Second)
	is.Equal(w.state("wide"), sesamework.JobCompleted)
	late := 0
	for i := range 3 {
		id := fmt.Sprint("urgent-", i)
		w.submit(newClientJob(id, sesamework.Step{
			Count:    3,
			Need:     accelerators(8),
			Estimate: work.Milliseconds(),
			Gang:     true,
		}, work), "urgent", "key-a", 0)
		w.sleep(deadline)
		if w.state(id) != sesamework.JobCompleted {
			late++
		}
		w.sleep(slow * work)
		w.killEntry(i%2, 5*time.Second)
	}
	assertPromisesKept(t, w, time.Minute)
	return late
}

package sesamedispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// countRows returns how many rows a table has.
func (w *world) countRows(table string) int {
	count := 0
	parts, err := w.store.Parts(context.Background(), table)
	is.New(w.t).NoErr(err)
	for _, part := range parts {
		page, err := sesamerows.ReadAll(context.Background(), w.store, sesamerows.Range{
			Table: table,
			Part:  part,
		})
		is.New(w.t).NoErr(err)
		count += len(page.Rows)
	}
	return count
}

// TestSweep checks that an ended job's state can be read for as long as the
// platform asks, and that all its rows are removed afterwards.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2, 2)
		w.sleep(3 * time.Second)
		w.submit(newClientJob("wide", sesamework.Step{
			Count:    60,
			Need:     accelerators(1),
			Estimate: 1000,
		}, time.Second), "batch", "key-a", 0)
		assertPromisesKept(t, w, time.Minute)
		const shown = 2 * time.Minute
		w.sleep(shown)
		is.Equal(w.state("wide"), sesamework.JobCompleted)
		w.nodes[1].crash(time.Second)
		w.sleep(10 * time.Minute)
		is.Equal(w.state("wide"), sesamework.JobState(""))
		is.Equal(w.countRows(sesamework.RunTable("zone-0")), 0)
		is.Equal(w.countRows(sesamework.RunTable("zone-1")), 0)
		is.Equal(w.countRows(sesamework.StateTable), 0)
		is.Equal(w.countRows(sesamework.SpecTable), 0)
		is.Equal(w.countRows(sesamework.WorkTable), 3) // the rows of the two live targets and of the leader
	})
}

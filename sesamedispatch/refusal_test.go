package sesamedispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesamework"
)

// TestStoreRefusesPlannerAndAgents lets the store refuse the calls of all
// agents and of two of three entries, the one that plans among them. Urgent
// work that is submitted meanwhile must start and end in time, through the
// entry that still reaches the store.
func TestStoreRefusesPlannerAndAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const work = time.Second
		w := startWorld(t, 3, 3, worldOptions{
			detours: true,
		})
		w.sleep(3 * time.Second)
		refuse := func(bool) sesamestandin.RowFault {
			return sesamestandin.RowFault{
				Refused: true,
			}
		}
		for _, n := range w.nodes {
			n.rows.SetFault(refuse)
		}
		w.entries[0].rows.SetFault(refuse)
		w.entries[1].rows.SetFault(refuse)
		// Each process notices by its own failed calls.
		w.sleep(2 * time.Second)
		started := w.clock.Now()
		w.submit(newClientJob("urgent", sesamework.Step{
			Count:    3,
			Need:     accelerators(8),
			Estimate: work.Milliseconds(),
		}, work), "urgent", "key-a", 0)
		assertPromisesKept(t, w, time.Minute)
		is.New(t).True(w.clock.Since(started) < urgentStart+work)
	})
}

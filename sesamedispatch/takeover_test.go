package sesamedispatch_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesamework"
)

// TestFailedTakeOver lets the reads of a new leader fail. It must release the
// leader's row, so that others need not wait until it counts as silent.
func TestFailedTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 1, 2)
		w.sleep(3 * time.Second)
		w.entries[0].stop()
		w.sleep(time.Second)
		before, _, err := sesamerows.ReadRow(w.ctx, w.store, sesamework.LeaderKey())
		is.NoErr(err)
		written := false
		w.entries[0].rows.SetFault(func(write bool) sesamestandin.RowFault {
			written = written || write
			return sesamestandin.RowFault{
				Refused: written && !write,
			}
		})
		w.entries[0].start()
		w.sleep(200 * time.Millisecond)
		row, _, err := sesamerows.ReadRow(w.ctx, w.store, sesamework.LeaderKey())
		is.NoErr(err)
		is.True(row.Version > before.Version) // it became the leader
		is.True(strings.Contains(string(row.Value), `"released":true`))
	})
}

package sesameattempt

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesameplanner"
	"github.com/sesamestack/sesamestack/sesamestore"
)

// TestRepeatedReport checks that a report that is sent again, because its answer
// was lost, is answered without a second log line or a second entry in the
// histogram.
func TestRepeatedReport(t *testing.T) {
	is := is.New(t)
	f := newFixture(is)
	f.runCoordinator(0, false)
	is.Equal(f.job(is).State, sesamemodel.Done)
	var log bytes.Buffer
	scope := tally.NewTestScope("", nil)
	f.reportDone(t.Context(), Options{
		Rows:     NewRowCache(sesamestore.New(f.table, f.table), f.clock, sesameplanner.UpdateSuspectFailures),
		Clock:    f.clock,
		Log:      sesamelog.New(&log, sesamelog.Info, sesamelog.JSON),
		Scope:    scope,
		OnChange: func(...sesamemodel.Job) {},
	})
	is.Equal(log.String(), "")
	is.Equal(len(scope.Snapshot().Timers()), 0)
}

package sesamedispatch

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
)

// TestReservations checks from when on the targets of a pass are reserved:
// backfill by shorter work depends on it.
func TestReservations(t *testing.T) {
	t.Run("an earlier reservation of one target does not move that of another", func(t *testing.T) {
		w := newClaimFixture(t)
		p := w.view.newPass(&Decision{})
		p.reserve(w.urgent, []string{"first"}, time.Second)
		p.reserve(w.urgent, []string{"first", "second"}, 3*time.Second)
		w.is.Equal(p.reservedFrom["first"], time.Second)
		w.is.Equal(p.reservedFrom["second"], 3*time.Second)
	})
	t.Run("a claim that is dropped leaves nothing behind", func(t *testing.T) {
		w := newClaimFixture(t)
		p := w.view.newPass(&Decision{})
		w.is.Equal(p.reservedFrom[w.claimedName], time.Duration(0))
		p.unreserveClaim(w.urgent)
		_, reserved := p.reservedFrom[w.claimedName]
		w.is.True(!reserved)
		p.reserve(w.urgent, []string{w.claimedName}, 2*time.Second)
		w.is.Equal(p.reservedFrom[w.claimedName], 2*time.Second)
	})
}

// TestUnusableJobs checks that the row of a job that can't be used is logged,
// and that the other rows are used.
func TestUnusableJobs(t *testing.T) {
	good := jobFillingTarget("good", 0)
	misplaced := jobFillingTarget("other", 0)
	misplaced.Key.Name = jobFillingTarget("misplaced", 0).Key.Name
	invalid := jobFillingTarget("invalid", 0)
	invalid.Value = []byte(`{"id":"invalid"}`)
	broken := jobFillingTarget("broken", 0)
	broken.Value = []byte(`{"id":`)
	for _, bad := range []sesamerows.Row{misplaced, invalid, broken} {
		t.Run(bad.Key.Name, func(t *testing.T) {
			is := is.New(t)
			var log bytes.Buffer
			v := NewView(sesamelog.New(&log, sesamelog.Info, sesamelog.JSON))
			v.Load([]sesamerows.Row{bad, good}, nil, nil, Now{
				Steady: time.Hour,
				Store:  time.Hour,
			})
			is.Equal(len(v.jobs), 1)
			is.True(strings.Contains(log.String(), fmt.Sprintf(`"event":%d`, eventBadRow.Number)))
			is.True(strings.Contains(log.String(), bad.Key.Name))
		})
	}
}

package sesamedispatch_test

import (
	"fmt"
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

// leaderTerm returns what identifies the term of the leader: the part of the
// leader's row that all writes of one term share.
func (w *world) leaderTerm() string {
	row, _, err := sesamerows.ReadRow(w.ctx, w.store, sesamework.LeaderKey())
	is.New(w.t).NoErr(err)
	term, _, _ := strings.Cut(string(row.Value), ".")
	return term
}

// setFaults sets the faults of the store for all processes; nil ends them.
func (w *world) setFaults(decide func(write bool) sesamestandin.RowFault) {
	for _, e := range w.entries {
		e.rows.SetFault(decide)
	}
	for _, n := range w.nodes {
		n.rows.SetFault(decide)
	}
}

// TestLeaderOutlastsOutage checks that the leader goes on after an outage of the
// store, without a time in which nobody plans, also when its last writes are
// carried out only at the end of the outage, and whichever process calls the
// store first afterwards. Work submitted right after the outage starts in time.
func TestLeaderOutlastsOutage(t *testing.T) {
	for name, during := range map[string]func(write bool) sesamestandin.RowFault{
		"silent": func(bool) sesamestandin.RowFault {
			return sesamestandin.RowFault{
				Dropped: true,
			}
		},
		"refuses": func(bool) sesamestandin.RowFault {
			return sesamestandin.RowFault{
				Refused: true,
			}
		},
		"writes carried out late": func(write bool) sesamestandin.RowFault {
			return sesamestandin.RowFault{
				Dropped:     !write,
				AnswerLost:  write,
				CommitDelay: 5 * time.Second,
			}
		},
	} {
		for tenths := range 5 {
			t.Run(fmt.Sprintf("%s 6.%d s", name, tenths), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(t, 12, 4)
					w.sleep(4 * time.Second)
					before := w.leaderTerm()
					w.setFaults(during)
					w.sleep(6*time.Second + time.Duration(tenths)*100*time.Millisecond)
					w.setFaults(nil)
					w.assertUrgentStarts(4, 200*time.Millisecond)
					is.New(t).Equal(w.leaderTerm(), before)
					assertPromisesKept(t, w, time.Minute)
				})
			})
		}
	}
}

// TestLeaderRestarts kills the leader, which can't release its row, and starts it
// again. It must take over at once, rather than wait for itself.
func TestLeaderRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 2)
		w.sleep(3 * time.Second)
		before := w.leaderTerm()
		w.entries[0].rows.SetFault(func(bool) sesamestandin.RowFault {
			return sesamestandin.RowFault{
				Refused: true,
			}
		})
		w.entries[0].stop()
		w.sleep(time.Second)
		w.entries[0].rows.SetFault(nil)
		w.entries[0].start()
		w.sleep(100 * time.Millisecond)
		is.New(t).True(w.leaderTerm() != before)
	})
}

// TestTakeOverOfSlowStore kills the leader while the store answers so slowly that
// a new leader reads all rows for longer than a leader may be silent. The others
// must wait for it, rather than take over from each other and read in vain.
func TestTakeOverOfSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			entries   = 4
			slowReads = 1500 * time.Millisecond
		)
		w := newWorld(t, entries, 2)
		w.sleep(3 * time.Second)
		w.setFaults(func(write bool) sesamestandin.RowFault {
			if write {
				return sesamestandin.RowFault{}
			}
			return sesamestandin.RowFault{
				AnswerDelay: slowReads,
			}
		})
		for _, e := range w.entries[:entries-1] {
			e.stop()
			e.start()
		}
		w.sleep(15 * time.Second)
		term := w.leaderTerm()
		w.sleep(6 * time.Second)
		is.New(t).Equal(w.leaderTerm(), term)
	})
}

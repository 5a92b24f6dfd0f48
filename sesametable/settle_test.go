package sesametable_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesametable"
)

// lostAnswerRace is one write whose first answer is lost, and what others do before it
// is repeated.
type lostAnswerRace struct {
	name string
	// rows exist before the write.
	rows  []string
	write sesametable.Transaction
	fate  sesamestandin.WriteFault
	// meanwhile happens between the first attempt and the second, afterwards
	// once the write has returned.
	meanwhile func(*is.I, sesametable.Table)
	afterward func(*is.I, sesametable.Table)
	want      string
	effects   int
}

const lateWriteDelay = 30 * time.Second

func put(key string, version uint64) sesametable.Put {
	return sesametable.Put{
		Key:     key,
		Version: version,
		Value:   []byte("other"),
	}
}

func puts(all ...sesametable.Put) sesametable.Transaction {
	return sesametable.Transaction{
		Puts: all,
	}
}

func withMarker(t sesametable.Transaction) sesametable.Transaction {
	for i := range t.Puts {
		t.Puts[i].Value = []byte("op-1;")
	}
	return t
}

func (t lostAnswerRace) run(is *is.I) {
	ctx := context.Background()
	b := newWriterGroup(1)
	other := sesametable.NewRetryingTable(b.store, sesametable.RetryOptions{
		Clock: clockwork.NewRealClock(),
	})
	for _, key := range t.rows {
		is.NoErr(other.Commit(ctx, puts(put(key, 0))))
	}
	b.store.SetFaults(sesamestandin.Faults{
		ApplyDelay: lateWriteDelay,
		OnWrite: func(number int) sesamestandin.WriteFault {
			if number == 1 {
				return t.fate
			}
			return sesamestandin.NoFault
		},
	})
	var group errgroup.Group
	group.Go(func() error {
		return b.writers[0].Commit(ctx, withMarker(t.write))
	})
	synctest.Wait()
	t.meanwhile(is, other)
	err := group.Wait()
	if t.afterward != nil {
		t.afterward(is, other)
	}
	advance(2 * lateWriteDelay)
	_, _ = other.Get(ctx, "a")
	is.Equal(outcomeKind(err), t.want)
	is.Equal(b.applied["op-1;"], t.effects)
}

// commitAll returns a step that commits those transactions one by one.
func commitAll(all ...sesametable.Transaction) func(*is.I, sesametable.Table) {
	return func(is *is.I, table sesametable.Table) {
		for _, t := range all {
			is.NoErr(table.Commit(context.Background(), t))
		}
	}
}

// deleteRow deletes a row beside a put of the row "z" at that version.
func deleteRow(key string, version, z uint64) sesametable.Transaction {
	t := puts(put("z", z))
	t.Deletes = []sesametable.Delete{
		{
			Key:     key,
			Version: version,
		},
	}
	return t
}

func withCheck(t sesametable.Transaction, key string, version uint64) sesametable.Transaction {
	t.Checks = []sesametable.Check{
		{
			Key:     key,
			Version: version,
		},
	}
	return t
}

var lostAnswerRaces = []lostAnswerRace{
	{
		name:      "lost, then overwritten",
		rows:      []string{"a"},
		write:     puts(put("a", 1)),
		fate:      sesamestandin.AnswerLost,
		meanwhile: commitAll(puts(put("a", 2)), puts(put("a", 3))),
		want:      "done",
		effects:   1,
	},
	{
		name:      "dropped, then overtaken",
		rows:      []string{"a"},
		write:     puts(put("a", 1)),
		fate:      sesamestandin.WriteDropped,
		meanwhile: commitAll(puts(put("a", 1))),
		want:      "failed",
	},
	{
		name:      "late, and an absent row is absent again",
		rows:      []string{"a", "z"},
		write:     withCheck(puts(put("a", 1)), "e", 0),
		fate:      sesamestandin.AppliedLate,
		meanwhile: commitAll(puts(put("e", 0))),
		afterward: commitAll(deleteRow("e", 1, 1)),
		want:      "unknown",
		effects:   1,
	},
	{
		name:      "lost, and the created row is deleted and created again",
		rows:      []string{"c", "z"},
		write:     withCheck(puts(put("k", 0)), "c", 1),
		fate:      sesamestandin.AnswerLost,
		meanwhile: commitAll(deleteRow("k", 1, 1), puts(put("k", 0)), puts(put("c", 1))),
		want:      "unknown",
		effects:   1,
	},
	{
		name:      "late, and a checked row is deleted and created again",
		rows:      []string{"a", "c", "z"},
		write:     withCheck(puts(put("a", 1)), "c", 1),
		fate:      sesamestandin.AppliedLate,
		meanwhile: commitAll(deleteRow("c", 1, 1)),
		afterward: commitAll(puts(put("c", 0))),
		want:      "failed",
	},
}

// TestSettle replays the races in which a lost answer is hardest to decide.
func TestSettle(t *testing.T) {
	for _, r := range lostAnswerRaces {
		t.Run(r.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r.run(is.New(t))
			})
		})
	}
}

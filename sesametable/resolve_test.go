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

// lostAnswerRace is one write whose first answer is lost, and what other
// writers do before the write is repeated.
type lostAnswerRace struct {
	name string
	// existingRows are created before the write.
	existingRows []string
	write        sesametable.Transaction
	// fault is what happens to the first attempt; later ones are answered.
	fault sesamestandin.WriteFault
	// beforeRetry runs between the first attempt and the second, afterReturn once
	// the write has returned.
	beforeRetry func(*is.I, sesametable.Table)
	afterReturn func(*is.I, sesametable.Table)
	// wantOutcome is an outcome as outcomeKind names it.
	wantOutcome string
	// wantEffects is how often the write takes effect in the end.
	wantEffects int
}

// lateWriteDelay is how long after its attempt a late write takes effect.
const lateWriteDelay = 30 * time.Second

// put returns a put of another writer's value.
func put(key string, version uint64) sesametable.Put {
	return sesametable.Put{
		Key:     key,
		Version: version,
		Value:   []byte("other"),
	}
}

// puts returns a transaction of these puts.
func puts(all ...sesametable.Put) sesametable.Transaction {
	return sesametable.Transaction{
		Puts: all,
	}
}

// withMarker sets the name of the write under test as the value of each put.
func withMarker(t sesametable.Transaction) sesametable.Transaction {
	for i := range t.Puts {
		t.Puts[i].Value = []byte("op-1;")
	}
	return t
}

// run commits the write with other commits in between, waits until late writes
// are due, and checks the outcome and the effects.
func (r lostAnswerRace) run(is *is.I) {
	ctx := context.Background()
	g := newWriterGroup(1)
	other := sesametable.NewRetryingTable(g.store, sesametable.RetryOptions{
		Clock: clockwork.NewRealClock(),
	})
	for _, key := range r.existingRows {
		is.NoErr(other.Commit(ctx, puts(put(key, 0))))
	}
	g.store.SetFaults(sesamestandin.Faults{
		ApplyDelay: lateWriteDelay,
		OnWrite: func(number int) sesamestandin.WriteFault {
			if number == 1 {
				return r.fault
			}
			return sesamestandin.NoFault
		},
	})
	var group errgroup.Group
	group.Go(func() error {
		return g.writers[0].Commit(ctx, withMarker(r.write))
	})
	synctest.Wait()
	r.beforeRetry(is, other)
	err := group.Wait()
	if r.afterReturn != nil {
		r.afterReturn(is, other)
	}
	advance(2 * lateWriteDelay)
	_, _ = other.Get(ctx, "a")
	is.Equal(outcomeKind(err), r.wantOutcome)
	is.Equal(g.effects["op-1;"], r.wantEffects)
}

// commitAll returns a step that commits those transactions one by one.
func commitAll(all ...sesametable.Transaction) func(*is.I, sesametable.Table) {
	return func(is *is.I, table sesametable.Table) {
		for _, t := range all {
			is.NoErr(table.Commit(context.Background(), t))
		}
	}
}

// deleteRow returns a transaction that deletes a row at that version. As a
// transaction needs a put, it also puts the row "z" at the version z.
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

// withCheck adds the condition that the row has that version.
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
		name:         "lost, then overwritten",
		existingRows: []string{"a"},
		write:        puts(put("a", 1)),
		fault:        sesamestandin.AnswerLost,
		beforeRetry:  commitAll(puts(put("a", 2)), puts(put("a", 3))),
		wantOutcome:  "done",
		wantEffects:  1,
	},
	{
		name:         "dropped, then overtaken",
		existingRows: []string{"a"},
		write:        puts(put("a", 1)),
		fault:        sesamestandin.WriteDropped,
		beforeRetry:  commitAll(puts(put("a", 1))),
		wantOutcome:  "failed",
	},
	{
		name:         "late, and an absent row is absent again",
		existingRows: []string{"a", "z"},
		write:        withCheck(puts(put("a", 1)), "e", 0),
		fault:        sesamestandin.AppliedLate,
		beforeRetry:  commitAll(puts(put("e", 0))),
		afterReturn:  commitAll(deleteRow("e", 1, 1)),
		wantOutcome:  "unknown",
		wantEffects:  1,
	},
	{
		name:         "lost, and the created row is deleted and created again",
		existingRows: []string{"c", "z"},
		write:        withCheck(puts(put("k", 0)), "c", 1),
		fault:        sesamestandin.AnswerLost,
		beforeRetry:  commitAll(deleteRow("k", 1, 1), puts(put("k", 0)), puts(put("c", 1))),
		wantOutcome:  "unknown",
		wantEffects:  1,
	},
	{
		name:         "late, and a checked row is deleted and created again",
		existingRows: []string{"a", "c", "z"},
		write:        withCheck(puts(put("a", 1)), "c", 1),
		fault:        sesamestandin.AppliedLate,
		beforeRetry:  commitAll(deleteRow("c", 1, 1)),
		afterReturn:  commitAll(puts(put("c", 0))),
		wantOutcome:  "failed",
	},
}

// TestLostAnswerRaces replays races in which the outcome of a write with a lost
// answer is hard to decide.
func TestLostAnswerRaces(t *testing.T) {
	for _, r := range lostAnswerRaces {
		t.Run(r.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r.run(is.New(t))
			})
		})
	}
}

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

// race is one write whose first answer is lost, and what others do before it
// is repeated.
type race struct {
	name string
	// rows exist before the write.
	rows  []string
	write sesametable.Transaction
	fate  sesamestandin.Fate
	// meanwhile happens between the first attempt and the second, afterwards
	// once the write has returned.
	meanwhile func(*is.I, sesametable.Table)
	afterward func(*is.I, sesametable.Table)
	want      string
	effects   int
}

const raceDelay = 30 * time.Second

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

func marked(t sesametable.Transaction) sesametable.Transaction {
	for i := range t.Puts {
		t.Puts[i].Value = []byte("op-1;")
	}
	return t
}

func (t race) run(is *is.I) {
	ctx := context.Background()
	b := newBench(1)
	other := sesametable.NewRetryingTable(b.store, sesametable.RetryOptions{
		Clock: clockwork.NewRealClock(),
	})
	for _, key := range t.rows {
		is.NoErr(other.Commit(ctx, puts(put(key, 0))))
	}
	b.store.SetFaults(sesamestandin.Faults{
		Delay: raceDelay,
		LoseAnswers: func(number int) sesamestandin.Fate {
			if number == 1 {
				return t.fate
			}
			return sesamestandin.Answered
		},
	})
	var group errgroup.Group
	group.Go(func() error {
		return b.writers[0].Commit(ctx, marked(t.write))
	})
	synctest.Wait()
	t.meanwhile(is, other)
	err := group.Wait()
	if t.afterward != nil {
		t.afterward(is, other)
	}
	pass(2 * raceDelay)
	_, _ = other.Get(ctx, "a")
	is.Equal(kindOf(err), t.want)
	is.Equal(b.applied["op-1;"], t.effects)
}

// commit returns a step that commits those transactions one by one.
func commit(all ...sesametable.Transaction) func(*is.I, sesametable.Table) {
	return func(is *is.I, table sesametable.Table) {
		for _, t := range all {
			is.NoErr(table.Commit(context.Background(), t))
		}
	}
}

// remove deletes a row beside a put of the row "z" at that version.
func remove(key string, version, z uint64) sesametable.Transaction {
	t := puts(put("z", z))
	t.Deletes = []sesametable.Delete{
		{
			Key:     key,
			Version: version,
		},
	}
	return t
}

func checked(t sesametable.Transaction, key string, version uint64) sesametable.Transaction {
	t.Checks = []sesametable.Check{
		{
			Key:     key,
			Version: version,
		},
	}
	return t
}

var races = []race{
	{
		name:      "lost, then overwritten",
		rows:      []string{"a"},
		write:     puts(put("a", 1)),
		fate:      sesamestandin.Lost,
		meanwhile: commit(puts(put("a", 2)), puts(put("a", 3))),
		want:      "done",
		effects:   1,
	},
	{
		name:      "dropped, then overtaken",
		rows:      []string{"a"},
		write:     puts(put("a", 1)),
		fate:      sesamestandin.Dropped,
		meanwhile: commit(puts(put("a", 1))),
		want:      "failed",
	},
	{
		name:      "late, and an absent row is absent again",
		rows:      []string{"a", "z"},
		write:     checked(puts(put("a", 1)), "e", 0),
		fate:      sesamestandin.Late,
		meanwhile: commit(puts(put("e", 0))),
		afterward: commit(remove("e", 1, 1)),
		want:      "unknown",
		effects:   1,
	},
	{
		name:      "lost, and the created row is deleted and created again",
		rows:      []string{"c", "z"},
		write:     checked(puts(put("k", 0)), "c", 1),
		fate:      sesamestandin.Lost,
		meanwhile: commit(remove("k", 1, 1), puts(put("k", 0)), puts(put("c", 1))),
		want:      "unknown",
		effects:   1,
	},
	{
		name:      "late, and a checked row is deleted and created again",
		rows:      []string{"a", "c", "z"},
		write:     checked(puts(put("a", 1)), "c", 1),
		fate:      sesamestandin.Late,
		meanwhile: commit(remove("c", 1, 1)),
		afterward: commit(puts(put("c", 0))),
		want:      "failed",
	},
}

// TestSettle replays the races in which a lost answer is hardest to decide.
func TestSettle(t *testing.T) {
	for _, r := range races {
		t.Run(r.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r.run(is.New(t))
			})
		})
	}
}

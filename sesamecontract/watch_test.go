package sesamecontract

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesamestore"
)

const (
	// maxPropagation is the bound of the first letter.
	maxPropagation = 3 * time.Second
	testTimeout    = 30 * time.Second
)

// watchFixture is a store whose contracts an operator changes.
type watchFixture struct {
	t     *testing.T
	is    *is.I
	clock *clockwork.FakeClock
	table *sesamestandin.Store
	store *sesamestore.Store
}

func newWatchFixture(t *testing.T) *watchFixture {
	clock := clockwork.NewFakeClock()
	table := sesamestandin.NewStore(clock)
	return &watchFixture{
		t:     t,
		is:    is.New(t),
		clock: clock,
		table: table,
		store: sesamestore.New(table, table),
	}
}

func (p *watchFixture) accept(base uint64, weight int) uint64 {
	p.t.Helper()
	number, err := p.store.Accept(context.Background(), base, []sesamemodel.Change{
		{
			Team: "cork",
			Contract: sesamemodel.Contract{
				Team:   "cork",
				Weight: weight,
			},
		},
	}, nil)
	p.is.NoErr(err)
	return number
}

func (p *watchFixture) watch() *Watch {
	return NewWatch(p.store, NewHolder(), WatchOptions{
		Clock: p.clock,
	})
}

// run starts the watches until the test ends.
func (p *watchFixture) run(watches ...*Watch) {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	for _, w := range watches {
		group.Go(func() error {
			return w.Run(ctx)
		})
	}
	p.t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
}

func (p *watchFixture) eventually(condition func() bool) {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for !condition() {
		if ctx.Err() != nil {
			p.t.Fatal("condition did not come true")
		}
	}
}

func weightInForce(w *Watch) int {
	set, err := w.Set()
	if err != nil {
		return 0
	}
	c, _ := set.Team("cork")
	return c.Weight
}

func TestWatch(t *testing.T) {
	t.Run("serves nothing before the first reading", func(t *testing.T) {
		p := newWatchFixture(t)
		w := p.watch()
		_, err := w.Set()
		var notRead *NotReadError
		p.is.True(errors.As(err, &notRead))
	})
	t.Run("has a change in force on every process in time", func(t *testing.T) {
		p := newWatchFixture(t)
		watches := []*Watch{p.watch(), p.watch(), p.watch()}
		p.run(watches...)
		p.eventually(func() bool {
			return watches[0].Age() == 0 && watches[1].Age() == 0 && watches[2].Age() == 0
		})
		for n := range 20 {
			p.accept(uint64(n), n+1)
			p.clock.Advance(defaultPollInterval)
			for _, w := range watches {
				p.eventually(func() bool {
					return weightInForce(w) == n+1
				})
			}
		}
		p.is.True(defaultPollInterval+2*defaultReadTimeout <= maxPropagation) // one reading under way, one more
	})
	t.Run("reads at once on a hint", func(t *testing.T) {
		p := newWatchFixture(t)
		w := p.watch()
		p.run(w)
		p.eventually(func() bool {
			return w.Age() == 0
		})
		w.Hint(p.accept(0, 7))
		p.eventually(func() bool {
			return weightInForce(w) == 7
		})
	})
	t.Run("keeps what it has through an outage and catches up", func(t *testing.T) {
		p := newWatchFixture(t)
		p.accept(0, 1)
		w := p.watch()
		p.is.NoErr(w.Poll(context.Background()))
		p.table.SetFaults(sesamestandin.Faults{
			Down: true,
		})
		p.is.True(w.Poll(context.Background()) != nil)
		p.is.Equal(weightInForce(w), 1)
		p.table.SetFaults(sesamestandin.Faults{})
		p.accept(1, 2)
		p.clock.Advance(defaultPollInterval)
		p.is.NoErr(w.Poll(context.Background()))
		p.is.Equal(weightInForce(w), 2)
	})
	t.Run("a process replaced during an outage serves nothing until it has read", func(t *testing.T) {
		p := newWatchFixture(t)
		p.accept(0, 1)
		p.table.SetFaults(sesamestandin.Faults{
			Down: true,
		})
		replaced := p.watch()
		_, err := replaced.Fresh(context.Background())
		p.is.True(err != nil)
		_, err = replaced.Set()
		p.is.True(err != nil)
		p.table.SetFaults(sesamestandin.Faults{})
		p.clock.Advance(defaultPollInterval)
		_, err = replaced.Fresh(context.Background())
		p.is.NoErr(err)
		p.is.Equal(weightInForce(replaced), 1)
	})
	t.Run("is not fresh once the store has not confirmed it", func(t *testing.T) {
		p := newWatchFixture(t)
		w := p.watch()
		p.is.NoErr(w.Poll(context.Background()))
		p.table.SetFaults(sesamestandin.Faults{
			Down: true,
		})
		_, err := w.Fresh(context.Background())
		p.is.NoErr(err)
		p.clock.Advance(defaultMaxAge + time.Millisecond)
		_, err = w.Fresh(context.Background())
		p.is.True(err != nil)
		p.is.True(defaultMaxAge+defaultReadTimeout <= maxPropagation)
	})
}

// TestWatchReads gives the store's reads of one process for docs/CAPACITY.md.
func TestWatchReads(t *testing.T) {
	p := newWatchFixture(t)
	w := p.watch()
	p.is.NoErr(w.Poll(context.Background()))
	reads := func(polls, changes int) int {
		before := p.table.Counters().Reads
		for n := range polls {
			if n < changes {
				set, err := w.Set()
				p.is.NoErr(err)
				p.accept(set.Number(), n+1)
				before += p.readsPerAccept()
			}
			p.clock.Advance(defaultPollInterval)
			p.is.NoErr(w.Poll(context.Background()))
		}
		return p.table.Counters().Reads - before
	}
	for _, changes := range []int{0, 10, 100} {
		got := reads(120, changes)
		t.Logf("120 polls with %d changes: %d reads", changes, got)
		p.is.Equal(got, 120+changes) // one each poll, one more each change
	}
}

// readsPerAccept is what Accept itself reads: the number and the team's row.
func (p *watchFixture) readsPerAccept() int {
	return 2
}

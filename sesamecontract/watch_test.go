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
	// maxPropagation is the required bound on the time from the acceptance of a
	// change until it is in force on every process.
	maxPropagation = 3 * time.Second
	// testTimeout bounds the wait for a condition, in real time.
	testTimeout = 30 * time.Second
)

// watchFixture has a store, whose contracts a test changes as an operator
// would, and the fake clock of the store and the watches.
type watchFixture struct {
	t     *testing.T
	is    *is.I
	clock *clockwork.FakeClock
	table *sesamestandin.Store
	store *sesamestore.Store
}

// newWatchFixture returns a fixture with an empty store.
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

// accept stores a contract with that weight as the next change of team "cork"
// and returns its number. base is the number of the newest change so far.
func (p *watchFixture) accept(base uint64, weight int) uint64 {
	p.t.Helper()
	number, err := p.store.AcceptChanges(context.Background(), base, []sesamemodel.Change{
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

// watch returns a new watch of the store, which has not read it.
func (p *watchFixture) watch() *Watch {
	return NewWatch(p.store, NewHolder(), WatchOptions{
		Clock: p.clock,
	})
}

// run runs the watches until the test ends.
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

// eventually waits until the condition holds, for at most testTimeout.
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

// weightInForce returns the weight of team "cork" in the set that the watch
// holds; 0 without a contract.
func weightInForce(w *Watch) int {
	set, err := w.Set()
	if err != nil {
		return 0
	}
	c, _ := set.Team("cork")
	return c.Weight
}

// TestWatch covers polls, hints, outages of the store and restarted processes.
func TestWatch(t *testing.T) {
	t.Run("has no contracts before the first read", func(t *testing.T) {
		p := newWatchFixture(t)
		w := p.watch()
		_, err := w.Set()
		var notRead *NotReadError
		p.is.True(errors.As(err, &notRead))
	})
	t.Run("puts a change in force on every process within the limit", func(t *testing.T) {
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
		p.is.True(defaultPollInterval+2*defaultReadTimeout <= maxPropagation) // a read in progress and one more
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
	t.Run("keeps its contracts during an outage and catches up afterwards", func(t *testing.T) {
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
	t.Run("a process restarted during an outage has no contracts until it has read them", func(t *testing.T) {
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
	t.Run("is not fresh when the store has not confirmed it within MaxAge", func(t *testing.T) {
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

// TestWatchReads logs and checks how many reads of the store one process makes
// in 120 polls. The figures are for docs/CAPACITY.md.
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
		p.is.Equal(got, 120+changes) // one per poll and one more per change
	}
}

// readsPerAccept is the number of reads that Accept itself makes: the number of
// the newest change and the team's row.
func (p *watchFixture) readsPerAccept() int {
	return 2
}

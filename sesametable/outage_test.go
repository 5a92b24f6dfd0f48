package sesametable_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesamesettings"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesametable"
)

const (
	clients = 16
	// tableReads and tableWrites bound all clients together, a second.
	tableReads       = 2000
	tableWrites      = 300
	timeBeforeOutage = 10 * time.Second
	timeAfterOutage  = 20 * time.Second
	// maxRecovery bounds the time to a client's first call: the longest pause of
	// the breaker, one timeout of a call that began before, and one backoff.
	maxRecovery = 6 * time.Second
)

// outage is what happens to the store between warmup and closing.
type outage struct {
	name   string
	faults sesamestandin.Faults
	length time.Duration
}

// clientFleet runs clients that read and write without pause and records when.
type clientFleet struct {
	store *sesamestandin.Store
	// healthy is the store's behaviour before and after the outage.
	healthy     sesamestandin.Faults
	afterOutage sesamestandin.Faults
	// loops of each kind run in every client, each as fast as it can.
	loops int

	mu              sync.Mutex
	outageEnd       time.Time
	firstServed     map[int]time.Duration
	servedPerSecond map[time.Time]int
	unknownOutcomes int
}

func newClientFleet() *clientFleet {
	return &clientFleet{
		store: sesamestandin.NewStore(clockwork.NewRealClock()),
		healthy: sesamestandin.Faults{
			Latency: time.Millisecond,
		},
		firstServed:     map[int]time.Duration{},
		servedPerSecond: map[time.Time]int{},
	}
}

// recordServed records a call of that client that was served.
func (f *clientFleet) recordServed(client int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.servedPerSecond[now.Truncate(time.Second)]++
	if _, seen := f.firstServed[client]; !seen && !f.outageEnd.IsZero() {
		f.firstServed[client] = now.Sub(f.outageEnd)
	}
}

func (f *clientFleet) endOutage() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outageEnd = time.Now()
	f.store.SetFaults(f.afterOutage)
}

// call makes one call and waits as a duty would when the store refuses.
func (f *clientFleet) call(ctx context.Context, client int, call func() error) {
	err := call()
	var unavailable *sesametable.UnavailableError
	var unknown *sesametable.OutcomeUnknownError
	switch {
	case err == nil:
		f.recordServed(client)
	case errors.As(err, &unknown):
		f.mu.Lock()
		f.unknownOutcomes++
		f.mu.Unlock()
	case errors.As(err, &unavailable):
		select {
		case <-ctx.Done():
		case <-time.After(max(unavailable.RetryAfter, 100*time.Millisecond)):
		}
	}
}

func (f *clientFleet) read(ctx context.Context, table sesametable.Table, client int) {
	for ctx.Err() == nil {
		f.call(ctx, client, func() error {
			_, err := table.Scan(ctx, "x/", "", 1)
			return err
		})
	}
}

func (f *clientFleet) write(ctx context.Context, table sesametable.Table, client, loop int) {
	key := fmt.Sprintf("w/%d/%d", client, loop)
	for ctx.Err() == nil {
		f.call(ctx, client, func() error {
			version, err := versionOf(ctx, table, key)
			if err != nil {
				return err
			}
			return table.Commit(ctx, puts(put(key, version)))
		})
	}
}

// run returns the counters before, during and after the outage.
func (f *clientFleet) run(o outage) (before, during, after sesamestandin.Counters) {
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	f.store.SetFaults(f.healthy)
	for client := range clients {
		table := newTable(f.store, sesamesettings.Platform{
			CallTimeout:     2 * time.Second,
			ReadsPerSecond:  tableReads / clients,
			WritesPerSecond: tableWrites / clients,
		})
		for loop := range f.loops {
			group.Go(func() error {
				f.read(ctx, table, client)
				return nil
			})
			group.Go(func() error {
				f.write(ctx, table, client, loop)
				return nil
			})
		}
	}
	advance(timeBeforeOutage)
	before = f.store.Counters()
	f.store.SetFaults(o.faults)
	advance(o.length)
	during = f.store.Counters()
	f.endOutage()
	advance(timeAfterOutage)
	cancel()
	_ = group.Wait()
	return before, during, f.store.Counters()
}

// slowestRecovery returns the longest time to a client's first call after healing.
func (f *clientFleet) slowestRecovery() time.Duration {
	var longest time.Duration
	for _, d := range f.firstServed {
		longest = max(longest, d)
	}
	return longest
}

// timeToFullRate returns the time until the calls of a second reach nine tenths of the
// last second before the outage.
func (f *clientFleet) timeToFullRate(start time.Time) time.Duration {
	normal := f.servedPerSecond[start.Add(timeBeforeOutage-2*time.Second).Truncate(time.Second)]
	for second := f.outageEnd.Truncate(time.Second); second.Before(f.outageEnd.Add(timeAfterOutage)); second = second.Add(time.Second) {
		if f.servedPerSecond[second]*10 >= normal*9 {
			return second.Add(time.Second).Sub(f.outageEnd)
		}
	}
	return timeAfterOutage
}

var outages = []outage{
	{
		name:   "down 10 s",
		faults: sesamestandin.Faults{Down: true},
		length: 10 * time.Second,
	},
	{
		name:   "down 5 min",
		faults: sesamestandin.Faults{Down: true},
		length: 5 * time.Minute,
	},
	{
		name:   "down 1 h",
		faults: sesamestandin.Faults{Down: true},
		length: time.Hour,
	},
	{
		name:   "slow 10 s",
		faults: sesamestandin.Faults{Latency: time.Minute},
		length: 10 * time.Second,
	},
	{
		name:   "slow 5 min",
		faults: sesamestandin.Faults{Latency: time.Minute},
		length: 5 * time.Minute,
	},
	{
		name:   "slow 1 h",
		faults: sesamestandin.Faults{Latency: time.Minute},
		length: time.Hour,
	},
}

// TestOutage measures the load that clients put on a store that fails and
// returns, and how soon they are served again.
func TestOutage(t *testing.T) {
	for _, o := range outages {
		t.Run(o.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newClientFleet()
				f.afterOutage = f.healthy
				f.loops = 2
				start := time.Now()
				before, during, after := f.run(o)
				seconds := o.length.Seconds()
				t.Logf("during: %.1f reads/s, %.1f rows/s; peak in any run: %d reads/s, %d rows/s; first call %v, nine tenths %v; unknown %d",
					float64(during.Reads-before.Reads)/seconds, float64(during.Rows-before.Rows)/seconds,
					after.PeakReads, after.PeakWrites, f.slowestRecovery(), f.timeToFullRate(start), f.unknownOutcomes)
				is.True(after.PeakReads <= tableReads)
				is.True(after.PeakWrites <= tableWrites)
				is.Equal(len(f.firstServed), clients)
				is.True(f.slowestRecovery() <= maxRecovery)
				if o.length >= time.Minute {
					calls := during.Reads + during.Rows - before.Reads - before.Rows
					is.True(float64(calls) <= clients*seconds)
				}
			})
		})
	}
}

// TestReducedRateAfterOutage measures a store that comes back with a third of its rate
// and refuses the rest.
func TestReducedRateAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newClientFleet()
		f.loops = 16
		o := outages[0]
		f.afterOutage = sesamestandin.Faults{
			Latency:         time.Millisecond,
			ReadsPerSecond:  tableReads / 3,
			WritesPerSecond: tableWrites / 3,
		}
		_, during, after := f.run(o)
		refused := after.Refused - during.Refused
		calls := after.Reads + after.Rows - during.Reads - during.Rows
		t.Logf("refused %d of %d calls in %v", refused, calls, timeAfterOutage)
		is.True(refused*10 <= calls)
		is.True((calls-refused)*10 >= 8*int(timeAfterOutage.Seconds())*(tableReads+tableWrites)/3)
	})
}

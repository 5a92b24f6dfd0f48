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
	// clients is the number of client processes that are simulated.
	clients = 16
	// tableReads and tableWrites are the limits per second of all clients
	// together.
	tableReads  = 2000
	tableWrites = 300
	// timeBeforeOutage and timeAfterOutage are how long the clients run on a
	// healthy store first, and after the outage.
	timeBeforeOutage = 10 * time.Second
	timeAfterOutage  = 20 * time.Second
	// maxRecovery bounds the time from the end of the outage to a client's first
	// served call: the longest cool-down of the breaker, one timeout of a call
	// that began before, and one back-off.
	maxRecovery = 6 * time.Second
)

// outage describes the store's faults between timeBeforeOutage and
// timeAfterOutage.
type outage struct {
	name   string
	faults sesamestandin.Faults
	length time.Duration
}

// clientFleet runs clients that read and write without pause, and records when
// their calls are served.
type clientFleet struct {
	store *sesamestandin.Store
	// healthy is the store's behaviour before the outage; TestOutage uses it
	// after the outage too.
	healthy sesamestandin.Faults
	// afterOutage is the store's behaviour once the outage is over.
	afterOutage sesamestandin.Faults
	// loops is how many read loops, and as many write loops, run in each client,
	// each as fast as it can.
	loops int

	mu sync.Mutex
	// outageEnd is zero until the outage is over.
	outageEnd time.Time
	// firstServed is the time from outageEnd to the first served call, by client.
	firstServed map[int]time.Duration
	// servedPerSecond counts the served calls of all clients, by the second.
	servedPerSecond map[time.Time]int
	// unknownOutcomes counts the writes whose outcome stayed unknown.
	unknownOutcomes int
}

// newClientFleet returns a fleet on a store with a latency of 1 ms.
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

// recordServed records a served call of that client.
func (f *clientFleet) recordServed(client int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.servedPerSecond[now.Truncate(time.Second)]++
	if _, seen := f.firstServed[client]; !seen && !f.outageEnd.IsZero() {
		f.firstServed[client] = now.Sub(f.outageEnd)
	}
}

// endOutage gives the store its behaviour after the outage.
func (f *clientFleet) endOutage() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outageEnd = time.Now()
	f.store.SetFaults(f.afterOutage)
}

// call makes one call. When the platform is unavailable it waits, as a
// background loop of a real process would, at least 100 ms.
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

// read scans one row repeatedly until ctx ends.
func (f *clientFleet) read(ctx context.Context, table sesametable.Table, client int) {
	for ctx.Err() == nil {
		f.call(ctx, client, func() error {
			_, err := table.Scan(ctx, "x/", "", 1)
			return err
		})
	}
}

// write replaces one row repeatedly until ctx ends. Each loop has its own row.
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

// run drives the clients through one outage and returns the store's counters at
// its start, at its end, and at the end of the test.
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

// slowestRecovery returns the longest time from the end of the outage to a
// client's first served call.
func (f *clientFleet) slowestRecovery() time.Duration {
	var longest time.Duration
	for _, d := range f.firstServed {
		longest = max(longest, d)
	}
	return longest
}

// timeToFullRate returns the time from the end of the outage until the served
// calls of one second reach nine tenths of those in a full second before the
// outage. It returns timeAfterOutage when they never do.
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

// TestOutage measures the load that clients put on a store during an outage and
// after it, and how soon they are served again.
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

// TestReducedRateAfterOutage measures a store that serves a third of its rate
// after the outage and refuses the rest. At most a tenth of the calls may be
// refused, and at least eight tenths of the reduced rate must be used.
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

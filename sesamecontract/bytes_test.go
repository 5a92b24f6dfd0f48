package sesamecontract

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamesettings"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesamestore"
	"github.com/sesamestack/sesamestack/sesametable"
)

// maxBytesPerSecond is the required limit on the traffic of one daemon to and
// from the store.
const maxBytesPerSecond = 12 << 10

// countingConn adds the bytes read and written on a connection to a counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts the bytes read.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts the bytes written.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// remoteStore returns a store that is reached through the platform's HTTP
// interface, and counts the bytes of its connections.
func remoteStore(t testing.TB, bytes *atomic.Int64) *sesamestore.Store {
	platform := sesamestandin.NewPlatformHandler(sesamestandin.NewStore(clockwork.NewRealClock()), sesamelog.Discard())
	server := httptest.NewServer(platform)
	t.Cleanup(server.Close)
	settings := sesamesettings.DefaultEntry().Platform
	settings.URL = server.URL
	settings.ReadsPerSecond = 1e6
	settings.WritesPerSecond = 1e6
	client := sesametable.NewClient(sesametable.Options{
		Platform: settings,
		HTTP: &http.Client{
			Transport: &http.Transport{
				DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
					return &countingConn{
						Conn:  conn,
						bytes: bytes,
					}, err
				},
			},
		},
	})
	return sesamestore.New(client, client)
}

// teamContract returns the contract of the n-th team, with one guaranteed shape,
// one class and one access token.
func teamContract(n int) sesamemodel.Contract {
	team := sesamemodel.TeamID(fmt.Sprintf("team-%03d", n))
	return sesamemodel.Contract{
		Team: team,
		Guarantees: []sesamemodel.Shape{
			{
				Workers:      4,
				Accelerators: 8,
				Span:         sesamemodel.SpanRack,
			},
		},
		Classes: []sesamemodel.Class{
			{
				Name:    "pricing",
				Urgency: sesamemodel.Urgent,
			},
		},
		TokenDigests: []string{strings.Repeat("0", digestHexLength)},
	}
}

// TestPollBytes logs the bytes of the first read, of a poll without and of one
// with a change, through the platform's HTTP interface. The figures are for
// docs/CAPACITY.md. It checks that polls without a change keep within
// maxBytesPerSecond.
func TestPollBytes(t *testing.T) {
	for _, teams := range []int{4, 70, 280} {
		is := is.New(t)
		var bytes atomic.Int64
		store := remoteStore(t, &bytes)
		for n := range teams {
			_, err := store.AcceptChanges(context.Background(), uint64(n), []sesamemodel.Change{
				{
					Team:     teamContract(n).Team,
					Contract: teamContract(n),
				},
			}, nil)
			is.NoErr(err)
		}
		w := NewWatch(store, NewHolder(), WatchOptions{})
		spent := func(polls int) int64 {
			before := bytes.Load()
			for range polls {
				is.NoErr(w.Poll(context.Background()))
			}
			return (bytes.Load() - before) / int64(polls)
		}
		first, idle := spent(1), spent(100)
		_, err := store.AcceptChanges(context.Background(), uint64(teams), []sesamemodel.Change{
			{
				Team:     teamContract(0).Team,
				Contract: teamContract(0),
			},
		}, nil)
		is.NoErr(err)
		changed := spent(1)
		t.Logf("%d teams: first read %d bytes, poll %d, poll with a change %d", teams, first, idle, changed)
		is.True(idle*2 < maxBytesPerSecond) // two polls a second
	}
}

// BenchmarkPropagation reports the longest time from the acceptance of a change
// until it is in force on all of 60 processes. It uses the real clock and no
// hints.
func BenchmarkPropagation(b *testing.B) {
	const processes = 60
	var bytes atomic.Int64
	store := remoteStore(b, &bytes)
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	taken := make(chan uint64, processes)
	for range processes {
		w := NewWatch(store, NewHolder(), WatchOptions{
			OnChange: func(s *Set) {
				taken <- s.Number()
			},
		})
		group.Go(func() error {
			return w.Run(ctx)
		})
	}
	var longest time.Duration
	number := uint64(0)
	for b.Loop() {
		accepted, err := store.AcceptChanges(context.Background(), number, []sesamemodel.Change{
			{
				Team:     teamContract(0).Team,
				Contract: teamContract(0),
			},
		}, nil)
		if err != nil {
			b.Fatal(err)
		}
		began := time.Now()
		for held := 0; held < processes; {
			if <-taken == accepted {
				held++
			}
		}
		longest = max(longest, time.Since(began))
		number = accepted
	}
	cancel()
	_ = group.Wait()
	b.ReportMetric(float64(longest.Milliseconds()), "ms-longest")
}

// BenchmarkPoll measures the processor time of a poll that finds no change, on
// an in-memory store and so without the call to the platform.
func BenchmarkPoll(b *testing.B) {
	table := sesamestandin.NewStore(clockwork.NewRealClock())
	w := NewWatch(sesamestore.New(table, table), NewHolder(), WatchOptions{})
	for b.Loop() {
		_ = w.Poll(context.Background())
	}
}

// BenchmarkWithChanges measures the time and memory of applying a change of one
// contract to a set of 4 to 280.
func BenchmarkWithChanges(b *testing.B) {
	for _, teams := range []int{4, 70, 280} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			var contracts []sesamemodel.Contract
			for n := range teams {
				contracts = append(contracts, teamContract(n))
			}
			set := NewSet(uint64(teams), contracts)
			change := sesamemodel.Change{
				Number:   uint64(teams + 1),
				Team:     contracts[0].Team,
				Contract: contracts[0],
			}
			b.ReportAllocs()
			for b.Loop() {
				_, _ = set.WithChanges([]sesamemodel.Change{change})
			}
		})
	}
}

package sesamerows_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesamerows"
)

// addressedStore is the store that Dial returns for a relay's address.
type addressedStore struct {
	*sesamerows.Memory
	address string
}

// TestRelays runs three processes that write their rows, and checks that the
// last one lists the two others, that of its own zone first, and ignores a row
// that can't be decoded.
func TestRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		memory := sesamerows.NewMemory(virtualClock())
		_, err := memory.Commit(ctx, sesamerows.Transaction{
			Writes: []sesamerows.Write{{
				Key: sesamerows.Key{
					Table: "relays",
					Part:  "relays",
					Name:  "strange",
				},
				Value: []byte("{"),
			}},
		})
		is.NoErr(err)
		var last *sesamerows.Relays
		var group errgroup.Group
		for _, o := range []sesamerows.RelayOptions{
			{Name: "far", Zone: "b", Address: "far:1"},
			{Name: "near", Zone: "a", Address: "near:1"},
			{Name: "own", Zone: "a", Address: "own:1"},
		} {
			o.Dial = func(address string) sesamerows.Store {
				return &addressedStore{
					Memory:  memory,
					address: address,
				}
			}
			relays := sesamerows.NewRelays(o)
			group.Go(func() error {
				return relays.Run(ctx, memory)
			})
			last = relays
		}
		is.True(last.Relay(0) == nil)
		time.Sleep(3 * time.Second)
		for number, address := range []string{"near:1", "far:1", "near:1"} {
			is.Equal(last.Relay(number).(*addressedStore).address, address)
		}
		cancel()
		is.NoErr(group.Wait())
	})
}

// TestRelayLeaves checks that a relay whose row is gone is dialed anew when it
// comes back, so that stores of relays that have left are not kept.
func TestRelayLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		memory := sesamerows.NewMemory(virtualClock())
		key := sesamerows.Key{
			Table: "relays",
			Part:  "relays",
			Name:  "other",
		}
		write := sesamerows.Transaction{
			Writes: []sesamerows.Write{{
				Key:   key,
				Value: []byte(`{"a":"other:1"}`),
			}},
		}
		dials := 0
		relays := sesamerows.NewRelays(sesamerows.RelayOptions{
			Name: "own",
			Dial: func(string) sesamerows.Store {
				dials++
				return memory
			},
		})
		var group errgroup.Group
		group.Go(func() error {
			return relays.Run(ctx, memory)
		})
		for _, change := range []sesamerows.Transaction{write, {Removes: []sesamerows.Key{key}}, write} {
			_, err := memory.Commit(ctx, change)
			is.NoErr(err)
			time.Sleep(25 * time.Second)
		}
		is.Equal(dials, 2)
		cancel()
		is.NoErr(group.Wait())
	})
}

// TestRelaySizes checks that a process reads the sizes that others announce, and that
// the row of one that announces none is the same as before there were sizes.
func TestRelaySizes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		memory := sesamerows.NewMemory(virtualClock())
		var group errgroup.Group
		var last *sesamerows.Relays
		for _, o := range []sesamerows.RelayOptions{
			{Name: "large", Zone: "a", Address: "large:1", Size: sesamerows.Size{Cores: 800, Memory: 536}},
			{Name: "none", Zone: "a", Address: "none:1", Size: sesamerows.Size{Memory: 536}},
			{Name: "own", Zone: "a", Address: "own:1", Size: sesamerows.Size{Cores: 192, Memory: 184}},
		} {
			o.Dial = func(string) sesamerows.Store { return memory }
			relays := sesamerows.NewRelays(o)
			group.Go(func() error {
				return relays.Run(ctx, memory)
			})
			last = relays
		}
		is.Equal(len(last.Peers()), 0)
		time.Sleep(3 * time.Second)
		is.Equal(last.Peers(), []sesamerows.Peer{
			{Name: "large", Size: sesamerows.Size{Cores: 800, Memory: 536}},
			{Name: "none"},
		})
		row, _, err := sesamerows.ReadRow(ctx, memory, sesamerows.Key{
			Table: "relays",
			Part:  "relays",
			Name:  "none",
		})
		is.NoErr(err)
		is.Equal(string(row.Value), `{"a":"none:1","z":"a"}`)
		cancel()
		is.NoErr(group.Wait())
	})
}

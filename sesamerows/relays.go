package sesamerows

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// relayTable holds a row for each process that relays calls, in a part of
	// its own.
	relayTable = "relays"
	relayPart  = "relays"
	// firstListDelay is when the list is read first: all processes start within
	// 0.3 s of each other.
	firstListDelay = 2 * time.Second
	// listInterval is how often it is read again.
	listInterval = 20 * time.Second
)

// relayRow is what a process says of itself.
type relayRow struct {
	Address string `json:"a"`
	Zone    string `json:"z"`
}

// RelayOptions are what a Relays needs.
type RelayOptions struct {
	// Name and Zone are the process's own.
	Name string
	Zone string
	// Address is where the process relays calls; empty means that it doesn't.
	Address string
	// Dial returns the store behind the address of another process.
	Dial func(address string) Store
}

// Relays knows the processes that relay calls to the store. It is safe for
// concurrent use.
type Relays struct {
	o RelayOptions

	mu     sync.Mutex
	stores []Store
	dialed map[string]Store
}

var _ RelayList = (*Relays)(nil)

// NewRelays returns an empty list; Run fills it.
func NewRelays(o RelayOptions) *Relays {
	return &Relays{
		o:      o,
		dialed: map[string]Store{},
	}
}

// Relay returns the way with that number, those of the own zone first; see
// RelayList.
func (r *Relays) Relay(number int) Store {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.stores) == 0 {
		return nil
	}
	return r.stores[number%len(r.stores)]
}

// Run announces this process in the store and reads the list now and then,
// until ctx ends.
func (r *Relays) Run(ctx context.Context, s Store) error {
	if err := r.announce(ctx, s); err != nil {
		return err
	}
	for wait := firstListDelay; Sleep(ctx, wait); wait = listInterval {
		page, err := ReadAll(ctx, s, Range{
			Table: relayTable,
			Part:  relayPart,
		})
		if err != nil {
			// The list as it was serves until the next reading.
			continue
		}
		r.update(page.Rows)
	}
	return nil
}

// announce writes this process's row until that has taken effect.
func (r *Relays) announce(ctx context.Context, s Store) error {
	if r.o.Address == "" {
		return nil
	}
	value, err := json.Marshal(relayRow{
		Address: r.o.Address,
		Zone:    r.o.Zone,
	})
	if err != nil {
		return err
	}
	retry := NewBackoff()
	for ctx.Err() == nil {
		_, err := s.Commit(ctx, Transaction{
			Writes: []Write{{
				Key: Key{
					Table: relayTable,
					Part:  relayPart,
					Name:  r.o.Name,
				},
				Value: value,
			}},
		})
		if err == nil {
			return nil
		}
		retry.Wait(ctx)
	}
	return nil
}

// candidate is a process that relays calls, with what it is ordered by.
type candidate struct {
	relayRow
	// zoneDistance is 0 in the own zone, and orderHash differs from process to
	// process.
	zoneDistance int
	orderHash    uint64
}

// update replaces the list. Its order differs from process to process, so that
// they spread.
func (r *Relays) update(rows []Row) {
	var all []candidate
	for _, row := range rows {
		var c candidate
		if row.Key.Name == r.o.Name || json.Unmarshal(row.Value, &c.relayRow) != nil || c.Address == "" {
			continue
		}
		if c.Zone != r.o.Zone {
			c.zoneDistance = 1
		}
		c.orderHash = xxhash.Sum64String(r.o.Name + "\x00" + row.Key.Name)
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.zoneDistance, b.zoneDistance),
			cmp.Compare(a.orderHash, b.orderHash),
			cmp.Compare(a.Address, b.Address),
		)
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stores = nil
	for _, c := range all {
		store, ok := r.dialed[c.Address]
		if !ok {
			store = r.o.Dial(c.Address)
			r.dialed[c.Address] = store
		}
		r.stores = append(r.stores, store)
	}
}

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
	// relayTable and relayPart are the table and its only part that hold one
	// row for each relay.
	relayTable = "relays"
	relayPart  = "relays"
	// firstListDelay is the time before a process first reads the list of
	// relays. All processes start within 0.3 s of each other, so that the
	// others have written their rows by then.
	firstListDelay = 2 * time.Second
	// listInterval is the time between later readings of the list.
	listInterval = 20 * time.Second
)

// relayRow is the JSON value of the row by which a relay (a process that passes
// other processes' calls on to the store) makes itself known. Address is where
// it serves them (host:port), and Zone is its availability zone.
type relayRow struct {
	Address string `json:"a"`
	Zone    string `json:"z"`
	Size
}

// Size is what a process announces of its resources. The zero value announces nothing.
type Size struct {
	// Cores is in thousandths of a core, and Memory in MiB.
	Cores  int64 `json:"c,omitempty"`
	Memory int64 `json:"m,omitempty"`
}

// Peer is another process that is a relay, with its size. It may have ended since it
// wrote its row.
type Peer struct {
	Name string
	Size
}

// RelayOptions are the settings of a Relays.
type RelayOptions struct {
	// Name is this process's name, and Zone its availability zone.
	Name string
	Zone string
	// Address is where this process relays calls of others (host:port). If it
	// is empty, the process is not a relay.
	Address string
	// Size is what the relay announces of itself; Memory counts only with Cores.
	Size Size
	// Dial returns a store whose calls go to the relay at the address.
	Dial func(address string) Store
}

// Relays is the list of the other processes that relay calls to the store, as
// read from the store. It is safe for concurrent use.
type Relays struct {
	o RelayOptions

	mu sync.Mutex
	// stores call the store through one relay each, in the order of update.
	stores []Store
	// dialed holds the results of Dial by address, so that they are reused while
	// the address stays in the list.
	dialed map[string]Store
	// peers are the relays with their sizes.
	peers []Peer
}

var _ RelayList = (*Relays)(nil)

// NewRelays returns an empty list; Run fills it from the store.
func NewRelays(o RelayOptions) *Relays {
	return &Relays{
		o:      o,
		dialed: map[string]Store{},
	}
}

// Relay returns a store whose calls go through the relay at index number modulo
// the length of the list, or nil if the list is empty. Relays in the zone of
// this process come first in the list; see RelayList.
func (r *Relays) Relay(number int) Store {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.stores) == 0 {
		return nil
	}
	return r.stores[number%len(r.stores)]
}

// Peers returns the other processes that are relays, as read last, with the sizes
// that they announce.
func (r *Relays) Peers() []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.peers)
}

// Run writes this process's row if it is a relay, and then reads the list of
// relays every listInterval until ctx ends. It returns an error only if the row
// can't be encoded.
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
			// Keep the list as it is until the next reading.
			continue
		}
		r.update(page.Rows)
	}
	return nil
}

// announce writes this process's row, and retries with a back-off until that
// has succeeded or ctx ends. Without an address it does nothing. It returns an
// error only if the row can't be encoded.
func (r *Relays) announce(ctx context.Context, s Store) error {
	if r.o.Address == "" {
		return nil
	}
	row := relayRow{
		Address: r.o.Address,
		Zone:    r.o.Zone,
	}
	if r.o.Size.Cores > 0 {
		row.Size = r.o.Size
	}
	value, err := json.Marshal(row)
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

// candidate is a relay other than this process, with the keys by which update
// sorts the relays.
type candidate struct {
	relayRow
	// zoneDistance is 0 for a relay in the zone of this process and 1 for others.
	zoneDistance int
	// orderHash is a hash of this process's and the relay's name, so that each
	// process orders the relays differently.
	orderHash uint64
}

// update replaces the list by the relays of the rows, without this process and
// without rows that can't be read or have no address. Relays in the zone of this
// process come first. Within that zone, and among all other zones together, the
// order differs from process to process, so that calls spread over the relays.
func (r *Relays) update(rows []Row) {
	var all []candidate
	var peers []Peer
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
		peers = append(peers, Peer{
			Name: row.Key.Name,
			Size: c.Size,
		})
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
	dialed := make(map[string]Store, len(all))
	r.stores = nil
	for _, c := range all {
		store, ok := r.dialed[c.Address]
		if !ok {
			store = r.o.Dial(c.Address)
		}
		dialed[c.Address] = store
		r.stores = append(r.stores, store)
	}
	r.dialed = dialed
	r.peers = peers
}

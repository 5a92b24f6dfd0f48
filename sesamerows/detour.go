package sesamerows

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesameclock"
)

const (
	// failuresToDetour is how many calls in a row the store must not serve
	// before calls go through other processes.
	failuresToDetour = 2
	// firstProbe is how long they do before one call goes to the store directly
	// again; it doubles with each try in vain up to maxProbe.
	firstProbe = 2 * time.Second
	maxProbe   = 8 * time.Second
	// fruitless is how long no other process is asked after several could not
	// reach the store either: it serves nobody then.
	fruitless = 2 * time.Second
	// maxRelayFailures is how many in a row may fail before that.
	maxRelayFailures = 3
)

// RelayList hands out ways to the store through other processes.
type RelayList interface {
	// Relay returns the way with that number, counted round, or nil when there
	// is none.
	Relay(number int) Store
}

// Detour is a store that goes through other processes while the store itself
// turns this one away. It is safe for concurrent use.
type Detour struct {
	direct Store
	relays RelayList
	clock  sesameclock.Clock
	// changed is told when the way changes, and why.
	changed func(blocked bool, cause error)

	mu       sync.Mutex
	failures int
	// blocked says that calls go through relays, until probeAt, when one call
	// is made directly.
	blocked bool
	probeAt time.Duration
	probe   time.Duration
	// number is that of the relay in use, and relayFailures counts in a row.
	number        int
	relayFailures int
	// resume is when relays may be asked again.
	resume time.Duration
}

var _ Store = (*Detour)(nil)

// NewDetour returns a store that is called directly at first. It calls changed
// when calls begin to go through other processes, with the last failure, and
// when they end to.
func NewDetour(
	direct Store, relays RelayList, clock sesameclock.Clock, changed func(blocked bool, cause error),
) *Detour {
	return &Detour{
		direct:  direct,
		relays:  relays,
		clock:   clock,
		changed: changed,
		probe:   firstProbe,
	}
}

// Read returns rows of a range; see Store.
func (d *Detour) Read(ctx context.Context, r Range) (Page, error) {
	var page Page
	err := d.call(ctx, func(s Store) (err error) {
		page, err = s.Read(ctx, r)
		return err
	})
	return page, err
}

// Parts returns the parts of a table; see Store.
func (d *Detour) Parts(ctx context.Context, table string) ([]string, error) {
	var parts []string
	err := d.call(ctx, func(s Store) (err error) {
		parts, err = s.Parts(ctx, table)
		return err
	})
	return parts, err
}

// Changes waits for changes of a table; see Store.
func (d *Detour) Changes(ctx context.Context, table string, after Version, wait time.Duration) (Page, error) {
	var page Page
	err := d.call(ctx, func(s Store) (err error) {
		page, err = s.Changes(ctx, table, after, wait)
		return err
	})
	return page, err
}

// Commit applies a transaction; see Store.
func (d *Detour) Commit(ctx context.Context, t Transaction) (Version, error) {
	var version Version
	err := d.call(ctx, func(s Store) (err error) {
		version, err = s.Commit(ctx, t)
		return err
	})
	return version, err
}

// Direct returns the store for calls of other processes. It refuses them while
// this process can't reach the store itself.
func (d *Detour) Direct() Store {
	return &relayed{
		Detour: d,
	}
}

// call makes one call on the way that is in use.
func (d *Detour) call(ctx context.Context, attempt func(Store) error) error {
	if relay, number := d.relay(); relay != nil {
		err := attempt(relay)
		d.noteRelay(number, isUnserved(ctx, err))
		return err
	}
	err := attempt(d.direct)
	d.note(err, isUnserved(ctx, err))
	return err
}

// isUnserved reports whether the store did not answer in time, or refused.
func isUnserved(ctx context.Context, err error) bool {
	if errors.Is(ctx.Err(), context.Canceled) {
		return false
	}
	return errors.HasType(err, (*UnavailableError)(nil)) || errors.HasType(err, (*UnknownError)(nil))
}

// relay returns the way through another process and its number, or nil for a
// direct call.
func (d *Detour) relay() (Store, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Steady()
	if !d.blocked || now < d.resume {
		return nil, 0
	}
	if now >= d.probeAt {
		d.probe = min(2*d.probe, maxProbe)
		d.probeAt = now + d.probe
		return nil, 0
	}
	return d.relays.Relay(d.number), d.number
}

// note takes in how a direct call went.
func (d *Detour) note(err error, unserved bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !unserved {
		if d.blocked {
			d.changed(false, nil)
		}
		d.failures = 0
		d.blocked = false
		d.probe = firstProbe
		return
	}
	d.failures++
	if d.failures >= failuresToDetour && !d.blocked {
		d.blocked = true
		d.probeAt = d.clock.Steady() + d.probe
		d.changed(true, err)
	}
}

// noteRelay takes in how a call through the relay with that number went.
func (d *Detour) noteRelay(number int, unserved bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !unserved {
		d.relayFailures = 0
		return
	}
	if number == d.number {
		d.number++
	}
	d.relayFailures++
	if d.relayFailures >= maxRelayFailures {
		d.relayFailures = 0
		d.resume = d.clock.Steady() + fruitless
	}
}

// hasFailed reports whether the store did not serve the last direct call.
func (d *Detour) hasFailed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failures > 0
}

// relayed serves the calls of other processes.
type relayed struct {
	*Detour
}

// BlockedError says that a process can't reach the store itself.
type BlockedError struct{}

// Error says so.
func (e *BlockedError) Error() string {
	return "the store turns this process away too"
}

func (s *relayed) check(operation string) error {
	if !s.hasFailed() {
		return nil
	}
	return &UnavailableError{
		Operation: operation,
		Cause:     &BlockedError{},
	}
}

// Read returns rows of a range; see Store.
func (s *relayed) Read(ctx context.Context, r Range) (Page, error) {
	if err := s.check("read"); err != nil {
		return Page{}, err
	}
	return s.direct.Read(ctx, r)
}

// Parts returns the parts of a table; see Store.
func (s *relayed) Parts(ctx context.Context, table string) ([]string, error) {
	if err := s.check("parts"); err != nil {
		return nil, err
	}
	return s.direct.Parts(ctx, table)
}

// Changes waits for changes of a table; see Store.
func (s *relayed) Changes(ctx context.Context, table string, after Version, wait time.Duration) (Page, error) {
	if err := s.check("changes"); err != nil {
		return Page{}, err
	}
	return s.direct.Changes(ctx, table, after, wait)
}

// Commit applies a transaction; see Store.
func (s *relayed) Commit(ctx context.Context, t Transaction) (Version, error) {
	if err := s.check("commit"); err != nil {
		return 0, err
	}
	return s.direct.Commit(ctx, t)
}

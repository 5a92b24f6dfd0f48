package sesamerows

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesameclock"
)

const (
	// failuresToTrip is how many calls in a row the store must not serve
	// before calls go through other processes.
	failuresToTrip = 2
	// firstProbeDelay is how long they do before one call goes to the store directly
	// again; it doubles with each try in vain up to maxProbeDelay.
	firstProbeDelay = 2 * time.Second
	maxProbeDelay   = 8 * time.Second
	// relayCooldown is how long no other process is asked after several could not
	// reach the store either: it serves nobody then.
	relayCooldown = 2 * time.Second
	// maxRelayFailures is how many in a row may fail before that.
	maxRelayFailures = 3
)

// RelayList hands out ways to the store through other processes.
type RelayList interface {
	// Relay returns the way with that number, counted round, or nil when there
	// is none.
	Relay(number int) Store
}

// FailoverStore is a store that goes through other processes while the store itself
// turns this one away. It is safe for concurrent use.
type FailoverStore struct {
	direct Store
	relays RelayList
	clock  sesameclock.Clock
	// onChange is told when the way changes, and why.
	onChange func(blocked bool, cause error)

	mu       sync.Mutex
	failures int
	// blocked says that calls go through relays, until probeAt, when one call
	// is made directly.
	blocked    bool
	probeAt    time.Duration
	probeDelay time.Duration
	// relayNumber is that of the relay in use, and relayFailures counts in a row.
	relayNumber   int
	relayFailures int
	// cooldownEnds is when relays may be asked again.
	cooldownEnds time.Duration
}

var _ Store = (*FailoverStore)(nil)

// NewFailoverStore returns a store that is called directly at first. It calls onChange
// when calls begin to go through other processes, with the last failure, and
// when they end to.
func NewFailoverStore(
	direct Store, relays RelayList, clock sesameclock.Clock, onChange func(blocked bool, cause error),
) *FailoverStore {
	return &FailoverStore{
		direct:     direct,
		relays:     relays,
		clock:      clock,
		onChange:   onChange,
		probeDelay: firstProbeDelay,
	}
}

// Read returns rows of a range; see Store.
func (d *FailoverStore) Read(ctx context.Context, r Range) (Page, error) {
	var page Page
	err := d.call(ctx, func(s Store) (err error) {
		page, err = s.Read(ctx, r)
		return err
	})
	return page, err
}

// Parts returns the parts of a table; see Store.
func (d *FailoverStore) Parts(ctx context.Context, table string) ([]string, error) {
	var parts []string
	err := d.call(ctx, func(s Store) (err error) {
		parts, err = s.Parts(ctx, table)
		return err
	})
	return parts, err
}

// Changes waits for changes of a table; see Store.
func (d *FailoverStore) Changes(ctx context.Context, table string, after Version, wait time.Duration) (Page, error) {
	var page Page
	err := d.call(ctx, func(s Store) (err error) {
		page, err = s.Changes(ctx, table, after, wait)
		return err
	})
	return page, err
}

// Commit applies a transaction; see Store.
func (d *FailoverStore) Commit(ctx context.Context, t Transaction) (Version, error) {
	var version Version
	err := d.call(ctx, func(s Store) (err error) {
		version, err = s.Commit(ctx, t)
		return err
	})
	return version, err
}

// Direct returns the store for calls of other processes. It refuses them while
// this process can't reach the store itself.
func (d *FailoverStore) Direct() Store {
	return &relayEndpoint{
		FailoverStore: d,
	}
}

// call makes one call on the way that is in use.
func (d *FailoverStore) call(ctx context.Context, operation func(Store) error) error {
	if relay, number := d.chooseRelay(); relay != nil {
		err := operation(relay)
		d.recordRelayed(number, isOutage(ctx, err))
		return err
	}
	err := operation(d.direct)
	d.recordDirect(err, isOutage(ctx, err))
	return err
}

// isOutage reports whether the store did not answer in time, or refused.
func isOutage(ctx context.Context, err error) bool {
	if errors.Is(ctx.Err(), context.Canceled) {
		return false
	}
	return errors.HasType(err, (*UnavailableError)(nil)) || errors.HasType(err, (*UnknownError)(nil))
}

// chooseRelay returns the way through another process and its number, or nil for a
// direct call.
func (d *FailoverStore) chooseRelay() (Store, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Steady()
	if !d.blocked || now < d.cooldownEnds {
		return nil, 0
	}
	if now >= d.probeAt {
		d.probeDelay = min(2*d.probeDelay, maxProbeDelay)
		d.probeAt = now + d.probeDelay
		return nil, 0
	}
	return d.relays.Relay(d.relayNumber), d.relayNumber
}

// recordDirect takes in how a direct call went.
func (d *FailoverStore) recordDirect(err error, outage bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !outage {
		if d.blocked {
			d.onChange(false, nil)
		}
		d.failures = 0
		d.blocked = false
		d.probeDelay = firstProbeDelay
		return
	}
	d.failures++
	if d.failures >= failuresToTrip && !d.blocked {
		d.blocked = true
		d.probeAt = d.clock.Steady() + d.probeDelay
		d.onChange(true, err)
	}
}

// recordRelayed takes in how a call through the relay with that number went.
func (d *FailoverStore) recordRelayed(number int, outage bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !outage {
		d.relayFailures = 0
		return
	}
	if number == d.relayNumber {
		d.relayNumber++
	}
	d.relayFailures++
	if d.relayFailures >= maxRelayFailures {
		d.relayFailures = 0
		d.cooldownEnds = d.clock.Steady() + relayCooldown
	}
}

// lastDirectFailed reports whether the store did not serve the last direct call.
func (d *FailoverStore) lastDirectFailed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failures > 0
}

// relayEndpoint serves the calls of other processes.
type relayEndpoint struct {
	*FailoverStore
}

// BlockedError says that a process can't reach the store itself.
type BlockedError struct{}

// Error says so.
func (e *BlockedError) Error() string {
	return "the store turns this process away too"
}

func (s *relayEndpoint) refuseIfBlocked(operation string) error {
	if !s.lastDirectFailed() {
		return nil
	}
	return &UnavailableError{
		Operation: operation,
		Cause:     &BlockedError{},
	}
}

// Read returns rows of a range; see Store.
func (s *relayEndpoint) Read(ctx context.Context, r Range) (Page, error) {
	if err := s.refuseIfBlocked("read"); err != nil {
		return Page{}, err
	}
	return s.direct.Read(ctx, r)
}

// Parts returns the parts of a table; see Store.
func (s *relayEndpoint) Parts(ctx context.Context, table string) ([]string, error) {
	if err := s.refuseIfBlocked("parts"); err != nil {
		return nil, err
	}
	return s.direct.Parts(ctx, table)
}

// Changes waits for changes of a table; see Store.
func (s *relayEndpoint) Changes(ctx context.Context, table string, after Version, wait time.Duration) (Page, error) {
	if err := s.refuseIfBlocked("changes"); err != nil {
		return Page{}, err
	}
	return s.direct.Changes(ctx, table, after, wait)
}

// Commit applies a transaction; see Store.
func (s *relayEndpoint) Commit(ctx context.Context, t Transaction) (Version, error) {
	if err := s.refuseIfBlocked("commit"); err != nil {
		return 0, err
	}
	return s.direct.Commit(ctx, t)
}

package sesamerows

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesameclock"
)

const (
	// failuresToTrip is how many direct calls in a row must fail before the
	// circuit breaker opens and calls go through relays.
	failuresToTrip = 2
	// firstProbeDelay is how long calls go through relays before one call
	// probes the store directly. It doubles with each failed probe up to
	// maxProbeDelay.
	firstProbeDelay = 2 * time.Second
	maxProbeDelay   = 8 * time.Second
	// relayCooldown is how long relays are not used after maxRelayFailures
	// relayed calls in a row have failed: the store then serves nobody, and
	// relays would only add calls.
	relayCooldown    = 2 * time.Second
	maxRelayFailures = 3
)

// RelayList is the list of relays: other processes that pass calls on to the
// store.
type RelayList interface {
	// Relay returns a store whose calls go through the relay at index number
	// modulo the length of the list, or nil if the list is empty.
	Relay(number int) Store
}

// FailoverStore calls a store directly, and through relays while the store
// refuses this process or does not answer it. A circuit breaker with regular
// probes decides between the two. It is safe for concurrent use.
type FailoverStore struct {
	direct Store
	relays RelayList
	clock  sesameclock.Clock
	// onChange is called when the circuit breaker opens or closes; see
	// NewFailoverStore.
	onChange func(blocked bool, cause error)

	mu sync.Mutex
	// failures counts direct calls that failed in a row.
	failures int
	// blocked is set while the circuit breaker is open: calls go through
	// relays, except for one direct call, the probe, as soon as the steady
	// clock reaches probeAt.
	blocked bool
	probeAt time.Duration
	// probeDelay is the time until the next probe.
	probeDelay time.Duration
	// relayNumber is the number of the relay in use, and relayFailures counts
	// relayed calls that failed in a row.
	relayNumber   int
	relayFailures int
	// cooldownEnds is the steady time from which relays may be used again.
	cooldownEnds time.Duration
}

var _ Store = (*FailoverStore)(nil)

// NewFailoverStore returns a store that makes direct calls at first. It calls
// onChange with true and the error of the last direct call when calls begin to
// go through relays, and with false and nil when they are direct again.
// onChange must not call the store.
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

// Read returns rows of a range, directly or through a relay; see Store.
func (d *FailoverStore) Read(ctx context.Context, r Range) (Page, error) {
	var page Page
	err := d.call(ctx, func(s Store) (err error) {
		page, err = s.Read(ctx, r)
		return err
	})
	return page, err
}

// Parts returns the names of a table's parts (partitions), directly or through
// a relay; see Store.
func (d *FailoverStore) Parts(ctx context.Context, table string) ([]string, error) {
	var parts []string
	err := d.call(ctx, func(s Store) (err error) {
		parts, err = s.Parts(ctx, table)
		return err
	})
	return parts, err
}

// Changes waits for changes of a table, directly or through a relay; see Store.
func (d *FailoverStore) Changes(ctx context.Context, table string, after Version, wait time.Duration) (Page, error) {
	var page Page
	err := d.call(ctx, func(s Store) (err error) {
		page, err = s.Changes(ctx, table, after, wait)
		return err
	})
	return page, err
}

// Commit applies a transaction, directly or through a relay; see Store.
func (d *FailoverStore) Commit(ctx context.Context, t Transaction) (Version, error) {
	var version Version
	err := d.call(ctx, func(s Store) (err error) {
		version, err = s.Commit(ctx, t)
		return err
	})
	return version, err
}

// Direct returns the store for calls that this process relays for others. It
// always makes direct calls. While the last direct call of this process itself
// has failed, it refuses with an *UnavailableError caused by a *BlockedError.
func (d *FailoverStore) Direct() Store {
	return &relayEndpoint{
		FailoverStore: d,
	}
}

// call runs the operation once, with a relay or the direct store, whichever is
// in use, records whether it failed, and returns its error.
func (d *FailoverStore) call(ctx context.Context, operation func(Store) error) error {
	relay, number := d.chooseRelay()
	if relay == nil {
		err := operation(d.direct)
		if !wasCancelled(ctx, err) {
			d.recordDirect(err, isOutage(err))
		}
		return err
	}
	err := operation(relay)
	if !wasCancelled(ctx, err) {
		d.recordRelayed(number, isOutage(err))
	}
	return err
}

// wasCancelled reports whether a call failed after its caller had cancelled it,
// so that its error says nothing of the store.
func wasCancelled(ctx context.Context, err error) bool {
	return err != nil && errors.Is(ctx.Err(), context.Canceled)
}

// isOutage reports whether the error means that the store refused the call or
// did not answer in time.
func isOutage(err error) bool {
	return errors.HasType(err, (*UnavailableError)(nil)) || errors.HasType(err, (*UnknownError)(nil))
}

// chooseRelay returns the relay to use and its number. It returns nil for a
// direct call: while the circuit breaker is closed, during the relays'
// cool-down, and for a probe.
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

// recordDirect updates the circuit breaker after a direct call that returned
// err. An outage (see isOutage) counts as a failure, of which failuresToTrip in
// a row open the breaker; anything else closes it.
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

// recordRelayed counts failures in a row after a call through the relay with
// the number. A failure, which is an outage (see isOutage), moves on to the next
// relay unless another call has done so already; maxRelayFailures in a row begin
// the cool-down.
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

// lastDirectFailed reports whether the last direct call failed. Calls that this
// process relays for others do not count.
func (d *FailoverStore) lastDirectFailed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failures > 0
}

// relayEndpoint is a store that makes direct calls for other processes, which
// use this one as a relay.
type relayEndpoint struct {
	*FailoverStore
}

// BlockedError is the cause of an *UnavailableError from a relay that can't
// reach the store directly either.
type BlockedError struct{}

// Error says that this process can't reach the store either.
func (e *BlockedError) Error() string {
	return "this process cannot reach the store directly either"
}

// refuseAfterFailure returns an *UnavailableError for the operation, such as
// "read", if the last direct call of this process failed, and else nil.
func (s *relayEndpoint) refuseAfterFailure(operation string) error {
	if !s.lastDirectFailed() {
		return nil
	}
	return &UnavailableError{
		Operation: operation,
		Cause:     &BlockedError{},
	}
}

// Read returns rows of a range, for another process; see Store. It returns an
// *UnavailableError if the last direct call of this process itself failed.
func (s *relayEndpoint) Read(ctx context.Context, r Range) (Page, error) {
	if err := s.refuseAfterFailure("read"); err != nil {
		return Page{}, err
	}
	return s.direct.Read(ctx, r)
}

// Parts returns the names of a table's parts (partitions), for another process;
// see Store. It is refused as Read is.
func (s *relayEndpoint) Parts(ctx context.Context, table string) ([]string, error) {
	if err := s.refuseAfterFailure("parts"); err != nil {
		return nil, err
	}
	return s.direct.Parts(ctx, table)
}

// Changes waits for changes of a table, for another process; see Store. It is
// refused as Read is.
func (s *relayEndpoint) Changes(ctx context.Context, table string, after Version, wait time.Duration) (Page, error) {
	if err := s.refuseAfterFailure("changes"); err != nil {
		return Page{}, err
	}
	return s.direct.Changes(ctx, table, after, wait)
}

// Commit applies a transaction, for another process; see Store. It is refused
// as Read is.
func (s *relayEndpoint) Commit(ctx context.Context, t Transaction) (Version, error) {
	if err := s.refuseAfterFailure("commit"); err != nil {
		return 0, err
	}
	return s.direct.Commit(ctx, t)
}

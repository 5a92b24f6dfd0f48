package sesamerows

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesameclock"
)

const (
	// minTimeout is the least time that a commit gets: the platform takes
	// 4 ms for the transaction and 4 ms for the answer, and on a slow day 60
	// times as long.
	minTimeout = 700 * time.Millisecond
	// maxTimeout is the most: a second in the line of a part, which is when
	// the platform refuses more, and a slow transaction over several parts.
	maxTimeout = 1600 * time.Millisecond
	// timeoutFactor is how many times as long as the latest answers a commit
	// may take before its answer counts as lost.
	timeoutFactor = 4
	// latencyDecay is the part of the level that a quicker answer leaves.
	latencyDecay = 0.7
)

// AdaptiveTimeoutStore is a store whose commits are given up soon when an answer is
// missing, so that they can be repeated, and later while the store is slow: an
// attempt that was given up is carried out all the same, and takes its time.
// It is safe for concurrent use.
type AdaptiveTimeoutStore struct {
	Store
	clock sesameclock.Clock

	mu sync.Mutex
	// recentLatency is about what the slowest of the latest answers took.
	recentLatency time.Duration
}

// NewAdaptiveTimeoutStore wraps a store.
func NewAdaptiveTimeoutStore(store Store, clock sesameclock.Clock) *AdaptiveTimeoutStore {
	return &AdaptiveTimeoutStore{
		Store: store,
		clock: clock,
	}
}

// Commit tries once; see Store.
func (p *AdaptiveTimeoutStore) Commit(ctx context.Context, t Transaction) (Version, error) {
	timed, cancel := context.WithTimeout(ctx, p.timeout())
	defer cancel()
	started := p.clock.Steady()
	version, err := p.Store.Commit(timed, t)
	switch {
	case err == nil || errors.HasType(err, (*ConflictError)(nil)):
		p.recordLatency(p.clock.Steady() - started)
	case timed.Err() != nil && ctx.Err() == nil:
		p.recordTimeout()
	}
	return version, err
}

func (p *AdaptiveTimeoutStore) timeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(minTimeout, timeoutFactor*p.recentLatency), maxTimeout)
}

func (p *AdaptiveTimeoutStore) recordLatency(latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recentLatency = max(latency, time.Duration(latencyDecay*float64(p.recentLatency)))
}

// recordTimeout doubles the patience, since the store may be slow.
func (p *AdaptiveTimeoutStore) recordTimeout() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recentLatency = min(2*max(p.recentLatency, minTimeout/timeoutFactor), maxTimeout/timeoutFactor)
}

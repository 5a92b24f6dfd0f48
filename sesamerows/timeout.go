package sesamerows

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesameclock"
)

const (
	// minTimeout is the shortest timeout of a commit. The platform usually
	// takes 4 ms for a transaction and 4 ms for the answer, and up to 60 times
	// as long when it is slow, which is 480 ms.
	minTimeout = 700 * time.Millisecond
	// maxTimeout is the longest timeout of a commit. It covers 1 s in the
	// queue of a part, beyond which the platform refuses further transactions,
	// and a slow transaction over several parts.
	maxTimeout = 1600 * time.Millisecond
	// timeoutFactor is the ratio of a commit's timeout to recentLatency. After
	// the timeout its answer counts as lost.
	timeoutFactor = 4
	// latencyDecay is the factor by which each answer lowers recentLatency,
	// unless the answer itself took longer.
	latencyDecay = 0.7
)

// AdaptiveTimeoutStore is a store whose commits have a timeout that follows
// the latency of recent commits. The timeout is short, so that a commit whose
// answer is lost can soon be repeated, and longer while the store is slow, since
// the store still carries out a commit that timed out and spends time on it. An
// AdaptiveTimeoutStore is safe for concurrent use.
type AdaptiveTimeoutStore struct {
	Store
	clock sesameclock.Clock

	mu sync.Mutex
	// recentLatency is a decaying maximum of the commits' latencies, doubled
	// at each timeout.
	recentLatency time.Duration
}

// NewAdaptiveTimeoutStore wraps a store. Only commits get a timeout; other calls
// are passed on unchanged.
func NewAdaptiveTimeoutStore(store Store, clock sesameclock.Clock) *AdaptiveTimeoutStore {
	return &AdaptiveTimeoutStore{
		Store: store,
		clock: clock,
	}
}

// Commit applies the transaction once, without repeating it, under the current
// timeout; see Store.
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

// timeout returns the timeout of the next commit, within minTimeout and
// maxTimeout.
func (p *AdaptiveTimeoutStore) timeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(minTimeout, timeoutFactor*p.recentLatency), maxTimeout)
}

// recordLatency updates recentLatency with the time that an answer took.
func (p *AdaptiveTimeoutStore) recordLatency(latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recentLatency = max(latency, time.Duration(latencyDecay*float64(p.recentLatency)))
}

// recordTimeout doubles the timeout of the next commit, up to maxTimeout, after
// one timed out: a slow store needs more time to answer.
func (p *AdaptiveTimeoutStore) recordTimeout() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recentLatency = min(2*max(p.recentLatency, minTimeout/timeoutFactor), maxTimeout/timeoutFactor)
}

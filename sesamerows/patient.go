package sesamerows

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesameclock"
)

const (
	// minPatience is the least time that a commit gets: the platform takes
	// 4 ms for the transaction and 4 ms for the answer, and on a slow day 60
	// times as long.
	minPatience = 700 * time.Millisecond
	// maxPatience is the most: a second in the line of a part, which is when
	// the platform refuses more, and a slow transaction over several parts.
	maxPatience = 1600 * time.Millisecond
	// patienceRatio is how many times as long as the latest answers a commit
	// may take before its answer counts as lost.
	patienceRatio = 4
	// levelDecay is the part of the level that a quicker answer leaves.
	levelDecay = 0.7
)

// Patient is a store whose commits are given up soon when an answer is
// missing, so that they can be repeated, and later while the store is slow: an
// attempt that was given up is carried out all the same, and takes its time.
// It is safe for concurrent use.
type Patient struct {
	Store
	clock sesameclock.Clock

	mu sync.Mutex
	// level is about what the slowest of the latest answers took.
	level time.Duration
}

// NewPatient wraps a store.
func NewPatient(store Store, clock sesameclock.Clock) *Patient {
	return &Patient{
		Store: store,
		clock: clock,
	}
}

// Commit tries once; see Store.
func (p *Patient) Commit(ctx context.Context, t Transaction) (Version, error) {
	attempt, cancel := context.WithTimeout(ctx, p.patience())
	defer cancel()
	started := p.clock.Steady()
	version, err := p.Store.Commit(attempt, t)
	switch {
	case err == nil || errors.HasType(err, (*ConflictError)(nil)):
		p.answered(p.clock.Steady() - started)
	case attempt.Err() != nil && ctx.Err() == nil:
		p.silent()
	}
	return version, err
}

func (p *Patient) patience() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(minPatience, patienceRatio*p.level), maxPatience)
}

func (p *Patient) answered(after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.level = max(after, time.Duration(levelDecay*float64(p.level)))
}

// silent doubles the patience, since the store may be slow.
func (p *Patient) silent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.level = min(2*max(p.level, minPatience/patienceRatio), maxPatience/patienceRatio)
}

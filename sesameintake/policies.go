package sesameintake

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesameclock"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// PolicySource hands out policies as they come into force.
type PolicySource interface {
	// Next waits a while for a newer policy. It returns nil when there was
	// none, and an error when the newest one could not be learnt.
	Next(ctx context.Context) (*sesamework.Policy, error)
}

// Policies holds the newest policy that this process has learnt.
type Policies struct {
	source PolicySource
	clock  sesameclock.Clock
	log    *sesamelog.Logger

	current atomic.Pointer[sesamework.Policy]
	mu      sync.Mutex
	changed chan struct{}
	// heard is when the store last answered, and lost whether it has failed
	// since.
	heard time.Duration
	lost  bool
}

// NewPolicies returns a holder without a policy.
func NewPolicies(source PolicySource, clock sesameclock.Clock, log *sesamelog.Logger) *Policies {
	return &Policies{
		source:  source,
		clock:   clock,
		log:     log,
		changed: make(chan struct{}),
		heard:   -time.Hour,
	}
}

// Current returns the newest policy, or nil before the first.
func (p *Policies) Current() *sesamework.Policy {
	return p.current.Load()
}

// Changed is closed when a newer policy has come.
func (p *Policies) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// Age returns how long ago the store last confirmed what is newest.
func (p *Policies) Age() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clock.Steady() - p.heard
}

// isLost reports whether the store's last answer was a failure.
func (p *Policies) isLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost
}

// Run learns policies until ctx ends.
func (p *Policies) Run(ctx context.Context) error {
	retry := sesamerows.NewBackoff()
	for ctx.Err() == nil {
		policy, err := p.source.Next(ctx)
		var unreadable *UnreadablePolicyError
		if errors.As(err, &unreadable) {
			p.log.Emit(eventBadPolicy, sesamelog.Fields{
				"error": unreadable,
			})
			p.answered()
			p.keep(unreadable.Guard)
			continue
		}
		if err != nil {
			p.failed(err)
			retry.Wait(ctx)
			continue
		}
		retry.Reset()
		p.answered()
		if policy != nil {
			p.Offer(policy)
		}
	}
	return nil
}

// Offer puts the policy into force unless a newer one is. Where its row is the
// newest nevertheless, the policy in force stays so beside it.
func (p *Policies) Offer(policy *sesamework.Policy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.current.Load(); old != nil && old.Number >= policy.Number {
		if policy.Guard.Version > old.Guard.Version {
			p.replace(old.WithGuard(policy.Guard))
		}
		return
	}
	p.replace(policy)
	p.log.Emit(eventPolicy, sesamelog.Fields{
		"policy": policy.Number,
		"queues": len(policy.Queues),
		"teams":  len(policy.Teams),
	})
}

// keep leaves the policy in force beside a newer one that can't be read.
func (p *Policies) keep(guard sesamerows.Expect) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.current.Load(); old != nil {
		p.replace(old.WithGuard(guard))
	}
}

// replace wakes who waits for a change. The caller holds the lock.
func (p *Policies) replace(policy *sesamework.Policy) {
	p.current.Store(policy)
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Policies) answered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard = p.clock.Steady()
	if p.lost {
		p.lost = false
		p.log.Emit(eventStoreBack, nil)
	}
}

func (p *Policies) failed(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost {
		return
	}
	p.lost = true
	p.log.Emit(eventStoreLost, sesamelog.Fields{
		"error": err,
		"age":   p.clock.Steady() - p.heard,
	})
}

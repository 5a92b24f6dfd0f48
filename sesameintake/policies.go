package sesameintake

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesameclock"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// PolicyUpdate is what one reading of a PolicySource has found.
type PolicyUpdate struct {
	// Policy is a newer policy, nil when none came.
	Policy *sesamework.Policy
	// Evacuated are the zones that are evacuated, in order.
	Evacuated []string
	// ReadAt is when they were read, on the store's clock.
	ReadAt time.Duration
}

// PolicySource returns policies as they come into force.
type PolicySource interface {
	// Next waits a limited time for a newer policy or a change of the evacuated
	// zones. It returns an *UnreadablePolicyError when the newest policy can't be
	// read, with the evacuated zones, and another error when the store did not
	// answer.
	Next(ctx context.Context) (PolicyUpdate, error)
}

// Policies holds the newest policy that this process has read.
type Policies struct {
	source PolicySource
	clock  sesameclock.Clock
	log    *sesamelog.Logger

	// current is the policy in force, nil until the first was read.
	current atomic.Pointer[sesamework.Policy]
	// mu guards the fields below and changes of current.
	mu sync.Mutex
	// changed is closed and replaced at each change of the policy or of evacuated.
	changed chan struct{}
	// answeredAt is when the store last answered, on the steady clock. storeLost
	// is true from a failed call to the store until its next answer.
	answeredAt time.Duration
	storeLost  bool
	// evacuated are the evacuated zones as of evacuatedReadAt, on the store's
	// clock.
	evacuated       []string
	evacuatedReadAt time.Duration
}

// NewPolicies returns Policies that hold no policy until Run reads one.
func NewPolicies(source PolicySource, clock sesameclock.Clock, log *sesamelog.Logger) *Policies {
	return &Policies{
		source:     source,
		clock:      clock,
		log:        log,
		changed:    make(chan struct{}),
		answeredAt: -time.Hour,
	}
}

// Current returns the newest policy, or nil before the first was read.
func (p *Policies) Current() *sesamework.Policy {
	return p.current.Load()
}

// Changed returns a channel that is closed at the next change of the policy or of
// the evacuated zones.
func (p *Policies) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// Age returns how long ago the store last confirmed which policy is the newest;
// before its first answer that is at least an hour.
func (p *Policies) Age() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clock.Steady() - p.answeredAt
}

// Evacuations returns the evacuated zones as last read.
func (p *Policies) Evacuations() sesamework.Evacuations {
	p.mu.Lock()
	defer p.mu.Unlock()
	return sesamework.Evacuations{
		Zones:  p.evacuated,
		ReadAt: p.evacuatedReadAt,
		Age:    p.clock.Steady() - p.answeredAt,
	}
}

// setEvacuations stores the evacuated zones of an update, and wakes those who wait
// for a change of the policy if they differ from the ones before.
func (p *Policies) setEvacuations(update PolicyUpdate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuatedReadAt = update.ReadAt
	if slices.Equal(p.evacuated, update.Evacuated) {
		return
	}
	p.log.Emit(eventEvacuations, sesamelog.Fields{
		"zones":  update.Evacuated,
		"before": p.evacuated,
	})
	p.evacuated = update.Evacuated
	p.signalChange()
}

// isStoreLost reports whether the last call to the store failed.
func (p *Policies) isStoreLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.storeLost
}

// Run reads policies until ctx ends, and then returns nil; failed reads are
// retried.
func (p *Policies) Run(ctx context.Context) error {
	backoff := sesamerows.NewShortBackoff()
	for ctx.Err() == nil {
		update, err := p.source.Next(ctx)
		var unreadable *UnreadablePolicyError
		if errors.As(err, &unreadable) {
			p.log.Emit(eventBadPolicy, sesamelog.Fields{
				"error": unreadable,
			})
			p.storeAnswered()
			p.setEvacuations(update)
			p.keepCurrent(unreadable.Guard)
			continue
		}
		if err != nil {
			p.storeFailed(err)
			backoff.Wait(ctx)
			continue
		}
		backoff.Reset()
		p.storeAnswered()
		p.setEvacuations(update)
		if update.Policy != nil {
			p.SetIfNewer(update.Policy)
		}
	}
	return nil
}

// SetIfNewer puts the policy into force unless one with the same or a higher
// number is in force. If the given policy's row is nevertheless newer, the policy
// in force stays so under the newer row's guard (the condition that the row has
// not changed), so that transactions still succeed.
func (p *Policies) SetIfNewer(policy *sesamework.Policy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.current.Load(); old != nil && old.Number >= policy.Number {
		if policy.Guard.Version > old.Guard.Version {
			p.setCurrent(old.WithGuard(policy.Guard))
		}
		return
	}
	p.setCurrent(policy)
	p.log.Emit(eventPolicy, sesamelog.Fields{
		"policy": policy.Number,
		"queues": len(policy.Queues),
		"teams":  len(policy.Teams),
	})
}

// keepCurrent leaves the policy in force when a newer one can't be read, under
// the guard of the unreadable one.
func (p *Policies) keepCurrent(guard sesamerows.Expect) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.current.Load(); old != nil {
		p.setCurrent(old.WithGuard(guard))
	}
}

// setCurrent stores the policy and closes the channel that Changed returned. The
// caller holds the lock.
func (p *Policies) setCurrent(policy *sesamework.Policy) {
	p.current.Store(policy)
	p.signalChange()
}

// signalChange closes the channel that Changed returned. The caller holds the lock.
func (p *Policies) signalChange() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// storeAnswered notes that the store answered now, and logs the first answer
// after a failure.
func (p *Policies) storeAnswered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answeredAt = p.clock.Steady()
	if p.storeLost {
		p.storeLost = false
		p.log.Emit(eventStoreBack, nil)
	}
}

// storeFailed notes a failure of the store, and logs the first one in a row.
func (p *Policies) storeFailed(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.storeLost {
		return
	}
	p.storeLost = true
	p.log.Emit(eventStoreLost, sesamelog.Fields{
		"error": err,
		"age":   p.clock.Steady() - p.answeredAt,
	})
}

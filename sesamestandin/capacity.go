package sesamestandin

import (
	"time"

	"github.com/sesamestack/sesamestack/sesamework"
)

// capacityHistory holds what a target has offered during its life, the oldest
// first.
type capacityHistory []offeredCapacity

// offeredCapacity is what a target offers until the given time; the last entry
// of a capacityHistory has no such time.
type offeredCapacity struct {
	amount sesamework.Resources
	until  time.Time
}

// newCapacityHistory returns the history of a target that offers the amount.
func newCapacityHistory(amount sesamework.Resources) capacityHistory {
	return capacityHistory{{
		amount: amount,
	}}
}

// current returns what the target offers now.
func (h capacityHistory) current() sesamework.Resources {
	return h[len(h)-1].amount
}

// highestSince returns the highest amount of each resource that the target has
// offered since then.
func (h capacityHistory) highestSince(since time.Time) sesamework.Resources {
	highest := h.current()
	for _, offered := range h[:len(h)-1] {
		if offered.until.Before(since) {
			continue
		}
		highest.Cores = max(highest.Cores, offered.amount.Cores)
		highest.Memory = max(highest.Memory, offered.amount.Memory)
		highest.Accelerators = max(highest.Accelerators, offered.amount.Accelerators)
	}
	return highest
}

// SetCapacity changes what the target offers. What runs goes on.
func (t *LeasedTarget) SetCapacity(amount sesamework.Resources) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	t.capacity[len(t.capacity)-1].until = t.fleet.o.Clock.Now()
	t.capacity = append(t.capacity, newCapacityHistory(amount)...)
}

// Capacity returns what the target offers now, as its reports say.
func (t *LeasedTarget) Capacity() sesamework.Resources {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	return t.capacity.current()
}

// startLimit returns what a start may bring the target to: the highest capacity
// within ShrinkGrace, or of the whole life for an order that the target carries
// out late. The caller holds the lock.
func (t *LeasedTarget) startLimit() sesamework.Resources {
	if t.isLate {
		return t.capacity.highestSince(t.startedAt)
	}
	return t.capacity.highestSince(t.fleet.o.Clock.Now().Add(-t.fleet.o.ShrinkGrace))
}

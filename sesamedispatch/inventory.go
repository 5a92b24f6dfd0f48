package sesamedispatch

import (
	"context"
	"time"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamework"
)

const (
	// inventorySilence is how long a target may be silent before the platform's
	// inventory is asked whether the target still runs.
	inventorySilence = 1600 * time.Millisecond
	// inventoryInterval is the least time between two requests for the
	// inventory while targets are silent.
	inventoryInterval = time.Second
)

// inventory is the set of the IDs of all targets that ran when it was requested,
// at the time requestedAt on the steady clock.
type inventory struct {
	live        map[string]bool
	requestedAt time.Duration
}

// requestInventory requests the inventory while a target is silent, at most
// once each inventoryInterval. It doesn't block: if a request is pending
// already, it makes no other.
func (r *term) requestInventory() {
	now := r.o.Clock.Steady()
	if now-r.inventoryRequestedAt < inventoryInterval || !r.view.hasSilentTarget(now) {
		return
	}
	r.inventoryRequestedAt = now
	select {
	case r.inventoryRequests <- struct{}{}:
	default:
	}
}

// serveInventoryRequests reads the inventory whenever the planning loop
// requests it, and sends it back. It runs in its own goroutine, so that the
// loop doesn't wait for the platform. A failed read is logged and sends
// nothing. It returns the error of ctx when that ends.
func (r *term) serveInventoryRequests(ctx context.Context) error {
	for {
		select {
		case <-r.inventoryRequests:
		case <-ctx.Done():
			return ctx.Err()
		}
		requestedAt := r.o.Clock.Steady()
		live, err := r.o.Inventory.Live(ctx)
		if err != nil {
			r.o.Log.Emit(eventNoInventory, sesamelog.Fields{
				"error": err,
			})
			continue
		}
		select {
		case r.inventories <- inventory{
			live:        live,
			requestedAt: requestedAt,
		}:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// hasSilentTarget reports whether any target is silent; now is on the steady
// clock.
func (v *View) hasSilentTarget(now time.Duration) bool {
	for _, t := range v.targets {
		if t.isSilent(now) {
			return true
		}
	}
	return false
}

// isSilent reports whether the target's last report is older than
// inventorySilence, or the target does not answer its agent. It returns false
// for a target that is gone.
func (t *target) isSilent(now time.Duration) bool {
	return t.State != sesamework.TargetGone && (t.SilentFor > 0 || now-t.reportedAt >= inventorySilence)
}

// ApplyInventory marks the silent targets that are missing from the platform's
// inventory as removed: they run nothing any more. A target that has answered
// since the inventory was requested may have started after it was made, and is
// left alone.
func (v *View) ApplyInventory(i inventory) {
	for _, t := range v.targets {
		if t.isSilent(v.now.Steady) && t.answeredAt() <= i.requestedAt && !i.live[t.ID] {
			t.removed = true
		}
	}
}

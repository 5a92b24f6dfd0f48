package sesamedispatch

import (
	"context"
	"time"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamework"
)

const (
	// inventorySilence is how long a target may be silent before the inventory is
	// asked whether it still runs.
	inventorySilence = 1600 * time.Millisecond
	// inventoryInterval is how often the inventory is asked while targets are silent.
	inventoryInterval = time.Second
)

// requestInventory asks for the inventory while a target is silent.
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

// serveInventoryRequests answers the planning loop's questions.
func (r *term) serveInventoryRequests(ctx context.Context) error {
	for {
		select {
		case <-r.inventoryRequests:
		case <-ctx.Done():
			return ctx.Err()
		}
		live, err := r.o.Inventory.Live(ctx)
		if err != nil {
			r.o.Log.Emit(eventNoInventory, sesamelog.Fields{
				"error": err,
			})
			continue
		}
		select {
		case r.inventories <- live:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// hasSilentTarget reports whether a target has not reported for a while, or not
// answered its agent.
func (v *View) hasSilentTarget(now time.Duration) bool {
	for _, t := range v.targets {
		if t.isSilent(now) {
			return true
		}
	}
	return false
}

func (t *target) isSilent(now time.Duration) bool {
	return t.State != sesamework.TargetGone && (t.SilentFor > 0 || now-t.reportedAt >= inventorySilence)
}

// ApplyInventory takes the inventory: silent targets that are not in it run nothing.
func (v *View) ApplyInventory(live map[string]bool) {
	for _, t := range v.targets {
		if t.isSilent(v.now.Steady) && !live[t.ID] {
			t.removed = true
		}
	}
}

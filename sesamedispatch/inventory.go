package sesamedispatch

import (
	"context"
	"time"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamework"
)

const (
	// silenceToAsk is how long a target may be silent before the inventory is
	// asked whether it still runs.
	silenceToAsk = 1600 * time.Millisecond
	// askInterval is how often the inventory is asked while targets are silent.
	askInterval = time.Second
)

// ask asks for the inventory while a target is silent.
func (r *term) ask() {
	now := r.o.Clock.Steady()
	if now-r.asked < askInterval || !r.book.hasSilent(now) {
		return
	}
	r.asked = now
	select {
	case r.questions <- struct{}{}:
	default:
	}
}

// inquire answers the planning loop's questions.
func (r *term) inquire(ctx context.Context) error {
	for {
		select {
		case <-r.questions:
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
		case r.answers <- live:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// hasSilent reports whether a target has not reported for a while, or not
// answered its agent.
func (b *Book) hasSilent(now time.Duration) bool {
	for _, t := range b.targets {
		if t.isSilent(now) {
			return true
		}
	}
	return false
}

func (t *target) isSilent(now time.Duration) bool {
	return t.State != sesamework.TargetGone && (t.SilentFor > 0 || now-t.heard >= silenceToAsk)
}

// ObserveLive takes the inventory: silent targets that are not in it run nothing.
func (b *Book) ObserveLive(live map[string]bool) {
	for _, t := range b.targets {
		if t.isSilent(b.now.Steady) && !live[t.ID] {
			t.removed = true
		}
	}
}

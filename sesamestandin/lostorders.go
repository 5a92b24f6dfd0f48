package sesamestandin

import (
	"context"
	"time"
)

// deliver applies an order and returns the target's clock. An order whose
// answer is lost is applied after its delay, and the caller gets a
// *NoAnswerError once it gives up.
func (t *LeasedTarget) deliver(ctx context.Context, apply func() error) (time.Duration, error) {
	f := t.fleet
	if err := t.awaitReachable(ctx); err != nil {
		return 0, err
	}
	if late, lost := t.nextOrderLost(); lost {
		f.o.Clock.AfterFunc(late, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.advance()
			t.isLate = true
			defer func() { t.isLate = false }()
			if err := apply(); err != nil {
				// The target refused the delayed order.
				return
			}
		})
		<-ctx.Done()
		return 0, &NoAnswerError{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	err := apply()
	return t.localClock(f.o.Clock.Now()), err
}

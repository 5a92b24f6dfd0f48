package sesamestandin

import (
	"context"
	"time"
)

// SetLostOrders sets the function that chooses which later orders get no
// answer (lost), and the delay (late) after which the target carries such an
// order out nevertheless; nil means that every order is answered.
func (t *LeasedTarget) SetLostOrders(decide func() (late time.Duration, lost bool)) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	t.losesOrder = decide
}

// nextOrderLost returns the delay of the next order and whether its answer is
// lost, as losesOrder says; 0 and false without that function.
func (t *LeasedTarget) nextOrderLost() (time.Duration, bool) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	if t.losesOrder == nil {
		return 0, false
	}
	return t.losesOrder()
}

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

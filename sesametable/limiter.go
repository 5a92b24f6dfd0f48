package sesametable

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

const (
	// burstDivisor sets the burst: one eighth of a second's calls may be made at
	// once. The other calls are spread evenly over time, so that no second has
	// more calls than the rate.
	burstDivisor = 8
	// minShare is the smallest share of the configured rate that a client is ever
	// reduced to, and the share with which it starts after an outage.
	minShare = 0.1
	// recoveryGrowth and refusalGrowth are how much the share grows per second,
	// after an outage and after the platform refused a call because of its own
	// rate limit.
	recoveryGrowth = 0.45
	refusalGrowth  = 0.05
	// refusalFactor is what the share is multiplied by after a refusal.
	refusalFactor = 0.7
	// refusalWindow is how long after the share was last set refusals don't
	// reduce it: refusals within that time count as one.
	refusalWindow = 500 * time.Millisecond
	// maxLimiterWait is the longest that a call waits for the limiter; a call
	// that would wait longer fails at once.
	maxLimiterWait = 2 * time.Second
)

// adaptiveLimiter is a token-bucket rate limiter whose rate adapts. It allows a
// share of the configured rate, from minShare to 1: the share starts low after
// an outage, is reduced when the platform refuses calls because of its own
// limit, and then grows linearly.
type adaptiveLimiter struct {
	clock clockwork.Clock
	// rate is the steady rate at share 1, in calls per second, without the burst.
	rate float64

	mu sync.Mutex
	// limiter is nil when there is no limit.
	limiter *rate.Limiter
	// startShare is the share at rampStart, from which it grows by
	// growthPerSecond.
	startShare      float64
	growthPerSecond float64
	rampStart       time.Time
}

// newAdaptiveLimiter returns a limiter at share 1 that allows at most perSecond
// calls in any second; 0 means no limit.
func newAdaptiveLimiter(perSecond float64, clock clockwork.Clock) *adaptiveLimiter {
	burst := max(1, int(perSecond/burstDivisor))
	l := &adaptiveLimiter{
		clock:      clock,
		rate:       max(perSecond-float64(burst), perSecond/2),
		startShare: 1,
	}
	if perSecond > 0 {
		l.limiter = rate.NewLimiter(rate.Limit(l.rate), burst)
	}
	return l
}

// startRecovery lowers the share to its minimum, for the time after an outage.
func (l *adaptiveLimiter) startRecovery() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setRamp(minShare, recoveryGrowth)
}

// reduceShare lowers the share because the platform refused a call. It returns
// false, and changes nothing, when the share was set less than refusalWindow
// ago.
func (l *adaptiveLimiter) reduceShare() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if now.Sub(l.rampStart) < refusalWindow {
		return false
	}
	l.setRamp(max(minShare, l.shareAt(now)*refusalFactor), refusalGrowth)
	return true
}

// setRamp lets the share grow from start, by growth per second, from now on.
// The caller holds mu.
func (l *adaptiveLimiter) setRamp(start, growth float64) {
	l.startShare = start
	l.growthPerSecond = growth
	l.rampStart = l.clock.Now()
}

// charge counts cost calls that were already made against the rate, without
// waiting.
func (l *adaptiveLimiter) charge(cost int) {
	l.reserve(cost)
}

// wait blocks until the rate allows cost more calls. It returns an
// *UnavailableError for the operation, and counts nothing, when the wait would
// be longer than maxLimiterWait or ctx ends before.
func (l *adaptiveLimiter) wait(ctx context.Context, operation string, cost int) error {
	delay, cancel := l.reserve(cost)
	if delay == 0 {
		return nil
	}
	if delay > maxLimiterWait {
		cancel()
		return &UnavailableError{
			Operation:  operation,
			RetryAfter: delay,
			Cause: &ThrottledError{
				Limiter: "this process",
			},
		}
	}
	select {
	case <-l.clock.After(delay):
		return nil
	case <-ctx.Done():
		cancel()
		return &UnavailableError{
			Operation: operation,
			Cause:     ctx.Err(),
		}
	}
}

// reserve takes cost tokens. It returns the delay until the last of them is due,
// which is 0 for no tokens, and a function that gives them back. It takes them
// one by one, since a limiter grants no more than its burst in one reservation.
func (l *adaptiveLimiter) reserve(cost int) (delay time.Duration, cancel func()) {
	if l.limiter == nil || cost <= 0 {
		return 0, func() {}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.limiter.SetLimitAt(now, rate.Limit(l.rate*l.shareAt(now)))
	reservations := make([]*rate.Reservation, 0, cost)
	for range cost {
		reservations = append(reservations, l.limiter.ReserveN(now, 1))
	}
	cancel = func() {
		for i := len(reservations) - 1; i >= 0; i-- {
			reservations[i].CancelAt(now)
		}
	}
	return reservations[cost-1].DelayFrom(now), cancel
}

// shareAt returns the share of the rate that is allowed at that time, at most
// 1.
func (l *adaptiveLimiter) shareAt(now time.Time) float64 {
	return min(1, l.startShare+l.growthPerSecond*now.Sub(l.rampStart).Seconds())
}

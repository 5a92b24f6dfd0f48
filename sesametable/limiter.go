package sesametable

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

const (
	// burstDivisor is the part of a rate that may be spent at once; the rest
	// flows evenly, so that no second sees more than the rate.
	burstDivisor = 8
	// minShare is the least part of the rate that a client keeps, and with
	// which it begins after an outage.
	minShare = 0.1
	// recoveryGrowth and refusalGrowth are what the share gains in a second
	// after an outage and after the platform refused a call for its rate.
	recoveryGrowth = 0.45
	refusalGrowth  = 0.05
	// refusalFactor is the part of its share that a refused client keeps.
	refusalFactor = 0.7
	// refusalWindow is the time in which refusals count as one.
	refusalWindow = 500 * time.Millisecond
	// maxLimiterWait is the longest wait for a turn.
	maxLimiterWait = 2 * time.Second
)

// adaptiveLimiter is a rate limit that starts low after an outage and gives way when the
// platform refuses calls for its own rate.
type adaptiveLimiter struct {
	clock clockwork.Clock
	rate  float64

	mu      sync.Mutex
	limiter *rate.Limiter
	// startShare is the share at the time since; it grows from there.
	startShare      float64
	growthPerSecond float64
	rampStart       time.Time
}

// newAdaptiveLimiter allows perSecond calls in any second; 0 means no limit.
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

// startRecovery begins low after an outage.
func (l *adaptiveLimiter) startRecovery() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setRamp(minShare, recoveryGrowth)
}

// reduceShare lowers the share because the platform reduceShare a call; false means
// that it has just been lowered.
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

func (l *adaptiveLimiter) setRamp(start, growth float64) {
	l.startShare = start
	l.growthPerSecond = growth
	l.rampStart = l.clock.Now()
}

// charge counts calls that were made without waiting.
func (l *adaptiveLimiter) charge(cost int) {
	l.reserve(cost)
}

// wait returns when cost calls may be made, or an *UnavailableError when that
// is too far away.
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

// reserve takes cost turns one by one, since a limiter grants no more than
// its burst at once, and returns the time until the last.
func (l *adaptiveLimiter) reserve(cost int) (delay time.Duration, cancel func()) {
	if l.limiter == nil {
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

// shareAt returns the part of the rate that is allowed at that time.
func (l *adaptiveLimiter) shareAt(now time.Time) float64 {
	return min(1, l.startShare+l.growthPerSecond*now.Sub(l.rampStart).Seconds())
}

package sesametable

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

const (
	// burstPart is the part of a rate that may be spent at once; the rest
	// flows evenly, so that no second sees more than the rate.
	burstPart = 8
	// rampStart is the part of the rate that a recovering client begins with.
	rampStart = 0.1
	// ramp is the time from rampStart to the full rate.
	ramp = 5 * time.Second
	// maxQueueing is the longest wait for a turn.
	maxQueueing = 2 * time.Second
)

// pace is a rate limit that starts low again after an outage.
type pace struct {
	clock clockwork.Clock
	rate  float64

	mu        sync.Mutex
	limiter   *rate.Limiter
	restarted time.Time
}

// newPace allows perSecond calls in any second; 0 means no limit.
func newPace(perSecond float64, clock clockwork.Clock) *pace {
	burst := max(1, int(perSecond/burstPart))
	p := &pace{
		clock: clock,
		rate:  max(perSecond-float64(burst), perSecond/2),
	}
	if perSecond > 0 {
		p.limiter = rate.NewLimiter(rate.Limit(p.rate), burst)
	}
	return p
}

// restart begins the ramp anew.
func (p *pace) restart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.restarted = p.clock.Now()
}

// charge counts calls that were made without waiting.
func (p *pace) charge(cost int) {
	p.reserve(cost)
}

// wait returns when cost calls may be made, or an *UnavailableError when that
// is too far away.
func (p *pace) wait(ctx context.Context, operation string, cost int) error {
	delay, cancel := p.reserve(cost)
	if delay == 0 {
		return nil
	}
	if delay > maxQueueing {
		cancel()
		return &UnavailableError{
			Operation: operation,
			After:     delay,
			Cause: &ThrottledError{
				Limiter: "this process",
			},
		}
	}
	select {
	case <-p.clock.After(delay):
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
func (p *pace) reserve(cost int) (delay time.Duration, cancel func()) {
	if p.limiter == nil {
		return 0, func() {}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.limiter.SetLimitAt(now, rate.Limit(p.rate*p.share(now)))
	turns := make([]*rate.Reservation, 0, cost)
	for range cost {
		turns = append(turns, p.limiter.ReserveN(now, 1))
	}
	cancel = func() {
		for i := len(turns) - 1; i >= 0; i-- {
			turns[i].CancelAt(now)
		}
	}
	return turns[cost-1].DelayFrom(now), cancel
}

// share returns the part of the rate that is allowed at that time.
func (p *pace) share(now time.Time) float64 {
	since := now.Sub(p.restarted)
	if p.restarted.IsZero() || since >= ramp {
		return 1
	}
	return rampStart + (1-rampStart)*float64(since)/float64(ramp)
}

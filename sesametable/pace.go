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
	// minShare is the least part of the rate that a client keeps, and with
	// which it begins after an outage.
	minShare = 0.1
	// recoveryGrowth and refusalGrowth are what the share gains in a second
	// after an outage and after the platform refused a call for its rate.
	recoveryGrowth = 0.45
	refusalGrowth  = 0.05
	// refusalShare is the part of its share that a refused client keeps.
	refusalShare = 0.7
	// refusalPause is the time in which refusals count as one.
	refusalPause = 500 * time.Millisecond
	// maxQueueing is the longest wait for a turn.
	maxQueueing = 2 * time.Second
)

// pace is a rate limit that starts low after an outage and gives way when the
// platform refuses calls for its own rate.
type pace struct {
	clock clockwork.Clock
	rate  float64

	mu      sync.Mutex
	limiter *rate.Limiter
	// start is the share at the time since; it grows from there.
	start  float64
	growth float64
	since  time.Time
}

// newPace allows perSecond calls in any second; 0 means no limit.
func newPace(perSecond float64, clock clockwork.Clock) *pace {
	burst := max(1, int(perSecond/burstPart))
	p := &pace{
		clock: clock,
		rate:  max(perSecond-float64(burst), perSecond/2),
		start: 1,
	}
	if perSecond > 0 {
		p.limiter = rate.NewLimiter(rate.Limit(p.rate), burst)
	}
	return p
}

// restart begins low after an outage.
func (p *pace) restart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begin(minShare, recoveryGrowth)
}

// refused lowers the share because the platform refused a call; false means
// that it has just been lowered.
func (p *pace) refused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if now.Sub(p.since) < refusalPause {
		return false
	}
	p.begin(max(minShare, p.share(now)*refusalShare), refusalGrowth)
	return true
}

func (p *pace) begin(start, growth float64) {
	p.start = start
	p.growth = growth
	p.since = p.clock.Now()
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
	return min(1, p.start+p.growth*now.Sub(p.since).Seconds())
}

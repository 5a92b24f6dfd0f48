package sesametable

import (
	"context"
	"io"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sony/gobreaker/v2"
	"github.com/uber-go/tally/v4"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamesettings"
)

const (
	// breakerFailures is how many failed calls in a row open the circuit breaker.
	breakerFailures = 5
	// breakerCoolDown is the shortest time that the breaker stays open before one
	// call may try the platform again. A random jitter of up to the same length
	// is added.
	breakerCoolDown = time.Second
)

// Guard limits what one process asks of the platform: it adds a circuit
// breaker, rate limits, a deadline for each attempt, and metrics to a table and
// an object store. It makes each call once.
type Guard struct {
	table   Table
	objects Objects
	// timeout bounds a single attempt.
	timeout      time.Duration
	clock        clockwork.Clock
	scope        tally.Scope
	log          *sesamelog.Logger
	readLimiter  *adaptiveLimiter
	writeLimiter *adaptiveLimiter
	breaker      *gobreaker.CircuitBreaker[struct{}]
}

var (
	_ Table   = (*Guard)(nil)
	_ Objects = (*Guard)(nil)
)

// NewGuard wraps table and objects with the timeout and the rates (calls per
// second) of the platform's settings. No argument may be nil.
func NewGuard(table Table, objects Objects, settings sesamesettings.Platform, clock clockwork.Clock, scope tally.Scope, log *sesamelog.Logger) *Guard {
	g := &Guard{
		table:        table,
		objects:      objects,
		timeout:      settings.CallTimeout,
		clock:        clock,
		scope:        scope.SubScope("platform"),
		log:          log,
		readLimiter:  newAdaptiveLimiter(settings.ReadsPerSecond, clock),
		writeLimiter: newAdaptiveLimiter(settings.WritesPerSecond, clock),
	}
	g.breaker = gobreaker.NewCircuitBreaker[struct{}](gobreaker.Settings{
		Name:    "platform",
		Timeout: breakerCoolDown + rand.N(breakerCoolDown),
		ReadyToTrip: func(c gobreaker.Counts) bool {
			return c.ConsecutiveFailures >= breakerFailures
		},
		OnStateChange: g.breakerChanged,
		IsSuccessful:  isServed,
		IsExcluded:    isExcluded,
	})
	return g
}

// breakerChanged logs a state change of the circuit breaker. When the breaker
// closes, the rate limits start low, so that the platform isn't overloaded as
// soon as it is back.
func (g *Guard) breakerChanged(_ string, from, to gobreaker.State) {
	if to == gobreaker.StateClosed {
		g.readLimiter.startRecovery()
		g.writeLimiter.startRecovery()
	}
	g.log.Emit(eventBreakerState, sesamelog.Fields{
		"from": from.String(),
		"to":   to.String(),
	})
	g.scope.Gauge("breaker").Update(float64(to))
}

// isServed reports whether the platform answered the call, also with a conflict
// or another refusal. Only other errors count as failures for the breaker.
func isServed(err error) bool {
	return err == nil || isDefinite(err)
}

// isExcluded reports whether an error says nothing about the platform's health,
// so that the circuit breaker ignores it: a rate limit or a cancelled caller.
func isExcluded(err error) bool {
	var unknown *OutcomeUnknownError
	if errors.As(err, &unknown) {
		err = unknown.Cause
	}
	return isA[*ThrottledError](err) || errors.Is(err, context.Canceled)
}

// Get reads one row as Table.Get does, in one attempt. It counts as one read.
func (g *Guard) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := g.call(ctx, "get", g.readLimiter, 1, func(ctx context.Context) error {
		var err error
		row, err = g.table.Get(ctx, key)
		return err
	})
	return row, err
}

// Scan reads rows as Table.Scan does, in one attempt. It counts as one read for
// each started RowsPerRead rows returned, and as one when there are none. The
// number is known only afterwards, so the reads beyond the first are charged
// then.
func (g *Guard) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var rows []Row
	err := g.call(ctx, "scan", g.readLimiter, 1, func(ctx context.Context) error {
		var err error
		rows, err = g.table.Scan(ctx, prefix, after, limit)
		return err
	})
	if more := readsForRows(len(rows)) - 1; more > 0 {
		g.readLimiter.charge(more)
	}
	return rows, err
}

// RowsPerRead is how many rows of a scan count as one read against the rate.
const RowsPerRead = 100

// readsForRows returns how many reads a scan with that many rows in its result
// counts as.
func readsForRows(rows int) int {
	return max(1, (rows+RowsPerRead-1)/RowsPerRead)
}

// Commit tries the transaction once. It counts as one write for each row that
// it puts or deletes.
func (g *Guard) Commit(ctx context.Context, t Transaction) error {
	return g.call(ctx, "commit", g.writeLimiter, len(t.Puts)+len(t.Deletes), func(ctx context.Context) error {
		return g.table.Commit(ctx, t)
	})
}

// PutObject stores an object as Objects.PutObject does, in one attempt.
func (g *Guard) PutObject(ctx context.Context, key string, body []byte) error {
	return g.call(ctx, "putobject", g.writeLimiter, 1, func(ctx context.Context) error {
		return g.objects.PutObject(ctx, key, body)
	})
}

// GetObject opens an object as Objects.GetObject does, in one attempt. The
// deadline bounds the time until the object is open, not the time to read it.
func (g *Guard) GetObject(ctx context.Context, key string) (io.ReadCloser, int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	var body io.ReadCloser
	var length int64
	err := g.call(ctx, "getobject", g.readLimiter, 1, func(context.Context) error {
		var err error
		deadline := g.clock.AfterFunc(g.timeout, cancel)
		defer deadline.Stop()
		body, length, err = g.objects.GetObject(ctx, key)
		return err
	})
	if err != nil {
		cancel()
		return nil, 0, err
	}
	return &openObject{
		ReadCloser: body,
		cancel:     cancel,
	}, length, nil
}

// openObject cancels the context of its HTTP call when it is closed. The call
// stays open while the caller reads.
type openObject struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the reader and cancels the call.
func (o *openObject) Close() error {
	defer o.cancel()
	return o.ReadCloser.Close()
}

// call makes one attempt that counts as cost reads or writes, which must be 1 or
// more. While the circuit breaker is open it fails at once; otherwise it first
// waits for the rate limit.
func (g *Guard) call(ctx context.Context, operation string, limiter *adaptiveLimiter, cost int, attempt func(context.Context) error) error {
	if g.breaker.State() == gobreaker.StateOpen {
		return g.breakerOpen(operation)
	}
	if err := limiter.wait(ctx, operation, cost); err != nil {
		return err
	}
	_, err := g.breaker.Execute(func() (struct{}, error) {
		return struct{}{}, g.attemptOnce(ctx, operation, attempt)
	})
	if errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests) {
		return g.breakerOpen(operation)
	}
	if isA[*ThrottledError](err) {
		g.reduceRate(operation, limiter)
	}
	return err
}

// reduceRate lowers the rate of the limiter after the platform refused a call,
// and logs it; refusals in quick succession count as one.
func (g *Guard) reduceRate(operation string, limiter *adaptiveLimiter) {
	if !limiter.reduceShare() {
		return
	}
	g.log.Emit(eventThrottled, sesamelog.Fields{
		"operation": operation,
	})
}

// breakerOpen counts a call that the open circuit breaker rejects, and returns
// its error.
func (g *Guard) breakerOpen(operation string) error {
	g.scope.Tagged(map[string]string{
		"operation": operation,
	}).Counter("refused").Inc(1)
	return &UnavailableError{
		Operation:  operation,
		RetryAfter: breakerCoolDown,
		Cause: &BreakerOpenError{
			Service: "platform",
		},
	}
}

// attemptOnce runs the attempt with a deadline, and records its latency and
// whether it failed.
func (g *Guard) attemptOnce(ctx context.Context, operation string, attempt func(context.Context) error) error {
	ctx, cancel := clockwork.WithTimeout(ctx, g.clock, g.timeout)
	defer cancel()
	scope := g.scope.Tagged(map[string]string{
		"operation": operation,
	})
	started := g.clock.Now()
	err := attempt(ctx)
	scope.Histogram("latency", latencyBuckets).RecordDuration(g.clock.Since(started))
	if !isServed(err) {
		scope.Counter("failed").Inc(1)
	}
	return err
}

// latencyBuckets are histogram bounds that double from 1 ms to about 8 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

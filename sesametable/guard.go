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
	// breakerFailures in a row open the breaker.
	breakerFailures = 5
	// breakerCoolDown is how long the breaker stays open before one call may
	// try the platform again; up to as much again is added at random.
	breakerCoolDown = time.Second
)

// Guard bounds what one process asks of the platform: a circuit breaker, rate
// limits, a deadline for each attempt, and metrics.
type Guard struct {
	table        Table
	objects      Objects
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

// NewGuard guards table and objects by those settings.
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

// isServed reports whether the platform answered, whatever the answer.
func isServed(err error) bool {
	return err == nil || isDefinite(err)
}

// isExcluded reports whether an error says nothing about the platform.
func isExcluded(err error) bool {
	var unknown *OutcomeUnknownError
	if errors.As(err, &unknown) {
		err = unknown.Cause
	}
	return isA[*ThrottledError](err) || errors.Is(err, context.Canceled)
}

// Get reads one row; see Table.
func (g *Guard) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := g.call(ctx, "get", g.readLimiter, 1, func(ctx context.Context) error {
		var err error
		row, err = g.table.Get(ctx, key)
		return err
	})
	return row, err
}

// Scan reads rows; see Table. It counts as one read for each started
// RowsPerRead rows that it may return.
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

// RowsPerRead is how many rows of a scan count as one read.
const RowsPerRead = 100

// readsForRows returns what a scan of that many rows counts.
func readsForRows(rows int) int {
	return max(1, (rows+RowsPerRead-1)/RowsPerRead)
}

// Commit tries the transaction once; see Table.
func (g *Guard) Commit(ctx context.Context, t Transaction) error {
	return g.call(ctx, "commit", g.writeLimiter, len(t.Puts)+len(t.Deletes), func(ctx context.Context) error {
		return g.table.Commit(ctx, t)
	})
}

// PutObject stores an object; see Objects.
func (g *Guard) PutObject(ctx context.Context, key string, body []byte) error {
	return g.call(ctx, "putobject", g.writeLimiter, 1, func(ctx context.Context) error {
		return g.objects.PutObject(ctx, key, body)
	})
}

// GetObject opens an object; see Objects. The deadline bounds the time until
// the object is open, not the reading of it.
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

// openObject ends its call when it is closed.
type openObject struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the object.
func (o *openObject) Close() error {
	defer o.cancel()
	return o.ReadCloser.Close()
}

// call makes one attempt that counts as cost reads or writes.
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

func (g *Guard) reduceRate(operation string, limiter *adaptiveLimiter) {
	if !limiter.reduceShare() {
		return
	}
	g.log.Emit(eventThrottled, sesamelog.Fields{
		"operation": operation,
	})
}

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

// latencyBuckets run from 1 ms to about 8 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

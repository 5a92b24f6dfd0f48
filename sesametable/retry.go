package sesametable

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/jonboulle/clockwork"

	"github.com/sesamestack/sesamestack/sesamelog"
)

const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// maxHistories bounds the rows whose tokens a process remembers.
	maxHistories = 4096

	// DefaultRetryTimeout is how long a call that had no effect is repeated.
	DefaultRetryTimeout = 6 * time.Second
	// DefaultResolutionTimeout is how long a write with a lost answer is followed.
	DefaultResolutionTimeout = 20 * time.Second
)

// RetryOptions bound how long a Retrying table tries.
type RetryOptions struct {
	Clock clockwork.Clock
	Log   *sesamelog.Logger
	// RetryTimeout and Resolution; 0 means the defaults. A call's context may
	// end it sooner. A commit that has to read rows back after it got its
	// answer may take twice Resolution.
	RetryTimeout      time.Duration
	ResolutionTimeout time.Duration
}

// RetryingTable repeats calls to a table whose calls may fail or lose their
// answers. It keeps its own values in the rows, so every writer of a table
// must go through one.
type RetryingTable struct {
	raw       Table
	options   RetryOptions
	histories *lru.Cache[string, writeHistory]
}

var _ Table = (*RetryingTable)(nil)

// NewRetryingTable wraps raw, whose Commit may return an *OutcomeUnknownError for
// a single attempt.
func NewRetryingTable(raw Table, o RetryOptions) *RetryingTable {
	if o.Log == nil {
		o.Log = sesamelog.Discard()
	}
	if o.RetryTimeout == 0 {
		o.RetryTimeout = DefaultRetryTimeout
	}
	if o.ResolutionTimeout == 0 {
		o.ResolutionTimeout = DefaultResolutionTimeout
	}
	histories, err := lru.New[string, writeHistory](maxHistories)
	if err != nil {
		panic(err)
	}
	return &RetryingTable{
		raw:       raw,
		options:   o,
		histories: histories,
	}
}

// Get returns the row as Table.Get does; it repeats a failed read.
func (r *RetryingTable) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := r.retry(ctx, r.standardBudget(), func() error {
		var err error
		row, err = r.raw.Get(ctx, key)
		return err
	})
	if err != nil {
		return Row{}, err
	}
	return r.decode(row)
}

// Scan returns rows as Table.Scan does; it repeats a failed read.
func (r *RetryingTable) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var rows []Row
	err := r.retry(ctx, r.standardBudget(), func() error {
		var err error
		rows, err = r.raw.Scan(ctx, prefix, after, limit)
		return err
	})
	if err != nil {
		return nil, err
	}
	opened := make([]Row, 0, len(rows))
	for _, row := range rows {
		row, err := r.decode(row)
		if err != nil {
			return nil, err
		}
		opened = append(opened, row)
	}
	return opened, nil
}

func (r *RetryingTable) decode(row Row) (Row, error) {
	row, h, err := decodeEnvelope(row)
	if err != nil {
		return Row{}, err
	}
	r.histories.Add(row.Key, h)
	return row, nil
}

// Commit applies the transaction as Table.Commit says, and repeats it until
// its outcome is known or the time for that is over.
func (r *RetryingTable) Commit(ctx context.Context, t Transaction) error {
	if len(t.Puts) == 0 {
		return &InvalidError{
			Operation: "commit",
			Detail:    "transaction has no put",
		}
	}
	w, err := r.encodeWrite(ctx, t)
	if err != nil {
		return err
	}
	err = r.commitUntilKnown(ctx, w)
	if err == nil {
		r.cacheHistories(w)
	}
	return err
}

// encodedWrite is one transaction with all that settles its outcome.
type encodedWrite struct {
	token       uuid.UUID
	transaction Transaction
	// histories of the rows put, as they are before the write.
	histories map[string]writeHistory
}

// encodeWrite seals the values with the token and the tokens of earlier writes.
func (r *RetryingTable) encodeWrite(ctx context.Context, t Transaction) (encodedWrite, error) {
	w := encodedWrite{
		token:     uuid.New(),
		histories: make(map[string]writeHistory, len(t.Puts)),
	}
	w.transaction = Transaction{
		Checks:  t.Checks,
		Deletes: t.Deletes,
		Puts:    make([]Put, 0, len(t.Puts)),
	}
	for _, p := range t.Puts {
		h, err := r.historyAtVersion(ctx, p.Key, p.Version)
		if err != nil {
			return encodedWrite{}, err
		}
		value, err := encodeEnvelope(h.withToken(w.token), p.Value)
		if err != nil {
			return encodedWrite{}, &EnvelopeError{
				Key:   p.Key,
				Cause: err,
			}
		}
		w.histories[p.Key] = h
		w.transaction.Puts = append(w.transaction.Puts, Put{
			Key:     p.Key,
			Version: p.Version,
			Value:   value,
		})
	}
	return w, nil
}

// historyAtVersion returns the tokens of the row at that version; it reads the row
// when they are not known, and returns a *ConflictError when the row has
// another version by now.
func (r *RetryingTable) historyAtVersion(ctx context.Context, key string, version uint64) (writeHistory, error) {
	if version == 0 {
		return writeHistory{}, nil
	}
	if h, ok := r.histories.Get(key); ok && h.version == version {
		return h, nil
	}
	row, err := r.Get(ctx, key)
	if err != nil && !isA[*NotFoundError](err) {
		return writeHistory{}, err
	}
	if row.Version != version {
		return writeHistory{}, &ConflictError{
			Key:      key,
			Expected: version,
			Found:    row.Version,
		}
	}
	h, _ := r.histories.Get(key)
	return h, nil
}

func (r *RetryingTable) cacheHistories(w encodedWrite) {
	for key, h := range w.histories {
		if h.version == 0 {
			continue
		}
		r.histories.Add(key, h.withToken(w.token))
	}
}

// commitUntilKnown repeats the sealed transaction until its outcome is known.
func (r *RetryingTable) commitUntilKnown(ctx context.Context, w encodedWrite) error {
	lost := false
	budget := r.standardBudget()
	started := r.options.Clock.Now()
	intervals := newBackoff()
	for {
		err := r.raw.Commit(ctx, w.transaction)
		if isA[*OutcomeUnknownError](err) && !lost {
			lost = true
			budget = r.resolutionBudget()
			r.emit(eventAnswerLost, w, err)
		}
		if !lost && (!isA[*UnavailableError](err) || isA[*BreakerOpenError](err)) {
			return err
		}
		if lost && isDefinite(err) {
			return r.resolveOutcome(ctx, w, err)
		}
		left := budget.timeout - r.options.Clock.Since(started)
		if !r.waitBackoff(ctx, intervals, err, left) {
			return r.giveUp(w, lost, err)
		}
	}
}

func (r *RetryingTable) giveUp(w encodedWrite, lost bool, err error) error {
	if !lost {
		return err
	}
	r.emit(eventOutcomeUnknown, w, err)
	return &OutcomeUnknownError{
		Operation: "commit",
		Cause:     err,
	}
}

// retryBudget says how long a call is repeated.
type retryBudget struct {
	timeout time.Duration
	// ignoreBreaker efforts go on while the circuit breaker is open.
	ignoreBreaker bool
}

// standardBudget is the effort for calls that had no effect.
func (r *RetryingTable) standardBudget() retryBudget {
	return retryBudget{
		timeout: r.options.RetryTimeout,
	}
}

// resolutionBudget is the effort for finding out about a write.
func (r *RetryingTable) resolutionBudget() retryBudget {
	return retryBudget{
		timeout:       r.options.ResolutionTimeout,
		ignoreBreaker: true,
	}
}

// retry calls read until it gets an answer or the effort is over.
func (r *RetryingTable) retry(ctx context.Context, budget retryBudget, call func() error) error {
	started := r.options.Clock.Now()
	intervals := newBackoff()
	for {
		err := call()
		if !isA[*UnavailableError](err) {
			return err
		}
		if isA[*BreakerOpenError](err) && !budget.ignoreBreaker {
			return err
		}
		left := budget.timeout - r.options.Clock.Since(started)
		if !r.waitBackoff(ctx, intervals, err, left) {
			return err
		}
	}
}

// waitBackoff waits before the next attempt; false means that the time is over.
func (r *RetryingTable) waitBackoff(ctx context.Context, intervals *backoff.ExponentialBackOff, err error, left time.Duration) bool {
	wait := intervals.NextBackOff()
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		wait = max(wait, unavailable.RetryAfter)
	}
	if wait > left {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-r.options.Clock.After(wait):
		return ctx.Err() == nil
	}
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstBackoff
	b.MaxInterval = maxBackoff
	return b
}

func (r *RetryingTable) emit(e sesamelog.Event, w encodedWrite, err error) {
	r.options.Log.Emit(e, sesamelog.Fields{
		"key":   w.transaction.Puts[0].Key,
		"token": w.token,
		"error": err,
	})
}

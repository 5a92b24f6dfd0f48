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
	// firstBackoff and maxBackoff bound the exponential back-off between
	// attempts.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// maxHistories bounds the cache of write histories, one per row.
	maxHistories = 4096

	// DefaultRetryTimeout is how long a call that had no effect is retried.
	DefaultRetryTimeout = 6 * time.Second
	// DefaultResolutionTimeout is how long a write whose answer was lost is
	// repeated to find out its outcome.
	DefaultResolutionTimeout = 20 * time.Second
)

// RetryOptions bounds how long a RetryingTable retries.
type RetryOptions struct {
	// Clock is the time source; it must be set.
	Clock clockwork.Clock
	// Log records the events; nil discards them.
	Log *sesamelog.Logger
	// RetryTimeout is how long a call that had no effect is retried; 0 means
	// DefaultRetryTimeout. The call's context may end it sooner.
	RetryTimeout time.Duration
	// ResolutionTimeout is how long a write whose answer was lost is repeated;
	// 0 means DefaultResolutionTimeout. If it then meets a conflict, each row
	// that it puts is read back within the same time once more. The call's
	// context may end it sooner.
	ResolutionTimeout time.Duration
}

// RetryingTable retries the calls of a table that may fail or lose their
// answers. To recognise its own writes after a lost answer it stores an
// envelope with tokens around each row's value, so every writer of a table must
// go through a RetryingTable.
type RetryingTable struct {
	// raw makes single attempts, on rows with envelopes.
	raw     Table
	options RetryOptions
	// histories caches the write history of rows that were read or written.
	histories *lru.Cache[string, writeHistory]
}

var _ Table = (*RetryingTable)(nil)

// NewRetryingTable wraps raw, whose calls are single attempts: its Commit may
// return an *OutcomeUnknownError.
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

// Get returns the row as Table.Get does, and retries while the platform is
// unavailable.
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

// Scan returns rows as Table.Scan does, and retries while the platform is
// unavailable.
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

// decode takes a row out of its envelope and caches its write history.
func (r *RetryingTable) decode(row Row) (Row, error) {
	row, h, err := decodeEnvelope(row)
	if err != nil {
		return Row{}, err
	}
	r.histories.Add(row.Key, h)
	return row, nil
}

// Commit applies the transaction as Table.Commit says. It repeats the
// transaction until its outcome is known or the timeouts of RetryOptions are
// over. A transaction without a put is an *InvalidError.
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

// encodedWrite is one transaction as it is sent, with what is needed to find
// out its outcome later.
type encodedWrite struct {
	// token marks this write in the envelope of each row that it puts.
	token       uuid.UUID
	transaction Transaction
	// histories has, by key, the write history of each row put as it is before
	// the write.
	histories map[string]writeHistory
}

// encodeWrite gives the transaction a new write token and wraps each value in an
// envelope with that token and those of the row's earlier writes. It reads rows
// whose history isn't cached, and returns a *ConflictError if one no longer has
// the expected version.
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

// historyAtVersion returns the write history of the row at that version; it is
// empty for version 0. It reads the row when the history isn't cached, and
// returns a *ConflictError when the row has another version by now.
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

// cacheHistories caches the histories of the rows put, as they are after the
// write. It leaves out rows that the write created: their version isn't known,
// since the key may have existed before.
func (r *RetryingTable) cacheHistories(w encodedWrite) {
	for key, h := range w.histories {
		if h.version == 0 {
			continue
		}
		r.histories.Add(key, h.withToken(w.token))
	}
}

// commitUntilKnown repeats the same transaction until its outcome is known.
// Before an answer is lost it retries within the standard budget and stops at
// an open circuit breaker; afterwards it goes on within the resolution budget.
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

// giveUp returns the error of a write whose time is over: err itself if no
// answer was lost, and otherwise an *OutcomeUnknownError.
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

// retryBudget says how long a call is retried.
type retryBudget struct {
	// timeout counts from the first attempt.
	timeout time.Duration
	// ignoreBreaker continues to retry while the circuit breaker is open.
	ignoreBreaker bool
}

// standardBudget is the budget for reads and for calls that had no effect.
func (r *RetryingTable) standardBudget() retryBudget {
	return retryBudget{
		timeout: r.options.RetryTimeout,
	}
}

// resolutionBudget is the budget for finding out the outcome of a write whose
// answer was lost.
func (r *RetryingTable) resolutionBudget() retryBudget {
	return retryBudget{
		timeout:       r.options.ResolutionTimeout,
		ignoreBreaker: true,
	}
}

// retry repeats call with back-off while it returns an *UnavailableError, until
// the budget is used up, and returns the last error. An open circuit breaker
// ends it at once unless the budget ignores the breaker.
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

// waitBackoff waits before the next attempt, at least as long as the platform
// asked for in err, the error of the last attempt. It returns false, at once,
// when the wait would exceed left, the time that remains, or when ctx ends.
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

// newBackoff returns the waits between the attempts of one call: they begin at
// about firstBackoff and grow exponentially, with jitter, up to maxBackoff.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstBackoff
	b.MaxInterval = maxBackoff
	return b
}

// emit logs an event of the write, under the key of its first put.
func (r *RetryingTable) emit(e sesamelog.Event, w encodedWrite, err error) {
	r.options.Log.Emit(e, sesamelog.Fields{
		"key":   w.transaction.Puts[0].Key,
		"token": w.token,
		"error": err,
	})
}

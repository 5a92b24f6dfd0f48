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

	// DefaultPatience is how long a call that had no effect is repeated.
	DefaultPatience = 6 * time.Second
	// DefaultResolution is how long a write with a lost answer is followed.
	DefaultResolution = 20 * time.Second
)

// RetryOptions bound how long a Retrying table tries.
type RetryOptions struct {
	Clock clockwork.Clock
	Log   *sesamelog.Logger
	// Patience and Resolution; 0 means the defaults. A call's context may
	// end it sooner. A commit that has to read rows back after it got its
	// answer may take twice Resolution.
	Patience   time.Duration
	Resolution time.Duration
}

// Retrying repeats calls to a table whose calls may fail or lose their
// answers. It keeps its own values in the rows, so every writer of a table
// must go through one.
type Retrying struct {
	raw       Table
	options   RetryOptions
	histories *lru.Cache[string, history]
}

var _ Table = (*Retrying)(nil)

// NewRetrying wraps raw, whose Commit may return an *OutcomeUnknownError for
// a single attempt.
func NewRetrying(raw Table, o RetryOptions) *Retrying {
	if o.Log == nil {
		o.Log = sesamelog.Discard()
	}
	if o.Patience == 0 {
		o.Patience = DefaultPatience
	}
	if o.Resolution == 0 {
		o.Resolution = DefaultResolution
	}
	histories, err := lru.New[string, history](maxHistories)
	if err != nil {
		panic(err)
	}
	return &Retrying{
		raw:       raw,
		options:   o,
		histories: histories,
	}
}

// Get returns the row as Table.Get does; it repeats a failed read.
func (r *Retrying) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := r.repeat(ctx, r.ordinary(), func() error {
		var err error
		row, err = r.raw.Get(ctx, key)
		return err
	})
	if err != nil {
		return Row{}, err
	}
	return r.open(row)
}

// Scan returns rows as Table.Scan does; it repeats a failed read.
func (r *Retrying) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var rows []Row
	err := r.repeat(ctx, r.ordinary(), func() error {
		var err error
		rows, err = r.raw.Scan(ctx, prefix, after, limit)
		return err
	})
	if err != nil {
		return nil, err
	}
	opened := make([]Row, 0, len(rows))
	for _, row := range rows {
		row, err := r.open(row)
		if err != nil {
			return nil, err
		}
		opened = append(opened, row)
	}
	return opened, nil
}

func (r *Retrying) open(row Row) (Row, error) {
	row, h, err := open(row)
	if err != nil {
		return Row{}, err
	}
	r.histories.Add(row.Key, h)
	return row, nil
}

// Commit applies the transaction as Table.Commit says, and repeats it until
// its outcome is known or the time for that is over.
func (r *Retrying) Commit(ctx context.Context, t Transaction) error {
	if len(t.Puts) == 0 {
		return &InvalidError{
			Operation: "commit",
			Detail:    "transaction has no put",
		}
	}
	w, err := r.prepare(ctx, t)
	if err != nil {
		return err
	}
	err = r.attempt(ctx, w)
	if err == nil {
		r.remember(w)
	}
	return err
}

// write is one transaction with all that settles its outcome.
type write struct {
	token  uuid.UUID
	sealed Transaction
	// histories of the rows put, as they are before the write.
	histories map[string]history
}

// prepare seals the values with the token and the tokens of earlier writes.
func (r *Retrying) prepare(ctx context.Context, t Transaction) (write, error) {
	w := write{
		token:     uuid.New(),
		histories: make(map[string]history, len(t.Puts)),
	}
	w.sealed = Transaction{
		Checks:  t.Checks,
		Deletes: t.Deletes,
		Puts:    make([]Put, 0, len(t.Puts)),
	}
	for _, p := range t.Puts {
		h, err := r.historyAt(ctx, p.Key, p.Version)
		if err != nil {
			return write{}, err
		}
		value, err := seal(h.after(w.token), p.Value)
		if err != nil {
			return write{}, &EnvelopeError{
				Key:   p.Key,
				Cause: err,
			}
		}
		w.histories[p.Key] = h
		w.sealed.Puts = append(w.sealed.Puts, Put{
			Key:     p.Key,
			Version: p.Version,
			Value:   value,
		})
	}
	return w, nil
}

// historyAt returns the tokens of the row at that version; it reads the row
// when they are not known, and returns a *ConflictError when the row has
// another version by now.
func (r *Retrying) historyAt(ctx context.Context, key string, version uint64) (history, error) {
	if version == 0 {
		return history{}, nil
	}
	if h, ok := r.histories.Get(key); ok && h.version == version {
		return h, nil
	}
	row, err := r.Get(ctx, key)
	if err != nil && !isA[*NotFoundError](err) {
		return history{}, err
	}
	if row.Version != version {
		return history{}, &ConflictError{
			Key:      key,
			Expected: version,
			Found:    row.Version,
		}
	}
	h, _ := r.histories.Get(key)
	return h, nil
}

func (r *Retrying) remember(w write) {
	for key, h := range w.histories {
		if h.version == 0 {
			continue
		}
		r.histories.Add(key, h.after(w.token))
	}
}

// attempt repeats the sealed transaction until its outcome is known.
func (r *Retrying) attempt(ctx context.Context, w write) error {
	lost := false
	e := r.ordinary()
	started := r.options.Clock.Now()
	waits := newBackoff()
	for {
		err := r.raw.Commit(ctx, w.sealed)
		if isA[*OutcomeUnknownError](err) && !lost {
			lost = true
			e = r.persistent()
			r.emit(eventLost, w, err)
		}
		if !lost && (!isA[*UnavailableError](err) || isA[*BreakerOpenError](err)) {
			return err
		}
		if lost && isDefinite(err) {
			return r.settle(ctx, w, err)
		}
		left := e.limit - r.options.Clock.Since(started)
		if !r.pause(ctx, waits, err, left) {
			return r.giveUp(w, lost, err)
		}
	}
}

func (r *Retrying) giveUp(w write, lost bool, err error) error {
	if !lost {
		return err
	}
	r.emit(eventUnknown, w, err)
	return &OutcomeUnknownError{
		Operation: "commit",
		Cause:     err,
	}
}

// effort says how long a call is repeated.
type effort struct {
	limit time.Duration
	// persistent efforts go on while the circuit breaker is open.
	persistent bool
}

// ordinary is the effort for calls that had no effect.
func (r *Retrying) ordinary() effort {
	return effort{
		limit: r.options.Patience,
	}
}

// persistent is the effort for finding out about a write.
func (r *Retrying) persistent() effort {
	return effort{
		limit:      r.options.Resolution,
		persistent: true,
	}
}

// repeat calls read until it gets an answer or the effort is over.
func (r *Retrying) repeat(ctx context.Context, e effort, read func() error) error {
	started := r.options.Clock.Now()
	waits := newBackoff()
	for {
		err := read()
		if !isA[*UnavailableError](err) {
			return err
		}
		if isA[*BreakerOpenError](err) && !e.persistent {
			return err
		}
		left := e.limit - r.options.Clock.Since(started)
		if !r.pause(ctx, waits, err, left) {
			return err
		}
	}
}

// pause waits before the next attempt; false means that the time is over.
func (r *Retrying) pause(ctx context.Context, waits *backoff.ExponentialBackOff, err error, left time.Duration) bool {
	wait := waits.NextBackOff()
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		wait = max(wait, unavailable.After)
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

func (r *Retrying) emit(e sesamelog.Event, w write, err error) {
	r.options.Log.Emit(e, sesamelog.Fields{
		"key":   w.sealed.Puts[0].Key,
		"token": w.token,
		"error": err,
	})
}

package sesamecontract

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// Source reads the log of accepted changes of contracts. *sesamestore.Store is
// one.
type Source interface {
	// ContractNumber returns the number of the newest accepted change.
	ContractNumber(ctx context.Context) (uint64, error)
	// TeamChanges returns the newest change of every team, and the number of
	// the newest change as it was read before them.
	TeamChanges(ctx context.Context) ([]sesamemodel.Change, uint64, error)
	// ChangesSince returns the changes with a higher number, in their order.
	ChangesSince(ctx context.Context, number uint64) ([]sesamemodel.Change, error)
}

const (
	// defaultPollInterval and defaultReadTimeout together keep the time until an
	// accepted change is in force under the required 3 s, also when a read that
	// began before the change has to be followed by another one.
	defaultPollInterval = 500 * time.Millisecond
	defaultReadTimeout  = time.Second
	// defaultMaxAge and defaultReadTimeout together do not exceed these 3 s
	// either.
	defaultMaxAge = 2 * time.Second
)

// WatchOptions are the options of a watch. Zero values mean the defaults: the
// real clock, a poll every 500 ms, a read timeout of 1 s, a MaxAge of 2 s and no
// OnChange.
type WatchOptions struct {
	Clock clockwork.Clock
	// PollInterval is the time between two polls of the newest number.
	PollInterval time.Duration
	// ReadTimeout bounds one poll with all its reads.
	ReadTimeout time.Duration
	// MaxAge is the longest time since the start of the last successful read
	// for which Fresh returns the set held without reading again.
	MaxAge time.Duration
	// OnChange is called with each newer set, never concurrently, in the order
	// of the numbers.
	OnChange func(*Set)
}

// withDefaults returns the options with zero values replaced by the defaults.
func (o WatchOptions) withDefaults() WatchOptions {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.PollInterval == 0 {
		o.PollInterval = defaultPollInterval
	}
	if o.ReadTimeout == 0 {
		o.ReadTimeout = defaultReadTimeout
	}
	if o.MaxAge == 0 {
		o.MaxAge = defaultMaxAge
	}
	if o.OnChange == nil {
		o.OnChange = func(*Set) {}
	}
	return o
}

// Watch keeps a holder up to date by polling the store.
type Watch struct {
	source  Source
	holder  *Holder
	options WatchOptions
	// hints has the number of a newer change, which ends the wait for the next
	// poll. It buffers one number.
	hints chan uint64
	// readLock holds one token while a read is in progress. It is a channel so
	// that waiting for it can end with a context.
	readLock chan struct{}

	mu sync.Mutex
	// confirmedAt is when the last successful read started; zero if none
	// succeeded yet.
	confirmedAt time.Time
	// lastRead is the latest read, successful or not; zero before the first.
	lastRead readResult
}

// readResult is when a read of the store started and the error it ended with.
type readResult struct {
	startedAt time.Time
	err       error
}

// StaleReadError means that the store returned an older number than it had
// before, as a stale replica would.
type StaleReadError struct {
	// Held is the newest number seen before.
	Held uint64
	// Found is the older number that the store returned.
	Found uint64
}

// Error returns a message with both numbers.
func (e *StaleReadError) Error() string {
	return fmt.Sprintf("store answered with contracts number %d, older than %d seen before", e.Found, e.Held)
}

// NewWatch returns a watch that reads from the source into the holder. It reads
// nothing until Run, Poll or Fresh is called.
func NewWatch(source Source, holder *Holder, o WatchOptions) *Watch {
	return &Watch{
		source:   source,
		holder:   holder,
		options:  o.withDefaults(),
		hints:    make(chan uint64, 1),
		readLock: make(chan struct{}, 1),
	}
}

// Run polls the store until the context ends, and returns the context's error.
// After a failed read the set held stays, and the next poll tries again.
func (w *Watch) Run(ctx context.Context) error {
	ticker := w.options.Clock.NewTicker(w.options.PollInterval)
	defer ticker.Stop()
	for {
		_ = w.Poll(ctx)
		if err := w.waitForPoll(ctx, ticker); err != nil {
			return err
		}
	}
}

// waitForPoll returns when the ticker fires or on a hint of a number that is
// not held yet. The error is that of the context.
func (w *Watch) waitForPoll(ctx context.Context, ticker clockwork.Ticker) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
			return nil
		case number := <-w.hints:
			if number > w.holder.Number() {
				return nil
			}
		}
	}
}

// Hint tells the watch that a change with that number was accepted, so that
// Run reads without waiting for the next poll. It never blocks. A lost hint
// delays the read until the next poll at most.
func (w *Watch) Hint(number uint64) {
	if number <= w.holder.Number() {
		return
	}
	select {
	case w.hints <- number:
	default:
	}
}

// Set returns the set held, however old, or a *NotReadError if there is none
// yet.
func (w *Watch) Set() (*Set, error) {
	set, err := w.holder.Current()
	if err != nil {
		return nil, &NotReadError{
			Cause: w.lastResult().err,
		}
	}
	return set, nil
}

// Fresh returns the set held if the store confirmed it within MaxAge, and
// otherwise reads the store first. Jobs are accepted only under a fresh set, so
// an entry that lost its connection to the store accepts none under an outdated
// contract. Errors are those of Poll.
func (w *Watch) Fresh(ctx context.Context) (*Set, error) {
	if w.Age() <= w.options.MaxAge {
		return w.Set()
	}
	if err := w.Poll(ctx); err != nil {
		return nil, err
	}
	return w.Set()
}

// Age returns the time since the store last confirmed the set held, measured
// from the start of that read. Before the first successful read it is the
// longest possible duration, so that it exceeds any MaxAge.
func (w *Watch) Age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.confirmedAt.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	return w.options.Clock.Since(w.confirmedAt)
}

// Poll reads the store once and offers the set to the holder. A call that waited
// for a concurrent call returns that call's result if its read started after
// this call did, unless that read was cancelled. A read that finds an older
// number than the one held fails with a *StaleReadError.
func (w *Watch) Poll(ctx context.Context) error {
	called := w.options.Clock.Now()
	select {
	case w.readLock <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() {
		<-w.readLock
	}()
	if last := w.lastResult(); last.startedAt.After(called) && !errors.Is(last.err, context.Canceled) {
		return last.err
	}
	return w.read(ctx)
}

// read performs one read and records its result. The caller holds readLock.
func (w *Watch) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.options.ReadTimeout)
	defer cancel()
	began := w.options.Clock.Now()
	set, err := w.readNewest(ctx)
	if err == nil && w.holder.Offer(set) {
		w.options.OnChange(set)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastRead = readResult{
		startedAt: began,
		err:       err,
	}
	if err == nil {
		w.confirmedAt = began
	}
	return err
}

// lastResult returns the result of the latest read; zero before the first.
func (w *Watch) lastResult() readResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastRead
}

// readNewest returns the newest set. When nothing changed, that takes one read
// of the number; without a set held, it reads all contracts.
func (w *Watch) readNewest(ctx context.Context) (*Set, error) {
	held, err := w.holder.Current()
	if err != nil {
		return Load(ctx, w.source)
	}
	number, err := w.source.ContractNumber(ctx)
	if err != nil {
		return nil, err
	}
	if number == held.Number() {
		return held, nil
	}
	if err := checkNotOlder(number, held.Number()); err != nil {
		return nil, err
	}
	set, err := advance(ctx, w.source, held)
	if err != nil {
		return nil, err
	}
	return set, checkNotOlder(set.Number(), number)
}

// checkNotOlder returns a *StaleReadError if a read found an older number than
// one seen before.
func checkNotOlder(found, seen uint64) error {
	if found >= seen {
		return nil
	}
	return &StaleReadError{
		Held:  seen,
		Found: found,
	}
}

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

// Source reads accepted contracts; sesamestore.Store is one.
type Source interface {
	ContractNumber(ctx context.Context) (uint64, error)
	TeamChanges(ctx context.Context) ([]sesamemodel.Change, uint64, error)
	ChangesSince(ctx context.Context, number uint64) ([]sesamemodel.Change, error)
}

const (
	// defaultPollInterval with defaultReadTimeout keeps an accepted change under the
	// 3 s within which it must be in force.
	defaultPollInterval = 500 * time.Millisecond
	defaultReadTimeout  = time.Second
	defaultMaxAge       = 2 * time.Second
)

// WatchOptions are the settings of a watch. Zero values mean the defaults.
type WatchOptions struct {
	Clock clockwork.Clock
	// PollInterval is the time between two readings of the number.
	PollInterval time.Duration
	// ReadTimeout bounds one reading.
	ReadTimeout time.Duration
	// MaxAge is the most time since the last confirmed reading at which Fresh
	// answers without reading again.
	MaxAge time.Duration
	// OnChange is called with each newer set, one call at a time, in the
	// order of the numbers.
	OnChange func(*Set)
}

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

// Watch keeps a holder up to date from the store.
type Watch struct {
	source  Source
	holder  *Holder
	options WatchOptions
	hints   chan uint64
	// readLock is held by the one readLock in progress.
	readLock chan struct{}

	mu          sync.Mutex
	confirmedAt time.Time
	lastRead    readResult
}

// readResult is when a readResult of the store began and how it ended.
type readResult struct {
	startedAt time.Time
	err       error
}

// StaleReadError says that the store answered with an older number than one
// that it gave before.
type StaleReadError struct {
	Held  uint64
	Found uint64
}

// Error names both numbers.
func (e *StaleReadError) Error() string {
	return fmt.Sprintf("store answered with contracts number %d after %d", e.Found, e.Held)
}

// NewWatch returns a watch that fills the holder.
func NewWatch(source Source, holder *Holder, o WatchOptions) *Watch {
	return &Watch{
		source:   source,
		holder:   holder,
		options:  o.withDefaults(),
		hints:    make(chan uint64, 1),
		readLock: make(chan struct{}, 1),
	}
}

// Run reads the store until the context ends. A failed reading keeps what is
// held and is repeated at the next poll.
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

// Hint says that a change of that number was accepted, so that the watch reads
// without waiting for its next poll. It never blocks, and losing a hint costs
// at most one poll.
func (w *Watch) Hint(number uint64) {
	if number <= w.holder.Number() {
		return
	}
	select {
	case w.hints <- number:
	default:
	}
}

// Set returns the set held, however old, or a *NotReadError before the first.
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
// otherwise reads the store first. Work is accepted only under a fresh set, so
// an entry that was cut from the store accepts none under an older contract.
// Errors are those of the store.
func (w *Watch) Fresh(ctx context.Context) (*Set, error) {
	if w.Age() <= w.options.MaxAge {
		return w.Set()
	}
	if err := w.Poll(ctx); err != nil {
		return nil, err
	}
	return w.Set()
}

// Age returns the time since the store last confirmed the set held; before the
// first reading it is longer than any MaxAge.
func (w *Watch) Age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.confirmedAt.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	return w.options.Clock.Since(w.confirmedAt)
}

// Poll reads the store once and takes what is newer. Concurrent calls share
// the outcome of one reading when it began after the call did. A reading that
// finds an older number than the one held fails with a *StaleReadError.
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

func (w *Watch) lastResult() readResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastRead
}

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

// checkNotOlder fails when a reading found an older number than one seen before.
func checkNotOlder(found, seen uint64) error {
	if found >= seen {
		return nil
	}
	return &StaleReadError{
		Held:  seen,
		Found: found,
	}
}

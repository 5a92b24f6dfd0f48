package sesamerows

import (
	"bytes"
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// FenceLostError says that another process wrote the fence's row, so that nothing
// more can be written under it.
type FenceLostError struct {
	Key Key
	// Found is the row as it is now; its Version is 0 when it is gone.
	Found Row
}

// Error names the row.
func (e *FenceLostError) Error() string {
	return fmt.Sprintf("row %s was written by another process at version %d", e.Key, e.Found.Version)
}

// Change is what a fenced transaction does besides writing its fence.
type Change struct {
	Expects []Expect
	Writes  []Write
	Removes []Key
}

// Fence writes rows under the condition that a row, the fence, is as this
// process wrote it last. Each transaction writes the fence too, so that an
// attempt whose answer was lost can be repeated: it takes effect once at most.
//
// A Fence is used by one goroutine, but for Observe.
type Fence struct {
	store   Store
	key     Key
	version Version
	// writerID makes the values of one process unique, and writes counts those of its
	// transactions.
	writerID string
	writes   int

	mu sync.Mutex
	// pending is the value being written, and interrupt ends its attempts.
	pending   []byte
	interrupt context.CancelFunc
	// observedVersion is the version at which the pending value was observed.
	observedVersion Version
}

// NewFence returns a fence that holds nothing yet.
func NewFence(store Store, key Key) *Fence {
	return &Fence{
		store:    store,
		key:      key,
		writerID: uuid.NewString()[:8],
	}
}

// Version returns the version of the fence's row when it was written last.
func (f *Fence) Version() Version {
	return f.version
}

// Take writes the fence when it still has the version that the caller read.
func (f *Fence) Take(ctx context.Context, read Version, value []byte) error {
	f.version = read
	return f.Commit(ctx, value, Change{})
}

// answerGrace is how much later than a feed the answer to a commit may come
// before it counts as lost.
const answerGrace = 100 * time.Millisecond

// Observe takes a row from a feed. When it is the value being written, the
// transaction has taken effect, whether its answer arrives or not.
func (f *Fence) Observe(row Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pending == nil || row.Removed || row.Key != f.key || !bytes.Equal(row.Value, f.pending) {
		return
	}
	f.observedVersion = row.Version
	interrupt := f.interrupt
	grace, cancel := context.WithTimeout(context.Background(), answerGrace)
	context.AfterFunc(grace, func() {
		cancel()
		interrupt()
	})
}

// expectObservation makes Observe look for the value.
func (f *Fence) expectObservation(encoded []byte, interrupt context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending = encoded
	f.interrupt = interrupt
	f.observedVersion = 0
}

// endObservation returns the version at which the value was observed, 0 if it was
// not, and ends the looking.
func (f *Fence) endObservation() Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending = nil
	return f.observedVersion
}

// Pauses between attempts of one transaction.
const (
	firstPause = 20 * time.Millisecond
	maxPause   = 400 * time.Millisecond
)

// Commit writes the fence's value and the change together. It repeats the
// transaction until its outcome is known or ctx ends. The errors are those of
// Store.Commit, and a *FenceLostError when the fence is another's now. After an
// *UnknownError the change may take effect until the next Commit has.
func (f *Fence) Commit(ctx context.Context, value []byte, c Change) error {
	f.writes++
	err := f.commitEncoded(ctx, encodeFenceValue(f.writerID, f.writes, value), c)
	var lost *FenceLostError
	if errors.As(err, &lost) && f.isOwn(lost.Found) {
		// An earlier transaction that was given up took effect after all.
		f.version = lost.Found.Version
		return f.commitEncoded(ctx, encodeFenceValue(f.writerID, f.writes, value), c)
	}
	return err
}

// isOwn reports whether this fence wrote the row.
func (f *Fence) isOwn(row Row) bool {
	return bytes.HasPrefix(row.Value, []byte(f.writerID+"."))
}

func (f *Fence) commitEncoded(ctx context.Context, encoded []byte, c Change) error {
	t := Transaction{
		Expects: append([]Expect{{
			Key:     f.key,
			Version: f.version,
		}}, c.Expects...),
		Writes: append([]Write{{
			Key:   f.key,
			Value: encoded,
		}}, c.Writes...),
		Removes: c.Removes,
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.expectObservation(encoded, cancel)
	version, err := CommitWithRetry(ctx, f.store, t, func(conflict *ConflictError) (Version, error) {
		return f.resolveConflict(conflict, encoded)
	})
	if observed := f.endObservation(); err != nil && observed > 0 {
		version, err = observed, nil
	}
	if err == nil {
		f.version = version
	}
	return err
}

// resolveConflict tells an own earlier attempt from another process's write.
func (f *Fence) resolveConflict(conflict *ConflictError, encoded []byte) (Version, error) {
	found, _ := conflict.Row(f.key)
	if bytes.Equal(found.Value, encoded) {
		return found.Version, nil
	}
	if found.Version != f.version {
		return 0, &FenceLostError{
			Key:   f.key,
			Found: found,
		}
	}
	return 0, conflict
}

// CommitWithRetry repeats a transaction until it has an outcome. On a conflict, onConflict
// returns the version when the transaction had taken effect before, or the
// error to report. A transaction must not be able to take effect twice.
func CommitWithRetry(ctx context.Context, s Store, t Transaction, onConflict func(*ConflictError) (Version, error)) (Version, error) {
	mayHaveEffect := false
	pause := firstPause
	for {
		version, err := s.Commit(ctx, t)
		var conflict *ConflictError
		switch {
		case err == nil:
			return version, nil
		case errors.As(err, &conflict):
			return onConflict(conflict)
		case errors.HasType(err, (*UnknownError)(nil)):
			mayHaveEffect = true
		case !errors.HasType(err, (*UnavailableError)(nil)):
			return 0, err
		}
		if !Sleep(ctx, pause) {
			return 0, retryError(mayHaveEffect, err)
		}
		pause = min(2*pause, maxPause)
	}
}

// retryError says unknown when any attempt may have taken effect.
func retryError(mayHaveEffect bool, err error) error {
	if !mayHaveEffect || errors.HasType(err, (*UnknownError)(nil)) {
		return err
	}
	return &UnknownError{
		Operation: "commit",
		Cause:     err,
	}
}

// encodeFenceValue puts the writer ID and the number of the write in front of the value.
func encodeFenceValue(writerID string, write int, value []byte) []byte {
	prefix := writerID + "." + strconv.Itoa(write) + " "
	return append([]byte(prefix), value...)
}

// DecodeFenceValue returns the value of a fence's row as it was given to Commit.
func DecodeFenceValue(encoded []byte) []byte {
	_, value, _ := bytes.Cut(encoded, []byte(" "))
	return value
}

// EncodeUnfencedValue returns a value that DecodeFenceValue accepts and that no fence has written.
func EncodeUnfencedValue(value []byte) []byte {
	return append([]byte("- "), value...)
}

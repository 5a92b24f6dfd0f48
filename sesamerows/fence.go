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

// FenceLostError is returned when another process has written or removed the
// fence's row, so that this process can commit nothing more under the fence.
type FenceLostError struct {
	// Key is that of the fence's row.
	Key Key
	// Found is the fence's row when the commit was refused; its Version is 0
	// if the row no longer exists.
	Found Row
}

// Error names the fence's row and the version that the other process wrote.
func (e *FenceLostError) Error() string {
	return fmt.Sprintf("row %s was written by another process at version %d", e.Key, e.Found.Version)
}

// Change holds the conditions, writes and removals that Fence.Commit adds to
// the write of the fence's row.
type Change struct {
	Expects []Expect
	Writes  []Write
	Removes []Key
}

// Fence commits transactions only while a certain row, the fence's row, still
// has the version that this Fence wrote last: once another process writes the
// row, all further commits under this fence are refused. Each transaction also
// writes the row and thereby invalidates its own condition. A commit whose
// answer was lost can therefore be repeated: it takes effect at most once.
//
// A Fence is not safe for concurrent use, except for Observe.
type Fence struct {
	store Store
	// key is that of the fence's row, and version the row's version when this
	// fence read or wrote it last.
	key     Key
	version Version
	// writerID is a random prefix of the values that this fence writes, which
	// tells them from those of other fences. writes numbers them.
	writerID string
	writes   int

	mu sync.Mutex
	// pending is the encoded value that is being committed, nil while no commit
	// runs. interrupt cancels the commit.
	pending   []byte
	interrupt context.CancelFunc
	// observedVersion is the version at which Observe found the pending value,
	// 0 if it has not.
	observedVersion Version
}

// NewFence returns a fence on the row with the key. Call Take before Commit.
func NewFence(store Store, key Key) *Fence {
	return &Fence{
		store:    store,
		key:      key,
		writerID: uuid.NewString()[:8],
	}
}

// Version returns the version of the fence's row as this fence wrote it last,
// or, before Take has succeeded, as its caller read it.
func (f *Fence) Version() Version {
	return f.version
}

// Take acquires the fence: it writes the fence's row if that still has the
// version that the caller read, 0 for a row that does not exist. Errors are
// those of Commit.
func (f *Fence) Take(ctx context.Context, read Version, value []byte) error {
	f.version = read
	return f.Commit(ctx, value, Change{})
}

// answerGrace is how long a commit still waits for its answer after the feed
// of changes has shown that it took effect. Then its answer counts as lost.
const answerGrace = 100 * time.Millisecond

// Observe passes a row from the feed of changes to the fence. If it holds the
// value that is being committed, the transaction has taken effect; Commit then
// succeeds even if the answer does not arrive. Other rows are ignored. Observe
// may be called while Commit runs.
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

// expectObservation makes Observe look for the encoded value. When answerGrace
// has passed since Observe was given that value, interrupt is called, which
// cancels the commit.
func (f *Fence) expectObservation(encoded []byte, interrupt context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending = encoded
	f.interrupt = interrupt
	f.observedVersion = 0
}

// endObservation ends what expectObservation began, once the commit's calls are
// over. It returns the version at which the feed of changes showed the value
// that was being committed, which proves that the commit took effect; 0 if the
// feed did not show it.
func (f *Fence) endObservation() Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending = nil
	return f.observedVersion
}

const (
	// firstPause is the pause before CommitWithRetry repeats a transaction for
	// the first time. It doubles with each repetition up to maxPause.
	firstPause = 20 * time.Millisecond
	maxPause   = 400 * time.Millisecond
)

// Commit writes the fence's value and the change in one transaction, which it
// repeats until its outcome is known or ctx ends. Errors are those of
// Store.Commit, and a *FenceLostError if another process has written the
// fence's row. After an *UnknownError the change may still take effect, until
// a later Commit has succeeded.
func (f *Fence) Commit(ctx context.Context, value []byte, c Change) error {
	f.writes++
	err := f.commitEncoded(ctx, encodeFenceValue(f.writerID, f.writes, value), c)
	var lost *FenceLostError
	if errors.As(err, &lost) && f.Wrote(lost.Found) {
		// An earlier transaction of this fence, given up with an unknown
		// outcome, has taken effect after all.
		f.version = lost.Found.Version
		return f.commitEncoded(ctx, encodeFenceValue(f.writerID, f.writes, value), c)
	}
	return err
}

// Wrote reports whether this fence wrote the row's value.
func (f *Fence) Wrote(row Row) bool {
	return bytes.HasPrefix(row.Value, []byte(f.writerID+"."))
}

// commitEncoded commits the encoded value of the fence's row together with the
// change, on condition of the fence's version, until the outcome is known from
// an answer or from Observe.
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

// resolveConflict finds out why a transaction was refused. If the fence's row
// holds the encoded value, an earlier try of the same transaction had taken
// effect, and its version is returned. Otherwise the error is a
// *FenceLostError if the row has changed, or else the conflict itself, since
// then a condition of the change did not hold.
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

// CommitWithRetry commits a transaction and repeats it, with growing pauses,
// until its outcome is known or ctx ends. On a conflict it calls onConflict,
// which returns the transaction's version if an earlier try had taken effect,
// or else the error to return. If ctx ends first, the error is an
// *UnknownError if any try may have taken effect, and an *UnavailableError
// otherwise. Any other error of Store.Commit is returned at once. The
// transaction must be safe to repeat: it must not be able to take effect twice.
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

// retryError returns the error for a transaction that was given up: err, that
// of the last try, or an *UnknownError if any try may have had an effect.
func retryError(mayHaveEffect bool, err error) error {
	if !mayHaveEffect || errors.HasType(err, (*UnknownError)(nil)) {
		return err
	}
	return &UnknownError{
		Operation: "commit",
		Cause:     err,
	}
}

// encodeFenceValue returns "WRITER.NUMBER VALUE", which is unique to the writer
// and the number of its write.
func encodeFenceValue(writerID string, write int, value []byte) []byte {
	prefix := writerID + "." + strconv.Itoa(write) + " "
	return append([]byte(prefix), value...)
}

// DecodeFenceValue returns the value that was passed to Commit from the value
// of a fence's row, without the writer ID and number in front of it.
func DecodeFenceValue(encoded []byte) []byte {
	_, value, _ := bytes.Cut(encoded, []byte(" "))
	return value
}

// EncodeUnfencedValue returns the value for a row that is read with
// DecodeFenceValue but written without a fence. It has "-" for the writer ID
// and number, so that no fence takes it for its own.
func EncodeUnfencedValue(value []byte) []byte {
	return append([]byte("- "), value...)
}

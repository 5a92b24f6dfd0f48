// Package sesamerows defines the interface of the platform's store: versioned
// rows with conditional transactions (optimistic concurrency) and a feed of
// changes. All state that must outlast a process is kept in such a store.
//
// Fence commits only while no other process has taken over, and finds out
// whether a commit whose answer was lost took effect. Follower reads a table
// and then watches its changes. AdaptiveTimeoutStore, FailoverStore and
// Backoff handle slow, lost and refused calls. Memory is a store for tests.
//
// # Usage
//
//	fence := sesamerows.NewFence(store, sesamerows.Key{Table: "lead", Name: "planner"})
//	err := fence.Take(ctx, version, value) // version as last read, 0 for no row
//	err = fence.Commit(ctx, value, sesamerows.Change{
//		Writes: writes,
//	})
package sesamerows

import (
	"context"
	"fmt"
	"time"
)

// Version is a position in the store's history: one counter for the whole
// store, which each transaction increments. A row's version is that of the
// transaction that wrote it last; 0 means that the row does not exist.
type Version int64

// Key identifies a row by its table, its part (a partition of the table) and
// its name in the part. A transaction within one part costs no more for
// several rows than for one.
type Key struct {
	Table string
	Part  string
	Name  string
}

// String returns table/part/name.
func (k Key) String() string {
	return k.Table + "/" + k.Part + "/" + k.Name
}

// Row is the content of a row at a version. A removed row is reported in the
// feed of changes as a tombstone: Removed is set and Value is empty.
type Row struct {
	Key     Key
	Value   []byte
	Version Version
	Removed bool
}

// Write sets the value of a row, which it creates if it does not exist.
type Write struct {
	Key   Key
	Value []byte
}

// Expect is a condition of a transaction: the row still has this version, or
// still does not exist when the version is 0.
type Expect struct {
	Key     Key
	Version Version
}

// Transaction is a set of writes and removals that the store applies
// atomically, and only if all conditions in Expects hold.
type Transaction struct {
	Expects []Expect
	Writes  []Write
	Removes []Key
}

// Range selects the rows of one part whose names are at least From and less
// than To. An empty To means no upper bound.
type Range struct {
	Table string
	Part  string
	From  string
	To    string
}

// Page is the answer to a read or to a request for changes.
type Page struct {
	Rows []Row
	// Version is the store's newest version whose changes the page includes.
	Version Version
	// Now is the store's steady clock (it never jumps) at the time of the
	// answer; see StoreClock.
	Now time.Duration
	// More is set when the range has further rows after the last of Rows.
	More bool
}

// Store is a store of rows, either the platform's or a wrapper around one.
// Reads are linearizable. All methods may return an *UnavailableError.
type Store interface {
	// Read returns rows of the range in the order of their names. When
	// Page.More is set, the caller reads on after the last name.
	Read(ctx context.Context, r Range) (Page, error)
	// Parts returns the names of a table's parts that have rows. The list has no
	// version, and a long one is read page by page.
	Parts(ctx context.Context, table string) ([]string, error)
	// Commit applies the transaction and returns its version. Errors are a
	// *ConflictError when a condition did not hold, an *UnavailableError when
	// the transaction certainly had no effect, an *UnknownError when it may have
	// taken effect or may still do so later, and a *RejectedError when the store
	// refuses the transaction as such, which has no effect however often it is
	// repeated.
	Commit(ctx context.Context, t Transaction) (Version, error)
	// Changes returns the rows of the table that changed after the version, in
	// the order of the changes, with tombstones for removed rows. It waits up
	// to the given time for the first change, and then returns an empty page. A
	// page holds all changes up to its version, which is the store's newest one
	// at the time of the answer or, if there are many changes, that of the last
	// of them.
	// A *HistoryError means that the changes since the version are no longer
	// kept.
	Changes(ctx context.Context, table string, after Version, wait time.Duration) (Page, error)
}

// ConflictError is returned for a transaction that had no effect because a
// condition did not hold.
type ConflictError struct {
	// Rows are the rows that the conditions name, as they were when the
	// transaction was refused; rows that do not exist are left out.
	Rows []Row
}

// Error returns the number of existing rows among those of the conditions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("a condition of the transaction does not hold; %d of the rows it checks exist", len(e.Rows))
}

// Row returns the row with the key as it was when the transaction was refused,
// or false when it is not in Rows.
func (e *ConflictError) Row(key Key) (Row, bool) {
	for _, row := range e.Rows {
		if row.Key == key {
			return row, true
		}
	}
	return Row{}, false
}

// UnavailableError is returned for a call that the store did not serve and
// that had no effect.
type UnavailableError struct {
	// Operation names the call, such as "commit".
	Operation string
	Cause     error
}

// Error names the operation and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store unavailable for %s: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Cause
}

// RejectedError is returned for a transaction that the store refuses as such, for
// example because it is too large. Unlike after an *UnavailableError, a repetition
// would be refused as well.
type RejectedError struct {
	// Operation names the call, such as "commit".
	Operation string
	Cause     error
}

// Error names the operation and the cause.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("%s is refused by the store: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *RejectedError) Unwrap() error {
	return e.Cause
}

// UnknownError is returned for a transaction that may have taken effect or may
// still do so later. It does not unwrap to its cause: that may be the error of
// one call among several, such as a refusal, which says nothing of the others.
type UnknownError struct {
	// Operation names the call, such as "commit".
	Operation string
	Cause     error
}

// Error names the operation and the cause.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome of %s is unknown: %v", e.Operation, e.Cause)
}

// HistoryError is returned by Store.Changes when the changes after a version
// are no longer kept, so that the caller must read the table again.
type HistoryError struct {
	Table string
	// After is the version from which the changes were asked for.
	After Version
}

// Error names the table and the version.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("changes of table %q after version %d are no longer kept", e.Table, e.After)
}

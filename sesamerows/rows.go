// Package sesamerows describes a store of rows whose versions come from one
// counter, with conditional transactions and a feed of changes. All that must
// outlast a process lies in such a store.
//
// Fence writes under the condition that nobody else has taken over, and
// settles answers that were lost. Follower keeps a local view of a table.
// Memory is a store for tests.
//
// # Usage
//
//	fence := sesamerows.NewFence(store, sesamerows.Key{Table: "lead", Name: "planner"})
//	err := fence.Take(ctx, value)
//	err = fence.Commit(ctx, value, sesamerows.Change{
//		Writes: writes,
//	})
package sesamerows

import (
	"context"
	"fmt"
	"time"
)

// Version counts the transactions of the whole store. 0 stands for a row that
// does not exist.
type Version int64

// Key names a row. Rows of one part are written together at no extra cost.
type Key struct {
	Table string
	Part  string
	Name  string
}

// String returns table/part/name.
func (k Key) String() string {
	return k.Table + "/" + k.Part + "/" + k.Name
}

// Row is a row as of its version. A row that was removed has no value.
type Row struct {
	Key     Key
	Value   []byte
	Version Version
	Removed bool
}

// Write sets a row's value.
type Write struct {
	Key   Key
	Value []byte
}

// Expect is a condition: the row still has this version.
type Expect struct {
	Key     Key
	Version Version
}

// Transaction takes effect whole, and only while all its conditions hold.
type Transaction struct {
	Expects []Expect
	Writes  []Write
	Removes []Key
}

// MaxEntries is the most conditions, writes and removals that the platform
// takes in one transaction.
const MaxEntries = 100

// Entries returns the size of the transaction as MaxEntries counts it.
func (t Transaction) Entries() int {
	return len(t.Expects) + len(t.Writes) + len(t.Removes)
}

// Range names rows of one part by their names: From is included, To is not,
// and an empty To has no bound.
type Range struct {
	Table string
	Part  string
	From  string
	To    string
}

// Page is what a read or a feed returns.
type Page struct {
	Rows []Row
	// Version is the newest version of the store that the page covers.
	Version Version
	// Now is the store's steady clock.
	Now time.Duration
	// More says that a range has further rows.
	More bool
}

// Store keeps rows. Reads are linearizable.
type Store interface {
	// Read returns rows of the range in the order of their names.
	Read(ctx context.Context, r Range) (Page, error)
	// Parts returns the parts of a table.
	Parts(ctx context.Context, table string) ([]string, error)
	// Commit applies the transaction and returns its version. Errors are a
	// *ConflictError when a condition did not hold, an *UnavailableError when
	// it certainly had no effect, and an *UnknownError when it may have one,
	// now or later.
	Commit(ctx context.Context, t Transaction) (Version, error)
	// Changes returns the rows of the table that changed after the version,
	// in order, and waits for the first one. A *HistoryError means that the
	// changes since then are no longer kept.
	Changes(ctx context.Context, table string, after Version, wait time.Duration) (Page, error)
}

// ConflictError says that a transaction had no effect because a condition did
// not hold.
type ConflictError struct {
	// Rows are the rows named by the conditions, as they are.
	Rows []Row
}

// Error names the rows.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("a condition on one of %d rows does not hold", len(e.Rows))
}

// Row returns the row as it was when the transaction was refused.
func (e *ConflictError) Row(key Key) (Row, bool) {
	for _, row := range e.Rows {
		if row.Key == key {
			return row, true
		}
	}
	return Row{}, false
}

// UnavailableError says that the store did not serve a call, which had no
// effect.
type UnavailableError struct {
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

// UnknownError says that a transaction may have an effect, now or later. It
// does not unwrap to its cause, which may be an error of a single attempt.
type UnknownError struct {
	Operation string
	Cause     error
}

// Error names the operation and the cause.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome of %s is unknown: %v", e.Operation, e.Cause)
}

// HistoryError says that the feed no longer reaches back to a version.
type HistoryError struct {
	Table string
	After Version
}

// Error names the table and the version.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("changes of table %q after version %d are no longer kept", e.Table, e.After)
}

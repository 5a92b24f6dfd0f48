package sesametable

import (
	"context"
	"io"
)

// Row is one row of the table.
type Row struct {
	Key string
	// Version is 1 for a new row and grows by one with each write.
	Version uint64
	Value   []byte
}

// Put writes a row if its version is still the expected one.
type Put struct {
	Key string
	// Version is what the row must have now; 0 means that it must be absent.
	Version uint64
	Value   []byte
}

// Check fails the transaction when the row no longer has this version.
type Check struct {
	Key string
	// Version 0 means that the row must be absent.
	Version uint64
}

// Delete removes a row if its version is still the expected one.
type Delete struct {
	Key     string
	Version uint64
}

// Transaction takes effect whole or not at all. At least one put or delete is
// needed; a transaction of deletes alone needs a put too, so that its outcome
// can be read back.
type Transaction struct {
	Checks  []Check
	Puts    []Put
	Deletes []Delete
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns the row, or a *NotFoundError.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns at most limit rows whose keys start with prefix and sort
	// after the key after, in the order of their keys. A limit of 0 means
	// MaxScanRows, which is also the most that one scan returns.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies the transaction. It returns nil when the transaction
	// took effect, a *ConflictError when it did not because a version
	// differed, an *UnavailableError when it certainly did not for another
	// reason, and an *OutcomeUnknownError when it may have.
	Commit(ctx context.Context, t Transaction) error
}

// MaxScanRows is the most rows that one scan returns.
const MaxScanRows = 500

// Objects is the platform's object store.
type Objects interface {
	// PutObject stores all of body under key, replacing what was there.
	PutObject(ctx context.Context, key string, body []byte) error
	// GetObject opens the object, or returns a *NotFoundError. The caller
	// closes the reader. The length is in bytes.
	GetObject(ctx context.Context, key string) (body io.ReadCloser, length int64, err error)
}

// ScanAll returns every row whose key starts with prefix.
func ScanAll(ctx context.Context, t Table, prefix string) ([]Row, error) {
	var all []Row
	after := ""
	for {
		page, err := t.Scan(ctx, prefix, after, MaxScanRows)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if len(page) < MaxScanRows {
			return all, nil
		}
		after = page[len(page)-1].Key
	}
}

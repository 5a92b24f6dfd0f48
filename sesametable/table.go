package sesametable

import (
	"context"
	"io"
)

// Row is one row of the table.
type Row struct {
	Key string `json:"key"`
	// Version is 1 for a new key and grows by one with each write. A delete
	// counts as a write, so a version of a key is never used twice, also not
	// when the row is created again.
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Put writes a row if its version is still the expected one.
type Put struct {
	Key string `json:"key"`
	// Version is what the row must have now; 0 means that it must be absent.
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Check fails the transaction when the row no longer has this version.
type Check struct {
	Key string `json:"key"`
	// Version 0 means that the row must be absent.
	Version uint64 `json:"version"`
}

// Delete removes a row if its version is still the expected one.
type Delete struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Transaction takes effect whole or not at all. It needs at least one put, so
// that its outcome can be read back. One that only creates rows should put or
// check a row that nobody deletes soon: with every condition on rows that are
// absent again, a repetition cannot be told from the first.
type Transaction struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts"`
	Deletes []Delete `json:"deletes,omitempty"`
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
	// PutObject stores all of body under key, replacing what was there. After
	// an error the object may have been stored, or be stored later.
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

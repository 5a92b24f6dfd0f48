package sesametable

import (
	"context"
	"io"
)

// Row is one row of the table, as of one version.
type Row struct {
	Key string `json:"key"`
	// Version is 1 for a new key and grows by one with each write. A delete
	// counts as a write, so a key never gets the same version twice, even when
	// the row is created again.
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Put writes a row, on the condition that it still has the expected version.
type Put struct {
	Key string `json:"key"`
	// Version is the version that the row must have now; 0 means absent.
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Check is a condition without a write: the transaction fails when the row no
// longer has this version.
type Check struct {
	Key string `json:"key"`
	// Version 0 means that the row must be absent.
	Version uint64 `json:"version"`
}

// Delete removes a row, on the condition that it still has the expected
// version.
type Delete struct {
	Key string `json:"key"`
	// Version is the version that the row must have now.
	Version uint64 `json:"version"`
}

// Transaction is a conditional transaction: it takes effect as a whole, or not
// at all when a condition fails. It needs at least one put, so that its outcome
// can be read back. A transaction that only creates rows should also put or
// check an existing row that nobody deletes soon: if every condition is on rows
// that are absent, and they become absent again, a repeated attempt cannot be
// told from the first.
type Transaction struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts"`
	Deletes []Delete `json:"deletes,omitempty"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns the row, or a *NotFoundError.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns at most limit rows whose keys start with prefix and sort after
	// the key after, in the order of their keys. A limit of 0 means MaxScanRows,
	// which is also the most that one scan returns.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies the transaction. It returns nil when the transaction took
	// effect, a *ConflictError when it did not because a version differed, an
	// *UnavailableError when it certainly did not for another reason, and an
	// *OutcomeUnknownError when it may have.
	Commit(ctx context.Context, t Transaction) error
}

// MaxScanRows is the most rows that one scan returns.
const MaxScanRows = 500

// Objects is the platform's object store.
type Objects interface {
	// PutObject stores all of body under key and replaces any earlier object.
	// After an error the object may have been stored, or be stored later.
	PutObject(ctx context.Context, key string, body []byte) error
	// GetObject opens the object, or returns a *NotFoundError. The caller
	// closes the reader. The length is in bytes.
	GetObject(ctx context.Context, key string) (body io.ReadCloser, length int64, err error)
}

// ScanAll returns every row whose key starts with prefix. It reads them in
// several scans, so rows of different scans may not be from the same moment.
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

package sesamerows

import (
	"encoding/base64"
	"fmt"
)

// The platform's limits for what a transaction writes.
const (
	// MaxEntries bounds the sum of a transaction's conditions, writes and removals.
	MaxEntries = 100
	// MaxValueBytes bounds the value of a row, in base64 as the platform takes it.
	MaxValueBytes = 65536
	// MaxTransactionBytes bounds the body of a transaction.
	MaxTransactionBytes = 1_000_000
	// MaxNameBytes bounds the table, the part and the name of a row's key, each by
	// itself.
	MaxNameBytes = 200
)

// entryOverhead is the most that one entry of a transaction takes beside its names
// and its value.
const entryOverhead = 100

// LimitError says that a transaction exceeds a limit of the platform.
type LimitError struct {
	// Subject is what is too large, such as "entries" or the key of a row.
	Subject string
	// Size is that of the subject, and Limit the greatest that is possible.
	Size  int
	Limit int
}

// Error names the subject, its size and the limit.
func (e *LimitError) Error() string {
	return fmt.Sprintf("%s: %d, at most %d are possible", e.Subject, e.Size, e.Limit)
}

// Entries returns the number of conditions, writes and removals, which
// MaxEntries limits.
func (t Transaction) Entries() int {
	return len(t.Expects) + len(t.Writes) + len(t.Removes)
}

// Bytes returns the most that the body of the transaction takes, which
// MaxTransactionBytes limits.
func (t Transaction) Bytes() int {
	bytes := 0
	for _, e := range t.Expects {
		bytes += e.Key.bytes()
	}
	for _, w := range t.Writes {
		bytes += w.Key.bytes() + w.valueBytes()
	}
	for _, key := range t.Removes {
		bytes += key.bytes()
	}
	return bytes
}

// bytes returns the most that an entry with the key and without a value takes.
func (k Key) bytes() int {
	return entryOverhead + len(k.Table) + len(k.Part) + len(k.Name)
}

// valueBytes returns the length of the value in base64.
func (w Write) valueBytes() int {
	return base64.StdEncoding.EncodedLen(len(w.Value))
}

// CheckLimits returns a *LimitError if the transaction exceeds a limit of the
// platform.
func (t Transaction) CheckLimits() error {
	if n := t.Entries(); n > MaxEntries {
		return &LimitError{
			Subject: "entries of a transaction",
			Size:    n,
			Limit:   MaxEntries,
		}
	}
	if n := t.Bytes(); n > MaxTransactionBytes {
		return &LimitError{
			Subject: "bytes of a transaction",
			Size:    n,
			Limit:   MaxTransactionBytes,
		}
	}
	for _, e := range t.Expects {
		if err := e.Key.checkLimits(); err != nil {
			return err
		}
	}
	for _, key := range t.Removes {
		if err := key.checkLimits(); err != nil {
			return err
		}
	}
	for _, w := range t.Writes {
		if err := w.CheckLimits(); err != nil {
			return err
		}
	}
	return nil
}

// CheckLimits returns a *LimitError if the row's key or value is longer than the
// platform takes.
func (w Write) CheckLimits() error {
	if n := w.valueBytes(); n > MaxValueBytes {
		return &LimitError{
			Subject: "bytes of the value of " + w.Key.String(),
			Size:    n,
			Limit:   MaxValueBytes,
		}
	}
	return w.Key.checkLimits()
}

// checkLimits returns a *LimitError if a part of the key is longer than the
// platform takes.
func (k Key) checkLimits() error {
	for _, text := range []string{k.Table, k.Part, k.Name} {
		if len(text) > MaxNameBytes {
			return &LimitError{
				Subject: "bytes of a name in the key " + k.String(),
				Size:    len(text),
				Limit:   MaxNameBytes,
			}
		}
	}
	return nil
}

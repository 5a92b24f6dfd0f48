package sesamerows_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesameclock"
	"github.com/sesamestack/sesamestack/sesamerows"
)

// writesOf returns writes of that many rows with values of that many bytes.
func writesOf(rows, bytes int) []sesamerows.Write {
	var writes []sesamerows.Write
	for i := range rows {
		writes = append(writes, sesamerows.Write{
			Key: sesamerows.Key{
				Table: "table",
				Name:  strings.Repeat("n", i+1),
			},
			Value: make([]byte, bytes),
		})
	}
	return writes
}

// TestLimits checks that the store for tests refuses what the platform refuses.
func TestLimits(t *testing.T) {
	const (
		// maxRaw bytes are MaxValueBytes in base64.
		maxRaw = sesamerows.MaxValueBytes / 4 * 3
	)
	for _, c := range []struct {
		name     string
		t        sesamerows.Transaction
		rejected bool
	}{
		{"the longest value", sesamerows.Transaction{Writes: writesOf(1, maxRaw)}, false},
		{"a longer value", sesamerows.Transaction{Writes: writesOf(1, maxRaw+1)}, true},
		{"many values", sesamerows.Transaction{Writes: writesOf(15, maxRaw)}, false},
		{"more bytes than a transaction holds", sesamerows.Transaction{Writes: writesOf(16, maxRaw)}, true},
		{"the most entries", sesamerows.Transaction{Writes: writesOf(100, 0)}, false},
		{"more entries", sesamerows.Transaction{Writes: writesOf(101, 0)}, true},
		{"a long name", sesamerows.Transaction{Removes: []sesamerows.Key{{Name: strings.Repeat("n", 201)}}}, true},
		{"a long part", sesamerows.Transaction{Expects: []sesamerows.Expect{{Key: sesamerows.Key{Part: strings.Repeat("p", 201)}}}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			memory := sesamerows.NewMemory(sesameclock.Wrap(clockwork.NewFakeClock()))
			_, err := memory.Commit(t.Context(), c.t)
			is.New(t).Equal(errors.HasType(err, (*sesamerows.RejectedError)(nil)), c.rejected)
			is.New(t).Equal(err != nil, c.rejected)
		})
	}
}

// TestPagesOfLargeRows reads rows that together are larger than a page.
func TestPagesOfLargeRows(t *testing.T) {
	is := is.New(t)
	memory := sesamerows.NewMemory(sesameclock.Wrap(clockwork.NewFakeClock()))
	const rows = 40
	for _, w := range writesOf(rows, 40000) {
		_, err := memory.Commit(t.Context(), sesamerows.Transaction{
			Writes: []sesamerows.Write{w},
		})
		is.NoErr(err)
	}
	all := sesamerows.Range{Table: "table"}
	page, err := memory.Read(t.Context(), all)
	is.NoErr(err)
	is.True(page.More)
	page, err = sesamerows.ReadAll(t.Context(), memory, all)
	is.NoErr(err)
	is.Equal(len(page.Rows), rows)
}

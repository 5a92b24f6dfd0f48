package sesametable

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// assertSameHistory compares versions and tokens, in order.
func assertSameHistory(t *rapid.T, got, want writeHistory) {
	if got.version != want.version || len(got.tokens) != len(want.tokens) {
		t.Fatalf("history is %v, expected %v", got, want)
	}
	for i, token := range want.tokens {
		if got.tokens[i] != token {
			t.Fatalf("history is %v, expected %v", got, want)
		}
	}
}

// TestEnvelope writes a row repeatedly and decodes it after each write. The
// last 8 writes are found with their status; for older ones the status is
// unknown.
func TestEnvelope(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h writeHistory
		var written []uuid.UUID
		for range rapid.IntRange(1, 20).Draw(t, "writes") {
			token := uuid.New()
			written = append(written, token)
			h = h.withToken(token)
			value := rapid.SliceOf(rapid.Byte()).Draw(t, "value")
			encoded, err := encodeEnvelope(h, value)
			if err != nil {
				t.Fatal(err)
			}
			row, found, err := decodeEnvelope(Row{
				Version: h.version,
				Value:   encoded,
			})
			if err != nil || string(row.Value) != string(value) {
				t.Fatalf("value %v came back as %v, error %v", value, row.Value, err)
			}
			assertSameHistory(t, found, h)
		}
		assertStatuses(t, h, written)
	})
}

// assertStatuses checks each write of the row twice: a missed write that
// expected the version of this one, and this write with an unknown predecessor.
func assertStatuses(t *rapid.T, h writeHistory, written []uuid.UUID) {
	missed := uuid.New()
	for i, token := range written {
		age := len(written) - 1 - i
		want := statusSuperseded
		switch {
		case age == 0:
			want = statusNotApplied
		case age >= maxTokensPerRow:
			want = statusUnknown
		}
		if got := h.statusOf(missed, token); got != want {
			t.Fatalf("write that expected the version %d writes back has status %d, expected %d", age, got, want)
		}
		if got := h.statusOf(token, missed); (got == statusApplied) != (age < maxTokensPerRow) {
			t.Fatalf("write %d writes back has status %d", age, got)
		}
	}
}

// FuzzOpen checks that arbitrary bytes either decode or give an *EnvelopeError.
func FuzzOpen(f *testing.F) {
	encoded, err := encodeEnvelope(writeHistory{}.withToken(uuid.New()), []byte("value"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, value []byte) {
		is := is.New(t)
		row, _, err := decodeEnvelope(Row{
			Key:   "a",
			Value: value,
		})
		var broken *EnvelopeError
		is.True(err == nil || errors.As(err, &broken))
		is.True(len(row.Value) <= len(value))
	})
}

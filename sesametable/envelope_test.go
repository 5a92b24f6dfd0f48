package sesametable

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func assertSame(t *rapid.T, got, want history) {
	if got.version != want.version || len(got.tokens) != len(want.tokens) {
		t.Fatalf("history is %v, expected %v", got, want)
	}
	for i, token := range want.tokens {
		if got.tokens[i] != token {
			t.Fatalf("history is %v, expected %v", got, want)
		}
	}
}

// TestEnvelope writes a row again and again: the last 8 writes stand as they
// took effect, and all before them are unclear.
func TestEnvelope(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h history
		var written []uuid.UUID
		for range rapid.IntRange(1, 20).Draw(t, "writes") {
			token := uuid.New()
			written = append(written, token)
			h = h.after(token)
			value := rapid.SliceOf(rapid.Byte()).Draw(t, "value")
			sealed, err := seal(h, value)
			if err != nil {
				t.Fatal(err)
			}
			row, found, err := open(Row{
				Version: h.version,
				Value:   sealed,
			})
			if err != nil || string(row.Value) != string(value) {
				t.Fatalf("value %v came back as %v, error %v", value, row.Value, err)
			}
			assertSame(t, found, h)
		}
		assertStandings(t, h, written)
	})
}

func assertStandings(t *rapid.T, h history, written []uuid.UUID) {
	missed := uuid.New()
	for i, token := range written {
		age := len(written) - 1 - i
		want := superseded
		switch {
		case age == 0:
			want = absent
		case age >= maxTokens:
			want = unclear
		}
		if got := h.standingOf(missed, token); got != want {
			t.Fatalf("a write after %d others stands as %d, expected %d", age, got, want)
		}
		if got := h.standingOf(token, missed); (got == applied) != (age < maxTokens) {
			t.Fatalf("the write %d writes ago stands as %d", age, got)
		}
	}
}

func FuzzOpen(f *testing.F) {
	sealed, err := seal(history{}.after(uuid.New()), []byte("value"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sealed)
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, value []byte) {
		is := is.New(t)
		row, _, err := open(Row{
			Key:   "a",
			Value: value,
		})
		var broken *EnvelopeError
		is.True(err == nil || errors.As(err, &broken))
		is.True(len(row.Value) <= len(value))
	})
}

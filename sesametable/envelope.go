package sesametable

import (
	"fmt"
	"slices"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
)

// maxTokens is the number of recent writes that a row remembers.
const maxTokens = 8

// history holds the tokens of a row's most recent writes, the newest first,
// as they stood at one version.
type history struct {
	version uint64
	tokens  []uuid.UUID
}

// after returns the history once the write with that token has taken effect.
func (h history) after(token uuid.UUID) history {
	tokens := append([]uuid.UUID{token}, h.tokens...)
	return history{
		version: h.version + 1,
		tokens:  tokens[:min(len(tokens), maxTokens)],
	}
}

// newest returns the token that wrote this version, or uuid.Nil.
func (h history) newest() uuid.UUID {
	if len(h.tokens) == 0 {
		return uuid.Nil
	}
	return h.tokens[0]
}

// complete reports whether no write of the key is missing.
func (h history) complete() bool {
	return h.version == uint64(len(h.tokens))
}

// standing is what a history tells about one write.
type standing int

const (
	// unclear means that the history does not reach back far enough.
	unclear standing = iota
	// absent means that the write has not taken effect so far.
	absent
	// applied means that the write took effect.
	applied
	// superseded means that another write took the place of this one, which
	// therefore never takes effect.
	superseded
)

// standingOf looks for the write with that token, which expected the row as
// the write with the token previous left it; previous is uuid.Nil when the row
// was expected to be absent.
func (h history) standingOf(token, previous uuid.UUID) standing {
	if slices.Contains(h.tokens, token) {
		return applied
	}
	if previous == uuid.Nil {
		if h.complete() {
			return absent
		}
		return unclear
	}
	switch slices.Index(h.tokens, previous) {
	case -1:
		return unclear
	case 0:
		return absent
	default:
		return superseded
	}
}

func seal(h history, value []byte) ([]byte, error) {
	packed := make([]byte, 0, len(h.tokens)*len(uuid.Nil))
	for _, token := range h.tokens {
		packed = append(packed, token[:]...)
	}
	return proto.Marshal(&Envelope{
		Tokens: packed,
		Value:  value,
	})
}

// TokensError says that a row's tokens cannot be told apart.
type TokensError struct {
	Length int
}

// Error names the length of all tokens, in bytes.
func (e *TokensError) Error() string {
	return fmt.Sprintf("%d bytes are no whole number of tokens", e.Length)
}

// open returns the row with its inner value, and its history.
func open(row Row) (Row, history, error) {
	var e Envelope
	err := proto.Unmarshal(row.Value, &e)
	h := history{
		version: row.Version,
	}
	if err == nil {
		h.tokens, err = unpack(e.GetTokens())
	}
	if err != nil {
		return Row{}, history{}, &EnvelopeError{
			Key:   row.Key,
			Cause: err,
		}
	}
	row.Value = e.GetValue()
	return row, h, nil
}

func unpack(packed []byte) ([]uuid.UUID, error) {
	size := len(uuid.Nil)
	if len(packed)%size != 0 {
		return nil, &TokensError{
			Length: len(packed),
		}
	}
	tokens := make([]uuid.UUID, 0, len(packed)/size)
	for part := range slices.Chunk(packed, size) {
		tokens = append(tokens, uuid.UUID(part))
	}
	return tokens, nil
}

package sesametable

import (
	"fmt"
	"slices"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
)

// maxTokensPerRow is the number of recent writes that a row remembers.
const maxTokensPerRow = 8

// writeHistory holds the tokens of a row's most recent writes, the newest first,
// as they stood at one version.
type writeHistory struct {
	version uint64
	tokens  []uuid.UUID
}

// withToken returns the history once the write with that token has taken effect.
func (h writeHistory) withToken(token uuid.UUID) writeHistory {
	tokens := append([]uuid.UUID{token}, h.tokens...)
	return writeHistory{
		version: h.version + 1,
		tokens:  tokens[:min(len(tokens), maxTokensPerRow)],
	}
}

// newestToken returns the token that wrote this version, or uuid.Nil.
func (h writeHistory) newestToken() uuid.UUID {
	if len(h.tokens) == 0 {
		return uuid.Nil
	}
	return h.tokens[0]
}

// hasAllTokens reports whether no write of the key is missing.
func (h writeHistory) hasAllTokens() bool {
	return h.version == uint64(len(h.tokens))
}

// writeStatus is what a history tells about one write.
type writeStatus int

const (
	// statusUnknown means that the history does not reach back far enough.
	statusUnknown writeStatus = iota
	// statusNotApplied means that the write has not taken effect so far.
	statusNotApplied
	// statusApplied means that the write took effect.
	statusApplied
	// statusSuperseded means that another write took the place of this one, which
	// therefore never takes effect.
	statusSuperseded
)

// statusOf looks for the write with that token, which expected the row as
// the write with the token previous left it; previous is uuid.Nil when the row
// was expected to be absent.
func (h writeHistory) statusOf(token, previous uuid.UUID) writeStatus {
	if slices.Contains(h.tokens, token) {
		return statusApplied
	}
	if previous == uuid.Nil {
		if h.hasAllTokens() {
			return statusNotApplied
		}
		return statusUnknown
	}
	switch slices.Index(h.tokens, previous) {
	case -1:
		return statusUnknown
	case 0:
		return statusNotApplied
	default:
		return statusSuperseded
	}
}

func encodeEnvelope(h writeHistory, value []byte) ([]byte, error) {
	packed := make([]byte, 0, len(h.tokens)*len(uuid.Nil))
	for _, token := range h.tokens {
		packed = append(packed, token[:]...)
	}
	return proto.Marshal(&Envelope{
		Tokens: packed,
		Value:  value,
	})
}

// TokenLengthError says that a row's tokens cannot be told apart.
type TokenLengthError struct {
	Length int
}

// Error names the length of all tokens, in bytes.
func (e *TokenLengthError) Error() string {
	return fmt.Sprintf("%d bytes are no whole number of tokens", e.Length)
}

// decodeEnvelope returns the row with its inner value, and its history.
func decodeEnvelope(row Row) (Row, writeHistory, error) {
	var e Envelope
	err := proto.Unmarshal(row.Value, &e)
	h := writeHistory{
		version: row.Version,
	}
	if err == nil {
		h.tokens, err = decodeTokens(e.GetTokens())
	}
	if err != nil {
		return Row{}, writeHistory{}, &EnvelopeError{
			Key:   row.Key,
			Cause: err,
		}
	}
	row.Value = e.GetValue()
	return row, h, nil
}

func decodeTokens(packed []byte) ([]uuid.UUID, error) {
	size := len(uuid.Nil)
	if len(packed)%size != 0 {
		return nil, &TokenLengthError{
			Length: len(packed),
		}
	}
	tokens := make([]uuid.UUID, 0, len(packed)/size)
	for part := range slices.Chunk(packed, size) {
		tokens = append(tokens, uuid.UUID(part))
	}
	return tokens, nil
}

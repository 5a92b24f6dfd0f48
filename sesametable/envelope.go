package sesametable

import (
	"fmt"
	"slices"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
)

// maxTokensPerRow is how many recent writes a row remembers by their tokens.
const maxTokensPerRow = 8

// writeHistory holds the tokens of a row's most recent writes, the newest
// first, as of one version of the row. A token is a random ID that marks one
// write.
type writeHistory struct {
	version uint64
	tokens  []uuid.UUID
}

// withToken returns the history as it is after the write with that token has
// taken effect.
func (h writeHistory) withToken(token uuid.UUID) writeHistory {
	tokens := append([]uuid.UUID{token}, h.tokens...)
	return writeHistory{
		version: h.version + 1,
		tokens:  tokens[:min(len(tokens), maxTokensPerRow)],
	}
}

// newestToken returns the token of the write that made this version, or
// uuid.Nil when the history is empty.
func (h writeHistory) newestToken() uuid.UUID {
	if len(h.tokens) == 0 {
		return uuid.Nil
	}
	return h.tokens[0]
}

// hasAllTokens reports whether the history holds the token of every write that
// the key ever had. Each write raises the version by one.
func (h writeHistory) hasAllTokens() bool {
	return h.version == uint64(len(h.tokens))
}

// writeStatus says whether one write took effect, as far as a row's write
// history shows. Larger values are stronger evidence.
type writeStatus int

const (
	// statusUnknown means that the history doesn't reach back far enough to tell.
	statusUnknown writeStatus = iota
	// statusNotApplied means that the write has not taken effect so far; it may
	// still do so.
	statusNotApplied
	// statusApplied means that the write took effect.
	statusApplied
	// statusSuperseded means that another write replaced the version that this
	// write expected, so this write can never take effect.
	statusSuperseded
)

// statusOf returns the status of the write with the given token. The write
// expected the row at the version that the write with the token previous had
// made; previous is uuid.Nil when the row was expected to be absent.
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

// encodeEnvelope packs the tokens and the caller's value into the bytes that
// the platform stores as the row's value.
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

// TokenLengthError says that the token bytes of a row's envelope are not a
// whole number of tokens of 16 bytes.
type TokenLengthError struct {
	// Length is the size of all token bytes together.
	Length int
}

// Error names the length in bytes.
func (e *TokenLengthError) Error() string {
	return fmt.Sprintf("%d bytes of tokens are not a multiple of 16", e.Length)
}

// decodeEnvelope splits a stored row into the row with the caller's value and
// the history of its recent writes. A stored value that is no envelope is an
// *EnvelopeError.
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

// decodeTokens splits packed bytes into tokens, or returns a *TokenLengthError.
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

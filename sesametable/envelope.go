package sesametable

import (
	"slices"

	"google.golang.org/protobuf/proto"
)

// maxTokens is the number of recent writes that a row remembers.
const maxTokens = 8

// history holds the tokens of a row's most recent writes, the newest first,
// as they stood at one version.
type history struct {
	version uint64
	tokens  []string
}

// after returns the history once the write with that token has taken effect.
func (h history) after(token string) history {
	tokens := append([]string{token}, h.tokens...)
	return history{
		version: h.version + 1,
		tokens:  tokens[:min(len(tokens), maxTokens)],
	}
}

// newest returns the token that wrote this version, or an empty string.
func (h history) newest() string {
	if len(h.tokens) == 0 {
		return ""
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
// the write with the token previous left it; previous is empty when the row
// was expected to be absent.
func (h history) standingOf(token, previous string) standing {
	if slices.Contains(h.tokens, token) {
		return applied
	}
	if previous == "" {
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
	return proto.Marshal(&Envelope{
		Tokens: h.tokens,
		Value:  value,
	})
}

// open returns the row with its inner value, and its history.
func open(row Row) (Row, history, error) {
	var e Envelope
	if err := proto.Unmarshal(row.Value, &e); err != nil {
		return Row{}, history{}, &EnvelopeError{
			Key:   row.Key,
			Cause: err,
		}
	}
	h := history{
		version: row.Version,
		tokens:  e.GetTokens(),
	}
	row.Value = e.GetValue()
	return row, h, nil
}

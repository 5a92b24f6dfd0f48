package sesamework

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/bits"
	"slices"
)

// MaxIndexSpan bounds how far the greatest member of an IndexSet that is stored is
// from the least index that is not a member, so that the set fits into a row.
const MaxIndexSpan = 1 << 16

const (
	// wordBits and wordBytes are the size of a word of the bitmap.
	wordBits  = 64
	wordBytes = wordBits / 8
)

// IndexSet is an immutable set of indexes from 0 on, such as those of the tasks of a
// step that are done. Its size follows the span between the least index that is not a
// member and the greatest member, not the number of members. The zero value is the
// empty set.
type IndexSet struct {
	// full is how many words at the beginning have all bits set. The words that
	// follow, up to the last with a bit set, are in words.
	full  int
	words []uint64
	// count is the number of members.
	count int
}

// Len returns the number of members.
func (s IndexSet) Len() int {
	return s.count
}

// Has reports whether the index, which is not negative, is a member.
func (s IndexSet) Has(index int) bool {
	word := index / wordBits
	if word < s.full {
		return true
	}
	word -= s.full
	return word < len(s.words) && s.words[word]&(1<<(index%wordBits)) != 0
}

// NextAbsent returns the least index from the given one on that is not a member.
func (s IndexSet) NextAbsent(index int) int {
	index = max(index, s.full*wordBits)
	for word := index/wordBits - s.full; word < len(s.words); word++ {
		absent := ^s.words[word] >> (index % wordBits)
		if absent != 0 {
			return index + bits.TrailingZeros64(absent)
		}
		index = (s.full + word + 1) * wordBits
	}
	return index
}

// With returns the set with these indexes, which are not negative, as members too.
func (s IndexSet) With(indexes ...int) IndexSet {
	with := IndexSet{
		full:  s.full,
		words: slices.Clone(s.words),
		count: s.count,
	}
	for _, index := range indexes {
		if with.Has(index) {
			continue
		}
		word := index/wordBits - with.full
		if word >= len(with.words) {
			with.words = append(with.words, make([]uint64, word+1-len(with.words))...)
		}
		with.words[word] |= 1 << (index % wordBits)
		with.count++
	}
	return with.trimmed()
}

// trimmed returns the set without the full words at the beginning of words.
func (s IndexSet) trimmed() IndexSet {
	full := 0
	for full < len(s.words) && s.words[full] == ^uint64(0) {
		full++
	}
	s.full += full
	s.words = slices.Clip(s.words[full:])
	return s
}

// storedIndexSet is the form in which an IndexSet is stored.
type storedIndexSet struct {
	// Full is the number of full words, of 64 indexes each, at the beginning.
	Full int `json:"full,omitempty"`
	// Bits holds the words that follow, each with its lowest byte first.
	Bits []byte `json:"bits,omitempty"`
}

// MarshalJSON returns the set in its stored form.
func (s IndexSet) MarshalJSON() ([]byte, error) {
	stored := storedIndexSet{
		Full: s.full,
	}
	for _, word := range s.words {
		stored.Bits = binary.LittleEndian.AppendUint64(stored.Bits, word)
	}
	return json.Marshal(stored)
}

// IndexSetError says that a stored IndexSet is malformed.
type IndexSetError struct {
	// Full is the number of full words, and Bytes the length of the others.
	Full  int
	Bytes int
}

// Error names both numbers.
func (e *IndexSetError) Error() string {
	return fmt.Sprintf("set of indexes has %d full words and %d bytes, expected at most %d words and whole ones of %d bytes",
		e.Full, e.Bytes, maxRecurrences/wordBits, wordBytes)
}

// UnmarshalJSON sets s from its stored form. Errors are those of the JSON and an
// *IndexSetError.
func (s *IndexSet) UnmarshalJSON(data []byte) error {
	var stored storedIndexSet
	if err := json.Unmarshal(data, &stored); err != nil {
		return err
	}
	if stored.Full < 0 || stored.Full > maxRecurrences/wordBits || len(stored.Bits)%wordBytes != 0 {
		return &IndexSetError{
			Full:  stored.Full,
			Bytes: len(stored.Bits),
		}
	}
	set := IndexSet{
		full:  stored.Full,
		count: stored.Full * wordBits,
	}
	for rest := stored.Bits; len(rest) > 0; rest = rest[wordBytes:] {
		word := binary.LittleEndian.Uint64(rest)
		set.words = append(set.words, word)
		set.count += bits.OnesCount64(word)
	}
	*s = set.trimmed()
	return nil
}

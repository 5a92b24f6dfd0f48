package sesamework

import (
	"encoding/json"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sesamestack/sesamestack/sesamerows"
)

// TestIndexSet compares sets with maps, over additions in any order and through their
// stored form.
func TestIndexSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		const span = 400
		var s IndexSet
		members := map[int]bool{}
		for _, first := range rapid.SliceOfN(rapid.IntRange(0, span), 0, 12).Draw(t, "first") {
			var added []int
			for i := range rapid.IntRange(1, 100).Draw(t, "count") {
				added = append(added, first+i)
				members[first+i] = true
			}
			before, length := s, s.Len()
			s = s.With(added...)
			is.Equal(before.Len(), length) // sets are immutable
		}
		value, err := json.Marshal(s)
		is.NoErr(err)
		var read IndexSet
		is.NoErr(json.Unmarshal(value, &read))
		is.Equal(read, s)
		is.Equal(s.Len(), len(members))
		absent := 2 * span
		for i := 2*span - 1; i >= 0; i-- {
			if !members[i] {
				absent = i
			}
			is.Equal(s.Has(i), members[i])
			is.Equal(s.NextAbsent(i), absent)
		}
	})
}

// TestIndexSetFitsIntoRow guards against a record that the store refuses: every other
// index of the widest span is a member.
func TestIndexSetFitsIntoRow(t *testing.T) {
	is := is.New(t)
	var indexes []int
	for i := 1; i < MaxIndexSpan; i += 2 {
		indexes = append(indexes, i)
	}
	value, err := json.Marshal(IndexSet{}.With(indexes...))
	is.NoErr(err)
	write := sesamerows.Write{
		Key:   DoneUnitsKey("5c0e7a21d94b36f8", maxRecurrences, MaxSteps),
		Value: value,
	}
	is.NoErr(write.CheckLimits())
}

// TestMalformedIndexSet guards against records from other writers that would make a
// planner hold a huge set, or count members that don't exist.
func TestMalformedIndexSet(t *testing.T) {
	for _, text := range []string{`{"full":-1}`, `{"full":1000000000}`, `{"bits":"AAA="}`} {
		t.Run(text, func(t *testing.T) {
			var s IndexSet
			var malformed *IndexSetError
			is.New(t).True(errors.As(json.Unmarshal([]byte(text), &s), &malformed))
		})
	}
}

// TestDoneKeys checks that the keys of records tell what these are about.
func TestDoneKeys(t *testing.T) {
	is := is.New(t)
	found, err := ParseDoneKey(DoneUnitsKey("job", 7, 3))
	is.NoErr(err)
	is.Equal(found, DoneRow{Job: "job", Occurrence: 7, Step: 3})
	found, err = ParseDoneKey(DoneOccurrencesKey("job"))
	is.NoErr(err)
	is.Equal(found, DoneRow{Job: "job", Occurrences: true})
	for _, name := range []string{"", "job.1", "job.0.0.1"} {
		_, err = ParseDoneKey(sesamerows.Key{Name: name})
		var malformed *NameError
		is.True(errors.As(err, &malformed))
	}
}

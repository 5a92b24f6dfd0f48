package sesamework

import (
	"slices"
	"strconv"
	"strings"

	"github.com/sesamestack/sesamestack/sesamerows"
)

const (
	// maxMemberBytes bounds the members in one row of a run, as JSON. The rest of
	// the row is at most MaxCheckpointBytes, the names in Run.Avoid and the counts
	// in Run.Crashes, which also follow the members.
	maxMemberBytes = 16 << 10
	// memberOverhead is the most JSON of a range of members beside its names, with
	// the count of crashes of one of them.
	memberOverhead = 120
	// crashCountBytes is the most JSON of one count in Run.Crashes.
	crashCountBytes = 16
	// MaxAvoided is the most targets in Run.Avoid.
	MaxAvoided = 32
)

// RunRow names one of the rows that hold a run. A zone in which the run has many
// targets has several rows, numbered from 0.
type RunRow struct {
	Zone   string
	Number int
}

// Key returns the key of the row of the unit's newest run.
func (r RunRow) Key(u UnitID) sesamerows.Key {
	key := RunKey(u, r.Zone)
	if r.Number > 0 {
		key.Name += "/" + strconv.Itoa(r.Number)
	}
	return key
}

// ParseRunKey returns the unit whose newest run has a row with that key, and which
// of the run's rows that is. The error is a *NameError.
func ParseRunKey(key sesamerows.Key) (UnitID, RunRow, error) {
	name, number, numbered := strings.Cut(key.Name, "/")
	row := RunRow{
		Zone: strings.TrimPrefix(key.Table, runTablePrefix),
	}
	if numbered {
		n, err := strconv.Atoi(number)
		if err != nil || n < 1 {
			return UnitID{}, RunRow{}, &NameError{
				Name: key.Name,
			}
		}
		row.Number = n
	}
	u, err := ParseUnit(name)
	return u, row, err
}

// RunPart is the part of a run that one row holds: the run with the members of
// one zone, or some of them.
type RunPart struct {
	Row RunRow
	Run Run
}

// Split returns the parts of the run. Each member is in one of them, with its
// count in Crashes. A part fits into a row whatever the number of members is.
func (r Run) Split() []RunPart {
	var parts []RunPart
	for _, zone := range r.Zones() {
		var members Members
		bytes, number := 0, 0
		flush := func() {
			parts = append(parts, RunPart{
				Row: RunRow{
					Zone:   zone,
					Number: number,
				},
				Run: r.withMembers(members),
			})
			members, bytes = nil, 0
			number++
		}
		for _, m := range r.Members {
			if m.Zone != zone {
				continue
			}
			added := r.addedBytes(members, m)
			if bytes > 0 && bytes+added > maxMemberBytes {
				flush()
				added = r.addedBytes(nil, m)
			}
			members = append(members, m)
			bytes += added
		}
		flush()
	}
	return parts
}

// addedBytes returns the most JSON that the member adds to a row after the members
// that it holds already.
func (r Run) addedBytes(members Members, m Member) int {
	added := 0
	if r.Crashes[m.Index] > 0 {
		added = crashCountBytes
	}
	if n := len(members); n > 0 {
		previous := members[n-1]
		previous.Index = m.Index
		if previous == m && members[n-1].Index+1 == m.Index {
			return added
		}
	}
	return added + memberOverhead + len(m.Target) + len(m.Zone)
}

// withMembers returns the run with only these members and their counts in Crashes.
func (r Run) withMembers(members Members) Run {
	r.Members = members
	all := r.Crashes
	r.Crashes = nil
	for _, m := range members {
		if n, ok := all[m.Index]; ok {
			if r.Crashes == nil {
				r.Crashes = map[int]int{}
			}
			r.Crashes[m.Index] = n
		}
	}
	return r
}

// With returns the run with the members and crashes of another part of it.
func (r Run) With(part Run) Run {
	r.Members = r.Members.With(part.Members)
	if len(part.Crashes) == 0 {
		return r
	}
	crashes := make(map[int]int, len(r.Crashes)+len(part.Crashes))
	for _, counts := range []map[int]int{r.Crashes, part.Crashes} {
		for index, n := range counts {
			crashes[index] = max(crashes[index], n)
		}
	}
	r.Crashes = crashes
	return r
}

// WithAvoided returns the targets to avoid with another one: at most MaxAvoided,
// the newest.
func WithAvoided(avoid []string, target string) []string {
	if slices.Contains(avoid, target) {
		return avoid
	}
	all := append(slices.Clone(avoid), target)
	return all[max(0, len(all)-MaxAvoided):]
}

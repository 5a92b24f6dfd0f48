package sesamework

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// Members are the tasks of a run. In JSON, members with consecutive indexes on
// the same life of a target are one entry with a count, so that the size follows
// the number of targets and not that of the tasks.
type Members []Member

// memberRange is the JSON form of members with consecutive indexes on the same
// life of a target.
type memberRange struct {
	// Member is the first of them.
	Member
	// Count is their number; 0 stands for 1.
	Count int `json:"c,omitempty"`
}

// MarshalJSON returns the members as ranges.
func (m Members) MarshalJSON() ([]byte, error) {
	return json.Marshal(m.ranges())
}

// ranges returns the members as ranges, in their order.
func (m Members) ranges() []memberRange {
	ranges := make([]memberRange, 0, 1)
	for _, next := range m {
		if len(ranges) > 0 && ranges[len(ranges)-1].extend(next) {
			continue
		}
		ranges = append(ranges, memberRange{
			Member: next,
		})
	}
	return ranges
}

// extend adds the member to the range, and returns true if it continues the
// range.
func (r *memberRange) extend(next Member) bool {
	count := max(1, r.Count)
	expected := r.Member
	expected.Index += count
	if next != expected {
		return false
	}
	r.Count = count + 1
	return true
}

// MemberCountError says that a range of members is longer than a step may be.
type MemberCountError struct {
	Count int
}

// Error names the count and the bound.
func (e *MemberCountError) Error() string {
	return fmt.Sprintf("range of %d members, at most %d are possible", e.Count, maxTasks)
}

// UnmarshalJSON sets the members from their ranges. Errors are those of the JSON
// and a *MemberCountError.
func (m *Members) UnmarshalJSON(data []byte) error {
	var ranges []memberRange
	if err := json.Unmarshal(data, &ranges); err != nil {
		return err
	}
	*m = nil
	for _, r := range ranges {
		if r.Count < 0 || r.Count > maxTasks {
			return &MemberCountError{
				Count: r.Count,
			}
		}
		for i := range max(1, r.Count) {
			next := r.Member
			next.Index += i
			*m = append(*m, next)
		}
	}
	return nil
}

// With returns the members and those of others whose indexes they lack, ordered
// by index.
func (m Members) With(others Members) Members {
	merged := slices.Concat(m, others)
	slices.SortStableFunc(merged, func(a, b Member) int {
		return cmp.Compare(a.Index, b.Index)
	})
	return slices.CompactFunc(merged, func(a, b Member) bool {
		return a.Index == b.Index
	})
}

package sesamedispatch

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// differingRows returns the names, with the versions found, of the rows that
// differ from the conditions of a transaction that conflicted.
func (r *term) differingRows(expects []sesamerows.Expect, conflict *sesamerows.ConflictError) []string {
	var names []string
	for _, e := range expects {
		if row, _ := conflict.Row(e.Key); row.Version != e.Version {
			names = append(names, fmt.Sprintf("%s at %d", e.Key.Name, row.Version))
		}
	}
	return names
}

// applyConflict updates the view by the rows that refused a transaction. The row
// of a target may be newer than what the feed has brought. Agents record ends
// together with that row, so the ends of its part are read as well: without them
// the view would take runs for lost whose end is recorded. If that reading
// fails, the rows of targets are left to the feed.
func (r *term) applyConflict(ctx context.Context, rows []sesamerows.Row) {
	var targets, others []sesamerows.Row
	for _, row := range rows {
		if strings.HasPrefix(row.Key.Name, sesamework.TargetPrefix) {
			targets = append(targets, row)
		} else {
			others = append(others, row)
		}
	}
	ends, err := sesamerows.ReadRanges(ctx, r.o.Store, endRanges(targets))
	if err != nil {
		r.o.Log.Emit(eventNoEnds, sesamelog.Fields{
			"targets": len(targets),
			"error":   err,
		})
		targets = nil
	}
	r.view.Apply(slices.Concat(others, ends.Rows, targets), r.now())
}

// endRanges returns the ranges of the ends in the parts of these rows, each once.
func endRanges(rows []sesamerows.Row) []sesamerows.Range {
	var ranges []sesamerows.Range
	for _, row := range rows {
		ends := sesamerows.Range{
			Table: row.Key.Table,
			Part:  row.Key.Part,
			From:  sesamework.EndPrefix,
			To:    sesamework.TargetPrefix,
		}
		if !slices.Contains(ranges, ends) {
			ranges = append(ranges, ends)
		}
	}
	return ranges
}

// maxLossConditions bounds the conditions of one start, so that it fits into a
// transaction with its other entries.
const maxLossConditions = 50

// lossConditions returns the conditions that the view knows all ends in the store
// of those members of the newest run that count as lost; known are the versions of
// end rows. Another run may only be ordered under these: the end of a lost member
// may have been recorded all the same. Of a gang that has lost more than
// maxLossConditions members, only some on each target are checked.
func (u *unit) lossConditions(known map[sesamerows.Key]sesamerows.Version) []sesamerows.Expect {
	var conditions []sesamerows.Expect
	for _, m := range u.lostMembers() {
		if len(conditions) == maxLossConditions {
			break
		}
		key := sesamework.EndKey(m.TargetKey(), u.id.Task(m.Index), u.run.Number)
		conditions = append(conditions, sesamerows.Expect{
			Key:     key,
			Version: known[key],
		})
	}
	return conditions
}

// lostMembers returns the members of the newest run that count as lost: first one
// of each target, then a second of each, and so on.
func (u *unit) lostMembers() []member {
	type ranked struct {
		member
		rank int
	}
	var all []ranked
	onTarget := map[string]int{}
	for _, m := range u.members {
		if !isConcluded(m.outcome) {
			continue
		}
		all = append(all, ranked{
			member: m,
			rank:   onTarget[m.Target],
		})
		onTarget[m.Target]++
	}
	slices.SortStableFunc(all, func(a, b ranked) int {
		return cmp.Compare(a.rank, b.rank)
	})
	members := make([]member, 0, len(all))
	for _, r := range all {
		members = append(members, r.member)
	}
	return members
}

// stateConditions returns the lossConditions of the unit for whose crashes a job
// is published as failed: an end of it may have been recorded all the same. Other
// states have none.
func (r *term) stateConditions(s State) []sesamerows.Expect {
	var conditions []sesamerows.Expect
	if s.state != sesamework.JobFailed {
		return nil
	}
	s.job.eachUnit(func(u *unit) {
		if u.isGivenUp() && conditions == nil {
			conditions = u.lossConditions(r.view.ends)
		}
	})
	return conditions
}

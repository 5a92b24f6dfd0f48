package sesamedispatch

import (
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
// transaction with its other entries. A gang that lost more members has lost
// several targets, and its members end alike.
const maxLossConditions = 40

// lossConditions returns the conditions that no end is in the store of the
// members of the newest run that count as lost. Another run may only be ordered
// under these: the end of a lost member may have been recorded all the same.
func (u *unit) lossConditions() []sesamerows.Expect {
	var absent []sesamerows.Expect
	for _, m := range u.members {
		if isConcluded(m.outcome) && len(absent) < maxLossConditions {
			absent = append(absent, sesamerows.Expect{
				Key: sesamework.EndKey(m.TargetKey(), u.id.Task(m.Index), u.run.Number),
			})
		}
	}
	return absent
}

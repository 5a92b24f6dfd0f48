package sesamedispatch

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
)

// maxObsoleteAge is how long rows that nobody needs may stay in the store while they
// are too few for a transaction of their own.
const maxObsoleteAge = time.Minute

// obsolete holds the rows that nobody needs any more and that are still in the store.
type obsolete struct {
	// rows holds, for those that may only be removed in a certain version, that
	// version, and 0 for the others.
	rows map[sesamerows.Key]sesamerows.Version
	// order holds, by part and name, what rows held when it was last sorted and is not
	// removed yet.
	order []sesamerows.Key
	// since is when the first of them was added, on the steady clock.
	since time.Duration
	// rejections of their removal keep it from being tried.
	rejections rejections
}

// addObsolete adds a row to the obsolete ones, to be removed in that version only
// unless it is 0.
func (v *View) addObsolete(key sesamerows.Key, version sesamerows.Version) {
	if len(v.obsolete.rows) == 0 {
		v.obsolete.since = v.now.Steady
	}
	v.obsolete.rows[key] = version
}

// addOrphan makes the row of a job obsolete whose unit the view does not hold, unless
// the job's own row can't be read: then it may be needed.
func (v *View) addOrphan(key sesamerows.Key, job string) {
	if !v.unreadable[job] {
		v.addObsolete(key, 0)
	}
}

// shouldRemoveObsolete reports whether obsolete rows are to be removed when there is nothing
// else to do.
func (v *View) shouldRemoveObsolete() bool {
	n := len(v.obsolete.rows)
	return n > 0 && !v.obsolete.rejections.isInForce(v.now.Steady) &&
		(n >= maxChangeEntries || v.now.Steady-v.obsolete.since >= maxObsoleteAge)
}

// removal returns the removal of as many rows as fit into a transaction, and what is
// left of order after them.
func (o *obsolete) removal() (sesamerows.Change, []sesamerows.Key) {
	if len(o.order) == 0 {
		o.order = slices.SortedFunc(maps.Keys(o.rows), func(a, b sesamerows.Key) int {
			return cmp.Or(cmp.Compare(a.Part, b.Part), cmp.Compare(a.Name, b.Name))
		})
	}
	var c sesamerows.Change
	for i, key := range o.order {
		if len(c.Expects)+len(c.Removes) >= maxChangeEntries-1 {
			return c, o.order[i:]
		}
		version, isObsolete := o.rows[key]
		if !isObsolete {
			continue
		}
		c.Removes = append(c.Removes, key)
		if version > 0 {
			c.Expects = append(c.Expects, sesamerows.Expect{
				Key:     key,
				Version: version,
			})
		}
	}
	return c, nil
}

// removeObsolete removes obsolete rows, as many as fit into a transaction, those of
// one part together. It returns whether it has removed any. Errors are those of
// commit.
func (r *term) removeObsolete(ctx context.Context) (bool, error) {
	v := r.view
	c, rest := v.obsolete.removal()
	return r.commitParts(ctx, change{
		Change: c,
		onCommit: []func(){func() {
			for _, key := range c.Removes {
				delete(v.obsolete.rows, key)
			}
			v.obsolete.order = rest
			v.obsolete.since = v.now.Steady
			r.o.Log.Emit(eventSwept, sesamelog.Fields{
				"rows": len(c.Removes),
				"left": len(v.obsolete.rows),
			})
		}},
		onReject: []func(error){func(err error) {
			v.obsolete.rejections.add(r.o.Clock.Steady())
			r.logRejected("sweep", "obsolete rows", c, err)
		}},
	})
}

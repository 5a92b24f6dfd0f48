package sesamedispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamerows"
)

// TestEndsOfWidestGang guards against a planner that takes so long for the ends of a
// gang, whose number is a caller's, that it loses its lead, and so does each that
// follows.
func TestEndsOfWidestGang(t *testing.T) {
	is := is.New(t)
	v := smallTasks("gang", 1<<16, true)
	u := v.create(v.jobs["gang"].occurrences[0][0], 0)
	var on *target
	for _, t := range v.targets {
		on = t
	}
	u.setRun(u.nextRun(slices.Repeat([]*target{on}, 1<<16), 0), 0)
	var ends []sesamerows.Row
	for _, m := range u.members {
		ends = append(ends, doneRow(u, m.Member))
	}
	began := time.Now()
	for _, end := range ends {
		v.setEnd("", end)
	}
	is.True(u.done)
	is.True(!u.isActive())
	is.True(time.Since(began) < leaderTimeout)
}

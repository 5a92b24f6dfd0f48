package sesamecontention

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// minChance is the least probability at which work counts as able to end in
	// time, or at least late. Below it, work that can is likelier to earn.
	minChance = 0.1
	// floodFactor is the multiple of its fair share from which a team's work waits
	// for that of others. In trials with uneven teams, 2 cost 3% of all value.
	floodFactor = 3
	// agingFactor is the multiple of its objective after which work goes first
	// within its priority, so that none waits for ever. It is far beyond LateFactor:
	// before that, work that can still earn something is worth more.
	agingFactor = 4 * LateFactor
	// minAging is the least time after which it does, for short objectives.
	minAging = time.Minute
)

// Waiting is work that waits for room: one unit, or several of the same kind.
type Waiting struct {
	Outlook

	Priority int
	Team     string
	// Owed says that the team's guarantee covers the work.
	Owed bool
	// Lasting says that the work runs until it is cancelled, so that its outlook
	// says nothing.
	Lasting bool
	// Room is what the work takes, as a number of cores.
	Room float64
	// Value is what the job earns in time, and Work what it still has to do, both
	// in core-seconds.
	Value float64
	Work  float64
}

// Class is what waiting work can still earn.
type Class int

// The classes, the first of which comes first.
const (
	InTime Class = iota
	Late
	Worthless
)

// Class returns what the work can still earn if it starts now.
func (w Waiting) Class() Class {
	if w.Lasting || w.isAged() {
		return InTime
	}
	inTime, late := w.Chances(0)
	switch {
	case inTime >= minChance:
		return InTime
	case inTime+late >= minChance:
		return Late
	}
	return Worthless
}

// isAged reports whether the work has waited so long that it goes first.
func (w Waiting) isAged() bool {
	return w.Elapsed > max(minAging, agingFactor*w.Objective)
}

// minDensity bounds density from below, where the logarithm is taken.
const minDensity = 1.0 / 256

// density returns the value that can still be earned for the work that the job
// still needs, as a binary logarithm that is rounded down. It is coarse so that
// deadlines decide among similar work: trials in which each small difference counted
// earned less, since the order changed all the time.
func (w Waiting) density() int {
	if w.Lasting || w.Work <= 0 {
		return 0
	}
	return int(math.Floor(math.Log2(max(minDensity, w.Worth(0)*w.Value/w.Work))))
}

// rank holds the sort keys of waiting work.
type rank struct {
	class   Class
	aged    bool
	density int
	// flooding says that the team has far more than its fair share without the work.
	flooding bool
}

// Order returns the order in which the waiting work should be placed, as indexes
// into all. Owed work comes first, and worthless work last. All else goes by
// priority, then by what it can still earn: in time before late, then by value for
// the work that is needed. Among equals, teams that flood the system come last, and
// then the order of all decides. used holds what running work of each team uses, and
// capacity is the sum of all targets, as numbers of cores.
func Order(all []Waiting, used map[string]float64, capacity float64) []int {
	ranks := make([]rank, len(all))
	order := make([]int, len(all))
	for i, w := range all {
		order[i] = i
		ranks[i] = rank{
			class:   w.Class(),
			aged:    w.isAged(),
			density: w.density(),
		}
	}
	compare := func(a, b int) int {
		x, y := ranks[a], ranks[b]
		return cmp.Or(
			trueFirst(all[a].Owed, all[b].Owed),
			trueFirst(x.class != Worthless, y.class != Worthless),
			cmp.Compare(all[a].Priority, all[b].Priority),
			trueFirst(x.aged, y.aged),
			cmp.Compare(x.class, y.class),
			cmp.Compare(y.density, x.density),
			trueFirst(!x.flooding, !y.flooding),
			cmp.Compare(a, b),
		)
	}
	slices.SortFunc(order, compare)
	shares := fairShares(all, used, capacity)
	sum := map[string]float64{}
	maps.Copy(sum, used)
	for _, i := range order {
		team := all[i].Team
		ranks[i].flooding = sum[team] > floodFactor*shares[team]
		sum[team] += all[i].Room
	}
	slices.SortFunc(order, compare)
	return order
}

// fairShares divides the capacity among the teams (max-min fairness): none gets
// more than it uses and asks for, and what one leaves goes to the others. Without
// contention all get what they ask for.
func fairShares(all []Waiting, used map[string]float64, capacity float64) map[string]float64 {
	demand := map[string]float64{}
	maps.Copy(demand, used)
	for _, w := range all {
		demand[w.Team] += w.Room
	}
	teams := slices.SortedFunc(maps.Keys(demand), func(a, b string) int {
		return cmp.Or(cmp.Compare(demand[a], demand[b]), cmp.Compare(a, b))
	})
	shares := make(map[string]float64, len(teams))
	for i, team := range teams {
		share := min(demand[team], capacity/float64(len(teams)-i))
		shares[team] = share
		capacity = max(0, capacity-share)
	}
	return shares
}

// trueFirst compares two conditions for sorting: true comes before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

package sesameplanner

import "time"

// Options are the planner's fixed settings.
type Options struct {
	// Region is the only region that the planner decides for; empty means all.
	Region string
	// Packing is the weight of low fragmentation against completion time,
	// from 0 (time only) to 1 (packing only).
	Packing float64
	// Patience is how long a job waits for room before capacity is reserved
	// for it; 0 means DefaultPatience.
	Patience time.Duration
	// Without switches parts of the policy off, to measure their worth.
	Without Parts
}

// DefaultPatience is the patience of a planner that is given none.
const DefaultPatience = 10 * time.Minute

// Parts names parts of the policy.
type Parts struct {
	// Aging orders a team's jobs by submission plus run time; without it by
	// submission only.
	Aging bool
	// Reservation holds capacity for jobs that wait for long.
	Reservation bool
	// Floating lets an unused guarantee be formed by any workers that can;
	// without it each keeps its block of workers while that can form it.
	Floating bool
	// Correction replaces declared run times and sizes by observed ones.
	Correction bool
	// Packing keeps whole racks whole.
	Packing bool
	// VictimCost stops the work that loses least.
	VictimCost bool
	// Suspicion avoids workers on which several jobs failed in a row.
	Suspicion bool
}

func (o Options) patience() time.Duration {
	if o.Patience > 0 {
		return o.Patience
	}
	return DefaultPatience
}

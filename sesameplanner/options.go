package sesameplanner

import "time"

// Options are the planner's fixed settings.
type Options struct {
	// Region is the only region that the planner decides for; empty means all.
	Region string
	// Packing is the weight of low fragmentation against completion time,
	// from 0 (time only) to 1 (packing only).
	Packing float64
	// ReserveAfter is how long a job waits for room before capacity is reserved
	// for it; 0 means DefaultPatience.
	ReserveAfter time.Duration
	// Disabled switches parts of the policy off, to measure their worth.
	Disabled PolicyFeatures
}

// DefaultReserveAfter is the patience of a planner that is given none.
const DefaultReserveAfter = 10 * time.Minute

// PolicyFeatures names parts of the policy.
type PolicyFeatures struct {
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

func (o Options) reserveAfter() time.Duration {
	if o.ReserveAfter > 0 {
		return o.ReserveAfter
	}
	return DefaultReserveAfter
}

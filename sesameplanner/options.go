package sesameplanner

import "time"

// Options are the planner's fixed settings.
type Options struct {
	// Region restricts the planner to the cells and jobs of one region; empty
	// means all regions.
	Region string
	// Packing weighs low fragmentation against completion time, from 0 (only
	// time counts) to 1 (only fragmentation counts).
	Packing float64
	// ReserveAfter is how long a job waits for room before capacity is reserved
	// for it; 0 means DefaultReserveAfter.
	ReserveAfter time.Duration
	// Disabled switches features of the policy off, to measure what each is
	// worth.
	Disabled PolicyFeatures
}

// DefaultReserveAfter is used when Options.ReserveAfter is 0.
const DefaultReserveAfter = 10 * time.Minute

// PolicyFeatures selects features of the scheduling policy.
type PolicyFeatures struct {
	// Aging orders the jobs of one team and urgency by submission time plus
	// expected run time; without it, by submission time alone.
	Aging bool
	// Reservation holds capacity for jobs that have waited long.
	Reservation bool
	// Floating lets an unused guarantee be formed by any suitable workers;
	// without it, a guarantee stays on the workers it was packed on as long as
	// these can form it.
	Floating bool
	// Correction adjusts declared run times and sizes by what was observed.
	Correction bool
	// Packing prefers placements that keep targets and racks entirely free.
	Packing bool
	// VictimCost preempts the work that loses least by being stopped.
	VictimCost bool
	// Suspicion avoids targets on which jobs of several classes failed in a
	// row.
	Suspicion bool
}

// reserveAfter returns the configured time or the default.
func (o Options) reserveAfter() time.Duration {
	if o.ReserveAfter > 0 {
		return o.ReserveAfter
	}
	return DefaultReserveAfter
}

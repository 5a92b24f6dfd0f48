package sesamework

import "time"

// Times that agents and planners must agree on.
const (
	// LeaseAfterReport is how long after its last confirmed report an agent
	// may let anything run on its target: it covers the longest cut from the
	// store that running work survives.
	LeaseAfterReport = 10 * time.Second
	// ReportInterval is how often an agent reports its target.
	ReportInterval = time.Second
	// MaxTargetSilence is how long a target may not answer its agent before the
	// agent lets the lease lapse: an unanswered call may have extended it.
	MaxTargetSilence = 2 * time.Second
	// clockSkewPercent is by how much of a lease a target's clock may be slow; the
	// platform states 2 percent.
	clockSkewPercent = 2
	// lapseGrace covers the time in which a target ends what has lapsed.
	lapseGrace = time.Second
	// TargetLostTimeout is how long after a report's arrival a planner may
	// give up the target: all that its agent let run has lapsed by then.
	TargetLostTimeout = LeaseAfterReport + LeaseAfterReport*clockSkewPercent/100 + lapseGrace
)

// LapseTimeout returns how long after it was granted a lease has surely ended, and
// what ran under it too.
func LapseTimeout(lease time.Duration) time.Duration {
	return lease + lease*clockSkewPercent/100 + lapseGrace
}

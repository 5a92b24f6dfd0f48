package sesamework

import "time"

// Lease timing. Agents and planners must use the same values: an agent lets its
// target run work under leases that lapse unless they are extended, and a
// planner gives up a target only after they have lapsed.
const (
	// LeaseAfterReport is how long after its last confirmed report an agent
	// may let anything run on its target. It is the longest loss of the store
	// that running work survives.
	LeaseAfterReport = 10 * time.Second
	// ReportInterval is how often an agent reports its target to the store.
	ReportInterval = time.Second
	// MaxTargetSilence is how long a target may leave its agent's calls
	// unanswered before the agent stops extending the lease and lets it lapse:
	// an unanswered call may have extended it.
	MaxTargetSilence = 2 * time.Second
	// clockSkewPercent is how slow a target's clock may be, in percent of the
	// lease; the platform states 2 percent.
	clockSkewPercent = 2
	// lapseGrace is the time that a target has to end the tasks whose lease has
	// lapsed.
	lapseGrace = time.Second
	// TargetLostTimeout is how long after the arrival of a target's last report
	// a planner may give up the target: by then the lease of everything that
	// its agent let run has lapsed.
	TargetLostTimeout = LeaseAfterReport + LeaseAfterReport*clockSkewPercent/100 + lapseGrace
)

// LapseTimeout returns how long after its grant a lease has certainly lapsed
// and everything that ran under it has ended: the lease, the clock skew and
// lapseGrace.
func LapseTimeout(lease time.Duration) time.Duration {
	return lease + lease*clockSkewPercent/100 + lapseGrace
}

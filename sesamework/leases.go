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
	// clockSkew is by how much of a lease a target's clock may be slow; the
	// platform states 2 percent.
	clockSkew = 2
	// lapseSlack covers the time in which a target ends what has lapsed.
	lapseSlack = time.Second
	// SilenceUntilLost is how long after a report's arrival a planner may
	// give up the target: all that its agent let run has lapsed by then.
	SilenceUntilLost = LeaseAfterReport + LeaseAfterReport*clockSkew/100 + lapseSlack
)

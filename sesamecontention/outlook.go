package sesamecontention

import (
	"math"
	"time"
)

const (
	// LateFactor is the multiple of its objective after which a job is worth
	// nothing any more.
	LateFactor = 3
	// LateWorth is the part of its value that a late job earns. Callers lose
	// between half and nine tenths of it.
	LateWorth = 0.2
)

// Policy says by what waiting work is ordered.
type Policy string

// The policies. An empty one means ByOrder.
const (
	// ByOrder orders by deadlines alone.
	ByOrder Policy = "order"
	// ByValue orders by what callers lose, and bounds preemption; see Order and
	// Preemption.
	ByValue Policy = "value"
)

// Outlook is what is known of when a job will end.
type Outlook struct {
	// Objective is the time within which the job should end, and Elapsed how much
	// of it has passed.
	Objective time.Duration
	Elapsed   time.Duration
	// Rest is the median of how long the job takes from its next start to its end.
	Rest time.Duration
	// Spread is the standard deviation of the logarithm of that duration, which is
	// taken to be distributed log-normally.
	Spread float64
}

// Chances returns the probabilities that the job ends in time, and late but not
// worthless, if its next start is that far from now.
func (o Outlook) Chances(wait time.Duration) (inTime, late float64) {
	left := o.Objective - o.Elapsed - wait
	inTime = o.endsWithin(left)
	return inTime, o.endsWithin(left+(LateFactor-1)*o.Objective) - inTime
}

// Worth returns the expected part of its value that the job earns if its next start
// is that far from now.
func (o Outlook) Worth(wait time.Duration) float64 {
	inTime, late := o.Chances(wait)
	return inTime + LateWorth*late
}

// endsWithin returns the probability that the job takes no longer than d.
func (o Outlook) endsWithin(d time.Duration) float64 {
	switch {
	case d <= 0:
		return 0
	case o.Rest <= 0:
		return 1
	}
	z := math.Log(float64(d)/float64(o.Rest)) / max(o.Spread, minSpread)
	return math.Erfc(-z/math.Sqrt2) / 2
}

// minSpread is the least spread that is assumed: no duration is known exactly.
const minSpread = 0.05

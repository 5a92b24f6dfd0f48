package sesamecontention

import "time"

const (
	// maxLoadAge is the age of a planner's summary above which all jobs are admitted:
	// the planner writes one each second while there is too little room.
	maxLoadAge = 3 * time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a caller is asked to
	// try again. Objectives are of some seconds, in which the load can change wholly.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Arrival is a new job, before it is accepted.
type Arrival struct {
	// Objective is the time within which it should end, and Duration how long its
	// longest chain of steps takes by what its caller declares.
	Objective time.Duration
	Duration  time.Duration
	// Timeless says that the job recurs or runs until cancelled, so that a wait
	// doesn't take its value.
	Timeless bool
	// MayBeOwed says that a guarantee may cover the job.
	MayBeOwed bool
	// Units is how many units it adds to those that the planner holds.
	Units int
}

// Load is the planner's summary as it concerns one queue.
type Load struct {
	// Age is how old the summary is.
	Age time.Duration
	// Wait is the expected time until a new job would start, 0 if not known, and
	// Least the shortest expected duration of the queue's jobs.
	Wait  time.Duration
	Least time.Duration
	// Units is how many units the planner holds, and Bound the most it should hold.
	Units int
	Bound int
}

// Verdict says whether a new job is admitted.
type Verdict string

// The verdicts. Both others than Admitted turn the job away.
const (
	Admitted Verdict = "admitted"
	// NoValue says that the job would end too late to earn anything.
	NoValue Verdict = "would end too late"
	// NoUnits says that the planner would hold more units than its bound.
	NoUnits Verdict = "would exceed what the planner holds"
)

// IsHopeless reports whether a job that waits that long before it starts ends too
// late to earn anything.
func IsHopeless(objective, duration, wait time.Duration) bool {
	return objective > 0 && wait > 0 && wait+duration > LateFactor*objective
}

// Admit decides whether a new job is admitted, and if not, after which time its
// caller should try again. A declared duration is a guess, so the job is taken to be
// as short as the shortest of its queue if it declares more. Work that may be owed is
// always admitted, and so is all work while the summary is old.
func Admit(a Arrival, l Load) (Verdict, time.Duration) {
	if a.MayBeOwed || l.Age > maxLoadAge {
		return Admitted, 0
	}
	if l.Units+a.Units > l.Bound {
		return NoUnits, retryAfter(l.Wait)
	}
	duration := min(a.Duration, l.Least)
	if !a.Timeless && IsHopeless(a.Objective, duration, l.Wait) {
		return NoValue, retryAfter(l.Wait + duration - LateFactor*a.Objective)
	}
	return Admitted, 0
}

// retryAfter returns the time in whole seconds, rounded up, within the bounds.
func retryAfter(excess time.Duration) time.Duration {
	whole := (excess + time.Second - 1).Truncate(time.Second)
	return min(max(whole, minRetryAfter), maxRetryAfter)
}

package sesamework

import "time"

// MaxWaitingOccurrences is how many occurrences of a recurring job wait in a planner's
// memory. Further ones that are due wait behind them.
const MaxWaitingOccurrences = 64

// HeldUnits returns how many units a planner holds in memory of the job while none of
// it has started: one for the job, for each step, and for each step and its first unit
// in the occurrences that wait.
func (j Job) HeldUnits() int {
	return 1 + len(j.Steps)*(1+2*min(j.Occurrences(), MaxWaitingOccurrences))
}

// LongestChain returns the declared duration of the longest chain of dependent steps.
func (j Job) LongestChain() time.Duration {
	durations := make([]time.Duration, len(j.Steps))
	for i, s := range j.Steps {
		durations[i] = s.Duration()
	}
	var longest time.Duration
	for _, path := range j.CriticalPaths(durations) {
		longest = max(longest, path)
	}
	return longest
}

package sesamework

import "time"

// MaxWaitingOccurrences is how many occurrences of a recurring job wait in a planner's
// memory. Further ones that are due wait behind them.
const MaxWaitingOccurrences = 64

// stepsPerUnit is how many steps of a job, or of an open occurrence of it, take as much
// of a planner's memory as a unit.
const stepsPerUnit = 3

// UnitsOfSteps returns how many units take as much memory as a job with that many steps
// and open occurrences, without the units that are created of it.
func UnitsOfSteps(steps, occurrences int) int {
	return 1 + steps*(1+occurrences)/stepsPerUnit
}

// HeldUnits returns how many units a planner holds in memory of the job while none of
// it has started: those of its steps, and the first unit of each in the occurrences that
// wait.
func (j Job) HeldUnits() int {
	waiting := min(j.Occurrences(), MaxWaitingOccurrences)
	return UnitsOfSteps(len(j.Steps), waiting) + len(j.Steps)*waiting
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

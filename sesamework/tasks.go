package sesamework

import (
	"fmt"
	"time"
)

// MaxJobTasks is the most tasks of one job that may wait or run at once. It is above
// the 190,000 tasks that callers ask for; docs/CAPACITY.md tells what a planner needs
// for them.
const MaxJobTasks = 3 << 16

// minDueWindow is the least time for which an occurrence of a recurring job may stay
// open: planners outlast an outage of the store of 20 s, and work off what came due
// in it.
const minDueWindow = time.Minute

// lateObjectives is how many times its objective an occurrence may take until it has
// lost its value.
const lateObjectives = 3

// TooManyTasksError says that a job has more tasks than a planner holds of one job.
type TooManyTasksError struct {
	// Tasks is the number of tasks of all steps, and Occurrences the number of
	// occurrences that may be due together.
	Tasks       int
	Occurrences int
	// Bound is the most that the product of both may be.
	Bound int
}

// Error names the bound and the value.
func (e *TooManyTasksError) Error() string {
	if e.Occurrences == 1 {
		return fmt.Sprintf("job has %d tasks, expected at most %d", e.Tasks, e.Bound)
	}
	return fmt.Sprintf("job has %d tasks in each of %d occurrences that may be due together, expected at most %d in all",
		e.Tasks, e.Occurrences, e.Bound)
}

// CheckTasks returns a *TooManyTasksError if more than MaxJobTasks tasks of the valid
// job may be due together. now is the time of day in Unix milliseconds.
func (j Job) CheckTasks(now int64) error {
	tasks := 0
	for _, s := range j.Steps {
		tasks += s.Count
	}
	occurrences := j.dueTogether(now)
	if tasks*occurrences <= MaxJobTasks {
		return nil
	}
	return &TooManyTasksError{
		Tasks:       tasks,
		Occurrences: occurrences,
		Bound:       MaxJobTasks,
	}
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

// MaxWaitingOccurrences is how many occurrences of a recurring job wait in a planner's
// memory. Further ones that are due wait behind them.
const MaxWaitingOccurrences = 64

// HeldUnits returns how many units a planner holds in memory of the job while none of
// it has started: one for the job, for each step, and for each step and its first unit
// in the occurrences that wait.
func (j Job) HeldUnits() int {
	return 1 + len(j.Steps)*(1+2*min(j.Occurrences(), MaxWaitingOccurrences))
}

// dueTogether returns how many occurrences of the job may wait or run at once: those
// that are due already at now, in Unix milliseconds, and those that become due until
// they have lost their value.
func (j Job) dueTogether(now int64) int {
	if !j.Recurs() {
		return 1
	}
	if j.Interval == 0 {
		return j.Recurrences
	}
	window := max(minDueWindow, lateObjectives*j.Objective(j.LongestChain())).Milliseconds()
	overdue := max(0, now-j.FirstDue)
	return int(min(int64(j.Recurrences), (overdue+window)/j.Interval+1))
}

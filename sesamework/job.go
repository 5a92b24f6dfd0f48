// Package sesamework holds the values of jobs that consist of steps, in the
// form in which they lie in the store's rows: jobs, runs, ends, targets and
// the states that callers see. It does no input or output.
//
// # Usage
//
//	job := sesamework.Job{
//		ID:    "5c0e7a21d94b36f8",
//		Steps: steps,
//	}
//	if err := job.Validate(); err != nil {
//		return err
//	}
package sesamework

import (
	"fmt"
	"time"
)

// Resources is what a task takes and what a target offers.
type Resources struct {
	// Cores is in thousandths of a core.
	Cores int64 `json:"c,omitempty"`
	// Memory is in MiB.
	Memory       int64 `json:"m,omitempty"`
	Accelerators int64 `json:"a,omitempty"`
}

// Plus returns the sum of both.
func (r Resources) Plus(o Resources) Resources {
	return Resources{
		Cores:        r.Cores + o.Cores,
		Memory:       r.Memory + o.Memory,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Minus returns n less o.
func (r Resources) Minus(o Resources) Resources {
	return r.Plus(o.Times(-1))
}

// Times returns n multiplied.
func (r Resources) Times(k int64) Resources {
	return Resources{
		Cores:        r.Cores * k,
		Memory:       r.Memory * k,
		Accelerators: r.Accelerators * k,
	}
}

// Fits reports whether no part of n exceeds the same part of room.
func (r Resources) Fits(capacity Resources) bool {
	return r.Cores <= capacity.Cores && r.Memory <= capacity.Memory && r.Accelerators <= capacity.Accelerators
}

// AcceleratorCores is what one accelerator counts in cores when work is
// weighed; the platform's price of lost work.
const AcceleratorCores = 8

// CoreEquivalent returns the need in cores, accelerators included.
func (r Resources) CoreEquivalent() float64 {
	return float64(r.Cores)/1000 + AcceleratorCores*float64(r.Accelerators)
}

// Step is a set of equal tasks.
type Step struct {
	Count int       `json:"n"`
	Need  Resources `json:"need"`
	// Estimate is the declared duration of a task, in milliseconds.
	Estimate int64 `json:"est,omitempty"`
	// After lists earlier steps that must be done first.
	After []int `json:"after,omitempty"`
	// Checkpoints says that a stopped task can go on from where it was.
	Checkpoints bool `json:"ckpt,omitempty"`
	// Gang says that the tasks only work together.
	Gang bool `json:"gang,omitempty"`
	// SameRack says that a gang is much slower over several racks.
	SameRack bool `json:"rack,omitempty"`
	// Label must be among the target's labels, if set.
	Label string `json:"label,omitempty"`
	// DataRack is where the tasks are fast, if set.
	DataRack string `json:"data,omitempty"`
	// MaxPerTarget is the most tasks on one target; 0 means no bound.
	MaxPerTarget int `json:"spread,omitempty"`
	// Speculative says that copies of a task may run at once.
	Speculative bool `json:"copies,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"lasts,omitempty"`
	// UsesIdleCores says that the tasks use cores that others leave.
	UsesIdleCores bool `json:"fills,omitempty"`
}

// Reservation returns what a task of the step takes of a target's capacity.
func (s Step) Reservation() Resources {
	reserved := s.Need
	if s.UsesIdleCores {
		reserved.Cores = 0
	}
	return reserved
}

// Duration returns the declared duration of a task.
func (s Step) Duration() time.Duration {
	return time.Duration(s.Estimate) * time.Millisecond
}

// Terms are what the policy in force at its acceptance says of a job.
type Terms struct {
	Service string `json:"service"`
	// Priority 0 comes first.
	Priority int `json:"prio"`
	// Attempts is how often a task may fail.
	Attempts int `json:"tries"`
	// Stretch times the longest chain of steps, and Latency more, is the time
	// in which the job should end. Latency is in milliseconds.
	Stretch float64 `json:"stretch"`
	Latency int64   `json:"latency"`
}

// Job is accepted work.
type Job struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	Team  string `json:"team,omitempty"`
	Terms Terms  `json:"terms"`
	Steps []Step `json:"steps"`
	// Recurrences is how often the steps run, the first time at First in Unix
	// milliseconds and then each Interval milliseconds; 0 means once, now.
	Recurrences int   `json:"times,omitempty"`
	FirstDue    int64 `json:"first,omitempty"`
	Interval    int64 `json:"interval,omitempty"`
	// Accepted is the time of acceptance on the store's steady clock, in
	// milliseconds.
	Accepted int64 `json:"at"`
	// Digest tells requests with the same ID apart.
	Digest string `json:"digest"`
}

// Occurrences returns how often the steps run in all.
func (j Job) Occurrences() int {
	return max(1, j.Recurrences)
}

// Recurs reports whether the steps run at set times.
func (j Job) Recurs() bool {
	return j.Recurrences > 0
}

// Due returns when the occurrence may start, in Unix milliseconds.
func (j Job) Due(occurrence int) int64 {
	return j.FirstDue + int64(occurrence)*j.Interval
}

// CriticalPaths returns for each step the duration of the longest chain that begins
// with it, by the durations of the steps.
func (j Job) CriticalPaths(durations []time.Duration) []time.Duration {
	paths := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		paths[i] += durations[i]
		for _, earlier := range j.Steps[i].After {
			paths[earlier] = max(paths[earlier], paths[i])
		}
	}
	return paths
}

// Objective returns the time in which an occurrence should end whose longest
// chain takes that long.
func (j Job) Objective(criticalPath time.Duration) time.Duration {
	return time.Duration(j.Terms.Stretch*float64(criticalPath)) + time.Duration(j.Terms.Latency)*time.Millisecond
}

// Bounds on what one job may ask for; the row of a job is at most 64 KiB.
const (
	maxSteps       = 256
	maxTasks       = 1 << 16
	maxRecurrences = 1 << 20
	maxAmount      = 1 << 40
)

// InvalidError says which part of a job cannot be taken.
type InvalidError struct {
	Field   string
	Problem string
}

// Error names the field and the problem.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s %s", e.Field, e.Problem)
}

// Validate returns an *InvalidError when the job makes no sense.
func (j Job) Validate() error {
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return &InvalidError{
			Field:   "steps",
			Problem: fmt.Sprintf("has %d entries, expected 1 to %d", len(j.Steps), maxSteps),
		}
	}
	if j.Recurrences < 0 || j.Recurrences > maxRecurrences || j.FirstDue < 0 || j.Interval < 0 {
		return &InvalidError{
			Field:   "times",
			Problem: fmt.Sprintf("is %d from %d each %d ms", j.Recurrences, j.FirstDue, j.Interval),
		}
	}
	for i, s := range j.Steps {
		if problem := s.problem(i); problem != "" {
			return &InvalidError{
				Field:   fmt.Sprintf("step %d", i),
				Problem: problem,
			}
		}
	}
	return nil
}

func (s Step) problem(position int) string {
	if s.Count < 1 || s.Count > maxTasks {
		return fmt.Sprintf("has %d tasks, expected 1 to %d", s.Count, maxTasks)
	}
	for _, amount := range []int64{s.Need.Cores, s.Need.Memory, s.Need.Accelerators, s.Estimate, int64(s.MaxPerTarget)} {
		if amount < 0 || amount > maxAmount {
			return fmt.Sprintf("asks for %d", amount)
		}
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= position {
			return fmt.Sprintf("comes after step %d, which is not an earlier one", earlier)
		}
	}
	return ""
}

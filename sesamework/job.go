// Package sesamework defines what the hosted deployment keeps in its store:
// jobs that consist of steps, runs, ends of runs, targets and the states that
// callers see, with the keys of their rows. It also defines the operators'
// policy and the lease timing. It does no input or output.
//
// A unit is what is started as one: a task, or all tasks of a gang. A run is
// one start of a unit, an occurrence is one due time of a recurring job, and a
// life is one start of a target.
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

// Resources is an amount of cores, memory and accelerators: what a task needs
// or what a target offers.
type Resources struct {
	// Cores is in thousandths of a core.
	Cores int64 `json:"c,omitempty"`
	// Memory is in MiB.
	Memory int64 `json:"m,omitempty"`
	// Accelerators is a number of accelerators.
	Accelerators int64 `json:"a,omitempty"`
}

// Plus returns the sum of r and o, field by field.
func (r Resources) Plus(o Resources) Resources {
	return Resources{
		Cores:        r.Cores + o.Cores,
		Memory:       r.Memory + o.Memory,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Minus returns r minus o, field by field; fields may become negative.
func (r Resources) Minus(o Resources) Resources {
	return r.Plus(o.Times(-1))
}

// Times returns r with every field multiplied by k.
func (r Resources) Times(k int64) Resources {
	return Resources{
		Cores:        r.Cores * k,
		Memory:       r.Memory * k,
		Accelerators: r.Accelerators * k,
	}
}

// Fits reports whether no field of r exceeds the same field of capacity.
func (r Resources) Fits(capacity Resources) bool {
	return r.Cores <= capacity.Cores && r.Memory <= capacity.Memory && r.Accelerators <= capacity.Accelerators
}

// AcceleratorCores is how many cores one accelerator counts as when amounts of
// work are compared; the platform prices lost work at this rate.
const AcceleratorCores = 8

// CoreEquivalent returns the amount as a number of cores, not thousandths of
// them, with AcceleratorCores for each accelerator. Memory does not count.
func (r Resources) CoreEquivalent() float64 {
	return float64(r.Cores)/1000 + AcceleratorCores*float64(r.Accelerators)
}

// Step is a set of identical tasks. The steps of a job form a directed acyclic
// graph, whose edges are in After.
type Step struct {
	// Count is the number of tasks.
	Count int `json:"n"`
	// Need is what one task needs.
	Need Resources `json:"need"`
	// Estimate is the declared duration of a task, in milliseconds.
	Estimate int64 `json:"est,omitempty"`
	// After lists the indexes of the steps that must be done before this one
	// starts. They come earlier in the job.
	After []int `json:"after,omitempty"`
	// Checkpoints says that a stopped task can resume from its last
	// checkpoint.
	Checkpoints bool `json:"ckpt,omitempty"`
	// Gang says that the tasks only work together, so that they are started
	// as one unit.
	Gang bool `json:"gang,omitempty"`
	// SameRack says that a gang runs much slower across several racks. It is a
	// preference: a gang that has waited for a while takes any racks.
	SameRack bool `json:"rack,omitempty"`
	// Label is a label that a target must have to run the tasks; empty means
	// any target.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that holds the tasks' data, where they run faster;
	// empty means none. It is a preference like SameRack.
	DataRack string `json:"data,omitempty"`
	// MaxPerTarget is the most tasks on one target; 0 means no bound.
	MaxPerTarget int `json:"spread,omitempty"`
	// Speculative says that several copies of a task may run at once
	// (speculative execution).
	Speculative bool `json:"copies,omitempty"`
	// LongRunning says that the tasks run until the job is cancelled.
	LongRunning bool `json:"lasts,omitempty"`
	// UsesIdleCores says that the tasks run on cores that other tasks leave
	// idle, so that no cores are reserved for them.
	UsesIdleCores bool `json:"fills,omitempty"`
}

// Reservation returns what one task of the step takes from a target's capacity:
// its Need, without the cores if the step uses idle ones.
func (s Step) Reservation() Resources {
	reserved := s.Need
	if s.UsesIdleCores {
		reserved.Cores = 0
	}
	return reserved
}

// UnitAccelerators returns how many accelerators one unit of the step needs: a task, or
// all tasks of a gang.
func (s Step) UnitAccelerators() int64 {
	if s.Gang {
		return s.Need.Accelerators * int64(s.Count)
	}
	return s.Need.Accelerators
}

// Duration returns the declared duration of a task; see Estimate.
func (s Step) Duration() time.Duration {
	return time.Duration(s.Estimate) * time.Millisecond
}

// Terms are the scheduling parameters that the policy sets for the jobs of a
// queue. A job carries those in force at its acceptance.
type Terms struct {
	// Service names the kind of targets that run the tasks, as the operators
	// call it: only a target whose Service is equal runs them.
	Service string `json:"service"`
	// Priority is 0 for the jobs that come first and higher for later ones.
	Priority int `json:"prio"`
	// Attempts is the number of failed runs of a task at which the job fails.
	// It does not bound LongRunning steps.
	Attempts int `json:"tries"`
	// Stretch is a factor and Latency an allowance in milliseconds: the job
	// should end within Stretch times its critical path (the longest chain of
	// steps) plus Latency.
	Stretch float64 `json:"stretch"`
	Latency int64   `json:"latency"`
}

// Job is an accepted request to run steps, once or at recurring times.
type Job struct {
	// ID identifies the job in the keys of its rows. Queue and Team name the
	// queue that accepted it and the team of the caller; Team is empty for a
	// caller without an access key, as public queues allow.
	ID    string `json:"id"`
	Queue string `json:"queue"`
	Team  string `json:"team,omitempty"`
	Terms Terms  `json:"terms"`
	Steps []Step `json:"steps"`
	// Recurrences is how many times the steps of a recurring job run; 0 means
	// that the job does not recur and its steps run once, starting now.
	Recurrences int `json:"times,omitempty"`
	// FirstDue is when the first occurrence is due, in Unix milliseconds.
	FirstDue int64 `json:"first,omitempty"`
	// Interval is the time from one due time to the next, in milliseconds.
	Interval int64 `json:"interval,omitempty"`
	// Accepted is the time of acceptance on the store's steady (monotonic)
	// clock, in milliseconds.
	Accepted int64 `json:"at"`
	// Digest is derived from the request's content. It tells a repetition of
	// the request from another request with the same ID.
	Digest string `json:"digest"`
}

// Occurrences returns how many times the steps run; 1 if the job does not
// recur.
func (j Job) Occurrences() int {
	return max(1, j.Recurrences)
}

// Recurs reports whether the job is recurring, so that its steps run at due
// times instead of once.
func (j Job) Recurs() bool {
	return j.Recurrences > 0
}

// Due returns the earliest start of an occurrence of a recurring job, in Unix
// milliseconds. Occurrences count from 0.
func (j Job) Due(occurrence int) int64 {
	return j.FirstDue + int64(occurrence)*j.Interval
}

// CriticalPaths returns for each step the length of its critical path: the
// longest total duration of a chain of dependent steps that begins with it. The
// argument holds the duration of each step.
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

// Objective returns the time within which an occurrence should end, given the
// length of its critical path. See Terms.Stretch.
func (j Job) Objective(criticalPath time.Duration) time.Duration {
	return time.Duration(j.Terms.Stretch*float64(criticalPath)) + time.Duration(j.Terms.Latency)*time.Millisecond
}

// Bounds on what one job may ask for; the row of a job is at most 64 KiB.
const (
	// MaxSteps is the most steps of a job.
	MaxSteps = 256
	// maxTasks is the most tasks of one step.
	maxTasks = 1 << 16
	// maxRecurrences is the most occurrences of a recurring job.
	maxRecurrences = 1 << 20
	// maxAmount is the highest value of each resource of a step's Need, in the
	// unit of its field, of its Estimate and of its MaxPerTarget.
	maxAmount = 1 << 40
)

// InvalidError says why a job is refused.
type InvalidError struct {
	// Field is the invalid part of the job, such as "step 3".
	Field string
	// Problem says what is wrong. It follows Field in a sentence, as in "has 0
	// tasks".
	Problem string
}

// Error returns the field and the problem.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s %s", e.Field, e.Problem)
}

// Validate checks the job's numbers against their bounds and that each step
// depends on earlier steps only. It returns an *InvalidError for the first
// part that is invalid.
func (j Job) Validate() error {
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return &InvalidError{
			Field:   "steps",
			Problem: fmt.Sprintf("has %d entries, expected 1 to %d", len(j.Steps), MaxSteps),
		}
	}
	if j.Recurrences < 0 || j.Recurrences > maxRecurrences || j.FirstDue < 0 || j.Interval < 0 {
		return &InvalidError{
			Field:   "times",
			Problem: fmt.Sprintf("is %d, first at %d, every %d ms: negative or too high", j.Recurrences, j.FirstDue, j.Interval),
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

// problem returns what is wrong with the step, empty if it is valid. position
// is the index of the step in its job.
func (s Step) problem(position int) string {
	if s.Count < 1 || s.Count > maxTasks {
		return fmt.Sprintf("has %d tasks, expected 1 to %d", s.Count, maxTasks)
	}
	for _, amount := range []int64{s.Need.Cores, s.Need.Memory, s.Need.Accelerators, s.Estimate, int64(s.MaxPerTarget)} {
		if amount < 0 || amount > maxAmount {
			return fmt.Sprintf("has an amount of %d, which is negative or too high", amount)
		}
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= position {
			return fmt.Sprintf("depends on step %d, which is not an earlier step", earlier)
		}
	}
	return ""
}

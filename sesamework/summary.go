package sesamework

import (
	"time"

	"github.com/sesamestack/sesamestack/sesamerows"
)

// summaryName is the name of the planner's summary in StateTable. It is no job's ID:
// these have 16 hexadecimal digits.
const summaryName = "summary"

// SummaryKey returns the key of the row that holds the planner's Summary while there
// is too little room.
func SummaryKey() sesamerows.Key {
	return StateKey(PlanPart, summaryName)
}

// Summary is what the planner tells entries about its load, so that they turn away
// jobs which could earn nothing. Durations are in milliseconds.
type Summary struct {
	// At is when it was written, on the store's clock.
	At int64 `json:"at"`
	// Queues holds the load of each queue of which the planner holds jobs, by name;
	// none if there is room enough.
	Queues map[string]QueueLoad `json:"queues,omitempty"`
	// Units is how many units the planner holds, and Bound how many it should hold
	// at the most.
	Units int `json:"units"`
	Bound int `json:"bound"`
}

// QueueLoad tells how a new job of a queue would fare.
type QueueLoad struct {
	// Wait is the expected time until it would start.
	Wait int64 `json:"wait"`
	// Least and Usual are the shortest and the median expected duration, from the
	// first start to the end, of the queue's open jobs.
	Least int64 `json:"least"`
	Usual int64 `json:"usual"`
}

// WaitTime returns Wait as a duration.
func (q QueueLoad) WaitTime() time.Duration {
	return time.Duration(q.Wait) * time.Millisecond
}

// LeastTime returns Least as a duration.
func (q QueueLoad) LeastTime() time.Duration {
	return time.Duration(q.Least) * time.Millisecond
}

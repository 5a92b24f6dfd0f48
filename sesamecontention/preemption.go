package sesamecontention

import "time"

const (
	// StopTime is how long it takes until what a stopped run used can be used by
	// another: the stop, which takes less than a second, and the delivery of both
	// orders.
	StopTime = 600 * time.Millisecond
	// nearlyDoneShare is the part of its expected duration that a run has left at
	// the most when it counts as nearly done: stopping it loses nearly all of its
	// work and gains little time.
	nearlyDoneShare = 0.25
	// urgentWeight is what a core-second of urgent work is worth in core-seconds
	// that are lost; docs/design/contention.md has the trials.
	urgentWeight = 2
	// minInTime is the least probability of ending in time at which other work may be
	// stopped for a job.
	minInTime = 0.3
)

// Running is a run that may be stopped to make room.
type Running struct {
	// Outlook is that of its job if the run goes on.
	Outlook
	// Again is how long the job takes from the run's next start to its end.
	Again time.Duration
	// Remaining is how much longer the run is expected to take, and Expected how
	// long a whole run does.
	Remaining time.Duration
	Expected  time.Duration
	// StoppedBefore says that the unit's run before was stopped to make room too.
	StoppedBefore bool
	// Lost is the work of the run that is lost, and Value what the job earns in
	// time, both in core-seconds.
	Lost  float64
	Value float64
}

// IsProtected reports whether the run must not be stopped for work that is not
// owed: it is nearly done, or the one before was stopped as well.
func (r Running) IsProtected() bool {
	nearly := max(StopTime, time.Duration(nearlyDoneShare*float64(r.Expected)))
	return r.StoppedBefore || r.Remaining <= min(nearly, r.Expected/2)
}

// Delay returns how much of its value the job is expected to lose by being stopped
// now, if its next run starts that long after the stop.
func (r Running) Delay(wait time.Duration) float64 {
	again := r.Outlook
	again.Rest = r.Again
	return max(0, r.Worth(0)-again.Worth(StopTime+wait)) * r.Value
}

// Gain returns what an urgent job that waits gains from room in StopTime, against
// room after that wait, in core-seconds of lost work that it makes up for. It is 0 if
// the job is likely to be late in either case.
func (w Waiting) Gain(wait time.Duration) float64 {
	inTime, _ := w.Chances(StopTime)
	if inTime < minInTime || wait <= StopTime {
		return 0
	}
	return urgentWeight * (w.Worth(StopTime) - w.Worth(wait)) * w.Value
}

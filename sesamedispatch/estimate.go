package sesamedispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// priorTasks is the weight of the prior, in finished tasks. The prior says
	// that tasks take as long as declared.
	priorTasks = 4
	// priorVariance is the variance of the logarithms of durations within a
	// queue that is assumed before any are known: a factor of 1.65 either way.
	priorVariance = 0.25
	// windowTasks bounds the weight of the past, in finished tasks. Beyond it,
	// older tasks lose weight by exponential smoothing.
	windowTasks = 64
)

// durationModel predicts how long the tasks of a queue take, from those that
// finished: a linear regression of the logarithm of the actual duration on that
// of the declared one. Where declared durations tell little, predictions come
// near the queue's mean.
type durationModel struct {
	// weight is the number of finished tasks, older ones discounted.
	weight float64
	// meanDeclared and meanTaken are means of the logarithms of declared and
	// actual durations in seconds.
	meanDeclared, meanTaken float64
	// squares is the sum of the squared deviations of declared durations, and
	// products that of the products of both deviations, in those logarithms.
	squares, products float64
	// takenSquares is the sum of the squared deviations of actual durations.
	takenSquares float64
	// version counts the updates, so that a job's estimate can be compared with
	// the newest one.
	version int
}

// logSeconds returns the natural logarithm of a duration in seconds. Less than
// a millisecond counts as a millisecond, since zero has no logarithm.
func logSeconds(d time.Duration) float64 {
	return math.Log(max(d, time.Millisecond).Seconds())
}

// update adds a finished task with its declared and its actual duration to the
// regression.
func (m *durationModel) update(declared, taken time.Duration) {
	if m.weight >= windowTasks {
		// Exponential smoothing: each new task takes this share off the others.
		const decay = 1 - 1.0/windowTasks
		m.weight *= decay
		m.squares *= decay
		m.products *= decay
		m.takenSquares *= decay
	}
	m.version++
	m.weight++
	x, y := logSeconds(declared), logSeconds(taken)
	deviation := x - m.meanDeclared
	m.meanDeclared += deviation / m.weight
	takenDeviation := y - m.meanTaken
	m.meanTaken += takenDeviation / m.weight
	m.squares += deviation * (x - m.meanDeclared)
	m.products += deviation * (y - m.meanTaken)
	m.takenSquares += takenDeviation * (y - m.meanTaken)
}

// predict returns how long a task with that declared duration is expected to
// take. It returns the declared duration when m is nil, since nothing is known
// of the queue yet, or when none was declared.
func (m *durationModel) predict(declared time.Duration) time.Duration {
	if m == nil || declared <= 0 {
		return declared
	}
	const prior = priorTasks * priorVariance
	slope := min(max((m.products+prior)/(m.squares+prior), 0), 1)
	bias := m.weight / (m.weight + priorTasks) * (m.meanTaken - m.meanDeclared)
	log := m.meanDeclared + bias + slope*(logSeconds(declared)-m.meanDeclared)
	return time.Duration(math.Exp(log) * float64(time.Second))
}

// withDurationModels makes the view use and update these models, by queue, so
// that what earlier terms of this process learnt is not lost. It returns v.
func (v *View) withDurationModels(models map[string]*durationModel) *View {
	v.durationModels = models
	return v
}

// estimate computes the job's expected durations, critical paths and objective
// by the newest version of its queue's duration model, unless they are up to
// date.
func (v *View) estimate(j *job) {
	model := v.durationModels[j.Queue]
	if model != nil && j.estimateVersion == model.version && j.durations != nil {
		return
	}
	if model != nil {
		j.estimateVersion = model.version
	}
	j.durations = make([]time.Duration, len(j.Steps))
	for i, s := range j.Steps {
		j.durations[i] = model.predict(s.Duration())
	}
	j.criticalPaths = j.CriticalPaths(j.durations)
	j.objective = j.Objective(slices.Max(j.criticalPaths))
}

// updateDurationModel adds how long the run with which a unit was done has taken
// to the model of durations that estimates its queue's next tasks, as if it had run
// on a target of middle speed. It leaves out
// durations that say little: those of long-running steps, of runs after the first
// or from a checkpoint, and of runs outside the rack in which the unit is fast.
func (v *View) updateDurationModel(u *unit, taken time.Duration) {
	if u.run.Number != 1 || u.run.Checkpoint != "" || u.step.LongRunning || v.missedFastRack(u) {
		return
	}
	model, ok := v.durationModels[u.job.Queue]
	if !ok {
		model = &durationModel{}
		v.durationModels[u.job.Queue] = model
	}
	model.update(u.step.Duration(), scaled(taken, 1/v.runFactor(u)))
}

// missedFastRack reports whether a member ran outside the rack in which the
// unit is fast: that of its data, or else the one that the gang should share.
// It also returns true when a member's target, and so its rack, is not known
// any more.
func (v *View) missedFastRack(u *unit) bool {
	rack := u.step.DataRack
	for _, m := range u.members {
		t, ok := v.targets[m.Target]
		if !ok {
			return true
		}
		if rack == "" && u.step.SameRack {
			rack = t.Rack
		}
		if rack != "" && t.Rack != rack {
			return true
		}
	}
	return false
}

// expectedDuration returns how long a run of the unit is expected to take.
func (u *unit) expectedDuration() time.Duration {
	return u.job.durations[u.id.Step]
}

package sesamedispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// priorTasks is how many finished tasks the declarations themselves weigh.
	priorTasks = 4
	// priorVariance is that of the logarithms of durations within a queue,
	// before any are known: a factor of 1.65 either way.
	priorVariance = 0.25
	// windowTasks bounds the weight of the past, in finished tasks.
	windowTasks = 64
)

// durationModel is what the finished tasks of a queue took, as a regression of the
// logarithm of their duration on that of the declared one. Where declarations
// tell little, estimates come near the queue's mean.
type durationModel struct {
	// weight counts tasks, older ones less.
	weight float64
	// meanDeclared and meanTaken are means of logarithms of seconds; variance and
	// covariance are sums of squares and products of deviations.
	meanDeclared, meanTaken float64
	squares, products       float64
	// version numbers the versions of the history.
	version int
}

// logSeconds bounds what enters a logarithm to a millisecond.
func logSeconds(d time.Duration) float64 {
	return math.Log(max(d, time.Millisecond).Seconds())
}

// update takes in a finished task.
func (h *durationModel) update(declared, taken time.Duration) {
	if h.weight >= windowTasks {
		const keep = 1 - 1.0/windowTasks
		h.weight *= keep
		h.squares *= keep
		h.products *= keep
	}
	h.version++
	h.weight++
	x, y := logSeconds(declared), logSeconds(taken)
	deviation := x - h.meanDeclared
	h.meanDeclared += deviation / h.weight
	h.meanTaken += (y - h.meanTaken) / h.weight
	h.squares += deviation * (x - h.meanDeclared)
	h.products += deviation * (y - h.meanTaken)
}

// predict returns the duration to reckon with for a declared one.
func (h *durationModel) predict(declared time.Duration) time.Duration {
	if h == nil || declared <= 0 {
		return declared
	}
	const prior = priorTasks * priorVariance
	slope := min(max((h.products+prior)/(h.squares+prior), 0), 1)
	bias := h.weight / (h.weight + priorTasks) * (h.meanTaken - h.meanDeclared)
	log := h.meanDeclared + bias + slope*(logSeconds(declared)-h.meanDeclared)
	return time.Duration(math.Exp(log) * float64(time.Second))
}

// withDurationModels makes an empty book reckon with what was learnt before.
func (v *View) withDurationModels(models map[string]*durationModel) *View {
	v.durationModels = models
	return v
}

// estimate sets what is expected of a job by what its queue's history says now.
func (v *View) estimate(j *job) {
	h := v.durationModels[j.Queue]
	if h != nil && j.estimateVersion == h.version && j.durations != nil {
		return
	}
	if h != nil {
		j.estimateVersion = h.version
	}
	j.durations = make([]time.Duration, len(j.Steps))
	for i, s := range j.Steps {
		j.durations[i] = h.predict(s.Duration())
	}
	j.criticalPaths = j.CriticalPaths(j.durations)
	j.objective = j.Objective(slices.Max(j.criticalPaths))
}

// updateDurationModel takes in a unit that has just been done, unless its duration says
// little: it went on from a checkpoint, or ran in the wrong rack.
func (v *View) updateDurationModel(u *unit) {
	if u.run.Number != 1 || u.run.Checkpoint != "" || u.step.LongRunning || v.missedFastRack(u) {
		return
	}
	h, ok := v.durationModels[u.job.Queue]
	if !ok {
		h = &durationModel{}
		v.durationModels[u.job.Queue] = h
	}
	h.update(u.step.Duration(), v.now.Store-time.Duration(u.run.OrderedAt)*time.Millisecond)
}

// missedFastRack reports whether the unit's run was not in the rack in which it
// is fast, or nobody knows.
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

// expectedDuration is how long the unit is expected to take.
func (u *unit) expectedDuration() time.Duration {
	return u.job.durations[u.id.Step]
}

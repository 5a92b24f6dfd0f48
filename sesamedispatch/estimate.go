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
	// historyTasks bounds the weight of the past, in finished tasks.
	historyTasks = 64
)

// history is what the finished tasks of a queue took, as a regression of the
// logarithm of their duration on that of the declared one. Where declarations
// tell little, estimates come near the queue's mean.
type history struct {
	// weight counts tasks, older ones less.
	weight float64
	// declared and taken are means of logarithms of seconds; variance and
	// covariance are sums of squares and products of deviations.
	declared, taken      float64
	variance, covariance float64
	// count numbers the versions of the history.
	count int
}

// logSeconds bounds what enters a logarithm to a millisecond.
func logSeconds(d time.Duration) float64 {
	return math.Log(max(d, time.Millisecond).Seconds())
}

// learn takes in a finished task.
func (h *history) learn(declared, taken time.Duration) {
	if h.weight >= historyTasks {
		const keep = 1 - 1.0/historyTasks
		h.weight *= keep
		h.variance *= keep
		h.covariance *= keep
	}
	h.count++
	h.weight++
	x, y := logSeconds(declared), logSeconds(taken)
	before := x - h.declared
	h.declared += before / h.weight
	h.taken += (y - h.taken) / h.weight
	h.variance += before * (x - h.declared)
	h.covariance += before * (y - h.taken)
}

// expect returns the duration to reckon with for a declared one.
func (h *history) expect(declared time.Duration) time.Duration {
	if h == nil || declared <= 0 {
		return declared
	}
	const prior = priorTasks * priorVariance
	slope := min(max((h.covariance+prior)/(h.variance+prior), 0), 1)
	bias := h.weight / (h.weight + priorTasks) * (h.taken - h.declared)
	log := h.declared + bias + slope*(logSeconds(declared)-h.declared)
	return time.Duration(math.Exp(log) * float64(time.Second))
}

// withHistories makes an empty book reckon with what was learnt before.
func (b *Book) withHistories(known map[string]*history) *Book {
	b.histories = known
	return b
}

// estimate sets what is expected of a job by what its queue's history says now.
func (b *Book) estimate(j *job) {
	h := b.histories[j.Queue]
	if h != nil && j.estimated == h.count && j.durations != nil {
		return
	}
	if h != nil {
		j.estimated = h.count
	}
	j.durations = make([]time.Duration, len(j.Steps))
	for i, s := range j.Steps {
		j.durations[i] = h.expect(s.Duration())
	}
	j.tails = j.CriticalPaths(j.durations)
	j.objective = j.Objective(slices.Max(j.tails))
}

// learn takes in a unit that has just been done, unless its duration says
// little: it went on from a checkpoint, or ran in the wrong rack.
func (b *Book) learn(u *unit) {
	if u.run.Number != 1 || u.run.Checkpoint != "" || u.step.LongRunning || b.isScattered(u) {
		return
	}
	h, ok := b.histories[u.job.Queue]
	if !ok {
		h = &history{}
		b.histories[u.job.Queue] = h
	}
	h.learn(u.step.Duration(), b.now.Store-time.Duration(u.run.OrderedAt)*time.Millisecond)
}

// isScattered reports whether the unit's run was not in the rack in which it
// is fast, or nobody knows.
func (b *Book) isScattered(u *unit) bool {
	rack := u.step.DataRack
	for _, m := range u.members {
		t, ok := b.targets[m.Target]
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

// duration is how long the unit is expected to take.
func (u *unit) duration() time.Duration {
	return u.job.durations[u.id.Step]
}

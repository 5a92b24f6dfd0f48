package sesameplanner

import (
	"math"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// Observation is the measured run time and usage of one successful attempt.
type Observation struct {
	Spec sesamemodel.Spec
	// RunTime is the time from the start of the attempt to its success.
	RunTime time.Duration
	// Used is the peak usage of any one task; zero when it was not reported.
	Used sesamemodel.Resources
}

const (
	// historySize is how many observations are kept for each class of a team.
	historySize = 32
	// minObservations is how many observations a correction needs.
	minObservations = 5
	// defaultRunTime is assumed when a run time is neither declared nor
	// observed.
	defaultRunTime = time.Hour
	// maxGrowth is the largest factor by which a task's declared size is
	// corrected.
	maxGrowth = 2.0
)

// Quantiles (0 to 1) of the latest observations of a team's class.
const (
	// typicalQuantile of the run times (the median) orders jobs and weighs
	// risks.
	typicalQuantile = 0.5
	// conservativeQuantile of the run times gives expected ends, which decide
	// about backfill.
	conservativeQuantile = 0.75
	// peakQuantile of the observed peaks, as ratios of the declared cores and
	// memory, is what a task is expected to use.
	peakQuantile = 0.9
)

// classKey identifies one class (kind of work) of one team.
type classKey struct {
	team  sesamemodel.TeamID
	class string
}

// history holds the latest observations of one class of a team.
type history struct {
	// ratios are observed run times divided by the declared ones.
	ratios samples
	// seconds are observed run times, in seconds.
	seconds samples
	// cores and memory are the peaks observed for any one task, divided by the
	// amounts declared for each task.
	cores  samples
	memory samples
}

// samples is a ring buffer of the latest historySize values, with a sorted
// copy.
type samples struct {
	ring []float64
	// next is the position in the full ring that is overwritten next.
	next   int
	sorted []float64
}

// add records a value in place of the oldest if the ring is full.
func (s *samples) add(x float64) {
	if len(s.ring) < historySize {
		s.ring = append(s.ring, x)
	} else {
		s.ring[s.next] = x
		s.next = (s.next + 1) % historySize
	}
	s.sorted = slices.Sorted(slices.Values(s.ring))
}

// quantile returns the q-quantile of the samples, or fallback when there are
// fewer than minObservations.
func (s *samples) quantile(q, fallback float64) float64 {
	if len(s.sorted) < minObservations {
		return fallback
	}
	return s.sorted[int(q*float64(len(s.sorted)-1))]
}

// Observe adds an observation to the history of its team's class, which
// corrects later estimates.
func (p *Planner) Observe(o Observation) {
	key := classKey{
		team:  o.Spec.Team,
		class: o.Spec.Class,
	}
	h, ok := p.histories[key]
	if !ok {
		h = &history{}
		p.histories[key] = h
	}
	h.seconds.add(o.RunTime.Seconds())
	if o.Spec.RunTime > 0 {
		h.ratios.add(o.RunTime.Seconds() / o.Spec.RunTime.Seconds())
	}
	if o.Used.Cores > 0 && o.Spec.Task.Cores > 0 {
		h.cores.add(float64(o.Used.Cores) / float64(o.Spec.Task.Cores))
	}
	if o.Used.Memory > 0 && o.Spec.Task.Memory > 0 {
		h.memory.add(float64(o.Used.Memory) / float64(o.Spec.Task.Memory))
	}
}

// expectedRunTime returns the run time to plan with: the declared one times the
// given quantile (0 to 1) of the ratios observed for the class, if there are
// enough. Without a declared run time it is that quantile of the observed run
// times, or else defaultRunTime.
func (p *Planner) expectedRunTime(spec sesamemodel.Spec, quantile float64) time.Duration {
	declared := spec.RunTime.Seconds()
	h := p.histories[classKey{
		team:  spec.Team,
		class: spec.Class,
	}]
	if h == nil || p.options.Disabled.Correction {
		h = &history{}
	}
	if declared <= 0 {
		return seconds(h.seconds.quantile(quantile, defaultRunTime.Seconds()))
	}
	return seconds(declared * h.ratios.quantile(quantile, 1))
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// correctedTask returns what one task needs: the declared cores and memory,
// increased to what tasks of the class were observed to use. Amounts are never
// reduced, because targets allot what a job declares.
func (p *Planner) correctedTask(spec sesamemodel.Spec) sesamemodel.Resources {
	task := spec.Task
	h := p.histories[classKey{
		team:  spec.Team,
		class: spec.Class,
	}]
	if h == nil || p.options.Disabled.Correction {
		return task
	}
	task.Cores = grow(task.Cores, h.cores.quantile(peakQuantile, 1))
	task.Memory = grow(task.Memory, h.memory.quantile(peakQuantile, 1))
	return task
}

// grow multiplies an amount by the factor, limited to 1 through maxGrowth, and
// rounds up.
func grow(amount int, factor float64) int {
	factor = min(max(factor, 1), maxGrowth)
	return int(math.Ceil(float64(amount) * factor))
}

package sesameplanner

import (
	"math"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// Observation is what one attempt really took.
type Observation struct {
	Spec sesamemodel.Spec
	// RunTime is from the start of the attempt to its success.
	RunTime time.Duration
	// Used is the most that one task used; zero when it was not reported.
	Used sesamemodel.Resources
}

const (
	// historySize is how many observations of a team's class are kept.
	historySize = 32
	// minObservations is how many are needed for a correction.
	minObservations = 5
	// defaultRunTime stands for a run time that is neither declared nor known.
	defaultRunTime = time.Hour
	// maxGrowth bounds the correction of a task's declared size.
	maxGrowth = 2.0
)

const (
	typicalQuantile      = 0.5
	conservativeQuantile = 0.75
	peakQuantile         = 0.9
)

// classKey names one class of one team.
type classKey struct {
	team  sesamemodel.TeamID
	class string
}

// history holds what the latest attempts of one class took.
type history struct {
	// ratios are real over declared run times.
	ratios samples
	// seconds are real run times.
	seconds samples
	cores   samples
	memory  samples
}

// samples is a ring of numbers with a sorted copy.
type samples struct {
	ring   []float64
	next   int
	sorted []float64
}

func (s *samples) add(x float64) {
	if len(s.ring) < historySize {
		s.ring = append(s.ring, x)
	} else {
		s.ring[s.next] = x
		s.next = (s.next + 1) % historySize
	}
	s.sorted = slices.Sorted(slices.Values(s.ring))
}

// quantile returns the q-th part of the samples, or otherwise when there are
// too few.
func (s *samples) quantile(q, fallback float64) float64 {
	if len(s.sorted) < minObservations {
		return fallback
	}
	return s.sorted[int(q*float64(len(s.sorted)-1))]
}

// Observe corrects later estimates of the same team's class.
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

// expectedRunTime returns the run time to reckon with: the declared one, corrected by
// what the team's class really took at that quantile.
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

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// correctedTask returns the job's need of one task, grown to what the team's class
// really used. A size is never reduced: targets hand out what a job declares.
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

func grow(amount int, factor float64) int {
	factor = min(max(factor, 1), maxGrowth)
	return int(math.Ceil(float64(amount) * factor))
}

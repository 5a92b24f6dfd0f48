package sesamespeed

import (
	"math"
	"slices"
)

const (
	// fitRounds is how often groups and targets are fitted in turn. Each fit
	// begins with the result of the one before, so that a few rounds suffice.
	fitRounds = 4
	// robustness is the number of degrees of freedom of the Student t distribution
	// that is assumed for noise. With 3, a task that takes seven times as long as
	// its neighbours has a tenth of their weight.
	robustness = 3
	// targetPriorWeight is the weight of the prior of a target, the middle of the
	// fleet, in observations.
	targetPriorWeight = 1
	// minNoise and maxNoise bound the measured noise, and noiseSample is the least
	// number of observations to measure it from.
	minNoise    = 0.15
	maxNoise    = 0.6
	noiseSample = 20
	// noiseGroup is the least size of a group that counts for noise: smaller ones
	// fit their own noise.
	noiseGroup = 4
	// madToDeviation converts the median absolute deviation of a normal
	// distribution to its standard deviation.
	madToDeviation = 1.4826
)

// fit estimates the levels of groups and the logarithms of targets' factors.
func (m *Model) fit() {
	for range fitRounds {
		for _, t := range m.all {
			t.sum = 0
			t.weight = 0
		}
		for _, g := range m.order {
			m.fitGroup(g)
		}
		for _, t := range m.all {
			t.raw = 0
			if t.weight > 0 {
				t.raw = t.sum / t.weight
			}
			t.log = t.sum / (t.weight + targetPriorWeight)
		}
	}
	m.measureNoise()
}

// weightOf returns the weight of an observation with that residual: 1 for an
// ended task near the estimate.
func (m *Model) weightOf(o observation, residual float64) float64 {
	noise := m.noise * m.noise
	total := noise + o.variance
	robust := robustness / (robustness + residual*residual/total)
	return noise / total * robust
}

// fitGroup estimates the level of the group, and adds what it tells of each
// target to the target's sum: its tasks there compared with those elsewhere.
func (m *Model) fitGroup(g *group) {
	if !g.fitted {
		g.level = g.median()
		g.fitted = true
	}
	var weight, sum float64
	if g.hasExpected {
		weight = m.noise * m.noise / priorVariance
		sum = weight * g.expected
	}
	var seen []*target
	for _, o := range g.list {
		w := m.weightOf(o, o.log-g.level-o.target.log)
		if o.target.inGroup.weight == 0 {
			seen = append(seen, o.target)
		}
		o.target.inGroup.weight += w
		o.target.inGroup.sum += w * o.log
		weight += w
		sum += w * (o.log - o.target.log)
	}
	g.level = sum / weight
	for _, t := range seen {
		here := t.inGroup
		t.inGroup = share{}
		others := weight - here.weight
		if others < 1e-9 {
			continue
		}
		// The level by the tasks elsewhere, and the precision of the difference
		// to it.
		level := (sum - here.sum + here.weight*t.log) / others
		precision := here.weight * others / weight
		t.sum += precision * (here.sum/here.weight - level)
		t.weight += precision
	}
}

// median returns the median of the logarithms of the group's durations without
// the targets' factors.
func (g *group) median() float64 {
	values := make([]float64, 0, len(g.list))
	for _, o := range g.list {
		values = append(values, o.log-o.target.log)
	}
	return medianOf(values)
}

// medianOf sorts the values, of which there is at least one, and returns the
// middle one.
func medianOf(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// measureNoise estimates the noise from the residuals of groups of several tasks.
func (m *Model) measureNoise() {
	var residuals []float64
	groups := 0
	for _, g := range m.order {
		if len(g.list) < noiseGroup {
			continue
		}
		groups++
		for _, o := range g.list {
			if o.variance < m.noise*m.noise {
				residuals = append(residuals, math.Abs(o.log-g.level-o.target.log))
			}
		}
	}
	free := len(residuals) - groups - len(m.all)
	if free < noiseSample {
		m.noise = defaultNoise
		return
	}
	fitted := math.Sqrt(float64(len(residuals)) / float64(free))
	m.noise = min(max(madToDeviation*medianOf(residuals)*fitted, minNoise), maxNoise)
}

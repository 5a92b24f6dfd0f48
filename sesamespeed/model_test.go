package sesamespeed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sesamestack/sesamestack/sesamespeed"
)

// fleet makes observations of tasks on targets whose factors are given. Tasks of a
// step vary by 30%, 3 in 100 take seven times as long, and declared durations are
// off by a factor of 1.9 either way.
type fleet struct {
	random  *rand.Rand
	model   *sesamespeed.Model
	factors []float64
	now     time.Duration
	steps   int
}

// newFleet returns a fleet of that many targets, of which the factors repeat.
func newFleet(seed uint64, targets int, factors ...float64) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)),
		model:  sesamespeed.NewModel(),
	}
	for i := range targets {
		f.factors = append(f.factors, factors[i%len(factors)])
	}
	return f
}

// id returns the identity of the target with that number.
func id(target int) sesamespeed.Target {
	return sesamespeed.Target{
		Name: fmt.Sprint(target),
		Life: 1,
	}
}

// runStep observes the tasks of one step, each on a random target.
func (f *fleet) runStep(tasks int) {
	f.steps++
	actual := math.Exp(f.random.NormFloat64())
	declared := actual * math.Exp(f.random.NormFloat64()*math.Log(1.9))
	for i := range tasks {
		target := f.random.IntN(len(f.factors))
		taken := actual * f.factors[target] * math.Exp(0.3*f.random.NormFloat64())
		if f.random.IntN(100) < 3 {
			taken *= 7
		}
		f.model.Observe(sesamespeed.Observation{
			ID:       fmt.Sprint(i),
			Group:    fmt.Sprint(f.steps),
			Target:   id(target),
			Taken:    time.Duration(taken * float64(time.Second)),
			Expected: time.Duration(declared * float64(time.Second)),
			At:       f.now,
		})
	}
	f.now += time.Second
	f.model.Refresh(f.now)
}

// assertKinds checks the factors of kinds within 15%.
func (f *fleet) assertKinds(is *is.I, expected ...float64) {
	is.Helper()
	kinds := f.model.Kinds()
	is.Equal(len(kinds), len(expected))
	for i, k := range kinds {
		is.True(math.Abs(math.Log(k/expected[i])) < math.Log(1.15))
	}
}

// misjudged returns how many targets of which enough is known are in the wrong
// kind, and how many are known.
func (f *fleet) misjudged() (wrong, known int) {
	sorted := slices.Clone(f.factors)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	for i, factor := range f.factors {
		e := f.model.Estimate(id(i))
		if e.Kind == sesamespeed.UnknownKind {
			continue
		}
		known++
		if e.Kind != slices.Index(sorted, factor) {
			wrong++
		}
	}
	return wrong, known
}

// TestKinds checks that the kinds of the observed deployments are found from a few
// wide steps, despite tails and poor declarations.
func TestKinds(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(seed, 60, 0.7, 0.7, 1.7)
			for range 8 {
				f.runStep(39)
			}
			mean := math.Cbrt(0.7 * 0.7 * 1.7)
			f.assertKinds(is, 0.7/mean, 1.7/mean)
			wrong, known := f.misjudged()
			is.True(known > 50)
			is.True(wrong <= 2)
		})
	}
	t.Run("three mild kinds", func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 60, 0.8, 1, 1.25)
		for range 20 {
			f.runStep(39)
		}
		is.True(f.model.Differ())
		faster := 0
		for i := 0; i < len(f.factors); i += 3 {
			if f.model.Factor(id(i)) < f.model.Factor(id(i+2)) {
				faster++
			}
		}
		is.True(faster >= 19)
	})
}

// TestUniform guards against differences that are only chance: with targets alike,
// all factors are 1, however much is observed.
func TestUniform(t *testing.T) {
	for seed := range uint64(100) {
		f := newFleet(seed, 60, 1)
		for range 30 {
			f.runStep(39)
			is.New(t).True(!f.model.Differ())
		}
	}
}

// TestOutlier guards against one task that changes the judgement of a target.
func TestOutlier(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 20, 0.7, 0.7, 1.7)
	for range 8 {
		f.runStep(39)
	}
	before := f.model.Estimate(id(0))
	f.model.Observe(sesamespeed.Observation{
		ID:     "outlier",
		Group:  "1",
		Target: id(0),
		Taken:  time.Hour,
		At:     f.now,
	})
	is.True(f.model.Refresh(f.now + time.Second))
	after := f.model.Estimate(id(0))
	is.Equal(after.Kind, before.Kind)
	is.True(after.Factor < 1.1*before.Factor)

	const newTarget = 100
	for i := range 12 {
		taken := time.Duration(f.factors[i] * float64(time.Second))
		target := i
		if i == 0 {
			taken = 7 * time.Second
			target = newTarget
		}
		f.model.Observe(sesamespeed.Observation{
			ID:     fmt.Sprint(i),
			Group:  "with a new target",
			Target: id(target),
			Taken:  taken,
		})
	}
	f.model.Refresh(f.now + 2*time.Second)
	is.Equal(f.model.Factor(id(newTarget)), 1.0) // one task tells too little
}

// TestLives checks that a factor belongs to one life of a target.
func TestLives(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 20, 0.7, 0.7, 1.7)
	for range 8 {
		f.runStep(39)
	}
	is.True(f.model.Factor(id(2)) > 1.4)
	next := id(2)
	next.Life++
	is.Equal(f.model.Factor(next), 1.0)
	f.model.Forget(id(2))
	is.Equal(f.model.Factor(id(2)), 1.0)
	is.True(f.model.Refresh(f.now + time.Second))
	is.Equal(f.model.Factor(id(2)), 1.0)
}

// TestQuantile checks that a quantile grows with its probability, about the expected
// duration.
func TestQuantile(t *testing.T) {
	is := is.New(t)
	m := sesamespeed.NewModel()
	is.Equal(m.Quantile(time.Second, 0.5), time.Second)
	is.True(m.Quantile(time.Second, 0.9) > 1300*time.Millisecond)
	is.True(m.Quantile(time.Second, 0.1) < 800*time.Millisecond)
}

// TestAnyObservations guards against estimates that are not numbers, and against a
// model that grows without bound, whatever is observed.
func TestAnyObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := sesamespeed.NewModel()
		targets := rapid.IntRange(1, 5).Draw(t, "targets")
		for i := range rapid.IntRange(0, 60).Draw(t, "observations") {
			m.Observe(sesamespeed.Observation{
				ID:          fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "id")),
				Group:       fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "group")),
				Target:      id(rapid.IntRange(0, targets-1).Draw(t, "target")),
				Taken:       time.Duration(rapid.Int64Min(-5).Draw(t, "taken")),
				Expected:    time.Duration(rapid.Int64().Draw(t, "expected")),
				Uncertainty: rapid.Float64Range(0, 10).Draw(t, "uncertainty"),
			})
			m.Refresh(time.Duration(i) * time.Second)
		}
		for i := range targets {
			e := m.Estimate(id(i))
			is.New(t).True(e.Factor > 0 && e.Slowest > 0 && !math.IsInf(e.Slowest, 0))
		}
	})
}

// BenchmarkRefresh measures a fit of as many observations as the model keeps, from
// 300 targets.
func BenchmarkRefresh(b *testing.B) {
	f := newFleet(1, 300, 0.7, 0.7, 1.7)
	for range 250 {
		f.runStep(39)
	}
	for b.Loop() {
		f.runStep(39)
	}
}

package sesamedispatch

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// estimateError trains a model with tasks whose durations, as logarithms, vary
// by the deviation spread and whose declared durations are off by the deviation
// off. It returns the mean errors, as logarithms, of the predictions and of the
// declared durations.
func estimateError(tasks int, spread, off float64) (estimated, declared float64) {
	random := rand.New(rand.NewPCG(1, 2))
	model := &durationModel{}
	draw := func() (actual, declaredDuration time.Duration) {
		y := random.NormFloat64() * spread
		x := y + random.NormFloat64()*off
		return time.Duration(math.Exp(y) * float64(time.Second)), time.Duration(math.Exp(x) * float64(time.Second))
	}
	for range tasks {
		took, said := draw()
		model.update(said, took)
	}
	const samples = 200
	for range samples {
		took, said := draw()
		estimated += math.Abs(logSeconds(model.predict(said))-logSeconds(took)) / samples
		declared += math.Abs(logSeconds(said)-logSeconds(took)) / samples
	}
	return estimated, declared
}

// TestEstimates checks that predictions are better than declared durations that
// are far off, and hardly worse than good ones.
func TestEstimates(t *testing.T) {
	t.Run("declarations are far off", func(t *testing.T) {
		estimated, declared := estimateError(20, 0.5, 0.9)
		is.New(t).True(estimated < 0.7*declared)
	})
	t.Run("declarations are good", func(t *testing.T) {
		estimated, declared := estimateError(20, 0.5, 0.2)
		is.New(t).True(estimated < 1.2*declared)
	})
	t.Run("nothing is known", func(t *testing.T) {
		is := is.New(t)
		var none *durationModel
		is.Equal(none.predict(time.Second), time.Second)
		is.Equal(none.predict(0), time.Duration(0))
	})
	t.Run("durations change", func(t *testing.T) {
		is := is.New(t)
		h := &durationModel{}
		for range 5 * windowTasks {
			h.update(time.Second, time.Second)
		}
		for range 5 * windowTasks {
			h.update(time.Second, 3*time.Second)
		}
		is.True(h.predict(time.Second) > 2500*time.Millisecond)
	})
}

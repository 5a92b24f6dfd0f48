package sesamedispatch

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"time"

	"github.com/sesamestack/sesamestack/sesamelog"
)

// upkeepPause is for how long a process leaves upkeep out after it has panicked. What is
// not removed meanwhile takes memory.
const upkeepPause = time.Minute

// UpkeepError says that upkeep has panicked, so that the view may be half updated.
type UpkeepError struct {
	// Value is what the panic was called with.
	Value any
	// Frames are the functions that were running, the innermost first.
	Frames []string
}

// Error tells the value.
func (e *UpkeepError) Error() string {
	return fmt.Sprintf("upkeep panicked: %v", e.Value)
}

// upkeep removes rows that nobody needs: it sweeps if the decision before it was empty,
// and each sweepInterval in any case, and it compacts. written is how many transactions
// the decision took. Callers can do without upkeep for a while, but not without
// planning: a panic ends only the term, with an *UpkeepError, and the terms of this
// process leave upkeep out for upkeepPause. Other errors are those of commit.
func (r *term) upkeep(ctx context.Context, idle bool, written int) (err error) {
	now := r.o.Clock.Steady()
	if now < r.upkeepResumesAt {
		return nil
	}
	defer func() {
		if value := recover(); value != nil {
			err = r.pauseUpkeep(value)
		}
	}()
	if idle || now-r.sweptAt >= sweepInterval {
		if err := r.sweep(ctx); err != nil {
			return err
		}
	}
	return r.compact(ctx, written)
}

// pauseUpkeep leaves upkeep out for upkeepPause. It returns the error for a panic with
// that value, which the caller has recovered.
func (r *term) pauseUpkeep(value any) error {
	err := &UpkeepError{
		Value:  value,
		Frames: panicFrames(),
	}
	r.upkeepResumesAt = r.o.Clock.Steady() + upkeepPause
	r.o.Scope.Counter("upkeep_panics").Inc(1)
	r.o.Log.Emit(eventUpkeepPanicked, sesamelog.Fields{
		"panic":  fmt.Sprint(value),
		"frames": err.Frames,
		"pause":  upkeepPause.Milliseconds(),
	})
	return err
}

const (
	// maxPanicFrames bounds the functions in an UpkeepError.
	maxPanicFrames = 8
	// maxStackDepth bounds the callers that are looked at for them.
	maxStackDepth = 64
)

// panicFrames returns the functions, with their lines, that were running when the panic
// began that is being recovered, the innermost first.
func panicFrames() []string {
	pcs := make([]uintptr, maxStackDepth)
	frames := runtime.CallersFrames(pcs[:runtime.Callers(1, pcs)])
	var found []string
	panicked := false
	for more := true; more && len(found) < maxPanicFrames; {
		var frame runtime.Frame
		frame, more = frames.Next()
		if strings.HasPrefix(frame.Function, "runtime.") {
			panicked = true
			continue
		}
		if panicked {
			found = append(found, fmt.Sprintf("%s:%d", frame.Function, frame.Line))
		}
	}
	return found
}

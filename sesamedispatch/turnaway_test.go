package sesamedispatch_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamecontention"
	"github.com/sesamestack/sesamestack/sesameintake"
	"github.com/sesamestack/sesamestack/sesamework"
)

// TestTurnAway floods a queue. It guards against entries that accept jobs which could
// earn nothing, turn away owed work, or go on turning away when the flood is over.
func TestTurnAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := startWorld(t, 2, 1, worldOptions{
			contention: sesamecontention.ByValue,
		})
		w.sleep(5 * time.Second)
		submit := func(id, queue, key string) error {
			job := sesamework.Job{
				ID:     id,
				Digest: id,
				Steps: []sesamework.Step{{
					Count:    1,
					Estimate: 2000,
					Need: sesamework.Resources{
						Cores:        64000,
						Accelerators: 8,
					},
				}},
			}
			a := &clientJob{
				job:   job,
				tasks: plainTasks(job, 2*time.Second),
			}
			w.mu.Lock()
			w.jobs[id] = a
			w.mu.Unlock()
			a.rejected = true
			err := w.submitOnce(w.entries[1], a, queue, key)
			a.accepted = err == nil
			return err
		}
		for i := range 20 {
			is.NoErr(submit(fmt.Sprint("flood-", i), "batch", "key-b"))
		}
		w.sleep(2 * time.Second)
		var overloaded *sesameintake.OverloadedError
		is.True(errors.As(submit("hopeless", "batch", "key-b"), &overloaded))
		is.Equal(overloaded.Verdict, sesamecontention.NoValue)
		is.NoErr(submit("owed", "urgent", "key-a"))
		is.NoErr(submit("flood-0", "batch", "key-b")) // accepted already
		is.Equal(w.awaitEnds(2*time.Minute), nil)
		is.NoErr(submit("after", "batch", "key-b"))
		is.Equal(w.awaitEnds(time.Minute), nil)
		is.Equal(w.state("hopeless"), sesamework.JobState(""))
		is.Equal(len(w.fleet.Violations()), 0)
	})
}

package sesamedispatch_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamework"
)

// largeGang returns a job of one gang with that many tasks of half a core.
func largeGang(id string, tasks int) *clientJob {
	const work = 5 * time.Second
	return newClientJob(id, sesamework.Step{
		Count: tasks,
		Need: sesamework.Resources{
			Cores:  500,
			Memory: 1000,
		},
		Estimate: work.Milliseconds(),
		Gang:     true,
	}, work)
}

// TestLargeGang guards against a gang that fits and is never started, and keeps
// all other jobs from being started, because its run is larger than a row.
func TestLargeGang(t *testing.T) {
	for _, tasks := range []int{800, 1024, 1400} {
		t.Run(fmt.Sprint(tasks), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, 3, 11)
				w.sleep(3 * time.Second)
				w.submit(largeGang("gang", tasks), "normal", "key-a", 0)
				w.sleep(time.Second)
				for i := range 4 {
					w.submit(newClientJob(fmt.Sprintf("small-%d", i), plainStep(1, time.Second), time.Second), "urgent", "key-a", i)
				}
				assertPromisesKept(t, w, 30*time.Second)
				is.Equal(w.fleet.Starts(), tasks+4)
				is.Equal(w.state("gang"), sesamework.JobCompleted)
			})
		})
	}
}

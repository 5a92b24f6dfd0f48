package sesamedispatch_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesamework"
)

// TestBacklogAfterOutage lets the store be away until waiting jobs are late, while all
// targets are busy. Work that is owed starts in time after it, and a new job starts
// before the late ones that still wait, instead of behind them.
func TestBacklogAfterOutage(t *testing.T) {
	for _, outage := range []time.Duration{4, 7, 12} {
		t.Run(fmt.Sprint(outage*time.Second), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const (
					work  = 2 * time.Second
					late  = 8 // jobs that wait when the store goes away
					fresh = 2 // jobs that are submitted when it is back
				)
				is := is.New(t)
				w := newWorld(t, 1, 2)
				w.sleep(3 * time.Second)
				submit := func(id, queue, key string) {
					w.submit(newClientJob(id, plainStep(8, work), work), queue, key, 0)
				}
				for i := range late {
					submit(fmt.Sprint("late-", i), "batch", "key-b")
				}
				w.setFaults(func(bool) sesamestandin.RowFault {
					return sesamestandin.RowFault{
						Refused: true,
					}
				})
				w.sleep(outage * time.Second)
				w.setFaults(nil)
				back := w.clock.Now()
				began := map[string]time.Duration{}
				w.group.Go(func() error {
					submit("owed-0", "urgent", "key-a")
					submit("owed-1", "urgent", "key-a")
					for i := range fresh {
						submit(fmt.Sprint("fresh-", i), "batch", "key-b")
					}
					return nil
				})
				waiting := []string{"owed-0", "owed-1"}
				for i := range late {
					waiting = append(waiting, fmt.Sprint("late-", i))
				}
				for i := range fresh {
					waiting = append(waiting, fmt.Sprint("fresh-", i))
				}
				for range 4000 {
					for _, id := range waiting {
						if s := w.state(id); began[id] == 0 && s != "" && s != sesamework.JobQueued {
							began[id] = w.clock.Since(back) + 1
						}
					}
					w.sleep(10 * time.Millisecond)
				}
				is.True(began["owed-0"] < urgentStart)
				is.True(began["owed-1"] < urgentStart)
				behind := 0
				for i := range late {
					at := began[fmt.Sprint("late-", i)]
					if at < began["owed-0"] {
						continue // it began before the new jobs came
					}
					behind++
					is.True(began["fresh-0"] < at)
					is.True(began["fresh-1"] < at)
				}
				is.True(behind >= late/2)
				assertPromisesKept(t, w, time.Minute)
			})
		})
	}
}

package sesamecommand_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesameapi"
	"github.com/sesamestack/sesamestack/sesamemodel"
)

func TestTmpLoad(t *testing.T) {
	c := newFailureCluster(t)
	for _, callers := range []int{1, 8, 32} {
		var g errgroup.Group
		var mu sync.Mutex
		var total, open, sub []time.Duration
		began := time.Now()
		before := c.counters(t)
		for range callers {
			client := c.both(buyers)
			g.Go(func() error {
				for range 10 {
					start := time.Now()
					job, err := client.Submit(context.Background(), "", sesameapi.JobRequest{
						Class: "pricing", Kind: sesamemodel.Executor, Tasks: 1,
						Task: sesamemodel.Resources{Slots: 1},
					})
					if err != nil {
						t.Log(err)
						return err
					}
					s := time.Since(start)
					ended, err := client.Wait(context.Background(), job.ID)
					if err != nil {
						t.Log(err)
						return err
					}
					mu.Lock()
					sub = append(sub, s)
					total = append(total, time.Since(start))
					open = append(open, ended.Opened.Sub(start))
					mu.Unlock()
				}
				return nil
			})
		}
		_ = g.Wait()
		after := c.counters(t)
		for _, x := range [][]time.Duration{sub, open, total} {
			slices.Sort(x)
		}
		n := len(total)
		t.Logf("%d callers: %d jobs in %v; submit p50 %v p99 %v; open p50 %v p99 %v; total p50 %v p99 %v; writes %.1f rows %.1f reads %.1f refused %d", callers, n, time.Since(began), sub[n/2], sub[n*99/100], open[n/2], open[n*99/100], total[n/2], total[n*99/100],
			perJob(after.Writes-before.Writes, n), perJob(after.Rows-before.Rows, n), perJob(after.Reads-before.Reads, n), after.Refused-before.Refused)
	}
	for _, e := range []string{"entry-a", "entry-b"} {
		t.Log(c.processes[e].log.String()[:min(6000, len(c.processes[e].log.String()))])
	}
}

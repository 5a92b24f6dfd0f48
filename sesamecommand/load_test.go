package sesamecommand_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesameapi"
)

// jobsPerCaller is how many jobs one caller submits, one after another.
const jobsPerCaller = 10

// latencies collects, for all callers, the time from the submission of each job
// to its start (started) and to the caller knowing its end (done).
type latencies struct {
	mu      sync.Mutex
	started []time.Duration
	done    []time.Duration
}

// add records the two times of one job.
func (l *latencies) add(started, done time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started = append(l.started, started)
	l.done = append(l.done, done)
}

// quantiles returns the median and the 99th percentile. It sorts values.
func quantiles(values []time.Duration) (median, p99 time.Duration) {
	slices.Sort(values)
	return values[len(values)/2], values[len(values)*99/100]
}

// submitAndWait submits jobsPerCaller jobs one after another, waits for the end
// of each and records its latencies.
func submitAndWait(client *sesameapi.Client, l *latencies) error {
	ctx := context.Background()
	for range jobsPerCaller {
		submitted := time.Now()
		job, err := client.Submit(ctx, "", pricingRequest())
		if err != nil {
			return err
		}
		ended, err := client.Wait(ctx, job.ID)
		if err != nil {
			return err
		}
		l.add(ended.StartTime.Sub(submitted), time.Since(submitted))
	}
	return nil
}

// TestConcurrentCallers measures and bounds the start latency of urgent jobs,
// and the rows written for each, with 8 and 32 callers at the same time.
// TestProcesses measures the same with one caller.
func TestConcurrentCallers(t *testing.T) {
	c := newFailureCluster(t)
	for _, callers := range []int{8, 32} {
		t.Run(fmt.Sprintf("%d callers", callers), func(t *testing.T) {
			is := is.New(t)
			var l latencies
			var group errgroup.Group
			before := c.counters(t)
			began := time.Now()
			for range callers {
				group.Go(func() error {
					return submitAndWait(c.clientOfAll(buyers), &l)
				})
			}
			is.NoErr(group.Wait())
			jobs := callers * jobsPerCaller
			rate := float64(jobs) / time.Since(began).Seconds()
			after := c.counters(t)
			median, p99 := quantiles(l.started)
			doneMedian, doneP99 := quantiles(l.done)
			t.Logf("%.1f jobs/s; submit to start median %v, p99 %v; to done median %v, p99 %v", rate, median, p99, doneMedian, doneP99)
			t.Logf("per job: %.1f transactions, %.1f rows written, %.1f reads", perJob(after.Writes-before.Writes, jobs), perJob(after.Rows-before.Rows, jobs), perJob(after.Reads-before.Reads, jobs))
			is.True(p99 < urgentStartLimit)
			is.True(after.Rows-before.Rows <= maxRowsPerJob*jobs)
		})
	}
}

package sesamecommand_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesameapi"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesametarget"
)

// pricingRequest returns an urgent job of one task on an executor.
func pricingRequest() sesameapi.JobRequest {
	return sesameapi.JobRequest{
		Class: "pricing",
		Kind:  sesamemodel.Executor,
		Tasks: 1,
		Task: sesamemodel.Resources{
			Slots: 1,
		},
	}
}

// assertStartsInTime submits an urgent job and fails the test unless it starts
// within urgentStartLimit and is done. The argument when names the situation in
// the test's log.
func assertStartsInTime(t *testing.T, client *sesameapi.Client, when string) {
	t.Helper()
	is := is.New(t)
	submitted := time.Now()
	job, err := client.Submit(context.Background(), "", pricingRequest())
	is.NoErr(err)
	ended, err := client.Wait(context.Background(), job.ID)
	is.NoErr(err)
	is.Equal(ended.State, sesamemodel.Done)
	start := ended.StartTime.Sub(submitted)
	t.Logf("%s: submit to start %v", when, start.Round(time.Millisecond))
	is.True(start < urgentStartLimit)
}

// TestPlannerFrozen suspends each entry in turn with SIGSTOP, so that its
// connections stay open but nothing answers, and checks that the other entry
// starts urgent jobs in time.
func TestPlannerFrozen(t *testing.T) {
	c := newFailureCluster(t)
	for i, name := range []string{"entry-a", "entry-b"} {
		c.signal(name, syscall.SIGSTOP)
		assertStartsInTime(t, c.client(1-i, buyers), "with "+name+" frozen")
		c.signal(name, syscall.SIGCONT)
		eventually(t, "the contracts on all entries", func() bool {
			return c.contractNumber(t, i) == 4
		})
	}
}

// TestPlannerLost kills each entry in turn and checks that the other entry
// starts urgent jobs in time.
func TestPlannerLost(t *testing.T) {
	c := newFailureCluster(t)
	for i, name := range []string{"entry-a", "entry-b"} {
		c.kill(name)
		assertStartsInTime(t, c.client(1-i, buyers), "with "+name+" killed")
		http := strings.TrimPrefix(c.entries[i], "http://")
		c.startEntryAt(name, "a", http, c.wires[i])
		c.waitForListener(http)
	}
}

// injectFaults sets the faults of the stand-in for the platform; an empty
// request ends them.
func (c *cluster) injectFaults(t *testing.T, f sesamestandin.FaultsRequest) {
	t.Helper()
	body, err := json.Marshal(f)
	is.New(t).NoErr(err)
	response, err := http.Post(c.platform+"/v1/faults", "application/json", bytes.NewReader(body))
	is.New(t).NoErr(err)
	response.Body.Close()
}

// TestStoreOutage checks that running work continues while the platform's store
// is down, that a submission fails with problem details meanwhile, and that the
// same submission succeeds after the outage.
func TestStoreOutage(t *testing.T) {
	c := newFailureCluster(t)
	is := is.New(t)
	job, members := c.startGang(t)
	c.injectFaults(t, sesamestandin.FaultsRequest{
		Down: true,
	})
	restored := time.NewTimer(outageDuration)
	defer restored.Stop()
	_, err := c.client(0, buyers).Submit(context.Background(), "outage", pricingRequest())
	var problem *sesameapi.ProblemError
	is.True(errors.As(err, &problem))
	t.Logf("a submission during the outage: %v", err)
	<-restored.C
	for _, member := range members {
		is.Equal(c.runningTasks(t, member, job), 1) // running work goes on
	}
	c.injectFaults(t, sesamestandin.FaultsRequest{})
	began := time.Now()
	eventually(t, "a submission after the outage to be done", func() bool {
		ended, err := c.client(0, buyers).Submit(context.Background(), "outage", pricingRequest())
		return err == nil && ended.State == sesamemodel.Done
	})
	t.Logf("recovered %v after an outage of %v", time.Since(began).Round(time.Millisecond), outageDuration)
	for _, member := range members {
		is.Equal(c.runningTasks(t, member, job), 1)
	}
	c.cancelJob(t, crews, job)
}

// TestPauseInOutage suspends each entry for longer than a heartbeat may take
// while the platform's store is down, after the time in which entries would have
// renewed their rows. Agents whose keeper does not answer try the other entry,
// which can't become the keeper without the store. Running work must go on.
func TestPauseInOutage(t *testing.T) {
	c := newFailureCluster(t)
	is := is.New(t)
	job, members := c.startGang(t)
	c.injectFaults(t, sesamestandin.FaultsRequest{
		Down: true,
	})
	const (
		rosterTimeout = 7 * time.Second
		pause         = 1500 * time.Millisecond
		lease         = 5 * time.Second
	)
	<-time.After(rosterTimeout)
	for _, name := range []string{"entry-a", "entry-b"} {
		c.signal(name, syscall.SIGSTOP)
		<-time.After(pause)
		c.signal(name, syscall.SIGCONT)
		<-time.After(lease)
		for _, member := range members {
			is.Equal(c.runningTasks(t, member, job), 1) // after the pause of the entry
		}
	}
	c.injectFaults(t, sesamestandin.FaultsRequest{})
	eventually(t, "a submission after the outage to be done", func() bool {
		ended, err := c.client(0, buyers).Submit(context.Background(), "outage", pricingRequest())
		return err == nil && ended.State == sesamemodel.Done
	})
	for _, member := range members {
		is.Equal(c.runningTasks(t, member, job), 1)
	}
}

// TestRollingReplacement stops and replaces both entries, and stops an agent,
// one after another under load. No job may fail.
func TestRollingReplacement(t *testing.T) {
	c := newFailureCluster(t)
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var load errgroup.Group
	var done atomic.Int64
	const callers = 8
	for range callers {
		client := c.clientOfAll(buyers)
		load.Go(func() error {
			for ctx.Err() == nil {
				if err := runPricingJob(client); err != nil {
					return err
				}
				done.Add(1)
			}
			return nil
		})
	}
	eventually(t, "the load to run", func() bool {
		return done.Load() > callers
	})
	t.Logf("load runs %d", done.Load())
	for i, name := range []string{"entry-a", "entry-b"} {
		before := time.Now()
		is.Equal(c.processes[name].stop(t), 0)
		t.Logf("stopped in %v, done %d", time.Since(before), done.Load())
		c.startEntryAt(name, "a", strings.TrimPrefix(c.entries[i], "http://"), c.wires[i])
		c.waitForListener(strings.TrimPrefix(c.entries[i], "http://"))
		passed := done.Load()
		eventually(t, "the load to go on", func() bool {
			return done.Load() > passed+callers
		})
	}
	is.Equal(c.processes["executor-1"].stop(t), 0)
	passed := done.Load()
	eventually(t, "the load to go on", func() bool {
		return done.Load() > passed+callers
	})
	cancel()
	is.NoErr(load.Wait())
	t.Logf("%d jobs done while both entries and an agent were replaced", done.Load())
	c.assertNoViolations(t)
}

// runPricingJob submits one urgent job and waits for its end, which is an error
// unless it is done.
func runPricingJob(client *sesameapi.Client) error {
	job, err := client.Submit(context.Background(), "", pricingRequest())
	if err != nil {
		return err
	}
	ended, err := client.Wait(context.Background(), job.ID)
	if err != nil {
		return err
	}
	if ended.State != sesamemodel.Done {
		return fmt.Errorf("job %s ended %s: %s", job.ID, ended.State, ended.Reason)
	}
	return nil
}

// TestLeavingTarget stops an agent gracefully while its target runs a job. The
// target must be marked as leaving in time and get no new work, and the running
// job must end as done.
func TestLeavingTarget(t *testing.T) {
	c := newFailureCluster(t)
	file := c.writeFile("slow", `{"work": "sum", "run": "4s"}`)
	job := c.submit(t, 0, bookkeepers, "--class", "reconciliation", "--kind", "executor", "--payload", file)
	eventually(t, "the reconciliation to run", func() bool {
		return c.status(t, bookkeepers, job).State == sesamemodel.Running
	})
	target := string(c.status(t, bookkeepers, job).Targets[0])
	c.signal(target, syscall.SIGTERM)
	left := time.Now()
	eventually(t, "the target to be marked as leaving", func() bool {
		return strings.Contains(c.run(0, operatorToken, "targets").out, " leaving ")
	})
	t.Logf("marked as leaving after %v", time.Since(left).Round(time.Millisecond))
	is.New(t).True(time.Since(left) < leavingNoticeLimit)
	client := c.client(0, buyers)
	for range 20 {
		is.New(t).NoErr(runPricingJob(client))
	}
	c.assertRun(t, 0, 0, bookkeepers, "wait", job)
	for id := range fetchJSON[map[sesametarget.TaskID]int](t, c.targets[target]+"/v1/starts") {
		if !strings.HasPrefix(string(id), job+":") {
			t.Errorf("task %s was started on the leaving target", id)
		}
	}
}

// TestReclaim fills every worker with work of other teams and submits a job
// within a team's guarantee. It must run in time by preemption, though the
// preempted work needs most of its grace period for a checkpoint.
func TestReclaim(t *testing.T) {
	c := newFailureCluster(t)
	file := c.writeFile("hang", `{"work": "hang", "checkpoint": "800ms"}`)
	arguments := []string{"--accelerators", "8", "--checkpoints", "--payload", file}
	jobs := map[string]string{
		c.submit(t, 0, crews, append(arguments, "--class", "estimate", "--tasks", "6")...): crews,
		c.submit(t, 0, "example-models", append(arguments, "--class", "training")...):      "example-models",
	}
	eventually(t, "every worker to be in use", func() bool {
		used := 0
		for job := range jobs {
			for i := range 7 {
				used += c.runningTasks(t, fmt.Sprintf("worker-%d", i+1), job)
			}
		}
		return used == 7
	})
	reclaiming := pricingRequest()
	reclaiming.Kind = sesamemodel.Worker
	reclaiming.Task = sesamemodel.Resources{
		Accelerators: 8,
	}
	client := c.client(1, buyers)
	submitted := time.Now()
	job, err := client.Submit(context.Background(), "", reclaiming)
	is := is.New(t)
	is.NoErr(err)
	ended, err := client.Wait(context.Background(), job.ID)
	is.NoErr(err)
	is.Equal(ended.State, sesamemodel.Done)
	elapsed := time.Since(submitted)
	t.Logf("submit to done %v, with a checkpoint of 800 ms in between", elapsed.Round(time.Millisecond))
	for _, e := range ended.Events {
		t.Logf("%v %s attempt %d %s", e.Time.Sub(submitted).Round(time.Millisecond), e.State, e.Attempt, e.Reason)
	}
	is.True(elapsed < urgentStartLimit)
	c.assertNoViolations(t)
}

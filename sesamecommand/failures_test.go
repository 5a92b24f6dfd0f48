package sesamecommand_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
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

const (
	// brokenGangBound is within what the members of a broken gang are
	// stopped: one lease and one grace.
	brokenGangBound = 6 * time.Second
	// leavingBound is after what a leaving target gets no new work.
	leavingBound = 2 * time.Second
	// outage is how long the platform is down.
	outage = 10 * time.Second

	hang = `{"work": "hang"}`
)

// newFailureCluster returns two entries, seven workers in three racks and two
// executors, with the example contracts in force.
func newFailureCluster(t *testing.T) *cluster {
	t.Helper()
	c := newCluster(t)
	c.startPlatform()
	c.startEntry("entry-a", "a")
	c.startEntry("entry-b", "b")
	for i := range 7 {
		zone := []string{"a", "b", "c"}[i/3]
		c.startWorker(fmt.Sprintf("worker-%d", i+1), zone, zone+"1")
	}
	c.startExecutor("executor-1", "a")
	c.startExecutor("executor-2", "b")
	eventually(t, "9 ready targets", func() bool {
		return strings.Count(c.run(0, operatorToken, "targets").out, " ready ") == 9
	})
	c.assertRun(t, 0, 0, operatorToken, "apply", "-f", examples)
	eventually(t, "the contracts on all entries", func() bool {
		return c.inForce(t, 0) == 4 && c.inForce(t, 1) == 4
	})
	return c
}

// both returns a client of all entries.
func (c *cluster) both(token string) *sesameapi.Client {
	return sesameapi.NewClient(sesameapi.ClientOptions{
		Addresses: c.entries,
		Token:     token,
	})
}

// fetch reads one JSON value from a stand-in.
func fetch[T any](t *testing.T, url string) T {
	t.Helper()
	var value T
	response, err := http.Get(url)
	is.New(t).NoErr(err)
	defer response.Body.Close()
	is.New(t).NoErr(json.NewDecoder(response.Body).Decode(&value))
	return value
}

// running returns how many tasks of the job run on a target now.
func (c *cluster) running(t *testing.T, target, job string) int {
	t.Helper()
	count := 0
	for _, status := range fetch[[]sesametarget.Status](t, c.targets[target]+sesametarget.TasksPath) {
		if strings.HasPrefix(string(status.ID), job+":") && status.Phase == sesametarget.PhaseRunning {
			count++
		}
	}
	return count
}

// starts returns how often each task of the job was started on the targets
// that still answer.
func (c *cluster) starts(t *testing.T, job string) map[sesametarget.TaskID]int {
	t.Helper()
	starts := map[sesametarget.TaskID]int{}
	for name, url := range c.targets {
		select {
		case <-c.processes[name+"-target"].exited:
			continue
		default:
		}
		for id, n := range fetch[map[sesametarget.TaskID]int](t, url+"/v1/starts") {
			if strings.HasPrefix(string(id), job+":") {
				starts[id] += n
			}
		}
	}
	return starts
}

// assertNoViolations fails the test when an accelerator was used twice.
func (c *cluster) assertNoViolations(t *testing.T) {
	t.Helper()
	for name, url := range c.targets {
		select {
		case <-c.processes[name+"-target"].exited:
			continue
		default:
		}
		response, err := http.Get(url + "/v1/violations")
		is.New(t).NoErr(err)
		var body bytes.Buffer
		_, err = body.ReadFrom(response.Body)
		is.New(t).NoErr(err)
		response.Body.Close()
		if strings.ContainsAny(body.String(), "123456789") {
			t.Errorf("violations on %s: %s", name, body.String())
		}
	}
}

func (c *cluster) kill(name string) {
	p := c.processes[name]
	p.cmd.Process.Kill()
	<-p.exited
}

func (c *cluster) signal(name string, s syscall.Signal) {
	c.processes[name].cmd.Process.Signal(s)
}

// startGang submits a gang of two workers in one rack that runs until it is
// stopped, and returns its members once both run.
func (c *cluster) startGang(t *testing.T) (string, []string) {
	t.Helper()
	file := c.write("hang", hang)
	job := c.submit(t, 0, crews, "--class", "estimate", "--tasks", "2", "--accelerators", "8", "--span", "rack", "--payload", file)
	var members []string
	eventually(t, "both members to run", func() bool {
		members = nil
		for _, target := range c.status(t, crews, job).Targets {
			if c.running(t, string(target), job) == 1 {
				members = append(members, string(target))
			}
		}
		return len(members) == 2
	})
	return job, members
}

// assertStopsWithin fails the test unless no task of the job runs on the
// target within the bound.
func (c *cluster) assertStopsWithin(t *testing.T, bound time.Duration, target, job string) {
	t.Helper()
	began := time.Now()
	eventually(t, "the member on "+target+" to stop", func() bool {
		return c.running(t, target, job) == 0
	})
	elapsed := time.Since(began)
	t.Logf("the member on %s stopped after %v", target, elapsed.Round(time.Millisecond))
	is.New(t).True(elapsed <= bound)
}

func (c *cluster) cancelJob(t *testing.T, token, job string) {
	t.Helper()
	c.assertRun(t, 0, 0, token, "cancel", job)
	c.assertRun(t, 3, 0, token, "wait", job)
}

func TestBrokenGangs(t *testing.T) {
	c := newFailureCluster(t)
	t.Run("a member's VM is lost", func(t *testing.T) {
		job, members := c.startGang(t)
		c.kill(members[1])
		c.kill(members[1] + "-target")
		c.assertStopsWithin(t, brokenGangBound, members[0], job)
		eventually(t, "the gang to run again, whole", func() bool {
			status := c.status(t, crews, job)
			return status.Attempt == 2 && status.State == sesamemodel.Running
		})
		c.cancelJob(t, crews, job)
	})
	t.Run("the first member's agent pauses over its lease", func(t *testing.T) {
		job, members := c.startGang(t)
		c.signal(members[0], syscall.SIGSTOP)
		c.assertStopsWithin(t, brokenGangBound, members[1], job)
		c.assertStopsWithin(t, brokenGangBound, members[0], job)
		c.signal(members[0], syscall.SIGCONT)
		eventually(t, "the gang to run again, whole", func() bool {
			status := c.status(t, crews, job)
			return status.Attempt >= 2 && status.State == sesamemodel.Running
		})
		for id, n := range c.starts(t, job) {
			if n != 1 {
				t.Errorf("task %s was started %d times", id, n)
			}
		}
		c.cancelJob(t, crews, job)
	})
	c.assertNoViolations(t)
}

func TestUnknownOutcome(t *testing.T) {
	c := newFailureCluster(t)
	file := c.write("hang", hang)
	job := c.submit(t, 0, bookkeepers, "--class", "reconciliation", "--kind", "executor", "--payload", file)
	eventually(t, "the reconciliation to run", func() bool {
		return c.status(t, bookkeepers, job).State == sesamemodel.Running
	})
	target := string(c.status(t, bookkeepers, job).Targets[0])
	c.kill(target)
	c.kill(target + "-target")
	eventually(t, "the outcome to be called unknown", func() bool {
		return c.status(t, bookkeepers, job).State == sesamemodel.Unknown
	})
	for _, n := range c.starts(t, job) {
		t.Errorf("the reconciliation was started %d times elsewhere", n)
	}
	o := c.assertRun(t, 0, 0, bookkeepers, "explain", job)
	assertContains(t, o.out, "unknown: ", "lost")
	c.assertRun(t, 0, 0, operatorToken, "resolve", job, "--state", "done", "--ran", "--note", "paid, seen in the ledger")
	is.New(t).Equal(c.status(t, bookkeepers, job).State, sesamemodel.Done)
}

// TestAgentRestarted kills the agent beside a reconciliation that goes on, and
// starts another in its place.
func TestAgentRestarted(t *testing.T) {
	c := newFailureCluster(t)
	file := c.write("slow", `{"work": "sum", "run": "12s", "output": 1000}`)
	job := c.submit(t, 0, bookkeepers, "--class", "reconciliation", "--kind", "executor", "--payload", file)
	eventually(t, "the reconciliation to run", func() bool {
		return c.status(t, bookkeepers, job).State == sesamemodel.Running
	})
	target := string(c.status(t, bookkeepers, job).Targets[0])
	c.kill(target)
	c.restart(target, "agent")
	eventually(t, "the result of the one run", func() bool {
		return c.status(t, bookkeepers, job).State == sesamemodel.Done
	})
	starts := 0
	for _, n := range c.starts(t, job) {
		starts += n
	}
	is.New(t).Equal(starts, 1)
	c.assertResult(t, bookkeepers, job, 0, sesamestandin.Output([]byte(`{"work": "sum", "run": "12s", "output": 1000}`), 0))
}

// restart runs a process again with the settings that it had.
func (c *cluster) restart(name string, args ...string) {
	settings, err := os.ReadFile(filepath.Join(c.directory, name+".yaml"))
	is.New(c.t).NoErr(err)
	c.start(name, string(settings), args...)
}

// TestPlannerFrozen stops each entry in turn without ending it, so that its
// connections stay open and nothing answers.
func TestPlannerFrozen(t *testing.T) {
	c := newFailureCluster(t)
	is := is.New(t)
	for i, name := range []string{"entry-a", "entry-b"} {
		c.signal(name, syscall.SIGSTOP)
		client := c.client(1-i, buyers)
		submitted := time.Now()
		job, err := client.Submit(context.Background(), "", sesameapi.JobRequest{
			Class: "pricing",
			Kind:  sesamemodel.Executor,
			Tasks: 1,
			Task: sesamemodel.Resources{
				Slots: 1,
			},
		})
		is.NoErr(err)
		ended, err := client.Wait(context.Background(), job.ID)
		is.NoErr(err)
		is.Equal(ended.State, sesamemodel.Done)
		t.Logf("with %s frozen: submit to start %v", name, ended.Opened.Sub(submitted).Round(time.Millisecond))
		is.True(ended.Opened.Sub(submitted) < urgentStart)
		c.signal(name, syscall.SIGCONT)
		eventually(t, "the contracts on all entries", func() bool {
			return c.inForce(t, i) == 4
		})
	}
}

func TestPlannerLost(t *testing.T) {
	c := newFailureCluster(t)
	is := is.New(t)
	for _, name := range []string{"entry-a", "entry-b"} {
		other := 1
		if name == "entry-b" {
			other = 0
		}
		http, wire := strings.TrimPrefix(c.entries[1-other], "http://"), c.wires[1-other]
		c.kill(name)
		submitted := time.Now()
		client := c.client(other, buyers)
		job, err := client.Submit(context.Background(), "", sesameapi.JobRequest{
			Class: "pricing",
			Kind:  sesamemodel.Executor,
			Tasks: 1,
			Task: sesamemodel.Resources{
				Slots: 1,
			},
		})
		is.NoErr(err)
		ended, err := client.Wait(context.Background(), job.ID)
		is.NoErr(err)
		is.Equal(ended.State, sesamemodel.Done)
		t.Logf("with %s killed: submit to start %v", name, ended.Opened.Sub(submitted).Round(time.Millisecond))
		is.True(ended.Opened.Sub(submitted) < urgentStart)
		c.startEntryAt(name, "a", http, wire)
		c.dial(http)
	}
}

// faults makes the platform's stand-in fail as asked.
func (c *cluster) faults(t *testing.T, f sesamestandin.FaultsRequest) {
	t.Helper()
	body, err := json.Marshal(f)
	is.New(t).NoErr(err)
	response, err := http.Post(c.platform+"/v1/faults", "application/json", bytes.NewReader(body))
	is.New(t).NoErr(err)
	response.Body.Close()
}

func TestStoreOutage(t *testing.T) {
	c := newFailureCluster(t)
	is := is.New(t)
	job, members := c.startGang(t)
	c.faults(t, sesamestandin.FaultsRequest{
		Down: true,
	})
	restored := time.NewTimer(outage)
	defer restored.Stop()
	_, err := c.client(0, buyers).Submit(context.Background(), "outage", sesameapi.JobRequest{
		Class: "pricing",
		Kind:  sesamemodel.Executor,
		Tasks: 1,
		Task: sesamemodel.Resources{
			Slots: 1,
		},
	})
	var problem *sesameapi.ProblemError
	is.True(errors.As(err, &problem))
	t.Logf("a submission during the outage: %v", err)
	<-restored.C
	for _, member := range members {
		is.Equal(c.running(t, member, job), 1) // running work goes on
	}
	c.faults(t, sesamestandin.FaultsRequest{})
	began := time.Now()
	eventually(t, "a submission after the outage to be done", func() bool {
		ended, err := c.client(0, buyers).Submit(context.Background(), "outage", sesameapi.JobRequest{
			Class: "pricing",
			Kind:  sesamemodel.Executor,
			Tasks: 1,
			Task: sesamemodel.Resources{
				Slots: 1,
			},
		})
		return err == nil && ended.State == sesamemodel.Done
	})
	t.Logf("recovered %v after an outage of %v", time.Since(began).Round(time.Millisecond), outage)
	for _, member := range members {
		is.Equal(c.running(t, member, job), 1)
	}
	c.cancelJob(t, crews, job)
}

func TestRollingReplacement(t *testing.T) {
	c := newFailureCluster(t)
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var load errgroup.Group
	var done atomic.Int64
	const callers = 8
	for range callers {
		client := c.both(buyers)
		load.Go(func() error {
			for ctx.Err() == nil {
				if err := priceOnce(client); err != nil {
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
		c.dial(strings.TrimPrefix(c.entries[i], "http://"))
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

// priceOnce submits one job and waits until it is done.
func priceOnce(client *sesameapi.Client) error {
	job, err := client.Submit(context.Background(), "", sesameapi.JobRequest{
		Class: "pricing",
		Kind:  sesamemodel.Executor,
		Tasks: 1,
		Task: sesamemodel.Resources{
			Slots: 1,
		},
	})
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

func TestLeavingTarget(t *testing.T) {
	c := newFailureCluster(t)
	file := c.write("slow", `{"work": "sum", "run": "4s"}`)
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
	is.New(t).True(time.Since(left) < leavingBound)
	client := c.client(0, buyers)
	for range 20 {
		is.New(t).NoErr(priceOnce(client))
	}
	c.assertRun(t, 0, 0, bookkeepers, "wait", job)
	for id := range fetch[map[sesametarget.TaskID]int](t, c.targets[target]+"/v1/starts") {
		if !strings.HasPrefix(string(id), job+":") {
			t.Errorf("task %s was started on the leaving target", id)
		}
	}
}

package sesamecommand_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesameapi"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesametarget"
)

const (
	// brokenGangStopLimit is the time in which the remaining members of a broken
	// gang must be stopped: one lease and one grace period.
	brokenGangStopLimit = 6 * time.Second
	// leavingNoticeLimit is the time after which a leaving target must get no
	// new work.
	leavingNoticeLimit = 2 * time.Second
	// outageDuration is how long TestStoreOutage keeps the platform down.
	outageDuration = 10 * time.Second

	// hangPayload makes a stand-in's task run until it is stopped.
	hangPayload = `{"work": "hang"}`
)

// newFailureCluster starts a cluster of two entries, seven workers in three
// racks and two executors, and waits until all targets are ready and the
// example contracts are in force on both entries.
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
		return c.contractNumber(t, 0) == 4 && c.contractNumber(t, 1) == 4
	})
	return c
}

// clientOfAll returns an API client that knows all entries, so that it can
// retry a call at another one.
func (c *cluster) clientOfAll(token string) *sesameapi.Client {
	return sesameapi.NewClient(sesameapi.ClientOptions{
		Addresses: c.entries,
		Token:     token,
	})
}

// fetchJSON gets the URL of a stand-in and decodes its answer.
func fetchJSON[T any](t *testing.T, url string) T {
	t.Helper()
	var value T
	response, err := http.Get(url)
	is.New(t).NoErr(err)
	defer response.Body.Close()
	is.New(t).NoErr(json.NewDecoder(response.Body).Decode(&value))
	return value
}

// runningTasks returns how many tasks of the job, or of its attempt for an ID of
// the form job:attempt, the target is running now.
func (c *cluster) runningTasks(t *testing.T, target, job string) int {
	t.Helper()
	count := 0
	for _, status := range fetchJSON[[]sesametarget.Status](t, c.targets[target]+sesametarget.TasksPath) {
		if strings.HasPrefix(string(status.ID), job+":") && status.Phase == sesametarget.PhaseRunning {
			count++
		}
	}
	return count
}

// taskStarts returns how often each task of the job was started on the targets
// that still answer.
func (c *cluster) taskStarts(t *testing.T, job string) map[sesametarget.TaskID]int {
	t.Helper()
	starts := map[sesametarget.TaskID]int{}
	for name, url := range c.targets {
		select {
		case <-c.processes[name+"-target"].exited:
			continue
		default:
		}
		for id, n := range fetchJSON[map[sesametarget.TaskID]int](t, url+"/v1/starts") {
			if strings.HasPrefix(string(id), job+":") {
				starts[id] += n
			}
		}
	}
	return starts
}

// assertNoViolations fails the test if a target that still runs reports that
// two tasks used one accelerator at the same time.
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

// kill kills a process with SIGKILL, so that it can't clean up, and waits until
// it has exited.
func (c *cluster) kill(name string) {
	p := c.processes[name]
	p.cmd.Process.Kill()
	<-p.exited
}

// signal sends a signal to the process with that name.
func (c *cluster) signal(name string, s syscall.Signal) {
	c.processes[name].cmd.Process.Signal(s)
}

// startGang submits a gang of two tasks on two workers of one rack, which run
// until they are stopped. It waits until both run and returns the job's ID and
// the names of the two workers.
func (c *cluster) startGang(t *testing.T) (string, []string) {
	t.Helper()
	file := c.writeFile("hang", hangPayload)
	job := c.submit(t, 0, crews, "--class", "estimate", "--tasks", "2", "--accelerators", "8", "--span", "rack", "--payload", file)
	var members []string
	eventually(t, "both members to run", func() bool {
		members = nil
		for _, target := range c.status(t, crews, job).Targets {
			if c.runningTasks(t, string(target), job) == 1 {
				members = append(members, string(target))
			}
		}
		return len(members) == 2
	})
	return job, members
}

// assertStopsWithin waits until the target runs no task of the job's first
// attempt, and fails the test if that takes longer than the bound. The target
// may run a task of the next attempt as soon as the first has stopped.
func (c *cluster) assertStopsWithin(t *testing.T, bound time.Duration, target, job string) {
	t.Helper()
	began := time.Now()
	firstAttempt := job + ":1"
	eventually(t, "the member on "+target+" to stop", func() bool {
		return c.runningTasks(t, target, firstAttempt) == 0
	})
	elapsed := time.Since(began)
	t.Logf("the member on %s stopped after %v", target, elapsed.Round(time.Millisecond))
	is.New(t).True(elapsed <= bound)
}

// cancelJob cancels a running job and waits until it has ended, which exits
// with code 3 since the job isn't done.
func (c *cluster) cancelJob(t *testing.T, token, job string) {
	t.Helper()
	c.assertRun(t, 0, 0, token, "cancel", job)
	c.assertRun(t, 3, 0, token, "wait", job)
}

// TestBrokenGangs checks that a gang that loses a member, or whose first
// member's agent pauses for longer than its lease, is stopped everywhere in
// time and then runs again as a whole.
func TestBrokenGangs(t *testing.T) {
	c := newFailureCluster(t)
	t.Run("a member's VM is lost", func(t *testing.T) {
		job, members := c.startGang(t)
		c.kill(members[1])
		c.kill(members[1] + "-target")
		c.assertStopsWithin(t, brokenGangStopLimit, members[0], job)
		eventually(t, "the gang to run again, whole", func() bool {
			status := c.status(t, crews, job)
			return status.Attempt == 2 && status.State == sesamemodel.Running
		})
		c.cancelJob(t, crews, job)
	})
	t.Run("the first member's agent pauses over its lease", func(t *testing.T) {
		job, members := c.startGang(t)
		c.signal(members[0], syscall.SIGSTOP)
		c.assertStopsWithin(t, brokenGangStopLimit, members[1], job)
		c.assertStopsWithin(t, brokenGangStopLimit, members[0], job)
		c.signal(members[0], syscall.SIGCONT)
		eventually(t, "the gang to run again, whole", func() bool {
			status := c.status(t, crews, job)
			return status.Attempt >= 2 && status.State == sesamemodel.Running
		})
		for id, n := range c.taskStarts(t, job) {
			if n != 1 {
				t.Errorf("task %s was started %d times", id, n)
			}
		}
		c.cancelJob(t, crews, job)
	})
	c.assertNoViolations(t)
}

// TestUnknownOutcome checks that a job whose target is lost, when it may run
// only once, gets the state unknown, isn't started elsewhere, and ends with the
// outcome that an operator records.
func TestUnknownOutcome(t *testing.T) {
	c := newFailureCluster(t)
	file := c.writeFile("hang", hangPayload)
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
	for _, n := range c.taskStarts(t, job) {
		t.Errorf("the reconciliation was started %d times elsewhere", n)
	}
	o := c.assertRun(t, 0, 0, bookkeepers, "explain", job)
	assertContains(t, o.out, "unknown: ", "lost")
	c.assertRun(t, 0, 0, operatorToken, "resolve", job, "--state", "done", "--ran", "--note", "paid, seen in the ledger")
	is.New(t).Equal(c.status(t, bookkeepers, job).State, sesamemodel.Done)
}

// TestAgentRestarted kills an agent while the task on its target continues, and
// starts the agent again. The new agent must take over the running task: the
// job is done with the result of its only start.
func TestAgentRestarted(t *testing.T) {
	c := newFailureCluster(t)
	file := c.writeFile("slow", `{"work": "sum", "run": "12s", "output": 1000}`)
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
	for _, n := range c.taskStarts(t, job) {
		starts += n
	}
	is.New(t).Equal(starts, 1)
	c.assertResult(t, bookkeepers, job, 0, sesamestandin.ExpectedOutput([]byte(`{"work": "sum", "run": "12s", "output": 1000}`), 0))
}

// restart starts a process again with the settings of its first start.
func (c *cluster) restart(name string, args ...string) {
	settings, err := os.ReadFile(filepath.Join(c.directory, name+".yaml"))
	is.New(c.t).NoErr(err)
	c.start(name, string(settings), args...)
}

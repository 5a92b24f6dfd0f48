package sesamestandin_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesametarget"
)

// startTarget serves a target with 8 cores, 2 accelerators and 2 slots and
// returns its clock, a client and the base URL.
func startTarget(t *testing.T) (*clockwork.FakeClock, *sesametarget.Client, string) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	server := httptest.NewServer(sesamestandin.NewTargetHandler(clock, sesametarget.Description{
		Kind: sesamemodel.Worker,
		Capacity: sesamemodel.Resources{
			Cores:        8,
			Accelerators: 2,
			Slots:        2,
		},
	}))
	t.Cleanup(server.Close)
	return clock, sesametarget.NewClient(server.URL, server.Client()), server.URL
}

// lease returns a lease for the agent with this incarnation.
func lease(holder string, remaining time.Duration) sesametarget.Lease {
	return sesametarget.Lease{
		Holder:      holder,
		RemainingMs: remaining.Milliseconds(),
	}
}

// taskOf returns a task of the agent a1 that needs one accelerator and uses
// those of the mask.
func taskOf(job string, accelerators uint64, payload string) sesametarget.Task {
	return sesametarget.Task{
		ID:              sesametarget.NewTaskID(sesamemodel.JobID(job), 1, 0),
		Holder:          "a1",
		TotalTasks:      1,
		Need:            sesamemodel.Resources{Accelerators: 1},
		AcceleratorMask: accelerators,
		Payload:         []byte(payload),
	}
}

// assertPhase checks the phase that the target reports for the task.
func assertPhase(ctx context.Context, is *is.I, c *sesametarget.Client, id sesametarget.TaskID, phase sesametarget.Phase) {
	is.Helper()
	tasks, err := c.Tasks(ctx)
	is.NoErr(err)
	for _, s := range tasks {
		if s.ID == id {
			is.Equal(s.Phase, phase)
			return
		}
	}
	is.Fail() // the target does not know the task
}

// assertLeaseError checks that the error is a *sesametarget.LeaseError.
func assertLeaseError(is *is.I, err error) {
	is.Helper()
	var refused *sesametarget.LeaseError
	is.True(errors.As(err, &refused))
}

// hang is the payload of a task that runs until it is stopped.
const hang = `{"work":"hang"}`

// TestTargetLease checks that tasks start and run only under a lease, which
// one agent holds at a time.
func TestTargetLease(t *testing.T) {
	ctx := context.Background()

	t.Run("nothing starts without a live lease", func(t *testing.T) {
		is := is.New(t)
		clock, client, _ := startTarget(t)
		assertLeaseError(is, client.Start(ctx, taskOf("j", 1, hang)))
		is.NoErr(client.Renew(ctx, lease("a1", 5*time.Second)))
		clock.Advance(5 * time.Second)
		assertLeaseError(is, client.Start(ctx, taskOf("j", 1, hang)))
	})

	t.Run("another agent gets no lease before the first one ends", func(t *testing.T) {
		is := is.New(t)
		clock, client, _ := startTarget(t)
		is.NoErr(client.Renew(ctx, lease("a1", 5*time.Second)))
		assertLeaseError(is, client.Renew(ctx, lease("a2", 5*time.Second)))
		clock.Advance(5 * time.Second)
		is.NoErr(client.Renew(ctx, lease("a2", 5*time.Second)))
		assertLeaseError(is, client.Renew(ctx, lease("a1", 5*time.Second)))
		assertLeaseError(is, client.Start(ctx, taskOf("j", 1, hang)))
	})

	t.Run("tasks stop with their lease unless they outlive it", func(t *testing.T) {
		is := is.New(t)
		clock, client, _ := startTarget(t)
		longLived := taskOf("kept", 2, hang)
		longLived.OutlivesLease = true
		is.NoErr(client.Renew(ctx, lease("a1", 5*time.Second)))
		is.NoErr(client.Start(ctx, taskOf("j", 1, hang)))
		is.NoErr(client.Start(ctx, longLived))
		clock.Advance(5 * time.Second)
		assertPhase(ctx, is, client, "j:1:0", sesametarget.PhaseStopped)
		assertPhase(ctx, is, client, "kept:1:0", sesametarget.PhaseRunning)
	})

	t.Run("a member follows the lease of its gang", func(t *testing.T) {
		is := is.New(t)
		clock, client, _ := startTarget(t)
		l := lease("a1", 10*time.Second)
		l.TaskRemainingMs = map[sesametarget.TaskID]int64{
			"j:1:0":    2000,
			"late:1:0": 0,
		}
		is.NoErr(client.Renew(ctx, l))
		is.NoErr(client.Start(ctx, taskOf("j", 1, hang)))
		assertLeaseError(is, client.Start(ctx, taskOf("late", 2, hang)))
		clock.Advance(2 * time.Second)
		assertPhase(ctx, is, client, "j:1:0", sesametarget.PhaseStopped)
	})
}

// TestTargetTasks checks starts, stops and outputs of tasks, and the calls
// that the target refuses or delays.
func TestTargetTasks(t *testing.T) {
	ctx := context.Background()

	t.Run("a repeated start runs once", func(t *testing.T) {
		is := is.New(t)
		_, client, url := startTarget(t)
		is.NoErr(client.Renew(ctx, lease("a1", time.Minute)))
		is.NoErr(client.Start(ctx, taskOf("j", 1, hang)))
		is.NoErr(client.Start(ctx, taskOf("j", 1, hang)))
		assertBody(is, url+"/v1/starts", `{"j:1:0":1}`)
	})

	t.Run("accelerators in use are refused and reported", func(t *testing.T) {
		is := is.New(t)
		_, client, url := startTarget(t)
		is.NoErr(client.Renew(ctx, lease("a1", time.Minute)))
		is.NoErr(client.Start(ctx, taskOf("j", 1, hang)))
		var full *sesametarget.BusyError
		is.True(errors.As(client.Start(ctx, taskOf("k", 1, hang)), &full))
		assertBody(is, url+"/v1/violations", `"count":1`)
	})

	t.Run("more slots than an executor has are refused", func(t *testing.T) {
		is := is.New(t)
		_, client, _ := startTarget(t)
		is.NoErr(client.Renew(ctx, lease("a1", time.Minute)))
		for job, want := range []bool{true, true, false} {
			task := taskOf(strconv.Itoa(job), 0, hang)
			task.Need = sesamemodel.Resources{Slots: 1}
			is.Equal(client.Start(ctx, task) == nil, want)
		}
	})

	t.Run("more connections than a target has are refused", func(t *testing.T) {
		is := is.New(t)
		clock, client, url := startTarget(t)
		response, err := http.Post(url+"/v1/pause", "application/json", strings.NewReader(`{"ms":3000}`))
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		for range 60 {
			background(t, func() {
				_, _ = client.Tasks(ctx)
			})
		}
		is.NoErr(clock.BlockUntilContext(ctx, 60))
		_, err = client.Tasks(ctx)
		var full *sesametarget.BusyError
		is.True(errors.As(err, &full))
		clock.Advance(3 * time.Second)
	})

	t.Run("output follows from payload and rank", func(t *testing.T) {
		is := is.New(t)
		clock, client, _ := startTarget(t)
		payload := `{"work":"sum","run":"200ms","output":1024}`
		is.NoErr(client.Renew(ctx, lease("a1", time.Minute)))
		is.NoErr(client.Start(ctx, taskOf("j", 1, payload)))
		_, err := client.Output(ctx, "j:1:0")
		var running *sesametarget.NotDoneError
		is.True(errors.As(err, &running))
		clock.Advance(200 * time.Millisecond)
		output, err := client.Output(ctx, "j:1:0")
		is.NoErr(err)
		is.Equal(len(output), 1024)
		is.Equal(output, sesamestandin.ExpectedOutput([]byte(payload), 0))
	})

	t.Run("a stop answers once the checkpoint is over", func(t *testing.T) {
		is := is.New(t)
		clock, client, _ := startTarget(t)
		is.NoErr(client.Renew(ctx, lease("a1", time.Minute)))
		is.NoErr(client.Start(ctx, taskOf("j", 1, `{"work":"hang","checkpoint":"300ms"}`)))
		done := make(chan sesametarget.Status)
		background(t, func() {
			status, err := client.Stop(ctx, "j:1:0", time.Second)
			is.NoErr(err)
			done <- status
		})
		is.NoErr(clock.BlockUntilContext(ctx, 1))
		clock.Advance(300 * time.Millisecond)
		is.Equal((<-done).Phase, sesametarget.PhaseStopped)
	})

	t.Run("a paused target answers after its pause", func(t *testing.T) {
		is := is.New(t)
		clock, client, url := startTarget(t)
		response, err := http.Post(url+"/v1/pause", "application/json", strings.NewReader(`{"ms":3000}`))
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		done := make(chan error)
		background(t, func() {
			done <- client.Renew(ctx, lease("a1", time.Second))
		})
		is.NoErr(clock.BlockUntilContext(ctx, 1))
		clock.Advance(3 * time.Second)
		is.NoErr(<-done)
	})
}

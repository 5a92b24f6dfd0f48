package sesameagent_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesametarget"
	"github.com/sesamestack/sesamestack/sesamewire"
)

// tooLong has one byte more than the longest input and output of a task.
const tooLong = 64<<20 + 1

// assertOutcome prepares and opens a job on the agent and checks how its only
// task ended, and that it has no result.
func assertOutcome(t *testing.T, k *fakeKeeper, b *testAgent, job string, want sesamewire.Progress) {
	t.Helper()
	is := is.New(t)
	req := newAttempt(job, echoScript, b)
	prepare(t, req, b)
	_, err := b.client.Open(t.Context(), &sesamewire.OpenRequest{
		Id:          req.GetId(),
		Incarnation: b.agent.Incarnation(),
	})
	is.NoErr(err)
	eventually(t, "outcome is reported", func() bool { return k.outcome(job) != nil })
	report := k.outcome(job).GetReports()[0]
	is.Equal(report.GetProgress(), want)
	is.Equal(len(report.GetResults()), 0)
}

// TestTooLongData checks that an input or output beyond the limit is refused,
// rather than shortened.
func TestTooLongData(t *testing.T) {
	t.Run("input", func(t *testing.T) {
		is := is.New(t)
		_, address := serveKeeper(t)
		b := startAgent(t, newTarget(t), newObjects(), address)
		b.awaitReady(t)
		req := newAttempt("r1.job", echoScript, b)
		is.NoErr(b.objects.PutObject(t.Context(), req.GetPayload(), make([]byte, tooLong)))
		reply, err := b.client.Prepare(t.Context(), req)
		is.NoErr(err)
		is.Equal(reply.GetRefusal(), sesamewire.Refusal_REFUSAL_TARGET)
		is.True(strings.Contains(reply.GetDetail(), req.GetPayload()))
	})
	t.Run("output of unknown length", func(t *testing.T) {
		k, address := serveKeeper(t)
		target := newTargetBehind(t, func(next http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !strings.HasSuffix(r.URL.Path, "/output") {
					next.ServeHTTP(w, r)
					return
				}
				half := make([]byte, tooLong/2+1)
				_, _ = w.Write(half)
				_, _ = w.Write(half)
			})
		})
		b := startAgent(t, target, newObjects(), address)
		b.awaitReady(t)
		assertOutcome(t, k, b, "r1.job", sesamewire.Progress_PROGRESS_FAILED)
	})
}

// TestStartWithoutAnswer checks that a task whose first start was carried out
// but not answered is never reported as not started, though the target refuses
// all later calls for want of a lease.
func TestStartWithoutAnswer(t *testing.T) {
	k, address := serveKeeper(t)
	var starts atomic.Int32
	target := newTargetBehind(t, func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodPut || !strings.HasPrefix(r.URL.Path, sesametarget.TasksPath) {
				next.ServeHTTP(w, r)
				return
			}
			if starts.Add(1) == 1 {
				next.ServeHTTP(httptest.NewRecorder(), r.WithContext(context.WithoutCancel(r.Context())))
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(http.StatusConflict)
			_, _ = w.Write([]byte(`{"reason":"lease","detail":"lapsed"}`))
		})
	})
	b := startAgent(t, target, newObjects(), address)
	b.awaitReady(t)
	assertOutcome(t, k, b, "r1.job", sesamewire.Progress_PROGRESS_UNKNOWN)
}

package sesametarget_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesametarget"
)

// newStubClient returns a client of a target that answers every call with the
// same status and body, and with a Retry-After of 3 s.
func newStubClient(t *testing.T, status int, body string) *sesametarget.Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "3")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return sesametarget.NewClient(server.URL, server.Client())
}

// start starts a task through the client, as holder a1.
func start(c *sesametarget.Client) error {
	return c.Start(context.Background(), sesametarget.Task{
		ID:     "j:1:0",
		Holder: "a1",
	})
}

// assertAs checks that the error is of type T and returns it as such.
func assertAs[T error](is *is.I, err error) T {
	is.Helper()
	var want T
	is.True(errors.As(err, &want))
	return want
}

// TestClientErrors checks which error type each kind of response leads to,
// including a response that is cut off and none at all.
func TestClientErrors(t *testing.T) {
	t.Run("a conflict with another lease", func(t *testing.T) {
		is := is.New(t)
		err := start(newStubClient(t, http.StatusConflict, `{"reason":"lease","detail":"gone"}`))
		is.Equal(assertAs[*sesametarget.LeaseError](is, err).Holder, "a1")
	})

	t.Run("too many calls, with the time to wait", func(t *testing.T) {
		is := is.New(t)
		err := start(newStubClient(t, http.StatusTooManyRequests, "full"))
		is.Equal(assertAs[*sesametarget.BusyError](is, err).RetryAfter, 3*time.Second)
	})

	t.Run("an unknown task", func(t *testing.T) {
		is := is.New(t)
		_, err := newStubClient(t, http.StatusNotFound, "").Stop(context.Background(), "j:1:0", 0)
		is.Equal(assertAs[*sesametarget.NotFoundError](is, err).Task, sesametarget.TaskID("j:1:0"))
	})

	t.Run("any other status", func(t *testing.T) {
		is := is.New(t)
		err := start(newStubClient(t, http.StatusTeapot, "no"))
		is.Equal(assertAs[*sesametarget.RefusedError](is, err).Detail, "no")
	})

	t.Run("an output that is cut off", func(t *testing.T) {
		is := is.New(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("half"))
		}))
		t.Cleanup(server.Close)
		client := sesametarget.NewClient(server.URL, server.Client())
		_, err := client.Output(context.Background(), "j:1:0")
		assertAs[*sesametarget.UnreachableError](is, err)
	})

	t.Run("an output beyond the limit, of unknown length", func(t *testing.T) {
		is := is.New(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			chunk := make([]byte, 1<<20)
			for written := 0; written <= sesametarget.MaxOutputBytes; written += len(chunk) {
				_, _ = w.Write(chunk)
			}
		}))
		t.Cleanup(server.Close)
		client := sesametarget.NewClient(server.URL, server.Client())
		_, err := client.Output(context.Background(), "j:1:0")
		is.Equal(assertAs[*sesametarget.OutputTooLargeError](is, err).Task, sesametarget.TaskID("j:1:0"))
	})

	t.Run("no target at all", func(t *testing.T) {
		is := is.New(t)
		server := httptest.NewServer(http.NotFoundHandler())
		server.Close()
		err := start(sesametarget.NewClient(server.URL, &http.Client{}))
		assertAs[*sesametarget.UnreachableError](is, err)
	})
}

package sesameapi

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestore"
	"github.com/sesamestack/sesamestack/sesametable"
)

// fakeObjects is an object store that returns the same body for every object. The
// length that it reports is set apart from the body.
type fakeObjects struct {
	sesametable.Objects
	body   []byte
	length int64
}

func (o *fakeObjects) GetObject(context.Context, string) (io.ReadCloser, int64, error) {
	return io.NopCloser(bytes.NewReader(o.body)), o.length, nil
}

// storeOutput stores the output of an attempt's rank 0 and returns its record.
func (e *testEntry) storeOutput(id sesamemodel.JobID, attempt uint32, output []byte) sesamemodel.Result {
	e.t.Helper()
	sum := sha256.Sum256(output)
	result := sesamemodel.Result{
		Object: sesamestore.ResultKey(id, attempt, 0),
		Length: int64(len(output)),
		Digest: hex.EncodeToString(sum[:]),
	}
	e.is.NoErr(e.table.PutObject(context.Background(), result.Object, output))
	return result
}

// doneJob submits and completes a job whose row records the output.
func (e *testEntry) doneJob(output []byte) sesamemodel.JobID {
	e.t.Helper()
	id := e.mustSubmit(corkToken, "k1", executorJob("pricing")).ID
	result := e.storeOutput(id, 1, output)
	e.updateJob(id, placeOnExecutor(e.clock.Now()))
	e.updateJob(id, func(j sesamemodel.Job) sesamemodel.Job {
		return j.WithStart(e.clock.Now()).WithResults(e.clock.Now(), []sesamemodel.Result{
			result,
		})
	})
	return id
}

// serveWithObjects starts an HTTP server for the entry with another object store.
func (e *testEntry) serveWithObjects(o sesametable.Objects) *httptest.Server {
	e.store = sesamestore.New(e.table, o)
	e.startHandler()
	server := httptest.NewServer(e.handler)
	e.t.Cleanup(server.Close)
	return server
}

// instantTimers is a clock whose timers fire at once, so that the client's
// back-off takes no time.
type instantTimers struct {
	clockwork.Clock
}

func (i instantTimers) NewTimer(time.Duration) clockwork.Timer {
	return i.Clock.NewTimer(0)
}

// client returns a client for the servers that doesn't wait between tries.
func (e *testEntry) client(token string, servers ...*httptest.Server) *Client {
	var addresses []string
	for _, s := range servers {
		addresses = append(addresses, s.URL)
	}
	return NewClient(ClientOptions{
		Addresses: addresses,
		Token:     token,
		Clock: instantTimers{
			Clock: clockwork.NewRealClock(),
		},
	})
}

// readResult reads the whole output of rank 0 with the client.
func readResult(c *Client, id sesamemodel.JobID) ([]byte, error) {
	body, err := c.Result(context.Background(), id, 0)
	if err != nil {
		return nil, err
	}
	defer func() {
		_ = body.Close()
	}()
	return io.ReadAll(body)
}

// readUnverified reads a result as a plain HTTP caller that checks the length but
// not the digest, and returns the HTTP status.
func readUnverified(server *httptest.Server, id sesamemodel.JobID) (int, error) {
	r, err := http.NewRequest(http.MethodGet, server.URL+"/v1/jobs/"+string(id)+"/result", nil)
	if err != nil {
		return 0, err
	}
	r.Header.Set("Authorization", "Bearer "+corkToken)
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() {
		_ = w.Body.Close()
	}()
	_, err = io.ReadAll(w.Body)
	return w.StatusCode, err
}

// TestResult checks that a result is sent whole, in one or more chunks, and only
// if it is that of the job's last attempt.
func TestResult(t *testing.T) {
	sizes := map[string]int{
		"empty":        0,
		"small":        12,
		"one chunk":    resultChunkBytes,
		"a chunk more": resultChunkBytes + 1,
		"many chunks":  5*resultChunkBytes + 7,
	}
	for name, size := range sizes {
		t.Run("gives the whole output: "+name, func(t *testing.T) {
			e := newTestEntry(t)
			output := bytes.Repeat([]byte("k"), size)
			id := e.doneJob(output)
			got, err := readResult(e.client(corkToken, e.serveWithObjects(e.table)), id)
			e.is.NoErr(err)
			e.is.True(bytes.Equal(got, output))
		})
	}
	t.Run("refuses before the end, and says why", func(t *testing.T) {
		e := newTestEntry(t)
		id := e.mustSubmit(corkToken, "k1", executorJob("pricing")).ID
		e.requireProblem(e.call(http.MethodGet, "/v1/jobs/"+string(id)+"/result", corkToken, nil), NotDone)
	})
	t.Run("refuses a rank that the job does not have", func(t *testing.T) {
		e := newTestEntry(t)
		id := e.doneJob([]byte("x"))
		e.requireProblem(e.call(http.MethodGet, "/v1/jobs/"+string(id)+"/result?rank=1", corkToken, nil), NotFound)
		e.requireProblem(e.call(http.MethodGet, "/v1/jobs/"+string(id)+"/result?rank=-1", corkToken, nil), Invalid)
	})
	t.Run("refuses an output that the row does not name as its last attempt's", func(t *testing.T) {
		e := newTestEntry(t)
		id := e.mustSubmit(corkToken, "k1", executorJob("pricing")).ID
		late := e.storeOutput(id, 7, []byte("of a late attempt"))
		e.updateJob(id, placeOnExecutor(e.clock.Now()))
		e.updateJob(id, func(j sesamemodel.Job) sesamemodel.Job {
			return j.WithResults(e.clock.Now(), []sesamemodel.Result{
				late,
			})
		})
		e.requireProblem(e.call(http.MethodGet, "/v1/jobs/"+string(id)+"/result", corkToken, nil), ResultDamaged)
	})
}

// damagedObjects are object stores that return a damaged copy of an output, by the
// kind of damage.
var damagedObjects = map[string]func([]byte) *fakeObjects{
	"truncated": func(b []byte) *fakeObjects {
		return &fakeObjects{body: b[:len(b)-1], length: int64(len(b))}
	},
	"oversized": func(b []byte) *fakeObjects {
		return &fakeObjects{body: append(append([]byte{}, b...), 'x'), length: int64(len(b))}
	},
	"another length": func(b []byte) *fakeObjects {
		return &fakeObjects{body: b[:len(b)-1], length: int64(len(b) - 1)}
	},
	"another output of the same length": func(b []byte) *fakeObjects {
		return &fakeObjects{body: bytes.Repeat([]byte("z"), len(b)), length: int64(len(b))}
	},
	"last byte changed": func(b []byte) *fakeObjects {
		changed := append([]byte{}, b...)
		changed[len(b)-1]++
		return &fakeObjects{body: changed, length: int64(len(b))}
	},
}

// TestDamagedResult checks that neither the client nor a caller that checks only
// the length accepts a damaged output.
func TestDamagedResult(t *testing.T) {
	for name, spoil := range damagedObjects {
		for _, size := range []int{1, resultChunkBytes, 3*resultChunkBytes + 5} {
			t.Run(name, func(t *testing.T) {
				e := newTestEntry(t)
				output := bytes.Repeat([]byte("k"), size)
				id := e.doneJob(output)
				server := e.serveWithObjects(spoil(output))
				_, err := readResult(e.client(corkToken, server), id)
				e.is.True(err != nil)
				status, err := readUnverified(server, id)
				e.is.True(err != nil || status != http.StatusOK)
			})
		}
	}
}

// TestResultReader checks that the client accepts no output that differs from the
// response's length or digest, whatever an entry or a load balancer sends.
func TestResultReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		output := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "output")
		sent := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "sent")
		if rapid.Bool().Draw(t, "same") {
			sent = output
		}
		claimed := rapid.SampledFrom([]int{len(output), len(sent), -1}).Draw(t, "length")
		sum := sha256.Sum256(output)
		r := &resultReader{
			answer: &reply{
				response: &http.Response{
					Body:          io.NopCloser(bytes.NewReader(sent)),
					ContentLength: int64(claimed),
				},
			},
			expectedDigest: hex.EncodeToString(sum[:]),
			hash:           sha256.New(),
		}
		got, err := io.ReadAll(r)
		var partial *PartialResultError
		whole := bytes.Equal(sent, output) && claimed == len(output)
		if whole != (err == nil) || whole == errors.As(err, &partial) {
			t.Fatalf("sent %d of %d bytes, read %d: %v", len(sent), len(output), len(got), err)
		}
	})
}

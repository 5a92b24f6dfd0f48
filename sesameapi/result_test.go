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

// objects replaces what the platform gives for an object. Its length is what
// the platform claims, apart from the bytes that follow.
type objects struct {
	sesametable.Objects
	body   []byte
	length int64
}

func (o *objects) GetObject(context.Context, string) (io.ReadCloser, int64, error) {
	return io.NopCloser(bytes.NewReader(o.body)), o.length, nil
}

// output stores what rank 0 of an attempt wrote.
func (e *entry) output(id sesamemodel.JobID, attempt uint32, output []byte) sesamemodel.Result {
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

// done returns a job whose row records the output.
func (e *entry) done(output []byte) sesamemodel.JobID {
	e.t.Helper()
	id := e.submitted(cork, "k1", executorJob("pricing")).ID
	result := e.output(id, 1, output)
	e.become(id, placed(e.clock.Now()))
	e.become(id, func(j sesamemodel.Job) sesamemodel.Job {
		return j.WithStart(e.clock.Now()).WithResults(e.clock.Now(), []sesamemodel.Result{
			result,
		})
	})
	return id
}

// serve makes the entry reachable, with another object store under it.
func (e *entry) serve(o sesametable.Objects) *httptest.Server {
	e.store = sesamestore.New(e.table, o)
	e.start()
	server := httptest.NewServer(e.handler)
	e.t.Cleanup(server.Close)
	return server
}

// impatient is a clock whose timers end at once.
type impatient struct {
	clockwork.Clock
}

func (i impatient) NewTimer(time.Duration) clockwork.Timer {
	return i.Clock.NewTimer(0)
}

func (e *entry) client(token string, servers ...*httptest.Server) *Client {
	var addresses []string
	for _, s := range servers {
		addresses = append(addresses, s.URL)
	}
	return NewClient(ClientOptions{
		Addresses: addresses,
		Token:     token,
		Clock: impatient{
			Clock: clockwork.NewRealClock(),
		},
	})
}

func read(c *Client, id sesamemodel.JobID) ([]byte, error) {
	body, err := c.Result(context.Background(), id, 0)
	if err != nil {
		return nil, err
	}
	defer func() {
		_ = body.Close()
	}()
	return io.ReadAll(body)
}

// rawRead is a caller who looks at the length and not at the digest.
func rawRead(server *httptest.Server, id sesamemodel.JobID) (int, error) {
	r, err := http.NewRequest(http.MethodGet, server.URL+"/v1/jobs/"+string(id)+"/result", nil)
	if err != nil {
		return 0, err
	}
	r.Header.Set("Authorization", "Bearer "+cork)
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

func TestResult(t *testing.T) {
	sizes := map[string]int{
		"empty":        0,
		"small":        12,
		"one chunk":    resultChunk,
		"a chunk more": resultChunk + 1,
		"many chunks":  5*resultChunk + 7,
	}
	for name, size := range sizes {
		t.Run("gives the whole output: "+name, func(t *testing.T) {
			e := newEntry(t)
			output := bytes.Repeat([]byte("k"), size)
			id := e.done(output)
			got, err := read(e.client(cork, e.serve(e.table)), id)
			e.is.NoErr(err)
			e.is.True(bytes.Equal(got, output))
		})
	}
	t.Run("refuses before the end, and says why", func(t *testing.T) {
		e := newEntry(t)
		id := e.submitted(cork, "k1", executorJob("pricing")).ID
		e.refused(e.call(http.MethodGet, "/v1/jobs/"+string(id)+"/result", cork, nil), NotDone)
	})
	t.Run("refuses a rank that the job does not have", func(t *testing.T) {
		e := newEntry(t)
		id := e.done([]byte("x"))
		e.refused(e.call(http.MethodGet, "/v1/jobs/"+string(id)+"/result?rank=1", cork, nil), NotFound)
		e.refused(e.call(http.MethodGet, "/v1/jobs/"+string(id)+"/result?rank=-1", cork, nil), Invalid)
	})
	t.Run("refuses an output that the row does not name as its last attempt's", func(t *testing.T) {
		e := newEntry(t)
		id := e.submitted(cork, "k1", executorJob("pricing")).ID
		late := e.output(id, 7, []byte("of a late attempt"))
		e.become(id, placed(e.clock.Now()))
		e.become(id, func(j sesamemodel.Job) sesamemodel.Job {
			return j.WithResults(e.clock.Now(), []sesamemodel.Result{
				late,
			})
		})
		e.refused(e.call(http.MethodGet, "/v1/jobs/"+string(id)+"/result", cork, nil), ResultDamaged)
	})
}

// damage is something that can be wrong with what the platform gives.
var damage = map[string]func([]byte) *objects{
	"truncated": func(b []byte) *objects {
		return &objects{body: b[:len(b)-1], length: int64(len(b))}
	},
	"oversized": func(b []byte) *objects {
		return &objects{body: append(append([]byte{}, b...), 'x'), length: int64(len(b))}
	},
	"another length": func(b []byte) *objects {
		return &objects{body: b[:len(b)-1], length: int64(len(b) - 1)}
	},
	"another output of the same length": func(b []byte) *objects {
		return &objects{body: bytes.Repeat([]byte("z"), len(b)), length: int64(len(b))}
	},
	"last byte changed": func(b []byte) *objects {
		changed := append([]byte{}, b...)
		changed[len(b)-1]++
		return &objects{body: changed, length: int64(len(b))}
	},
}

// TestDamagedResult shows that neither the client nor a caller who looks only
// at the length takes a damaged output for the whole one.
func TestDamagedResult(t *testing.T) {
	for name, spoil := range damage {
		for _, size := range []int{1, resultChunk, 3*resultChunk + 5} {
			t.Run(name, func(t *testing.T) {
				e := newEntry(t)
				output := bytes.Repeat([]byte("k"), size)
				id := e.done(output)
				server := e.serve(spoil(output))
				_, err := read(e.client(cork, server), id)
				e.is.True(err != nil)
				status, err := rawRead(server, id)
				e.is.True(err != nil || status != http.StatusOK)
			})
		}
	}
}

// TestResultReader shows that the client takes no answer as whole that differs
// from its length or digest, whatever an entry or a balancer sends.
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
			wanted: hex.EncodeToString(sum[:]),
			sum:    sha256.New(),
		}
		got, err := io.ReadAll(r)
		var partial *PartialResultError
		whole := bytes.Equal(sent, output) && claimed == len(output)
		if whole != (err == nil) || whole == errors.As(err, &partial) {
			t.Fatalf("sent %d of %d bytes, read %d: %v", len(sent), len(output), len(got), err)
		}
	})
}

package sesameapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestore"
	"github.com/sesamestack/sesamestack/sesametable"
)

const (
	digestHeader = "Repr-Digest"
	// resultChunk is what is held back until the whole output is verified.
	resultChunk = 64 << 10
	// chunkTimeout is how long a caller may take to receive one chunk.
	chunkTimeout = 30 * time.Second
)

func (h *Handler) result(w http.ResponseWriter, r *http.Request) error {
	who, err := h.teamReader(r)
	if err != nil {
		return err
	}
	rank, err := rankOf(r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.options.Timeout)
	defer cancel()
	job, err := h.job(ctx, jobID(r), who)
	if err != nil {
		return err
	}
	recorded, err := resultOf(job.Value, rank)
	if err != nil {
		return err
	}
	return h.transfer(w, r, recorded)
}

// teamReader admits callers only: operators see what became of a job, not its
// output.
func (h *Handler) teamReader(r *http.Request) (reader, error) {
	contract, err := h.caller(r)
	return reader{
		team: contract.Team,
	}, err
}

func rankOf(r *http.Request) (int, error) {
	text := r.URL.Query().Get("rank")
	if text == "" {
		return 0, nil
	}
	rank, err := strconv.Atoi(text)
	if err != nil || rank < 0 {
		return 0, invalid([]Fault{
			{
				Field:  "rank",
				Detail: fmt.Sprintf("is %q, must be a number from 0", text),
			},
		})
	}
	return rank, nil
}

// resultOf returns what the job's row records of one task's output. An object
// that is not of the job's last attempt is never given out.
func resultOf(job sesamemodel.Job, rank int) (sesamemodel.Result, error) {
	if job.State != sesamemodel.Done {
		problem := newProblem(NotDone, fmt.Sprintf("the job is %s: %s", job.State, job.Reason))
		return sesamemodel.Result{}, problem.withOutcome(outcomeOf(job), job.ID)
	}
	for _, recorded := range job.Results {
		if recorded.Rank != rank {
			continue
		}
		if recorded.Object != sesamestore.ResultKey(job.ID, job.Attempt, rank) {
			return recorded, newProblem(ResultDamaged, fmt.Sprintf("rank %d names an object of another attempt", rank))
		}
		return recorded, nil
	}
	return sesamemodel.Result{}, newProblem(NotFound, fmt.Sprintf("the job has no result of rank %d", rank))
}

func (h *Handler) transfer(w http.ResponseWriter, r *http.Request, recorded sesamemodel.Result) error {
	body, length, err := h.options.Store.Objects().GetObject(r.Context(), recorded.Object)
	var missing *sesametable.NotFoundError
	if errors.As(err, &missing) {
		return newProblem(ResultDamaged, "the output is missing in the store")
	}
	if err != nil {
		return err
	}
	defer func() {
		_ = body.Close()
	}()
	if length != recorded.Length {
		return newProblem(ResultDamaged, fmt.Sprintf("the store has %d bytes, %d are recorded", length, recorded.Length))
	}
	t := &transfer{
		source:   body,
		sum:      sha256.New(),
		recorded: recorded,
	}
	return h.send(w, r, t)
}

// send passes the output on. Its last chunk follows only once the whole has
// been verified; a failure after the first chunk cuts the connection, so the
// caller never takes a part for the whole.
func (h *Handler) send(w http.ResponseWriter, r *http.Request, t *transfer) error {
	chunk, err := t.next()
	if err != nil {
		return err
	}
	setResultHeaders(w, t.recorded)
	control := http.NewResponseController(w)
	for chunk != nil {
		_ = control.SetWriteDeadline(h.sockets.Now().Add(chunkTimeout))
		if _, err := w.Write(chunk); err != nil {
			h.abort(r, err)
		}
		chunk, err = t.next()
		if err != nil {
			h.abort(r, err)
		}
	}
	return nil
}

func (h *Handler) abort(r *http.Request, err error) {
	h.options.Log.Emit(eventDamaged, sesamelog.Fields{
		"path":  r.URL.Path,
		"error": err,
	})
	panic(http.ErrAbortHandler)
}

func setResultHeaders(w http.ResponseWriter, recorded sesamemodel.Result) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(recorded.Length, 10))
	w.Header().Set("Cache-Control", "no-store")
	if digest, err := formatDigest(recorded.Digest); err == nil {
		w.Header().Set(digestHeader, digest)
	}
}

// transfer reads an output in chunks, one ahead of what it gives out, and
// verifies the whole before it gives out the last one.
type transfer struct {
	source   io.Reader
	sum      hash.Hash
	recorded sesamemodel.Result
	length   int64
	ahead    []byte
	started  bool
}

// next returns the next chunk, or nil after the last one. The error is a
// problem of type ResultDamaged, or that of the source.
func (t *transfer) next() ([]byte, error) {
	if !t.started {
		t.started = true
		if err := t.read(); err != nil {
			return nil, err
		}
	}
	chunk := t.ahead
	if chunk == nil {
		return nil, nil
	}
	return chunk, t.read()
}

// read fetches the chunk after the one to be given out; at the end of the
// source it verifies the whole.
func (t *transfer) read() error {
	buffer := make([]byte, resultChunk)
	n, err := io.ReadFull(t.source, buffer)
	t.ahead = nil
	t.length += int64(n)
	t.sum.Write(buffer[:n])
	if t.length > t.recorded.Length {
		return newProblem(ResultDamaged, fmt.Sprintf("the store gave more than the recorded %d bytes", t.recorded.Length))
	}
	if errors.Is(err, io.EOF) {
		return t.verify()
	}
	if n == 0 {
		return err
	}
	t.ahead = buffer[:n]
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return err
}

func (t *transfer) verify() error {
	if t.length != t.recorded.Length {
		return newProblem(ResultDamaged, fmt.Sprintf("the store gave %d bytes, %d are recorded", t.length, t.recorded.Length))
	}
	if digest := hex.EncodeToString(t.sum.Sum(nil)); digest != t.recorded.Digest {
		return newProblem(ResultDamaged, fmt.Sprintf("the output's digest is %s, %s is recorded", digest, t.recorded.Digest))
	}
	return nil
}

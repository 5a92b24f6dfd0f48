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

// The header with an output's digest, and how an output is sent in chunks.
const (
	digestHeader = "Repr-Digest"
	// resultChunkBytes is the size of a chunk. The last chunk is held back
	// until the whole output is verified.
	resultChunkBytes = 64 << 10
	// chunkTimeout is how long a caller may take to receive one chunk.
	chunkTimeout = 30 * time.Second
)

// result serves GET /v1/jobs/{id}/result.
func (h *Handler) result(w http.ResponseWriter, r *http.Request) error {
	viewer, err := h.teamViewer(r)
	if err != nil {
		return err
	}
	rank, err := rankParam(r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.options.Timeout)
	defer cancel()
	job, err := h.job(ctx, jobID(r), viewer)
	if err != nil {
		return err
	}
	recorded, err := resultOf(job.Value, rank)
	if err != nil {
		return err
	}
	return h.transferResult(w, r, recorded)
}

// teamViewer returns the team that the request's token belongs to. It refuses
// operators: they may see a job's state, but not read its output or cancel it.
func (h *Handler) teamViewer(r *http.Request) (viewer, error) {
	contract, err := h.callerContract(r)
	return viewer{
		team: contract.Team,
	}, err
}

// rankParam returns the query's rank (the number of a task in its job), or 0 if
// it is missing.
func rankParam(r *http.Request) (int, error) {
	text := r.URL.Query().Get("rank")
	if text == "" {
		return 0, nil
	}
	rank, err := strconv.Atoi(text)
	if err != nil || rank < 0 {
		return 0, invalidProblem([]InvalidField{
			{
				Field:  "rank",
				Detail: fmt.Sprintf("is %q, must be a number from 0", text),
			},
		})
	}
	return rank, nil
}

// resultOf returns the record of one task's output in the job's row. It fails
// with NotDone if the job is not done, with NotFound if the task has no output,
// and with ResultDamaged if the record names an object of an attempt other than
// the job's last, so that such an output is never returned.
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
			return recorded, newProblem(ResultDamaged, fmt.Sprintf("the result of rank %d is an object of another attempt", rank))
		}
		return recorded, nil
	}
	return sesamemodel.Result{}, newProblem(NotFound, fmt.Sprintf("the job has no result of rank %d", rank))
}

// transferResult sends the recorded output from the object store. It fails with
// ResultDamaged if the object is missing or has another length.
func (h *Handler) transferResult(w http.ResponseWriter, r *http.Request, recorded sesamemodel.Result) error {
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
		return newProblem(ResultDamaged, fmt.Sprintf("the stored output has %d bytes, %d are recorded", length, recorded.Length))
	}
	t := &verifiedTransfer{
		source:   body,
		hash:     sha256.New(),
		recorded: recorded,
	}
	return h.sendChunks(w, r, t)
}

// sendChunks sends the output to the caller. It sends the last chunk only after
// the whole output was verified, and aborts the connection on a failure after
// the first chunk, so that the caller never takes a part for the whole.
func (h *Handler) sendChunks(w http.ResponseWriter, r *http.Request, t *verifiedTransfer) error {
	chunk, err := t.next()
	if err != nil {
		return err
	}
	setResultHeaders(w, t.recorded)
	control := http.NewResponseController(w)
	for chunk != nil {
		_ = control.SetWriteDeadline(h.socketClock.Now().Add(chunkTimeout))
		if _, err := w.Write(chunk); err != nil {
			h.abortConnection(r, err)
		}
		chunk, err = t.next()
		if err != nil {
			h.abortConnection(r, err)
		}
	}
	return nil
}

// abortConnection logs the error and closes the connection without completing the
// response.
func (h *Handler) abortConnection(r *http.Request, err error) {
	h.options.Log.Emit(eventResultDamaged, sesamelog.Fields{
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

// verifiedTransfer reads an output in chunks, one chunk ahead of what it returns,
// and verifies length and digest of the whole before it returns the last one.
type verifiedTransfer struct {
	source io.Reader
	hash   hash.Hash
	// recorded has the length and digest that the output must have.
	recorded sesamemodel.Result
	// length is the number of bytes read so far.
	length int64
	// lookahead is the chunk that next returns; nil at the end.
	lookahead []byte
	// started is set by the first call of next, which reads the first chunk
	// ahead.
	started bool
}

// next returns the next chunk, or nil after the last one. The error is a
// ResultDamaged problem or the error of the source.
func (t *verifiedTransfer) next() ([]byte, error) {
	if !t.started {
		t.started = true
		if err := t.readAhead(); err != nil {
			return nil, err
		}
	}
	chunk := t.lookahead
	if chunk == nil {
		return nil, nil
	}
	return chunk, t.readAhead()
}

// readAhead reads the chunk after the one that next is about to return. At the
// end of the source it verifies the whole output.
func (t *verifiedTransfer) readAhead() error {
	buffer := make([]byte, resultChunkBytes)
	n, err := io.ReadFull(t.source, buffer)
	t.lookahead = nil
	t.length += int64(n)
	t.hash.Write(buffer[:n])
	if t.length > t.recorded.Length {
		return newProblem(ResultDamaged, fmt.Sprintf("the store returned more than the recorded %d bytes", t.recorded.Length))
	}
	if errors.Is(err, io.EOF) {
		return t.verify()
	}
	if n == 0 {
		return err
	}
	t.lookahead = buffer[:n]
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return err
}

// verify fails with ResultDamaged unless length and digest are as recorded.
func (t *verifiedTransfer) verify() error {
	if t.length != t.recorded.Length {
		return newProblem(ResultDamaged, fmt.Sprintf("the store returned %d bytes, %d are recorded", t.length, t.recorded.Length))
	}
	if digest := hex.EncodeToString(t.hash.Sum(nil)); digest != t.recorded.Digest {
		return newProblem(ResultDamaged, fmt.Sprintf("the output's digest is %s, %s is recorded", digest, t.recorded.Digest))
	}
	return nil
}

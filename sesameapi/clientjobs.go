package sesameapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// SubmitResult is an accepted submission.
type SubmitResult struct {
	JobStatus
	// Created is false if an earlier submission with the same key created the
	// job.
	Created bool
}

// NewKey returns a random idempotency key (a UUID).
func NewKey() string {
	return uuid.NewString()
}

// Submit creates a job, or returns the one that an earlier submission with the
// same key created. With an empty key it generates a new one. Only then can the
// outcome of a refusal be NotRun, since no earlier submission can have created
// the job. Errors are *ProblemError, *UnreachableError and *InvalidResponseError; a
// submission whose outcome is unknown may be repeated with the same key.
func (c *Client) Submit(ctx context.Context, key string, q JobRequest) (SubmitResult, error) {
	newKey := key == ""
	if newKey {
		key = NewKey()
	}
	body, err := marshal(q)
	if err != nil {
		return SubmitResult{}, err
	}
	job, status, t, err := fetch[JobStatus](ctx, c, call{
		method: http.MethodPost,
		path:   "/v1/jobs",
		body:   body,
		header: http.Header{
			keyHeader: []string{key},
		},
	})
	if err != nil {
		return SubmitResult{}, submitError(err, newKey, t)
	}
	return SubmitResult{
		JobStatus: job,
		Created:   status == http.StatusCreated,
	}, nil
}

// submitError sets the outcome NotRun if the key is new and all tries got the
// response that they created nothing.
func submitError(err error, newKey bool, t tryRecord) error {
	var problem *ProblemError
	if !errors.As(err, &problem) {
		return err
	}
	if newKey && !t.maybeReceived && problem.Problem.Outcome == Unchanged {
		return problem.withOutcome(NotRun, problem.Problem.Job)
	}
	return problem
}

// jobPath returns the path of a job's resource, followed by the suffix.
func jobPath(id sesamemodel.JobID, suffix string) string {
	return "/v1/jobs/" + url.PathEscape(string(id)) + suffix
}

// Status returns the job as it is now, without waiting. Like the calls below, it
// fails with a *ProblemError, *UnreachableError or *InvalidResponseError.
func (c *Client) Status(ctx context.Context, id sesamemodel.JobID) (JobStatus, error) {
	job, _, _, err := fetch[JobStatus](ctx, c, call{
		method: http.MethodGet,
		path:   jobPath(id, ""),
	})
	return job, err
}

// longPollWait is how long an entry may hold one request of Wait.
const longPollWait = 30 * time.Second

// Wait returns the job once it has ended. The error is the context's, or a
// *ProblemError, *UnreachableError or *InvalidResponseError: any of them before the
// first successful response, afterwards only a *ProblemError that a retry can't
// cure. Until the context ends, all other errors are retried.
func (c *Client) Wait(ctx context.Context, id sesamemodel.JobID) (JobStatus, error) {
	answered := false
	for {
		job, _, _, err := fetch[JobStatus](ctx, c, call{
			method: http.MethodGet,
			path:   jobPath(id, ""),
			query: url.Values{
				"wait": []string{longPollWait.String()},
			},
			timeout: longPollWait + c.options.Timeout,
		})
		if ctx.Err() != nil {
			return job, ctx.Err()
		}
		if err != nil && answered && retryable(err) {
			continue
		}
		if err != nil || job.State.Ended() {
			return job, err
		}
		answered = true
	}
}

// Jobs returns the team's open (not ended) jobs.
func (c *Client) Jobs(ctx context.Context) ([]JobStatus, error) {
	list, _, _, err := fetch[JobList](ctx, c, call{
		method: http.MethodGet,
		path:   "/v1/jobs",
	})
	return list.Jobs, err
}

// Cancel cancels the job. The outcome in the result is NotRun only if the job
// never ran and never will. A job in state stopping is still being stopped.
func (c *Client) Cancel(ctx context.Context, id sesamemodel.JobID) (JobStatus, error) {
	job, _, _, err := fetch[JobStatus](ctx, c, call{
		method: http.MethodDelete,
		path:   jobPath(id, ""),
	})
	return job, err
}

// Explain returns the reason why the job waits, or how it ended.
func (c *Client) Explain(ctx context.Context, id sesamemodel.JobID) (Explanation, error) {
	reason, _, _, err := fetch[Explanation](ctx, c, call{
		method: http.MethodGet,
		path:   jobPath(id, "/explain"),
	})
	return reason, err
}

// Resolve settles the outcome of a job in state unknown. It needs an operator's
// token.
func (c *Client) Resolve(ctx context.Context, id sesamemodel.JobID, q ResolveRequest) (JobStatus, error) {
	body, err := marshal(q)
	if err != nil {
		return JobStatus{}, err
	}
	job, _, _, err := fetch[JobStatus](ctx, c, call{
		method: http.MethodPost,
		path:   jobPath(id, "/resolve"),
		body:   body,
	})
	return job, err
}

// PartialResultError says that an output differs in length or digest from the
// headers of its response. What was read of it must not be used.
type PartialResultError struct {
	// Length and ExpectedLength are in bytes.
	Length         int64
	ExpectedLength int64
	// Digest and ExpectedDigest are SHA-256 digests in hex.
	Digest         string
	ExpectedDigest string
}

// Error names the lengths and digests.
func (e *PartialResultError) Error() string {
	return fmt.Sprintf("result has %d bytes with digest %s, expected %d with digest %s", e.Length, e.Digest, e.ExpectedLength, e.ExpectedDigest)
}

// Result opens the output of the task with that rank. The reader returns io.EOF
// only after the whole output was read and matches its length and digest.
// Otherwise it returns a *PartialResultError or the connection's error.
func (c *Client) Result(ctx context.Context, id sesamemodel.JobID, rank int) (io.ReadCloser, error) {
	answer, _, err := c.do(ctx, call{
		method: http.MethodGet,
		path:   jobPath(id, "/result"),
		query: url.Values{
			"rank": []string{strconv.Itoa(rank)},
		},
	})
	if err != nil {
		return nil, err
	}
	expectedDigest, err := parseDigest(answer.response.Header.Get(digestHeader))
	if err != nil {
		answer.close()
		return nil, &InvalidResponseError{
			Address: answer.address,
			Status:  answer.response.StatusCode,
			Cause:   err,
		}
	}
	return &resultReader{
		answer:         answer,
		expectedDigest: expectedDigest,
		hash:           sha256.New(),
	}, nil
}

// resultReader reads an output and verifies its length and digest at the end.
type resultReader struct {
	answer *reply
	// expectedDigest is the SHA-256 digest in the response's header, in hex.
	expectedDigest string
	hash           hash.Hash
	// length is the number of bytes read so far.
	length int64
}

// Read reads the next bytes of the output. At the end it returns io.EOF, or a
// *PartialResultError if the output is not the whole one.
func (r *resultReader) Read(p []byte) (int, error) {
	n, err := r.answer.response.Body.Read(p)
	r.hash.Write(p[:n])
	r.length += int64(n)
	if errors.Is(err, io.EOF) {
		return n, r.verify()
	}
	return n, err
}

// verify returns io.EOF if length and digest match the response's headers.
func (r *resultReader) verify() error {
	digest := hex.EncodeToString(r.hash.Sum(nil))
	expected := r.answer.response.ContentLength
	if r.length == expected && digest == r.expectedDigest {
		return io.EOF
	}
	return &PartialResultError{
		Length:         r.length,
		ExpectedLength: expected,
		Digest:         digest,
		ExpectedDigest: r.expectedDigest,
	}
}

// Close ends the transfer.
func (r *resultReader) Close() error {
	r.answer.close()
	return nil
}

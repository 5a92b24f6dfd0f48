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
	// Created is false when the key stood for this job before.
	Created bool
}

// NewKey returns an idempotency key that was never used.
func NewKey() string {
	return uuid.NewString()
}

// Submit creates the job that the key stands for, or returns the one that it
// stood for before. With an empty key it makes up a new one; only then can a
// refusal say that the work was not run, since no earlier submission can have
// created it. Errors are *ProblemError and *UnreachableError; a submission
// whose outcome is unknown may be repeated with the same key.
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

// submitError tells that the work was not run when every try of a new key
// was answered that it created nothing.
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

func jobPath(id sesamemodel.JobID, suffix string) string {
	return "/v1/jobs/" + url.PathEscape(string(id)) + suffix
}

// Status returns the job as it is now.
func (c *Client) Status(ctx context.Context, id sesamemodel.JobID) (JobStatus, error) {
	job, _, _, err := fetch[JobStatus](ctx, c, call{
		method: http.MethodGet,
		path:   jobPath(id, ""),
	})
	return job, err
}

// longPollWait is how long one request of Wait waits on the entry.
const longPollWait = 30 * time.Second

// Wait returns the job once it has ended, or the context's error. Once an entry
// has answered, an outage is waited out.
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

// Jobs returns the team's open jobs.
func (c *Client) Jobs(ctx context.Context) ([]JobStatus, error) {
	list, _, _, err := fetch[JobList](ctx, c, call{
		method: http.MethodGet,
		path:   "/v1/jobs",
	})
	return list.Jobs, err
}

// Cancel cancels the job. The answer's outcome is NotRun only when it never
// ran and never will; a job in state stopping is still being stopped.
func (c *Client) Cancel(ctx context.Context, id sesamemodel.JobID) (JobStatus, error) {
	job, _, _, err := fetch[JobStatus](ctx, c, call{
		method: http.MethodDelete,
		path:   jobPath(id, ""),
	})
	return job, err
}

// Explain says why the job waits or how it ended.
func (c *Client) Explain(ctx context.Context, id sesamemodel.JobID) (Explanation, error) {
	reason, _, _, err := fetch[Explanation](ctx, c, call{
		method: http.MethodGet,
		path:   jobPath(id, "/explain"),
	})
	return reason, err
}

// Resolve settles an unknown outcome.
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

// PartialResultError says that an answer differs from what its headers
// promise. What was read of it must not be used.
type PartialResultError struct {
	Length         int64
	ExpectedLength int64
	// Digest and Wanted are SHA-256 sums in hex.
	Digest         string
	ExpectedDigest string
}

// Error names the lengths and digests.
func (e *PartialResultError) Error() string {
	return fmt.Sprintf("result has %d bytes with digest %s, expected %d with digest %s", e.Length, e.Digest, e.ExpectedLength, e.ExpectedDigest)
}

// Result opens the output of one task. The reader ends with io.EOF only after
// the whole output was read and agrees with its length and digest; otherwise
// it ends with a *PartialResultError or the connection's error.
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

// resultReader verifies an output at its end.
type resultReader struct {
	answer         *reply
	expectedDigest string
	hash           hash.Hash
	length         int64
}

// Read returns the next bytes of the output.
func (r *resultReader) Read(p []byte) (int, error) {
	n, err := r.answer.response.Body.Read(p)
	r.hash.Write(p[:n])
	r.length += int64(n)
	if errors.Is(err, io.EOF) {
		return n, r.verify()
	}
	return n, err
}

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

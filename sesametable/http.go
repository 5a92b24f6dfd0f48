package sesametable

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Paths of the platform's interface.
const (
	RowsPath    = "/v1/rows"
	CommitPath  = "/v1/commit"
	ObjectsPath = "/v1/objects"
)

// Conflict is the body of a 409 answer to a commit.
type Conflict struct {
	Key      string `json:"key"`
	Expected uint64 `json:"expected"`
	Found    uint64 `json:"found"`
}

const (
	// maxErrorBody bounds what is kept of an unexpected answer, in bytes.
	maxErrorBody = 512
	// maxReplyBody bounds an answer other than an object, in bytes.
	maxReplyBody = 64 << 20
)

// httpPlatform makes single attempts over HTTP. A status of 429 or 503 and a
// connection that was never made mean that the call had no effect; any other
// failure of a write leaves its outcome open.
type httpPlatform struct {
	base   string
	client *http.Client
}

var (
	_ Table   = (*httpPlatform)(nil)
	_ Objects = (*httpPlatform)(nil)
)

func (r *httpPlatform) path(prefix, key string) string {
	u := url.URL{
		Path: prefix + "/" + key,
	}
	return r.base + u.EscapedPath()
}

// Get reads one row.
func (r *httpPlatform) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := r.read(ctx, "get", key, r.path(RowsPath, key), &row)
	return row, err
}

// Scan reads rows.
func (r *httpPlatform) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	query := url.Values{
		"prefix": {prefix},
		"after":  {after},
		"limit":  {strconv.Itoa(limit)},
	}
	var rows []Row
	err := r.read(ctx, "scan", prefix, r.base+RowsPath+"?"+query.Encode(), &rows)
	return rows, err
}

func (r *httpPlatform) read(ctx context.Context, operation, key, target string, value any) error {
	reply, err := r.roundTrip(ctx, http.MethodGet, target, nil)
	if err != nil {
		return unavailable(operation, err)
	}
	if reply.status != http.StatusOK {
		return reply.readFailure(operation, key)
	}
	if err := json.Unmarshal(reply.body, value); err != nil {
		return unavailable(operation, err)
	}
	return nil
}

// Commit sends the transaction once.
func (r *httpPlatform) Commit(ctx context.Context, t Transaction) error {
	body, err := json.Marshal(t)
	if err != nil {
		return &InvalidError{
			Operation: "commit",
			Detail:    err.Error(),
		}
	}
	reply, err := r.roundTrip(ctx, http.MethodPost, r.base+CommitPath, body)
	if err != nil {
		return writeCallFailure("commit", err)
	}
	switch reply.status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return reply.conflict()
	default:
		return reply.writeFailure("commit")
	}
}

// PutObject stores the object once.
func (r *httpPlatform) PutObject(ctx context.Context, key string, body []byte) error {
	reply, err := r.roundTrip(ctx, http.MethodPut, r.path(ObjectsPath, key), body)
	if err != nil {
		return writeCallFailure("putobject", err)
	}
	if reply.status/100 == 2 {
		return nil
	}
	return reply.writeFailure("putobject")
}

// GetObject opens the object.
func (r *httpPlatform) GetObject(ctx context.Context, key string) (io.ReadCloser, int64, error) {
	request, err := newRequest(ctx, http.MethodGet, r.path(ObjectsPath, key), nil)
	if err != nil {
		return nil, 0, unavailable("getobject", err)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, 0, unavailable("getobject", err)
	}
	if response.StatusCode == http.StatusOK {
		return response.Body, response.ContentLength, nil
	}
	reply, err := readReply(response)
	if err != nil {
		return nil, 0, unavailable("getobject", err)
	}
	return nil, 0, reply.readFailure("getobject", key)
}

// newRequest builds a request that the transport does not repeat by itself.
func newRequest(ctx context.Context, method, target string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	return request, nil
}

// roundTrip makes one call and reads its whole answer.
func (r *httpPlatform) roundTrip(ctx context.Context, method, target string, body []byte) (httpReply, error) {
	request, err := newRequest(ctx, method, target, body)
	if err != nil {
		return httpReply{}, err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return httpReply{}, err
	}
	return readReply(response)
}

// httpReply is a whole HTTP httpReply.
type httpReply struct {
	status int
	// retryAfter is what the platform asks a caller to wait.
	retryAfter time.Duration
	body       []byte
}

func readReply(response *http.Response) (httpReply, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBody))
	if closeErr := response.Body.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return httpReply{}, err
	}
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil {
		seconds = 0
	}
	return httpReply{
		status:     response.StatusCode,
		retryAfter: time.Duration(seconds) * time.Second,
		body:       body,
	}, nil
}

func (a httpReply) conflict() error {
	var c Conflict
	if err := json.Unmarshal(a.body, &c); err != nil {
		return &OutcomeUnknownError{
			Operation: "commit",
			Cause:     err,
		}
	}
	return &ConflictError{
		Key:      c.Key,
		Expected: c.Expected,
		Found:    c.Found,
	}
}

func (a httpReply) readFailure(operation, key string) error {
	switch a.status {
	case http.StatusNotFound:
		return &NotFoundError{
			Key: key,
		}
	case http.StatusBadRequest:
		return a.invalid(operation)
	}
	return a.unavailable(operation)
}

func (a httpReply) writeFailure(operation string) error {
	switch a.status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return a.invalid(operation)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return a.unavailable(operation)
	}
	return &OutcomeUnknownError{
		Operation: operation,
		Cause:     a.statusError(),
	}
}

func (a httpReply) invalid(operation string) error {
	return &InvalidError{
		Operation: operation,
		Detail:    a.statusError().Body,
	}
}

func (a httpReply) unavailable(operation string) error {
	e := &UnavailableError{
		Operation:  operation,
		RetryAfter: a.retryAfter,
		Cause:      a.statusError(),
	}
	if a.status == http.StatusTooManyRequests {
		e.Cause = &ThrottledError{
			Limiter: "the platform",
		}
	}
	return e
}

func (a httpReply) statusError() *StatusError {
	return &StatusError{
		Code: a.status,
		Body: string(bytes.TrimSpace(a.body[:min(len(a.body), maxErrorBody)])),
	}
}

func unavailable(operation string, err error) error {
	return &UnavailableError{
		Operation: operation,
		Cause:     err,
	}
}

func writeCallFailure(operation string, err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return unavailable(operation, err)
	}
	return &OutcomeUnknownError{
		Operation: operation,
		Cause:     err,
	}
}

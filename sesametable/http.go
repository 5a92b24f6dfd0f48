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

// Paths of the platform's HTTP interface. RowsPath and ObjectsPath are followed
// by a slash and a key; a scan uses RowsPath alone.
const (
	RowsPath    = "/v1/rows"
	CommitPath  = "/v1/commit"
	ObjectsPath = "/v1/objects"
)

// Conflict is the JSON body of a reply with status 409 to a commit. It names a
// row, the version that the transaction expected it to have, and the version
// found; 0 means that the row is absent.
type Conflict struct {
	Key      string `json:"key"`
	Expected uint64 `json:"expected"`
	Found    uint64 `json:"found"`
}

const (
	// maxErrorBody bounds how much of an unexpected reply's body goes into an
	// error, in bytes.
	maxErrorBody = 512
	// maxReplyBody bounds the body of a reply other than an object, in bytes.
	maxReplyBody = 64 << 20
)

// httpPlatform calls the platform over HTTP, once for each call. A status of
// 429 or 503, or a connection that could not be made, means that the call had
// no effect. Any other failure of a write leaves its outcome unknown, except a
// status that says the request was invalid or in conflict.
type httpPlatform struct {
	// base is the platform's URL without a slash at its end.
	base   string
	client *http.Client
}

var (
	_ Table   = (*httpPlatform)(nil)
	_ Objects = (*httpPlatform)(nil)
)

// keyURL returns the URL of the row or object with that key, escaped. prefix is
// RowsPath or ObjectsPath.
func (r *httpPlatform) keyURL(prefix, key string) string {
	u := url.URL{
		Path: prefix + "/" + key,
	}
	return r.base + u.EscapedPath()
}

// Get reads one row, in one attempt; errors are those of read.
func (r *httpPlatform) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := r.read(ctx, "get", key, r.keyURL(RowsPath, key), &row)
	return row, err
}

// Scan reads rows as Table.Scan does, in one attempt; errors are those of read.
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

// read makes a GET call to the URL target and decodes the JSON body of its reply
// into value. Status 400 is an *InvalidError and 404 a *NotFoundError for the
// key; any other failure is an *UnavailableError.
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

// PutObject sends the object once.
func (r *httpPlatform) PutObject(ctx context.Context, key string, body []byte) error {
	reply, err := r.roundTrip(ctx, http.MethodPut, r.keyURL(ObjectsPath, key), body)
	if err != nil {
		return writeCallFailure("putobject", err)
	}
	if reply.status/100 == 2 {
		return nil
	}
	return reply.writeFailure("putobject")
}

// GetObject opens the object, in one attempt.
func (r *httpPlatform) GetObject(ctx context.Context, key string) (io.ReadCloser, int64, error) {
	request, err := newRequest(ctx, http.MethodGet, r.keyURL(ObjectsPath, key), nil)
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

// newRequest builds a request without GetBody, so that the HTTP transport does
// not repeat it by itself.
func newRequest(ctx context.Context, method, target string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	return request, nil
}

// roundTrip makes one call to the URL target and reads its reply.
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

// httpReply is an HTTP response with its body, of which at most maxReplyBody
// bytes were read.
type httpReply struct {
	status int
	// retryAfter is the wait that the Retry-After header asks for; 0 when the
	// header is missing or not a number of seconds.
	retryAfter time.Duration
	body       []byte
}

// readReply reads the body of the response, at most maxReplyBody bytes of it,
// and closes it.
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

// conflict returns the *ConflictError of a 409 reply, or an
// *OutcomeUnknownError when the body can't be decoded.
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

// readFailure returns the error of a read with a status other than 200; see
// httpPlatform.read for its type.
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

// writeFailure returns the error of a write with a status that is neither
// success nor conflict: an *InvalidError, an *UnavailableError, or an
// *OutcomeUnknownError when the write may have taken effect.
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

// invalid returns an *InvalidError with the start of the body.
func (a httpReply) invalid(operation string) error {
	return &InvalidError{
		Operation: operation,
		Detail:    a.statusError().Body,
	}
}

// unavailable returns an *UnavailableError; a status of 429 makes its cause a
// *ThrottledError.
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

// statusError returns the status with the start of the body.
func (a httpReply) statusError() *StatusError {
	return &StatusError{
		Code: a.status,
		Body: string(bytes.TrimSpace(a.body[:min(len(a.body), maxErrorBody)])),
	}
}

// unavailable returns an *UnavailableError for which it is not known when to
// retry.
func unavailable(operation string, err error) error {
	return &UnavailableError{
		Operation: operation,
		Cause:     err,
	}
}

// writeCallFailure returns the error of a write without a reply: it had no
// effect when the connection could not be made, and otherwise its outcome is
// unknown.
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

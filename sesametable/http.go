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

// maxErrorBody bounds what is kept of an unexpected answer, in bytes.
const maxErrorBody = 512

// remote makes single attempts over HTTP. A status of 429 or 503 and a
// connection that was never made mean that the call had no effect; any other
// failure of a write leaves its outcome open.
type remote struct {
	base   string
	client *http.Client
}

var (
	_ Table   = (*remote)(nil)
	_ Objects = (*remote)(nil)
)

func (r *remote) path(prefix, key string) string {
	u := url.URL{
		Path: prefix + "/" + key,
	}
	return r.base + u.EscapedPath()
}

// Get reads one row.
func (r *remote) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := r.read(ctx, "get", key, r.path(RowsPath, key), &row)
	return row, err
}

// Scan reads rows.
func (r *remote) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	query := url.Values{
		"prefix": {prefix},
		"after":  {after},
		"limit":  {strconv.Itoa(limit)},
	}
	var rows []Row
	err := r.read(ctx, "scan", prefix, r.base+RowsPath+"?"+query.Encode(), &rows)
	return rows, err
}

func (r *remote) read(ctx context.Context, operation, key, target string, value any) error {
	response, err := r.do(ctx, http.MethodGet, target, nil)
	if err != nil {
		return unavailable(operation, err)
	}
	defer drain(response.Body)
	if response.StatusCode != http.StatusOK {
		return readFailure(operation, key, response)
	}
	if err := json.NewDecoder(response.Body).Decode(value); err != nil {
		return unavailable(operation, err)
	}
	return nil
}

// Commit sends the transaction once.
func (r *remote) Commit(ctx context.Context, t Transaction) error {
	body, err := json.Marshal(t)
	if err != nil {
		return &InvalidError{
			Operation: "commit",
			Detail:    err.Error(),
		}
	}
	response, err := r.do(ctx, http.MethodPost, r.base+CommitPath, body)
	if err != nil {
		return lostUnlessUnsent("commit", err)
	}
	defer drain(response.Body)
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return conflictOf(response)
	default:
		return writeFailure("commit", response)
	}
}

func conflictOf(response *http.Response) error {
	var c Conflict
	if err := json.NewDecoder(response.Body).Decode(&c); err != nil {
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

// PutObject stores the object once.
func (r *remote) PutObject(ctx context.Context, key string, body []byte) error {
	response, err := r.do(ctx, http.MethodPut, r.path(ObjectsPath, key), body)
	if err != nil {
		return lostUnlessUnsent("putobject", err)
	}
	defer drain(response.Body)
	if response.StatusCode/100 == 2 {
		return nil
	}
	return writeFailure("putobject", response)
}

// GetObject opens the object.
func (r *remote) GetObject(ctx context.Context, key string) (io.ReadCloser, int64, error) {
	response, err := r.do(ctx, http.MethodGet, r.path(ObjectsPath, key), nil)
	if err != nil {
		return nil, 0, unavailable("getobject", err)
	}
	if response.StatusCode == http.StatusOK {
		return response.Body, response.ContentLength, nil
	}
	defer drain(response.Body)
	return nil, 0, readFailure("getobject", key, response)
}

func (r *remote) do(ctx context.Context, method, target string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody and an idempotent mark the transport repeats no write
	// by itself.
	request.GetBody = nil
	return r.client.Do(request)
}

// drain reads the rest so that the connection can be used again.
func drain(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxErrorBody))
	_ = body.Close()
}

func readFailure(operation, key string, response *http.Response) error {
	switch response.StatusCode {
	case http.StatusNotFound:
		return &NotFoundError{
			Key: key,
		}
	case http.StatusBadRequest:
		return invalid(operation, response)
	}
	return refusal(operation, response)
}

func writeFailure(operation string, response *http.Response) error {
	switch response.StatusCode {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return invalid(operation, response)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return refusal(operation, response)
	}
	return &OutcomeUnknownError{
		Operation: operation,
		Cause:     statusOf(response),
	}
}

func invalid(operation string, response *http.Response) error {
	return &InvalidError{
		Operation: operation,
		Detail:    statusOf(response).Body,
	}
}

func refusal(operation string, response *http.Response) error {
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	refused := &UnavailableError{
		Operation: operation,
		After:     time.Duration(seconds) * time.Second,
		Cause:     statusOf(response),
	}
	if response.StatusCode == http.StatusTooManyRequests {
		refused.Cause = &ThrottledError{
			Limiter: "the platform",
		}
	}
	return refused
}

func statusOf(response *http.Response) *StatusError {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	return &StatusError{
		Code: response.StatusCode,
		Body: string(bytes.TrimSpace(body)),
	}
}

func unavailable(operation string, err error) error {
	return &UnavailableError{
		Operation: operation,
		Cause:     err,
	}
}

func lostUnlessUnsent(operation string, err error) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return unavailable(operation, err)
	}
	return &OutcomeUnknownError{
		Operation: operation,
		Cause:     err,
	}
}

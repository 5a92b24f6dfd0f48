package sesametarget

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// The paths of a target's HTTP interface.
const (
	TargetPath = "/v1/target"
	LeasePath  = "/v1/lease"
	TasksPath  = "/v1/tasks"
)

// Reason tells apart the refusals that share an HTTP status.
type Reason string

// The reasons of a refusal.
const (
	// ReasonLease means that the caller holds no valid lease.
	ReasonLease Reason = "lease"
	// ReasonBusy means that resources for the task are in use.
	ReasonBusy Reason = "busy"
	// ReasonNotDone means that the task has no output.
	ReasonNotDone Reason = "notdone"
)

// Refusal is the JSON body of a response that refuses a call.
type Refusal struct {
	// Reason is empty when the HTTP status says enough.
	Reason Reason `json:"reason,omitempty"`
	// Detail explains the refusal, for operators.
	Detail string `json:"detail"`
}

// MaxOutputBytes bounds the output of one task.
const MaxOutputBytes = 64 << 20

// Client calls one target over HTTP. Every method takes its deadline from its
// context and returns errors of the types in this package.
type Client struct {
	// base is the target's URL without a slash at its end.
	base string
	http *http.Client
}

// NewClient returns a client of the target at a base URL such as
// http://127.0.0.1:7100. It makes the calls with hc, which may not be nil.
func NewClient(baseURL string, hc *http.Client) *Client {
	return &Client{
		base: strings.TrimSuffix(baseURL, "/"),
		http: hc,
	}
}

// Describe returns the target's kind, capacity and incarnation.
func (c *Client) Describe(ctx context.Context) (Description, error) {
	var d Description
	err := c.callJSON(ctx, call{
		operation: "describe",
		method:    http.MethodGet,
		path:      TargetPath,
	}, &d)
	return d, err
}

// Renew extends the holder's lease. It returns a *LeaseError while another
// holder's lease is valid.
func (c *Client) Renew(ctx context.Context, l Lease) error {
	return c.callJSON(ctx, call{
		operation: "renew",
		method:    http.MethodPut,
		path:      LeasePath,
		holder:    l.Holder,
		body:      l,
	}, nil)
}

// Start starts the task. It is idempotent: a task that exists already is left
// as it is. It returns a *LeaseError or a *BusyError when the task did not
// start, and an *UnreachableError when it may have started.
func (c *Client) Start(ctx context.Context, t Task) error {
	return c.callJSON(ctx, call{
		operation: "start",
		method:    http.MethodPut,
		path:      taskPath(t.ID),
		task:      t.ID,
		holder:    t.Holder,
		body:      t,
	}, nil)
}

// Tasks returns the status of every task that the target knows, ended ones
// included.
func (c *Client) Tasks(ctx context.Context) ([]Status, error) {
	var tasks []Status
	err := c.callJSON(ctx, call{
		operation: "tasks",
		method:    http.MethodGet,
		path:      TasksPath,
	}, &tasks)
	return tasks, err
}

// Output returns the whole output of a task that is done. It returns an
// *OutputTooLargeError when the output has more than MaxOutputBytes.
func (c *Client) Output(ctx context.Context, id TaskID) ([]byte, error) {
	k := call{
		operation: "output",
		method:    http.MethodGet,
		path:      taskPath(id) + "/output",
		task:      id,
	}
	response, err := c.do(ctx, k)
	if err != nil {
		return nil, err
	}
	defer drainAndClose(response)
	output, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, MaxOutputBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &OutputTooLargeError{
			Task: id,
		}
	}
	if err != nil {
		return nil, k.unreachableError(err)
	}
	return output, nil
}

// Stop ends the task within grace and returns its status after its end. A grace
// of 0 stops the task at once.
func (c *Client) Stop(ctx context.Context, id TaskID, grace time.Duration) (Status, error) {
	var status Status
	err := c.callJSON(ctx, call{
		operation: "stop",
		method:    http.MethodPost,
		path:      taskPath(id) + "/stop",
		task:      id,
		body: StopRequest{
			GraceMs: grace.Milliseconds(),
		},
	}, &status)
	return status, err
}

// taskPath returns the path of one task.
func taskPath(id TaskID) string {
	return TasksPath + "/" + url.PathEscape(string(id))
}

// call is one request, with the values that its errors contain.
type call struct {
	// operation is the name of the Client's method, for error messages.
	operation string
	// method is the HTTP method, path the path of the URL.
	method string
	path   string
	// task is the task that the call is about, holder the lease holder that
	// makes it; each is empty if the call has none.
	task   TaskID
	holder string
	// body is sent as JSON, unless nil.
	body any
}

// callJSON makes the call and decodes the JSON response into value, unless
// value is nil.
func (c *Client) callJSON(ctx context.Context, k call, value any) error {
	response, err := c.do(ctx, k)
	if err != nil {
		return err
	}
	defer drainAndClose(response)
	if value == nil {
		return nil
	}
	if err := json.NewDecoder(response.Body).Decode(value); err != nil {
		return k.unreachableError(err)
	}
	return nil
}

// do makes the call and returns the response if its status is 2xx. Otherwise it
// returns the error that the response stands for. The caller closes the body.
func (c *Client) do(ctx context.Context, k call) (*http.Response, error) {
	var body io.Reader
	if k.body != nil {
		encoded, err := json.Marshal(k.body)
		if err != nil {
			return nil, k.unreachableError(err)
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, k.method, c.base+k.path, body)
	if err != nil {
		return nil, k.unreachableError(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, k.unreachableError(err)
	}
	if response.StatusCode/100 == 2 {
		return response, nil
	}
	defer drainAndClose(response)
	return nil, k.refusalError(response)
}

// unreachableError returns the error of a call that got no complete response.
func (k call) unreachableError(err error) error {
	return &UnreachableError{
		Operation: k.operation,
		Cause:     err,
	}
}

// maxErrorBody bounds, in bytes, what is read of an error response's body, and
// what is discarded of any response's body before the connection is reused.
const maxErrorBody = 4 << 10

// refusalError returns the error for a response with a status other than 2xx.
// The type of the error depends on the status and the Reason in the body.
func (k call) refusalError(response *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	refusal := Refusal{
		Detail: strings.TrimSpace(string(body)),
	}
	_ = json.Unmarshal(body, &refusal)
	switch {
	case response.StatusCode == http.StatusConflict && refusal.Reason == ReasonLease:
		return &LeaseError{
			Holder: k.holder,
			Detail: refusal.Detail,
		}
	case response.StatusCode == http.StatusConflict && refusal.Reason == ReasonNotDone:
		return &NotDoneError{
			Task:   k.task,
			Detail: refusal.Detail,
		}
	case isBusy(response.StatusCode, refusal):
		return k.busyError(response, refusal)
	case response.StatusCode == http.StatusNotFound:
		return &NotFoundError{
			Task: k.task,
		}
	}
	return &RefusedError{
		Operation: k.operation,
		Status:    response.StatusCode,
		Detail:    refusal.Detail,
	}
}

// isBusy reports whether a refusal is temporary because resources are in use.
func isBusy(status int, refusal Refusal) bool {
	return status == http.StatusTooManyRequests ||
		status == http.StatusServiceUnavailable ||
		status == http.StatusConflict && refusal.Reason == ReasonBusy
}

// busyError returns the error of a busy target, with the delay from the
// Retry-After header in seconds, or 0 if the header has no number.
func (k call) busyError(response *http.Response, refusal Refusal) error {
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return &BusyError{
		Task:       k.task,
		RetryAfter: time.Duration(seconds) * time.Second,
		Detail:     refusal.Detail,
	}
}

// drainAndClose reads the rest of the body, up to maxErrorBody bytes, so that
// the connection can be reused.
func drainAndClose(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBody))
	_ = response.Body.Close()
}

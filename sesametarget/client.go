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
)

// Paths of the target's interface.
const (
	TargetPath = "/v1/target"
	LeasePath  = "/v1/lease"
	TasksPath  = "/v1/tasks"
)

// Reason tells apart the refusals that share one status.
type Reason string

// The reasons.
const (
	ReasonLease   Reason = "lease"
	ReasonBusy    Reason = "busy"
	ReasonNotDone Reason = "notdone"
)

// Refusal is the body of an answer that refuses a call.
type Refusal struct {
	Reason Reason `json:"reason,omitempty"`
	Detail string `json:"detail"`
}

// MaxOutputBytes bounds the output of one task, in bytes.
const MaxOutputBytes = 64 << 20

// Client talks to one target. Every method takes its deadline from its
// context; errors are the types of this package.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the target at that base address, such as
// http://127.0.0.1:7100.
func NewClient(baseURL string, hc *http.Client) *Client {
	return &Client{
		base: strings.TrimSuffix(baseURL, "/"),
		http: hc,
	}
}

// Describe returns what the target offers.
func (c *Client) Describe(ctx context.Context) (Description, error) {
	var d Description
	err := c.callJSON(ctx, call{
		operation: "describe",
		method:    http.MethodGet,
		path:      TargetPath,
	}, &d)
	return d, err
}

// Renew extends the holder's lease, or returns a *LeaseError while another
// holder's lease lives.
func (c *Client) Renew(ctx context.Context, l Lease) error {
	return c.callJSON(ctx, call{
		operation: "renew",
		method:    http.MethodPut,
		path:      LeasePath,
		holder:    l.Holder,
		body:      l,
	}, nil)
}

// Start starts the task; a task that exists already is left as it is. Errors
// are a *LeaseError or a *BusyError when it did not start, and an
// *UnreachableError when it may have.
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

// Tasks returns all tasks that the target knows, also those that ended.
func (c *Client) Tasks(ctx context.Context) ([]Status, error) {
	var tasks []Status
	err := c.callJSON(ctx, call{
		operation: "tasks",
		method:    http.MethodGet,
		path:      TasksPath,
	}, &tasks)
	return tasks, err
}

// Output returns the whole output of a task that is done.
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
	if response.ContentLength > MaxOutputBytes {
		return nil, &RefusedError{
			Operation: k.operation,
			Status:    response.StatusCode,
			Detail:    "output of " + strconv.FormatInt(response.ContentLength, 10) + " bytes is too long",
		}
	}
	output, err := io.ReadAll(io.LimitReader(response.Body, MaxOutputBytes))
	if err != nil {
		return nil, k.unreachableError(err)
	}
	return output, nil
}

// Stop ends the task within grace and returns its status after it ended.
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

func taskPath(id TaskID) string {
	return TasksPath + "/" + url.PathEscape(string(id))
}

// call is one request and what its errors name.
type call struct {
	operation string
	method    string
	path      string
	task      TaskID
	holder    string
	body      any
}

// callJSON makes the call and decodes the answer into value, unless nil.
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

// do returns the answer of a call that succeeded.
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

func (k call) unreachableError(err error) error {
	return &UnreachableError{
		Operation: k.operation,
		Cause:     err,
	}
}

// maxErrorBody bounds what is read of a refusal, in bytes.
const maxErrorBody = 4 << 10

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

func isBusy(status int, refusal Refusal) bool {
	return status == http.StatusTooManyRequests ||
		status == http.StatusServiceUnavailable ||
		status == http.StatusConflict && refusal.Reason == ReasonBusy
}

func (k call) busyError(response *http.Response, refusal Refusal) error {
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return &BusyError{
		Task:       k.task,
		RetryAfter: time.Duration(seconds) * time.Second,
		Detail:     refusal.Detail,
	}
}

// drainAndClose reads the rest so that the connection can be used again.
func drainAndClose(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBody))
	_ = response.Body.Close()
}

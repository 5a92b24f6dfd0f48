package sesameapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

// ClientOptions are the settings of a client. Zero values mean the defaults;
// at least one address is required.
type ClientOptions struct {
	// Addresses are entries or their balancer, such as http://10.0.0.1:8080.
	Addresses []string
	// Token is sent as the Bearer token.
	Token string
	HTTP  *http.Client
	Clock clockwork.Clock
	// MaxTries bounds the requests that one call sends.
	MaxTries int
	// Timeout bounds one request, long polls and results apart.
	Timeout time.Duration
}

const (
	defaultTries         = 6
	defaultClientTimeout = 15 * time.Second
	initialRetryDelay    = 200 * time.Millisecond
	maxRetryDelay        = 5 * time.Second
	maxResponseBytes     = 64 << 20
)

// Client calls the entries. When one does not answer it tries another: every
// call of the interface may be repeated. It is safe for concurrent use.
type Client struct {
	options ClientOptions
	// next is the address to try first; it moves on when one does not answer.
	next atomic.Uint64
}

// NewClient returns a client.
func NewClient(o ClientOptions) *Client {
	if o.HTTP == nil {
		o.HTTP = &http.Client{}
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.MaxTries == 0 {
		o.MaxTries = defaultTries
	}
	if o.Timeout == 0 {
		o.Timeout = defaultClientTimeout
	}
	return &Client{
		options: o,
	}
}

// UnreachableError says that no entry answered.
type UnreachableError struct {
	// Address is the entry that was tried last.
	Address string
	Tries   int
	// MaybeReceived is true when a request may have reached an entry, so that its
	// outcome is unknown. Repeating the call is safe.
	MaybeReceived bool
	Cause         error
}

// Error names the last address and the cause.
func (e *UnreachableError) Error() string {
	if e.MaybeReceived {
		return fmt.Sprintf("no answer from %s after %d tries, the outcome is unknown: %v", e.Address, e.Tries, e.Cause)
	}
	return fmt.Sprintf("no entry reached, last %s after %d tries: %v", e.Address, e.Tries, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error {
	return e.Cause
}

// InvalidResponseError says that an entry's answer is not what the interface promises.
type InvalidResponseError struct {
	Address string
	Status  int
	Cause   error
}

// Error names the address, the status and the cause.
func (e *InvalidResponseError) Error() string {
	return fmt.Sprintf("answer of %s with status %d cannot be read: %v", e.Address, e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *InvalidResponseError) Unwrap() error {
	return e.Cause
}

// call is one request, to be sent as often as needed.
type call struct {
	method string
	path   string
	query  url.Values
	header http.Header
	body   []byte
	// timeout bounds one try.
	timeout time.Duration
}

// reply is an answer whose body is still open.
type reply struct {
	address  string
	response *http.Response
	cancel   context.CancelFunc
}

func (r *reply) close() {
	_ = r.response.Body.Close()
	r.cancel()
}

// tryRecord is what happened to the requests of one call so far.
type tryRecord struct {
	count int
	// maybeReceived is true when a request may have taken effect unanswered.
	maybeReceived bool
}

// do sends the call until an entry answers it, and returns the answer.
func (c *Client) do(ctx context.Context, k call) (*reply, tryRecord, error) {
	var (
		t       tryRecord
		lastErr error
		delays  = c.newBackoff()
	)
	for t.count < c.options.MaxTries {
		if t.count > 0 {
			if err := c.sleep(ctx, delays.NextBackOff(), lastErr); err != nil {
				break
			}
		}
		t.count++
		answer, err := c.try(ctx, k)
		if err == nil {
			return answer, t, nil
		}
		lastErr = err
		t.maybeReceived = t.maybeReceived || mayHaveTakenEffect(err)
		c.next.Add(1)
		if !retryable(err) || ctx.Err() != nil {
			break
		}
	}
	return nil, t, c.callError(t, lastErr)
}

func (c *Client) newBackoff() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = initialRetryDelay
	delays.MaxInterval = maxRetryDelay
	delays.Reset()
	return delays
}

// sleep waits for the pause, or for as long as the last answer asked when
// every address has been tried.
func (c *Client) sleep(ctx context.Context, delay time.Duration, lastErr error) error {
	var problem *ProblemError
	if errors.As(lastErr, &problem) && len(c.options.Addresses) == 1 {
		delay = max(delay, problem.Problem.RetryAfter)
	}
	timer := c.options.Clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Client) callError(t tryRecord, lastErr error) error {
	var problem *ProblemError
	if errors.As(lastErr, &problem) {
		return problem.afterTries(t)
	}
	return &UnreachableError{
		Address:       c.address(),
		Tries:         t.count,
		MaybeReceived: t.maybeReceived,
		Cause:         lastErr,
	}
}

// afterTries makes the outcome unknown when an earlier try of the same call
// may have taken effect.
func (e *ProblemError) afterTries(t tryRecord) *ProblemError {
	if e.Problem.Outcome == Unchanged && t.maybeReceived {
		return e.withOutcome(Unsure, e.Problem.Job)
	}
	return e
}

func (c *Client) address() string {
	return c.options.Addresses[c.next.Load()%uint64(len(c.options.Addresses))]
}

// try sends the call once. An answer that another entry may improve is
// returned as a *ProblemError.
func (c *Client) try(ctx context.Context, k call) (*reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	if k.timeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, k.timeout)
	}
	address := c.address()
	request, err := c.request(ctx, address, k)
	if err != nil {
		cancel()
		return nil, err
	}
	response, err := c.options.HTTP.Do(request) //nolint:bodyclose // closed with the reply
	if err != nil {
		cancel()
		return nil, err
	}
	answer := &reply{
		address:  address,
		response: response,
		cancel:   cancel,
	}
	if response.StatusCode < http.StatusBadRequest {
		return answer, nil
	}
	defer answer.close()
	return nil, readProblem(answer)
}

func (c *Client) request(ctx context.Context, address string, k call) (*http.Request, error) {
	target := address + k.path
	if len(k.query) > 0 {
		target += "?" + k.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, k.method, target, bytes.NewReader(k.body))
	if err != nil {
		return nil, err
	}
	for name, values := range k.header {
		request.Header[name] = values
	}
	if len(k.body) > 0 {
		request.Header.Set("Content-Type", jsonContentType)
	}
	if c.options.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.options.Token)
	}
	return request, nil
}

func readProblem(answer *reply) error {
	body, err := io.ReadAll(io.LimitReader(answer.response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	problem := &ProblemError{}
	if err := json.Unmarshal(body, &problem.Problem); err != nil || problem.Problem.Type == "" {
		return &InvalidResponseError{
			Address: answer.address,
			Status:  answer.response.StatusCode,
			Cause:   err,
		}
	}
	if seconds, err := strconv.Atoi(answer.response.Header.Get("Retry-After")); err == nil {
		problem.Problem.RetryAfter = time.Duration(seconds) * time.Second
	}
	return problem
}

// retryable reports whether another entry, or a later try, may answer better.
func retryable(err error) bool {
	var problem *ProblemError
	if !errors.As(err, &problem) {
		return true
	}
	switch problem.Problem.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return problem.Problem.Type != ResultDamaged
	}
	return false
}

// mayHaveTakenEffect reports whether a try without a good answer may have
// changed something: all but those that reached no entry, or that were
// answered so.
func mayHaveTakenEffect(err error) bool {
	var problem *ProblemError
	if errors.As(err, &problem) {
		return problem.Problem.Outcome == Unsure || problem.Problem.Status >= http.StatusInternalServerError && problem.Problem.Outcome == Pending
	}
	var dial *net.OpError
	return !errors.As(err, &dial) || dial.Op != "dial"
}

// fetch sends the call and decodes the answer.
func fetch[T any](ctx context.Context, c *Client, k call) (T, int, tryRecord, error) {
	var value T
	if k.timeout == 0 {
		k.timeout = c.options.Timeout
	}
	answer, t, err := c.do(ctx, k)
	if err != nil {
		return value, 0, t, err
	}
	defer answer.close()
	status := answer.response.StatusCode
	if err := json.NewDecoder(io.LimitReader(answer.response.Body, maxResponseBytes)).Decode(&value); err != nil {
		return value, status, t, &InvalidResponseError{
			Address: answer.address,
			Status:  status,
			Cause:   err,
		}
	}
	return value, status, t, nil
}

func marshal(value any) ([]byte, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return nil, &InvalidResponseError{
			Cause: err,
		}
	}
	return body, nil
}

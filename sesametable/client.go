package sesametable

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamesettings"
)

// Options configures a Client.
type Options struct {
	// Platform has the URL, the timeout of an attempt and the rates in calls per
	// second. A CallTimeout of 0 means the default of an entry's settings.
	Platform sesamesettings.Platform
	// HTTP makes the calls; nil means a client with at most maxConnections
	// connections to the platform.
	HTTP *http.Client
	// Clock is the time source; nil means the system's clock.
	Clock clockwork.Clock
	// Scope records the metrics; nil means that none are recorded.
	Scope tally.Scope
	// Log records the events; nil discards them.
	Log *sesamelog.Logger
}

const (
	// retryTimeoutFactor and resolutionTimeoutFactor set RetryTimeout and
	// ResolutionTimeout of RetryOptions, as multiples of the timeout of a single
	// attempt.
	retryTimeoutFactor      = 3
	resolutionTimeoutFactor = 10
	// maxConnections bounds the open connections to the platform, idle and in
	// use.
	maxConnections = 32
)

// Client calls the platform's table and object store over HTTP. It adds rate
// limits, a circuit breaker and retries to each call. It is safe for concurrent
// use.
type Client struct {
	*RetryingTable
	guard *Guard
}

var (
	_ Table   = (*Client)(nil)
	_ Objects = (*Client)(nil)
)

// NewClient returns a client of the platform at o.Platform.URL.
func NewClient(o Options) *Client {
	o = o.withDefaults()
	r := &httpPlatform{
		base:   strings.TrimSuffix(o.Platform.URL, "/"),
		client: o.HTTP,
	}
	return newClient(r, r, o)
}

// newClient wraps services that try each call once with a Guard, and the Guard
// with retries.
func newClient(table Table, objects Objects, o Options) *Client {
	guard := NewGuard(table, objects, o.Platform, o.Clock, o.Scope, o.Log)
	return &Client{
		RetryingTable: NewRetryingTable(guard, RetryOptions{
			Clock:             o.Clock,
			Log:               o.Log,
			RetryTimeout:      retryTimeoutFactor * o.Platform.CallTimeout,
			ResolutionTimeout: resolutionTimeoutFactor * o.Platform.CallTimeout,
		}),
		guard: guard,
	}
}

// withDefaults replaces the zero values by their defaults.
func (o Options) withDefaults() Options {
	if o.HTTP == nil {
		o.HTTP = &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: maxConnections,
				MaxConnsPerHost:     maxConnections,
			},
		}
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Log == nil {
		o.Log = sesamelog.Discard()
	}
	if o.Platform.CallTimeout == 0 {
		o.Platform.CallTimeout = sesamesettings.DefaultEntry().Platform.CallTimeout
	}
	return o
}

// PutObject stores an object. It retries while the platform is unavailable or
// the outcome is unknown, until RetryTimeout is over or the circuit breaker
// opens: storing the same bytes under the same key twice is idempotent.
func (c *Client) PutObject(ctx context.Context, key string, body []byte) error {
	return c.retry(ctx, c.standardBudget(), func() error {
		err := c.guard.PutObject(ctx, key, body)
		var unknown *OutcomeUnknownError
		if errors.As(err, &unknown) {
			return unavailable("putobject", unknown.Cause)
		}
		return err
	})
}

// GetObject opens an object as Objects.GetObject does, and retries while the
// platform is unavailable.
func (c *Client) GetObject(ctx context.Context, key string) (io.ReadCloser, int64, error) {
	var body io.ReadCloser
	var length int64
	err := c.retry(ctx, c.standardBudget(), func() error {
		var err error
		body, length, err = c.guard.GetObject(ctx, key)
		return err
	})
	return body, length, err
}

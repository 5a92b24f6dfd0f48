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

// Options are what a Client is made of.
type Options struct {
	Platform sesamesettings.Platform
	// HTTP makes the calls; nil means a client with its own connections.
	HTTP *http.Client
	// Clock; nil means the system's.
	Clock clockwork.Clock
	// Scope takes the metrics; nil means none.
	Scope tally.Scope
	// Log takes the events; nil means none.
	Log *sesamelog.Logger
}

const (
	// resolutionTimeouts and retryTimeoutFactor are the longest time that a
	// call is repeated, in timeouts of one attempt.
	retryTimeoutFactor      = 3
	resolutionTimeoutFactor = 10
	// maxConnections bounds the open connections to the platform.
	maxConnections = 32
)

// Client reaches the platform over HTTP.
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

// newClient guards and repeats calls to single-attempt services.
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

// PutObject stores an object and repeats the call until it is answered: the
// same bytes under the same key do no harm twice.
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

// GetObject opens an object; see Objects.
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

package sesameapi

import (
	"context"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/sesamestack/sesamestack/sesamecontract"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestore"
)

// JobChange says what happened to a job's row.
type JobChange string

// The changes that a Notifier hears of.
const (
	Submitted JobChange = "submitted"
	Cancelled JobChange = "cancelled"
	Resolved  JobChange = "resolved"
)

// Notifier passes on hints. The row is written before the hint is given, so a
// lost hint costs the planner a poll and nothing else.
type Notifier interface {
	// Notify says that the job's row was changed. It never blocks; the error
	// is a *sesamering.FullError.
	Notify(change JobChange, job sesamemodel.Job) error
}

// Planner answers questions about what is planned.
type Planner interface {
	// WaitReason says in a sentence why a queued job waits; empty when not known.
	WaitReason(ctx context.Context, id sesamemodel.JobID) (string, error)
	// Load is how full the planner is, from 0 to 1.
	Load() float64
	// CheckFits returns why the job can never run on what is announced and
	// guaranteed, or nil when it may. Its message is shown to the caller.
	CheckFits(spec sesamemodel.Spec) error
}

// GuaranteeAssigner assigns guaranteed shapes to cells, as sesameplanner.Admit does.
type GuaranteeAssigner interface {
	// Admit returns the cells that change, or the reason why the guarantees
	// do not pack. Its message is shown to the operator.
	Admit(contracts []sesamemodel.Contract, cells []sesamemodel.Cell) ([]sesamemodel.Cell, error)
}

// Health says whether the entry may serve.
type Health interface {
	// Ready returns why the entry should get no new requests, or nil.
	Ready() error
}

// Backend is what the handler needs of the entry that it belongs to.
type Backend interface {
	Notifier
	Planner
	GuaranteeAssigner
	Health
}

// Options are the settings of a handler. Zero values mean the defaults where
// one exists; Region, Store and Contracts are required.
type Options struct {
	Region    string
	Store     *sesamestore.Store
	Contracts *sesamecontract.Watch
	// Operators are the SHA-256 digests of access tokens, in hex, by name.
	Operators map[string]string
	Clock     clockwork.Clock
	Log       *sesamelog.Logger
	Metrics   tally.Scope
	// MetricsHandler serves /metrics; nil leaves it out.
	MetricsHandler http.Handler
	// MaxBody bounds a request body, in bytes.
	MaxBody int64
	// MaxRequests bounds the requests in progress, long polls apart.
	MaxRequests int
	// MaxWaiters bounds the long polls in progress.
	MaxWaiters int
	// MaxWait bounds one long poll.
	MaxWait time.Duration
	// Timeout bounds any other request, but for the transfer of a result.
	Timeout time.Duration
}

const (
	defaultMaxBody     = 64 << 10
	defaultMaxRequests = 256
	defaultMaxWaiters  = 4096
	defaultMaxWait     = time.Minute
	defaultTimeout     = 10 * time.Second

	headerTimeout = 5 * time.Second
	readTimeout   = 15 * time.Second
	idleTimeout   = 75 * time.Second
	// writeTimeout leaves a long poll time to be answered.
	writeTimeout   = defaultMaxWait + 30*time.Second
	maxHeaderBytes = 16 << 10
)

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Log == nil {
		o.Log = sesamelog.Discard()
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	if o.MaxBody == 0 {
		o.MaxBody = defaultMaxBody
	}
	if o.MaxRequests == 0 {
		o.MaxRequests = defaultMaxRequests
	}
	if o.MaxWaiters == 0 {
		o.MaxWaiters = defaultMaxWaiters
	}
	if o.MaxWait == 0 {
		o.MaxWait = defaultMaxWait
	}
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	return o
}

// NewServer returns a server for the handler with bounds on headers and on the
// time that a caller may take to send a request. The handler bounds the rest.
func NewServer(address string, h http.Handler) *http.Server {
	return &http.Server{
		Addr:              address,
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

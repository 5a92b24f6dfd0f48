package sesameapi

import (
	"context"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/sesamestack/sesamestack/sesamecontract"
	"github.com/sesamestack/sesamestack/sesameguard"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestore"
)

// JobChange says what the handler changed in a job's row.
type JobChange string

// The changes that are reported to a Notifier: a job was created, cancelled, or
// resolved (its unknown outcome decided by an operator).
const (
	Submitted JobChange = "submitted"
	Cancelled JobChange = "cancelled"
	Resolved  JobChange = "resolved"
)

// Notifier tells the planner about jobs that the handler changed. The row is
// written before the notification, so a lost one only delays the planner until
// its next poll.
type Notifier interface {
	// Notify tells that the job's row was changed. It never blocks; the error
	// is a *sesamering.FullError.
	Notify(change JobChange, job sesamemodel.Job) error
}

// Planner answers questions about the planning of jobs.
type Planner interface {
	// WaitReason says in a sentence why a queued job waits; empty when not
	// known.
	WaitReason(ctx context.Context, id sesamemodel.JobID) (string, error)
	// Load is how full the planner's queue is, from 0 to 1.
	Load() float64
	// CheckFits returns why the job can never run on the known targets beside
	// the guarantees of other teams, or nil when it may. The error's message is
	// shown to the caller.
	CheckFits(spec sesamemodel.Spec) error
}

// GuaranteeAssigner assigns guarantees to cells (groups of neighbouring targets),
// as sesameplanner.Admit does. A guarantee is a shape: a number of workers with
// a number of accelerators each, within one span such as a rack.
type GuaranteeAssigner interface {
	// Admit returns the cells whose guarantees change, or why the guarantees
	// can't be placed together. The error's message is shown to the operator.
	Admit(contracts []sesamemodel.Contract, cells []sesamemodel.Cell) ([]sesamemodel.Cell, error)
}

// Health reports the entry's readiness.
type Health interface {
	// Ready returns why the entry should get no new requests, or nil when it
	// is ready.
	Ready() error
}

// Backend is what the handler needs from the rest of its entry.
type Backend interface {
	Notifier
	Planner
	GuaranteeAssigner
	Health
}

// Options are the settings of a handler. Zero values mean the defaults where
// one exists; Region, Store and Contracts are required.
type Options struct {
	// Region is the region whose jobs the entry serves.
	Region string
	// Store holds the rows of jobs, cells and contracts, and the objects.
	Store *sesamestore.Store
	// Contracts follows the contracts in force.
	Contracts *sesamecontract.Watch
	// Operators are the SHA-256 digests of the operators' access tokens, in
	// hex, by the operator's name.
	Operators map[string]string
	// Clock defaults to the real clock; without Log and Metrics, events and
	// metrics are discarded.
	Clock   clockwork.Clock
	Log     *sesamelog.Logger
	Metrics tally.Scope
	// MetricsHandler serves /metrics; nil leaves it out.
	MetricsHandler http.Handler
	// MaxBody bounds a request body, in bytes; 0 means 64 KiB.
	MaxBody int64
	// MaxRequests bounds the requests in progress, without long polls; 0 means
	// 256.
	MaxRequests int
	// MaxWaiters bounds the long polls in progress; 0 means 4096.
	MaxWaiters int
	// MaxWait bounds the duration of one long poll; 0 means a minute.
	MaxWait time.Duration
	// Timeout bounds the duration of any other request, without the transfer
	// of a result; 0 means 10 seconds.
	Timeout time.Duration
}

// The defaults of Options, and the bounds of ServerLimits.
const (
	defaultMaxBody     = 64 << 10 // bytes
	defaultMaxRequests = 256
	DefaultMaxWaiters  = 4096
	defaultMaxWait     = time.Minute
	defaultTimeout     = 10 * time.Second

	headerTimeout  = 5 * time.Second
	idleTimeout    = 75 * time.Second
	maxHeaderBytes = 16 << 10
)

// withDefaults returns the options with defaults for zero values.
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
		o.MaxWaiters = DefaultMaxWaiters
	}
	if o.MaxWait == 0 {
		o.MaxWait = defaultMaxWait
	}
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	return o
}

// ServerLimits returns the limits of connections for the guard of the handler's
// server. The handler itself bounds bodies, requests in progress and their time.
func ServerLimits() sesameguard.Limits {
	return sesameguard.Limits{
		HeadBytes:   maxHeaderBytes,
		HeadTimeout: headerTimeout,
		IdleTimeout: idleTimeout,
	}
}

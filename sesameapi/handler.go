package sesameapi

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"

	"github.com/sesamestack/sesamestack/sesameguard"
	"github.com/sesamestack/sesamestack/sesamelog"
)

// Handler serves the HTTP interface to callers and operators. It is safe for
// concurrent use.
type Handler struct {
	options Options
	backend Backend
	router  chi.Router
	metrics *metrics
	limits  *limits
	polls   *sharedPolls
	// requests is the number of requests in progress, without long polls.
	requests atomic.Int64
	// drainStarted is closed by Drain.
	drainStarted chan struct{}
	// socketClock is always the real clock, even if Options.Clock is a fake
	// one, because the kernel compares a socket's deadlines with it.
	socketClock clockwork.Clock
	drainOnce   sync.Once
}

// New returns the HTTP handler of one entry.
func New(o Options, b Backend) *Handler {
	o = o.withDefaults()
	h := &Handler{
		options:      o,
		backend:      b,
		metrics:      newMetrics(o.Metrics),
		limits:       newLimits(o.Clock, o.Store, o.Region),
		drainStarted: make(chan struct{}),
		socketClock:  clockwork.NewRealClock(),
	}
	h.polls = newSharedPolls(o.Clock, o.Store, o.MaxWaiters, h.drainStarted)
	h.router = h.routes()
	return h
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.router.ServeHTTP(w, r)
}

// RowsChanged tells the handler that the rows of those keys changed, so that
// long polls for their jobs read them at once instead of at their next interval.
func (h *Handler) RowsChanged(keys []string) {
	h.polls.rowsChanged(keys)
}

// Drain ends all long polls at once with the last known state of their jobs, and
// makes /readyz fail. New requests are still served. It is called before the
// server's Shutdown.
func (h *Handler) Drain() {
	h.drainOnce.Do(func() {
		close(h.drainStarted)
	})
}

// draining reports whether Drain was called.
func (h *Handler) draining() bool {
	select {
	case <-h.drainStarted:
		return true
	default:
		return false
	}
}

func (h *Handler) routes() chi.Router {
	r := chi.NewRouter()
	r.NotFound(h.handlerFunc(func(http.ResponseWriter, *http.Request) error {
		return newProblem(NotFound, "")
	}))
	r.MethodNotAllowed(h.handlerFunc(func(http.ResponseWriter, *http.Request) error {
		return newProblem(MethodNotAllowed, "")
	}))
	r.Get("/healthz", h.health)
	r.Get("/readyz", h.handlerFunc(h.ready))
	if h.options.MetricsHandler != nil {
		r.Method(http.MethodGet, "/metrics", h.options.MetricsHandler)
	}
	h.jobRoutes(r)
	h.operatorRoutes(r)
	return r
}

// jobRoutes adds the endpoints for jobs.
func (h *Handler) jobRoutes(r chi.Router) {
	r.Post("/v1/jobs", h.handlerFunc(reportUnchanged(h.withLimits(h.submit))))
	r.Get("/v1/jobs", h.limitedHandler(h.list))
	r.Get("/v1/jobs/{id}", h.handlerFunc(h.status))
	r.Delete("/v1/jobs/{id}", h.limitedHandler(h.cancel))
	r.Get("/v1/jobs/{id}/result", h.handlerFunc(h.result))
	r.Get("/v1/jobs/{id}/explain", h.limitedHandler(h.explain))
	r.Post("/v1/jobs/{id}/resolve", h.limitedHandler(h.resolve))
}

// operatorRoutes adds the endpoints for contracts and targets.
func (h *Handler) operatorRoutes(r chi.Router) {
	r.Get("/v1/contracts", h.limitedHandler(h.contracts))
	r.Post("/v1/contracts", h.limitedHandler(h.changeContracts))
	r.Get("/v1/contracts/history", h.limitedHandler(h.history))
	r.Post("/v1/contracts/rollback", h.limitedHandler(h.rollback))
	r.Get("/v1/targets", h.limitedHandler(h.targets))
	r.Post("/v1/targets/{id}/release", h.limitedHandler(h.release))
}

// endpoint writes the response to a request, or returns an error from which the
// error response is made.
type endpoint func(http.ResponseWriter, *http.Request) error

// handlerFunc returns an HTTP handler that writes an endpoint's error as an
// RFC 9457 problem. While the entry drains it also closes connections, so that
// callers connect to another entry.
func (h *Handler) handlerFunc(e endpoint) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		sesameguard.KeepFields(r, authorizationHeader, keyHeader)
		if h.draining() {
			w.Header().Set("Connection", "close")
		}
		err := e(w, r)
		if err == nil {
			return
		}
		problem := asProblem(err)
		h.recordProblem(r, problem)
		problem.Problem.write(w)
	}
}

// limitedHandler returns an HTTP handler for an endpoint whose time is bounded by
// Options.Timeout and whose requests beyond Options.MaxRequests in progress are
// refused as Overloaded.
func (h *Handler) limitedHandler(e endpoint) http.HandlerFunc {
	return h.handlerFunc(h.withLimits(e))
}

// withLimits bounds the endpoint's time by Options.Timeout, and refuses requests
// beyond Options.MaxRequests in progress as Overloaded.
func (h *Handler) withLimits(e endpoint) endpoint {
	return func(w http.ResponseWriter, r *http.Request) error {
		defer h.requests.Add(-1)
		if h.requests.Add(1) > int64(h.options.MaxRequests) {
			return tooManyRequests()
		}
		ctx, cancel := context.WithTimeout(r.Context(), h.options.Timeout)
		defer cancel()
		return e(w, r.WithContext(ctx))
	}
}

// tooManyRequests returns the problem for a request beyond Options.MaxRequests.
func tooManyRequests() *ProblemError {
	return newProblem(Overloaded, "too many requests are in progress")
}

// recordProblem counts and logs an error response.
func (h *Handler) recordProblem(r *http.Request, problem *ProblemError) {
	event := eventRequestRefused
	switch problem.Problem.Type {
	case Internal:
		event = eventRequestFailed
	case OutcomeUnknown:
		event = eventOutcomeUnknown
	case ResultDamaged:
		event = eventResultDamaged
	}
	h.metrics.problemAnswered(problem.Problem.Type)
	h.options.Log.Emit(event, sesamelog.Fields{
		"method": r.Method,
		"path":   r.URL.Path,
		"type":   string(problem.Problem.Type),
		"detail": problem.Problem.Detail,
		"error":  problem.Cause,
	})
}

// health serves GET /healthz: the process is alive.
func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, jsonContentType, Readiness{
		Ready: true,
	})
}

// Readiness is the response of /healthz and /readyz.
type Readiness struct {
	Ready bool `json:"ready"`
	// ContractNumber is the number of the newest change of contracts that the
	// entry has read.
	ContractNumber uint64 `json:"contracts,omitempty"`
}

// ready serves GET /readyz. It fails while the entry drains, before it has read
// the contracts, and when the backend isn't ready.
func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) error {
	if h.draining() {
		return newProblem(Unavailable, "the entry is stopping")
	}
	set, err := h.options.Contracts.Set()
	if err != nil {
		return err
	}
	if err := h.backend.Ready(); err != nil {
		return newProblem(Unavailable, err.Error())
	}
	writeJSON(w, http.StatusOK, jsonContentType, Readiness{
		Ready:          true,
		ContractNumber: set.Number(),
	})
	return nil
}

const (
	jsonContentType    = "application/json"
	problemContentType = "application/problem+json"
)

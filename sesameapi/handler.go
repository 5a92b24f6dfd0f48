package sesameapi

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"

	"github.com/sesamestack/sesamestack/sesamelog"
)

// Handler serves callers and operators. It is safe for concurrent use.
type Handler struct {
	options Options
	backend Backend
	router  chi.Router
	metrics *metrics
	limits  *limits
	polls   *polls
	// requests counts requests in progress, long polls apart.
	requests atomic.Int64
	drained  chan struct{}
	// sockets is the kernel's clock, which sockets compare deadlines with.
	sockets clockwork.Clock
	drain   sync.Once
}

// New returns the handler of one entry.
func New(o Options, b Backend) *Handler {
	o = o.withDefaults()
	h := &Handler{
		options: o,
		backend: b,
		metrics: newMetrics(o.Metrics),
		limits:  newLimits(o.Clock, o.Store, o.Region),
		drained: make(chan struct{}),
		sockets: clockwork.NewRealClock(),
	}
	h.polls = newPolls(o.Clock, o.Store, o.MaxWaiters, h.drained)
	h.router = h.routes()
	return h
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.router.ServeHTTP(w, r)
}

// Wake says that rows of those keys changed, so that long polls read them
// without waiting for their next poll.
func (h *Handler) Wake(keys []string) {
	h.polls.wake(keys)
}

// Drain answers all long polls at once with what is known, and makes /readyz
// fail; new requests are still served. It is called before the server's
// Shutdown.
func (h *Handler) Drain() {
	h.drain.Do(func() {
		close(h.drained)
	})
}

func (h *Handler) draining() bool {
	select {
	case <-h.drained:
		return true
	default:
		return false
	}
}

func (h *Handler) routes() chi.Router {
	r := chi.NewRouter()
	r.NotFound(h.serve(func(http.ResponseWriter, *http.Request) error {
		return newProblem(NotFound, "")
	}))
	r.MethodNotAllowed(h.serve(func(http.ResponseWriter, *http.Request) error {
		return newProblem(MethodNotAllowed, "")
	}))
	r.Get("/healthz", h.health)
	r.Get("/readyz", h.serve(h.ready))
	if h.options.MetricsHandler != nil {
		r.Method(http.MethodGet, "/metrics", h.options.MetricsHandler)
	}
	h.jobRoutes(r)
	h.operatorRoutes(r)
	return r
}

func (h *Handler) jobRoutes(r chi.Router) {
	r.Post("/v1/jobs", h.serve(unchanged(h.within(h.submit))))
	r.Get("/v1/jobs", h.bounded(h.list))
	r.Get("/v1/jobs/{id}", h.serve(h.status))
	r.Delete("/v1/jobs/{id}", h.bounded(h.cancel))
	r.Get("/v1/jobs/{id}/result", h.serve(h.result))
	r.Get("/v1/jobs/{id}/explain", h.bounded(h.explain))
	r.Post("/v1/jobs/{id}/resolve", h.bounded(h.resolve))
}

func (h *Handler) operatorRoutes(r chi.Router) {
	r.Get("/v1/contracts", h.bounded(h.contracts))
	r.Post("/v1/contracts", h.bounded(h.change))
	r.Get("/v1/contracts/history", h.bounded(h.history))
	r.Post("/v1/contracts/rollback", h.bounded(h.rollback))
	r.Get("/v1/targets", h.bounded(h.targets))
	r.Post("/v1/targets/{id}/release", h.bounded(h.release))
}

// endpoint answers a request or returns the failure to tell the caller of.
type endpoint func(http.ResponseWriter, *http.Request) error

// serve turns a failure into a problem.
func (h *Handler) serve(e endpoint) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if h.draining() {
			w.Header().Set("Connection", "close")
		}
		err := e(w, r)
		if err == nil {
			return
		}
		problem := problemOf(err)
		h.record(r, problem)
		problem.Problem.write(w)
	}
}

func (h *Handler) bounded(e endpoint) http.HandlerFunc {
	return h.serve(h.within(e))
}

// within applies the bounds on time and on requests in progress.
func (h *Handler) within(e endpoint) endpoint {
	return func(w http.ResponseWriter, r *http.Request) error {
		defer h.requests.Add(-1)
		if h.requests.Add(1) > int64(h.options.MaxRequests) {
			return newProblem(Overloaded, "too many requests are in progress")
		}
		ctx, cancel := context.WithTimeout(r.Context(), h.options.Timeout)
		defer cancel()
		return e(w, r.WithContext(ctx))
	}
}

func (h *Handler) record(r *http.Request, problem *ProblemError) {
	event := eventRefused
	switch problem.Problem.Type {
	case Internal:
		event = eventFailed
	case OutcomeUnknown:
		event = eventUnsure
	case ResultDamaged:
		event = eventDamaged
	}
	h.metrics.problem(problem.Problem.Type)
	h.options.Log.Emit(event, sesamelog.Fields{
		"method": r.Method,
		"path":   r.URL.Path,
		"type":   string(problem.Problem.Type),
		"detail": problem.Problem.Detail,
		"error":  problem.Cause,
	})
}

func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, jsonType, Readiness{
		Ready: true,
	})
}

// Readiness is the answer of /healthz and /readyz.
type Readiness struct {
	Ready bool `json:"ready"`
	// Contracts is the number of the newest change of contracts in force.
	Contracts uint64 `json:"contracts,omitempty"`
}

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
	writeJSON(w, http.StatusOK, jsonType, Readiness{
		Ready:     true,
		Contracts: set.Number(),
	})
	return nil
}

const jsonType = "application/json"

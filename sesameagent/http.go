package sesameagent

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesameguard"
)

// The histograms, each tagged with the team.
const (
	// metricPrepare is the time that a Prepare call took.
	metricPrepare = "prepare"
	// metricOpen is the time that an Open call took.
	metricOpen = "open"
	// metricRun is the time from an attempt's Open to the end of its last task
	// on this target.
	metricRun = "run"
)

const (
	// maxConnections is the most connections to the HTTP server, which a balancer and
	// a collector of metrics use.
	maxConnections = 64
	// The bounds of the histograms' buckets begin at minBucket; each is
	// bucketFactor times the one before it.
	minBucket    = time.Millisecond
	bucketFactor = 4
	bucketCount  = 14
)

// durationBuckets are the buckets of all histograms, from 1 ms to 4^13 ms,
// which is about 19 hours.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(minBucket, bucketFactor, bucketCount)

// histogram returns the named histogram of durations, tagged with the team.
func (a *Agent) histogram(team, name string) tally.Histogram {
	return a.deps.Scope.Tagged(map[string]string{
		"team": team,
	}).Histogram(name, durationBuckets)
}

// handler returns the HTTP handler for liveness (/healthz), readiness (/readyz)
// and metrics (/metrics).
func (a *Agent) handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !a.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	if a.deps.Metrics != nil {
		r.Handle("/metrics", a.deps.Metrics)
	}
	return r
}

// Ready reports whether the agent accepts new attempts: it has recovered the
// target's earlier tasks, the target accepts its lease, the keeper's lease is
// valid, and the agent is not draining.
func (a *Agent) Ready() bool {
	if !a.tasksRecovered.Load() || !a.targetReachable.Load() {
		return false
	}
	s, now, _ := a.state.read()
	return !s.Leaving() && s.LeaseRemaining(now) > 0
}

// serveHTTP serves health and metrics on settings.HTTP until ctx ends, or
// returns nil at once when no address is set.
func (a *Agent) serveHTTP(ctx context.Context) error {
	if a.settings.HTTP == "" {
		return nil
	}
	guard := sesameguard.New(sesameguard.Options{
		Name:        "http",
		Connections: min(maxConnections, a.deps.Shares.Callers),
		Bytes:       a.deps.Shares.CallerBytes,
		Clock:       a.deps.Clock,
		Log:         a.deps.Log,
		Scope:       a.deps.Scope,
	})
	listener, err := guard.Listen(ctx, a.settings.HTTP)
	if err != nil {
		return err
	}
	server := guard.NewServer(a.handler())
	var group errgroup.Group
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	err = server.Serve(listener)
	if ctx.Err() != nil && errors.Is(err, http.ErrServerClosed) {
		return group.Wait()
	}
	return err
}

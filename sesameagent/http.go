package sesameagent

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
)

// The histograms, each tagged with the team.
const (
	metricPrepare = "prepare"
	metricOpen    = "open"
	metricRun     = "run"
)

const (
	headerTimeout = 5 * time.Second
	minBucket     = time.Millisecond
	bucketFactor  = 4
	bucketCount   = 14
)

var durationBuckets = tally.MustMakeExponentialDurationBuckets(minBucket, bucketFactor, bucketCount)

func (a *Agent) histogram(team, name string) tally.Histogram {
	return a.deps.Scope.Tagged(map[string]string{
		"team": team,
	}).Histogram(name, durationBuckets)
}

// handler serves health, readiness and metrics.
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

// Ready reports whether the agent takes new work: it holds a lease, the target
// takes it, and the agent is not leaving.
func (a *Agent) Ready() bool {
	if !a.tasksRecovered.Load() || !a.targetReachable.Load() {
		return false
	}
	s, now, _ := a.state.read()
	return !s.Leaving() && s.LeaseRemaining(now) > 0
}

// serveHTTP serves until ctx ends; without an address it serves nothing.
func (a *Agent) serveHTTP(ctx context.Context) error {
	if a.settings.HTTP == "" {
		return nil
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", a.settings.HTTP)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           a.handler(),
		ReadHeaderTimeout: headerTimeout,
	}
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

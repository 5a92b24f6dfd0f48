package sesamecommand

import (
	"io"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	reporter "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often counters and histograms are copied into the
// Prometheus registry.
const reportInterval = time.Second

// newMetrics returns the scope that a process records its metrics in, the
// handler that serves them in the Prometheus format, and the closer that stops
// the copying into the registry.
func newMetrics() (tally.Scope, http.Handler, io.Closer) {
	registry := prometheus.NewRegistry()
	r := reporter.NewReporter(reporter.Options{
		Registerer:       registry,
		Gatherer:         registry,
		DefaultTimerType: reporter.HistogramTimerType,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "sesamestack",
		CachedReporter:  r,
		Separator:       reporter.DefaultSeparator,
		SanitizeOptions: &reporter.DefaultSanitizerOpts,
	}, reportInterval)
	return scope, newMetricsPage(r.HTTPHandler(), clockwork.NewRealClock()), closer
}

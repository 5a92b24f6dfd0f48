package sesamecommand

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// TestMetricsPage guards against a page of metrics for each of many callers, and
// against one that is out of date.
func TestMetricsPage(t *testing.T) {
	is := is.New(t)
	rendered := 0
	clock := clockwork.NewFakeClock()
	m := newMetricsPage(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.Header.Get("Accept-Encoding"), "")
		rendered++
		w.Header().Set("Content-Type", "text/plain")
		w.WriteHeader(http.StatusAccepted)
		fmt.Fprint(w, rendered)
	}), clock)
	get := func() string {
		r := httptest.NewRequest(http.MethodGet, metricsPath, nil)
		r.Header.Set("Accept-Encoding", "gzip")
		w := httptest.NewRecorder()
		m.ServeHTTP(w, r)
		is.Equal(w.Code, http.StatusAccepted)
		is.Equal(w.Header().Get("Content-Type"), "text/plain")
		return w.Body.String()
	}
	is.Equal(get(), "1")
	is.Equal(get(), "1")
	clock.Advance(reportInterval - time.Millisecond)
	is.Equal(get(), "1")
	clock.Advance(time.Millisecond)
	is.Equal(get(), "2")
}

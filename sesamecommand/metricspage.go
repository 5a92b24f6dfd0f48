package sesamecommand

import (
	"bytes"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// metricsPage serves the metrics of a process. Requests share a page that is at
// most reportInterval old, so that callers who don't read their answers take no
// more memory for it than one.
type metricsPage struct {
	// render writes the page.
	render http.Handler
	clock  clockwork.Clock

	mu       sync.Mutex
	page     *page
	rendered time.Time
}

// newMetricsPage returns the handler of a page that render writes.
func newMetricsPage(render http.Handler, clock clockwork.Clock) *metricsPage {
	return &metricsPage{
		render: render,
		clock:  clock,
	}
}

// ServeHTTP answers with the page.
func (m *metricsPage) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	current, err := m.current(r)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	for name, values := range current.header {
		w.Header()[name] = values
	}
	w.WriteHeader(current.status)
	if _, err := w.Write(current.body.Bytes()); err != nil {
		// The caller has disconnected.
		return
	}
}

// current returns the page, which it renders first if it is too old. The error is
// that of making a request.
func (m *metricsPage) current(r *http.Request) (*page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if m.page != nil && now.Sub(m.rendered) < reportInterval {
		return m.page, nil
	}
	// Without the caller's headers, which choose an encoding.
	plain, err := http.NewRequestWithContext(r.Context(), http.MethodGet, metricsPath, http.NoBody)
	if err != nil {
		return nil, err
	}
	next := &page{
		header: http.Header{},
		status: http.StatusOK,
	}
	m.render.ServeHTTP(next, plain)
	m.page, m.rendered = next, now
	return next, nil
}

// page is an answer that is kept.
type page struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the headers of the answer.
func (p *page) Header() http.Header {
	return p.header
}

// WriteHeader sets the status.
func (p *page) WriteHeader(status int) {
	p.status = status
}

// Write appends to the body. It never fails.
func (p *page) Write(b []byte) (int, error) {
	return p.body.Write(b)
}

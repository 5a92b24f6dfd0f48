package sesameguard

import (
	"container/list"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"

	"github.com/sesamestack/sesamestack/sesamelog"
)

const (
	// stallTime is how long a caller must have sent nothing before its room can
	// be given to another one. Those that are sending are not interrupted:
	// otherwise bodies would displace each other and none be completed.
	stallTime = 200 * time.Millisecond
	// roomWait bounds the wait for the room of callers that were interrupted.
	// Their handlers free it as soon as they run.
	roomWait = time.Second
	// displaceTime is how long a connection must have made no progress before it
	// is closed for a new one. It lets those that were accepted just before be
	// read first, and still admits 40 new ones a second whatever the others send.
	displaceTime = 25 * time.Millisecond
	// retryAfter is what refused callers are told to wait.
	retryAfter = time.Second
	// reportPause is the least time between two events of one kind.
	reportPause = time.Second
)

// The limits that hold where Limits sets none.
const (
	defaultHeadBytes     = 64 << 10
	defaultHeadTimeout   = 5 * time.Second
	defaultIdleTimeout   = time.Minute
	defaultReceiveBuffer = 16 << 10
	defaultSendBuffer    = 16 << 10
	// maxHeadBytes is above each limit that a configuration can sensibly set.
	maxHeadBytes = 64 << 20
)

// Limits are those of callers' connections. They may change at any time. 0 means
// the default.
type Limits struct {
	// HeadBytes is the most bytes of a request's head.
	HeadBytes int
	// HeadTimeout is how long a head may take to arrive from its first byte on,
	// and IdleTimeout how long a connection without a request is kept open.
	HeadTimeout time.Duration
	IdleTimeout time.Duration
}

// Options configures a Guard.
type Options struct {
	// Name is that of the server, for events and metrics.
	Name string
	// Connections is the most open connections.
	Connections int
	// Bytes bounds the memory for heads and bodies in flight, with what decoding
	// adds. A request that needs more is served while no other holds any.
	Bytes int64
	// ReceiveBuffer is the size of the kernel's buffer for what a caller has sent
	// and the process has not read, in bytes; 0 means the default. The kernel
	// takes twice as much.
	ReceiveBuffer int
	// SendBuffer is the size of the kernel's buffer for answers, in bytes; 0 means
	// the default, which is enough for short ones.
	SendBuffer int
	// KernelBuffers leaves the sizes of buffers to the kernel, for a server whose
	// callers are known and send or receive much on one connection.
	KernelBuffers bool
	// Stream says that the connections carry another protocol than HTTP, for which
	// the listener returns a *Stream each.
	Stream bool
	// Decoders is how many bodies are decoded at once; 0 means the default.
	Decoders int
	// Limits returns the limits in force; nil means the defaults.
	Limits func() Limits
	// Refusal returns the type and the content of the answer to a request that the
	// guard refuses with an error; nil means a JSON object with the text as error.
	Refusal func(error) (contentType string, body []byte)
	Clock   clockwork.Clock
	Log     *sesamelog.Logger
	Scope   tally.Scope
}

// Guard bounds the connections and the bytes in flight of one HTTP server.
type Guard struct {
	options  Options
	scope    tally.Scope
	bytes    *semaphore.Weighted
	decoders *semaphore.Weighted

	mu sync.Mutex
	// open is the number of open connections.
	open int
	// waiting holds the connections (*conn) that wait for their callers, and
	// holding those of them that hold bytes, both in the order of their last
	// progress, the oldest first. Connections whose requests are being handled
	// are in neither.
	waiting *list.List
	holding *list.List
	// freed holds an element when a connection was closed or waits again.
	freed chan struct{}
	// held is the number of bytes in flight, and holders the number of
	// connections that hold them.
	held    int64
	holders int
	// reports counts the cases that no event has told yet.
	reports map[sesamelog.Event]*report
}

// report counts cases of one kind since the last event, which was logged at
// last.
type report struct {
	cases int
	last  time.Time
}

// New returns a guard without connections.
func New(o Options) *Guard {
	if o.ReceiveBuffer == 0 {
		o.ReceiveBuffer = defaultReceiveBuffer
	}
	if o.SendBuffer == 0 {
		o.SendBuffer = defaultSendBuffer
	}
	if o.Decoders == 0 {
		o.Decoders = defaultDecoders
	}
	if o.Refusal == nil {
		o.Refusal = jsonRefusal
	}
	return &Guard{
		options: o,
		scope: o.Scope.Tagged(map[string]string{
			"server": o.Name,
		}),
		bytes:    semaphore.NewWeighted(o.Bytes),
		decoders: semaphore.NewWeighted(int64(o.Decoders)),
		waiting:  list.New(),
		holding:  list.New(),
		freed:    make(chan struct{}, 1),
		reports:  map[sesamelog.Event]*report{},
	}
}

// jsonRefusal returns a JSON object with the text of the error.
func jsonRefusal(refusal error) (contentType string, body []byte) {
	// A map of strings can always be encoded.
	body, _ = json.Marshal(map[string]string{
		"error": refusal.Error(),
	})
	return "application/json", body
}

// limits returns the limits in force, with defaults for those that are not set.
func (g *Guard) limits() Limits {
	var l Limits
	if g.options.Limits != nil {
		l = g.options.Limits()
	}
	if l.HeadBytes <= 0 {
		l.HeadBytes = defaultHeadBytes
	}
	if l.HeadTimeout <= 0 {
		l.HeadTimeout = defaultHeadTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// connKey is the key of the connection (*conn) in a request's context.
type connKey struct{}

// connOf returns the connection of a request, or nil if no guard serves it.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// noRoom counts a refusal for lack of room and returns its error.
func (g *Guard) noRoom(event sesamelog.Event) error {
	g.record(event, nil)
	return &NoRoomError{
		RetryAfter: retryAfter,
	}
}

// record counts a case, and logs it with those before it at most once in
// reportPause. cause is the error behind it, or nil.
func (g *Guard) record(event sesamelog.Event, cause error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordLocked(event, cause)
}

// recordLocked is record while the mutex is held.
func (g *Guard) recordLocked(event sesamelog.Event, cause error) {
	g.scope.Tagged(map[string]string{
		"cause": causes[event],
	}).Counter("guard_refusals").Inc(1)
	now := g.options.Clock.Now()
	r := g.reports[event]
	if r == nil {
		r = &report{}
		g.reports[event] = r
	}
	r.cases++
	if now.Sub(r.last) < reportPause {
		return
	}
	fields := sesamelog.Fields{
		"server": g.options.Name,
		"cases":  r.cases,
		"open":   g.open,
		"bytes":  g.held,
	}
	if cause != nil {
		fields["error"] = cause
	}
	g.options.Log.Emit(event, fields)
	r.cases = 0
	r.last = now
}

// take adds n bytes to what the connection holds. Where there is no room, it is
// taken from callers that have stalled. The error is a *NoRoomError.
func (g *Guard) take(ctx context.Context, c *conn, n int64) error {
	// Nothing can take more than there is.
	n = min(n, g.options.Bytes)
	if n <= 0 {
		return nil
	}
	if !g.bytes.TryAcquire(n) {
		if g.isOnlyHolder(c) {
			return nil
		}
		if !g.interruptStalled(c, n) {
			return g.noRoom(eventNoRoom)
		}
		ctx, cancel := clockwork.WithTimeout(ctx, g.options.Clock, roomWait)
		defer cancel()
		if g.bytes.Acquire(ctx, n) != nil {
			return g.noRoom(eventNoRoom)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.held == 0 {
		g.holders++
		if c.waits != nil {
			c.holds = g.holding.PushBack(c)
		}
	}
	c.held += n
	g.held += n
	g.scope.Gauge("guard_bytes").Update(float64(g.held))
	return nil
}

// isOnlyHolder reports whether no other connection than c holds bytes. A body
// that the configuration allows is then read whatever the bound is.
func (g *Guard) isOnlyHolder(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holders == 0 || g.holders == 1 && c.held > 0
}

// interruptStalled interrupts other callers that have stalled, those without
// progress for longest first, until n bytes will be free. It returns false, and
// interrupts nobody, if there are not enough of them.
func (g *Guard) interruptStalled(c *conn, n int64) bool {
	before := g.options.Clock.Now().Add(-stallTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	var stalled []*conn
	for e := g.holding.Front(); e != nil && n > 0; e = e.Next() {
		other, _ := e.Value.(*conn)
		if other.progress.After(before) {
			break
		}
		if other != c {
			stalled = append(stalled, other)
			n -= other.held
		}
	}
	if n > 0 {
		return false
	}
	for _, other := range stalled {
		other.interruptLocked()
	}
	return true
}

// release returns all that the connection holds.
func (g *Guard) release(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.releaseLocked(c, c.held)
}

// releaseLocked returns n of the bytes that the connection holds. The mutex is
// held.
func (g *Guard) releaseLocked(c *conn, n int64) {
	n = min(n, c.held)
	if n == 0 {
		return
	}
	g.bytes.Release(n)
	g.held -= n
	c.held -= n
	c.heldFields = min(c.heldFields, c.held)
	g.scope.Gauge("guard_bytes").Update(float64(g.held))
	if c.held > 0 {
		return
	}
	g.holders--
	if c.holds != nil {
		g.holding.Remove(c.holds)
		c.holds = nil
	}
}

// NewServer returns a server of the handler that is to serve a listener of this
// guard.
func (g *Guard) NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: g.wrap(h),
		// The guard has limits of its own, which may change. Those of net/http
		// must not be reached before.
		MaxHeaderBytes:    maxHeadBytes,
		ReadHeaderTimeout: time.Hour,
		IdleTimeout:       time.Hour,
		ConnContext:       withConn,
		ConnState:         followState,
	}
}

// wrap returns a handler that tells the guard when a request is being handled.
func (g *Guard) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		defer c.endHandling()
		if err := c.beginRequest(r); err != nil {
			g.writeRefusal(w, err)
			return
		}
		if r.Body == http.NoBody && !c.beginHandling() {
			// The connection is closed without an answer.
			panic(http.ErrAbortHandler)
		}
		if g.isFull() {
			// Callers that send one request after another on their connections,
			// whether they take the answers or not, would keep new ones out.
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// writeRefusal answers a request that is not handled with the status of the error.
func (g *Guard) writeRefusal(w http.ResponseWriter, refusal error) {
	contentType, body := g.options.Refusal(refusal)
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter/time.Second)))
	w.WriteHeader(Status(refusal))
	if _, err := w.Write(body); err != nil {
		// The caller has disconnected.
		return
	}
}

// isFull reports whether all connections are in use.
func (g *Guard) isFull() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open >= g.options.Connections
}

// signalLocked tells awaitRoom that a connection was closed or waits again. The
// mutex is held.
func (g *Guard) signalLocked() {
	select {
	case g.freed <- struct{}{}:
	default:
	}
}

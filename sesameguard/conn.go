package sesameguard

import (
	"bytes"
	"container/list"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

const (
	// writeTimeout closes the connection of a caller that does not take its
	// answers, unless their handler allows more time.
	writeTimeout = 5 * time.Second
	// drainTime is how long the rest of a refused request is read, and drainBytes
	// how much of it, so that the caller gets the answer: closing a connection
	// with unread bytes discards what was sent on it.
	drainTime  = 500 * time.Millisecond
	drainBytes = 64 << 10
)

// conn is a connection of a caller. The guard's mutex protects what is below
// guard.
type conn struct {
	net.Conn
	guard *Guard
	// counted says that the connection is counted in guard.open.
	counted bool
	// waits and holds are its elements in the lists of the guard, nil for none.
	waits, holds *list.Element
	// progress is when bytes last came, or the last request was handled.
	progress time.Time
	held     int64
	// interrupted says that it was closed, or that its room was given to another
	// caller. Nothing more is read.
	interrupted bool
	// inHead says that the head of a request is being read or waited for, and head
	// what has come of it.
	inHead bool
	head   headScan
	// heldFields is the part of held that the fields of the head take.
	heldFields int64
	// bodyRead says that the request was read to its end.
	bodyRead bool
	// rejected says that the request was answered before it was read to its end.
	rejected bool
	// writeBy is the handler's deadline for its answer, zero for none.
	writeBy time.Time

	// rest is what has come and is not handed on yet. Only the goroutine that reads
	// uses it.
	rest []byte
	// request is the one that is being handled, as net/http holds it. Only its
	// handler uses it.
	request *http.Request
}

// newConn returns a connection whose caller has sent nothing yet.
func newConn(g *Guard, inner net.Conn) *conn {
	return &conn{
		Conn:     inner,
		guard:    g,
		progress: g.options.Clock.Now(),
	}
}

// withConn adds the connection to the context of its requests.
func withConn(ctx context.Context, inner net.Conn) context.Context {
	if c, ok := inner.(*conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// followState follows the states that net/http gives a connection: it is active
// from the end of a request's head to the end of its answer, and then idle.
func followState(inner net.Conn, state http.ConnState) {
	c, ok := inner.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.guard.mu.Lock()
		defer c.guard.mu.Unlock()
		c.inHead = false
		c.setDeadlineLocked(time.Time{})
	case http.StateIdle:
		c.guard.release(c)
		c.expectHead(c.guard.limits().IdleTimeout)
	}
}

// expectHead prepares for a request whose first byte must come within the time.
func (c *conn) expectHead(within time.Duration) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.inHead = true
	c.head = headScan{}
	c.bodyRead = false
	c.writeBy = time.Time{}
	c.setDeadlineLocked(c.guard.options.Clock.Now().Add(within))
}

// setDeadlineLocked sets when reading fails, unless the connection is
// interrupted. The guard's mutex is held.
func (c *conn) setDeadlineLocked(at time.Time) {
	if c.interrupted {
		return
	}
	if c.Conn.SetReadDeadline(at) != nil {
		// It is closed, and reading fails in any case.
		c.interrupted = true
	}
}

// SetReadDeadline is what net/http and handlers call. While a head is read, the
// limits in force count instead.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if !c.inHead {
		c.setDeadlineLocked(at)
	}
	return nil
}

// CloseWrite ends what is sent, so that the caller can read the whole answer
// before net/http closes the connection.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(*net.TCPConn); ok {
		return half.CloseWrite()
	}
	return nil
}

// Read reads what the caller sends. In the head of a request it enforces the
// bounds of heads, and then answers the caller itself.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.receive(p)
	if n > 0 {
		handed, refusal := c.count(p[:n])
		if refusal != nil {
			return 0, c.reject(refusal)
		}
		if handed < n {
			c.rest = append(bytes.Clone(p[handed:n]), c.rest...)
		}
		return handed, err
	}
	c.guard.mu.Lock()
	displaced := c.inHead && c.counted && c.interrupted
	c.guard.mu.Unlock()
	if displaced {
		return 0, c.reject(c.guard.noRoom(eventNoRoom))
	}
	return n, err
}

// receive returns what was held back, or else reads from the network.
func (c *conn) receive(p []byte) (int, error) {
	if len(c.rest) == 0 {
		return c.Conn.Read(p)
	}
	if c.isInterrupted() {
		return 0, os.ErrDeadlineExceeded
	}
	n := copy(p, c.rest)
	if c.rest = c.rest[n:]; len(c.rest) == 0 {
		c.rest = nil
	}
	return n, nil
}

// count notes that p has come, as a part of a head if one is being read, and
// returns how much of it can be handed on. The connection moves behind all others
// that wait. The error is a *HeadTooLargeError or a *NoRoomError.
func (c *conn) count(p []byte) (int, error) {
	limits := c.guard.limits()
	now := c.guard.options.Clock.Now()
	c.guard.mu.Lock()
	c.moveBackLocked(now)
	if !c.inHead {
		c.guard.mu.Unlock()
		if len(p) > readAhead {
			return len(p), nil
		}
		return limitLines(p), nil
	}
	if c.head.bytes == 0 {
		c.setDeadlineLocked(now.Add(limits.HeadTimeout))
	}
	lengthBefore, fieldsBefore := c.head.cost()
	handed := c.head.add(p)
	length, fields := c.head.cost()
	size := c.head.bytes
	c.guard.mu.Unlock()
	if size > limits.HeadBytes+headSlack {
		c.guard.record(eventHead, nil)
		return 0, &HeadTooLargeError{
			Size:  size,
			Limit: limits.HeadBytes,
		}
	}
	if more := length - lengthBefore; more > 0 {
		if err := c.guard.take(context.Background(), c, more); err != nil {
			return 0, err
		}
	}
	return handed, c.takeFields(context.Background(), fields-fieldsBefore)
}

// moveBackLocked notes that bytes have come now. The guard's mutex is held.
func (c *conn) moveBackLocked(now time.Time) {
	c.progress = now
	if c.waits != nil {
		c.guard.waiting.MoveToBack(c.waits)
	}
	if c.holds != nil {
		c.guard.holding.MoveToBack(c.holds)
	}
}

// takeFields takes n bytes, if that is more than 0, for fields of a head. The error
// is a *NoRoomError.
func (c *conn) takeFields(ctx context.Context, n int64) error {
	if n <= 0 {
		return nil
	}
	if err := c.guard.take(ctx, c, n); err != nil {
		return err
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.heldFields += n
	return nil
}

// beginRequest says that the head of a request has been parsed. It takes what its
// fields need beyond what was counted: net/http may have had the head in its
// buffer, and the names of trailers are one line. The error is a *NoRoomError.
func (c *conn) beginRequest(r *http.Request) error {
	c.request = r
	c.guard.mu.Lock()
	held := c.heldFields
	c.guard.mu.Unlock()
	return c.takeFields(r.Context(), fieldsCost(countFields(r))-held)
}

// dropFields leaves net/http's request only these fields, and returns what all of
// them took.
func (c *conn) dropFields(kept http.Header) {
	if c.request != nil {
		c.request.Header, c.request.Trailer = kept, nil
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.releaseLocked(c, c.heldFields)
	c.heldFields = 0
}

// reject answers a caller whose head is not read further, and returns the error for
// net/http, which takes it as a failed connection, answers nothing itself, and
// closes the connection. Only then is what it has parsed of the head free.
func (c *conn) reject(refusal error) error {
	c.refuse(refusal)
	c.guard.mu.Lock()
	c.rejected = true
	c.guard.mu.Unlock()
	return &net.OpError{
		Op:  "read",
		Net: "tcp",
		Err: refusal,
	}
}

// refuse writes the answer with the status of the error. It does not wait for a
// caller that does not take it.
func (c *conn) refuse(refusal error) {
	status := Status(refusal)
	contentType, body := c.guard.options.Refusal(refusal)
	var answer bytes.Buffer
	fmt.Fprintf(&answer, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Type: %s\r\nContent-Length: %d\r\n",
		status, http.StatusText(status), contentType, len(body))
	if status == http.StatusServiceUnavailable {
		fmt.Fprintf(&answer, "Retry-After: %d\r\n", retryAfter/time.Second)
	}
	fmt.Fprintf(&answer, "\r\n%s", body)
	if c.Conn.SetWriteDeadline(c.guard.options.Clock.Now().Add(drainTime)) != nil {
		return
	}
	if _, err := c.Conn.Write(answer.Bytes()); err != nil {
		// The caller has disconnected or takes no answer.
		return
	}
}

// SetWriteDeadline is what handlers call to allow an answer more time than
// writeTimeout.
func (c *conn) SetWriteDeadline(at time.Time) error {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.writeBy = at
	return nil
}

// Write writes an answer, for at most writeTimeout or until the handler's deadline.
func (c *conn) Write(p []byte) (int, error) {
	deadline := c.guard.options.Clock.Now().Add(writeTimeout)
	c.guard.mu.Lock()
	if c.writeBy.After(deadline) {
		deadline = c.writeBy
	}
	c.guard.mu.Unlock()
	if err := c.Conn.SetWriteDeadline(deadline); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close closes the connection and frees what it takes. If the rest of its request
// was not read, it first reads that for a short time, so that the caller gets the
// answer.
func (c *conn) Close() error {
	c.guard.release(c)
	c.guard.mu.Lock()
	drain := c.rejected
	c.rejected = false
	c.guard.mu.Unlock()
	if drain && c.CloseWrite() == nil && c.Conn.SetReadDeadline(c.guard.options.Clock.Now().Add(drainTime)) == nil {
		// The error is the caller's end or the deadline.
		_, _ = io.CopyN(io.Discard, c.Conn, drainBytes)
	}
	err := c.Conn.Close()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.forgetLocked()
	return err
}

// forgetLocked ends the counting of the connection. The guard's mutex is held.
func (c *conn) forgetLocked() {
	c.interrupted = true
	if !c.counted {
		return
	}
	c.counted = false
	c.guard.open--
	c.guard.signalLocked()
	c.guard.scope.Gauge("guard_connections").Update(float64(c.guard.open))
	c.unlistLocked()
}

// unlistLocked takes the connection from the lists of those that wait. The
// guard's mutex is held.
func (c *conn) unlistLocked() {
	if c.waits != nil {
		c.guard.waiting.Remove(c.waits)
		c.waits = nil
	}
	if c.holds != nil {
		c.guard.holding.Remove(c.holds)
		c.holds = nil
	}
}

// dropTrailers drops the fields that came after the body, of which there may be
// many.
func (c *conn) dropTrailers() {
	if c.request != nil {
		c.request.Trailer = nil
	}
}

// listLocked adds the connection to the lists of those that wait. The guard's
// mutex is held.
func (c *conn) listLocked() {
	if !c.counted || c.waits != nil {
		return
	}
	c.waits = c.guard.waiting.PushBack(c)
	if c.held > 0 {
		c.holds = c.guard.holding.PushBack(c)
	}
	c.guard.signalLocked()
}

// interruptLocked ends the reading of the connection. What it holds is released
// by the goroutine that reads. The guard's mutex is held.
func (c *conn) interruptLocked() {
	c.setDeadlineLocked(c.guard.options.Clock.Now().Add(-time.Second))
	c.interrupted = true
	if c.holds != nil {
		c.guard.holding.Remove(c.holds)
		c.holds = nil
	}
}

// isInterrupted reports whether the connection was closed, or its room given to
// another caller.
func (c *conn) isInterrupted() bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.interrupted
}

// beginHandling says that the request was read to its end. From then on the
// connection is not closed to make room, because its request may take effect. It
// returns false if that has happened already.
func (c *conn) beginHandling() bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.interrupted {
		return false
	}
	c.unlistLocked()
	c.bodyRead = true
	return true
}

// endHandling says that the handler has returned. The rest of a body that it has
// not read is read by net/http, for drainTime.
func (c *conn) endHandling() {
	c.guard.release(c)
	if c.request != nil {
		// net/http holds it until what is left of its body has been read.
		c.request.Header, c.request.Trailer = nil, nil
		c.request = nil
	}
	now := c.guard.options.Clock.Now()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.progress = now
	c.listLocked()
	if !c.bodyRead {
		c.setDeadlineLocked(now.Add(drainTime))
	}
}

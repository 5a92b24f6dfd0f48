package sesameguard

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// The pause after an error of accepting a connection doubles from minAcceptPause
	// to maxAcceptPause. Most errors pass when a connection or file is closed.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// listener accepts connections up to the guard's bound. When it is reached, the
// connection that has waited longest for its caller is closed for the new one.
type listener struct {
	net.Listener
	guard *Guard
	// closed is closed with the listener.
	closed    chan struct{}
	closeOnce sync.Once
}

// Listen listens at the address. The sockets have small buffers unless the options
// leave these to the kernel.
func (g *Guard) Listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	if !g.options.KernelBuffers {
		config.Control = g.setBuffers
	}
	inner, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return g.wrapListener(inner)
}

// Wrap returns a listener that bounds the connections of another one, as Listen
// does. It closes the other one if it fails.
func (g *Guard) Wrap(inner net.Listener) (net.Listener, error) {
	if socket, ok := inner.(syscall.Conn); ok && !g.options.KernelBuffers {
		raw, err := socket.SyscallConn()
		if err == nil {
			err = g.setBuffers("", "", raw)
		}
		if err != nil {
			return nil, errors.CombineErrors(err, inner.Close())
		}
	}
	return g.wrapListener(inner)
}

// wrapListener is Wrap for a listener whose sockets have the right buffers.
func (g *Guard) wrapListener(inner net.Listener) (net.Listener, error) {
	if err := shortenBacklog(inner); err != nil {
		return nil, errors.CombineErrors(err, inner.Close())
	}
	return &listener{
		Listener: inner,
		guard:    g,
		closed:   make(chan struct{}),
	}, nil
}

// backlog is how many connections may wait to be accepted. The kernel's default
// is 4096, whose receive buffers alone can exceed the memory of a process.
const backlog = 128

// shortenBacklog sets the backlog of a listening socket.
func shortenBacklog(l net.Listener) error {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	err = raw.Control(func(fd uintptr) {
		failure = unix.Listen(int(fd), backlog)
	})
	return errors.CombineErrors(err, failure)
}

// setBuffers sets the sizes of the listening socket's buffers, which the sockets
// of its connections inherit.
func (g *Guard) setBuffers(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = errors.CombineErrors(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, g.options.ReceiveBuffer),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, g.options.SendBuffer),
		)
	})
	return errors.CombineErrors(err, failure)
}

// Accept returns the next connection. One for which there is no room, because
// the requests of all others are being handled, is answered 503 and closed. It
// fails only when the listener is closed: other errors, as when there is no
// descriptor left, pass.
func (l *listener) Accept() (net.Conn, error) {
	pause := minAcceptPause
	for {
		inner, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			l.guard.record(eventAccept, err)
			if !l.wait(pause) {
				return nil, err
			}
			pause = min(2*pause, maxAcceptPause)
			continue
		}
		pause = minAcceptPause
		c := newConn(l.guard, inner)
		if l.guard.admit(c) {
			return l.guard.serving(c), nil
		}
		l.guard.turnAway(c)
	}
}

// wait waits for the time, and returns false if the listener is closed before.
func (l *listener) wait(pause time.Duration) bool {
	select {
	case <-l.closed:
		return false
	case <-l.guard.options.Clock.After(pause):
		return true
	}
}

// Close closes the listener. Connections stay open.
func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
	})
	return l.Listener.Close()
}

// serving returns an admitted connection as its server takes it.
func (g *Guard) serving(c *conn) net.Conn {
	if g.options.Stream {
		return &Stream{
			conn: c,
		}
	}
	c.expectHead(g.limits().IdleTimeout)
	return c
}

// turnAway closes a connection that was not admitted, which an HTTP client is told
// by a 503.
func (g *Guard) turnAway(c *conn) {
	refusal := g.noRoom(eventRefused)
	if !g.options.Stream {
		c.refuse(refusal)
	}
	if c.Conn.Close() != nil {
		// The caller has disconnected.
		return
	}
}

// admit counts a new connection. Where there are too many, it closes the one
// that has waited longest, or returns false if none waits.
func (g *Guard) admit(c *conn) bool {
	g.awaitRoom()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open >= g.options.Connections {
		front := g.waiting.Front()
		if front == nil {
			return false
		}
		victim, _ := front.Value.(*conn)
		victim.forgetLocked()
		g.recordLocked(eventClosed, nil)
		if victim.Conn.Close() != nil {
			// Its server has closed it at the same moment.
			victim.interrupted = true
		}
	}
	g.open++
	c.counted = true
	c.waits = g.waiting.PushBack(c)
	g.scope.Gauge("guard_connections").Update(float64(g.open))
	return true
}

// awaitRoom returns when there is room for one more connection, when one has
// made no progress for displaceTime, and after that time in any case.
func (g *Guard) awaitRoom() {
	clock := g.options.Clock
	deadline := clock.Now().Add(displaceTime)
	for {
		now := clock.Now()
		g.mu.Lock()
		wait := deadline.Sub(now)
		if front := g.waiting.Front(); front != nil {
			first, _ := front.Value.(*conn)
			wait = min(wait, first.progress.Add(displaceTime).Sub(now))
		}
		if g.open < g.options.Connections || wait <= 0 {
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
		select {
		case <-g.freed:
		case <-clock.After(wait):
		}
	}
}

package sesameguard_test

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesameguard"
	"github.com/sesamestack/sesamestack/sesamelog"
)

// streamOptions are those of a guard for another protocol than HTTP.
func streamOptions(connections int, bytes int64) sesameguard.Options {
	return sesameguard.Options{
		Name:        "test",
		Connections: connections,
		Bytes:       bytes,
		Stream:      true,
		Clock:       clockwork.NewRealClock(),
		Log:         sesamelog.Discard(),
		Scope:       tally.NoopScope,
	}
}

// failingListener fails a number of times before it accepts.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{
			Op:  "accept",
			Err: syscall.EMFILE,
		}
	}
	return l.Listener.Accept()
}

// TestAcceptErrors checks that a listener goes on after an error of Accept, and
// ends when it is closed, also while it pauses.
func TestAcceptErrors(t *testing.T) {
	for name, failures := range map[string]int32{
		"some":         3,
		"without end":  1 << 30,
		"none at all ": 0,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			failing := &failingListener{
				Listener: inner,
			}
			failing.failures.Store(failures)
			listener, err := sesameguard.New(streamOptions(4, 1<<20)).Wrap(failing)
			is.NoErr(err)
			dial(t, inner.Addr().String(), "")
			var group errgroup.Group
			if failures > 100 {
				group.Go(listener.Close)
				_, err = listener.Accept()
				is.True(err != nil)
				is.NoErr(group.Wait())
				return
			}
			connection, err := listener.Accept()
			is.NoErr(err)
			is.NoErr(connection.Close())
			is.NoErr(listener.Close())
		})
	}
}

// serveStreams echoes what comes on each connection once it is complete, as
// messages of one byte and their length that end with a line, and returns the
// address.
func serveStreams(t *testing.T, connections int, bytes int64) string {
	is := is.New(t)
	listener, err := sesameguard.New(streamOptions(connections, bytes)).Listen(t.Context(), "127.0.0.1:0")
	is.NoErr(err)
	var group errgroup.Group
	group.Go(func() error {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				echoLines(connection)
				return connection.Close()
			})
		}
	})
	t.Cleanup(func() {
		is.NoErr(listener.Close())
	})
	return listener.Addr().String()
}

// echoLines answers each line with one byte.
func echoLines(connection net.Conn) {
	buffer := make([]byte, 4<<10)
	for {
		n, err := connection.Read(buffer)
		if err != nil {
			return
		}
		if n > 0 && buffer[n-1] == '\n' {
			if _, err := connection.Write([]byte("+")); err != nil {
				return
			}
		}
	}
}

// assertAnswered fails the test unless the server answers what was sent, or if it
// closes the connection.
func (c caller) assertAnswered(answered bool) {
	c.t.Helper()
	_, err := io.ReadFull(c.Conn, make([]byte, 1))
	if (err == nil) != answered {
		c.t.Errorf("answered: %v (%v), expected %v", err == nil, err, answered)
	}
}

// TestStreams checks the bounds of connections that carry messages.
func TestStreams(t *testing.T) {
	part := string(make([]byte, 40<<10))
	t.Run("a long message alone", func(t *testing.T) {
		address := serveStreams(t, 4, 1)
		c := dial(t, address, part+part)
		c.send("\n")
		c.assertAnswered(true)
	})
	t.Run("a message that is not finished gives way", func(t *testing.T) {
		address := serveStreams(t, 4, 400<<10)
		first := dial(t, address, part)
		time.Sleep(300 * time.Millisecond)
		second := dial(t, address, part+"\n")
		second.assertAnswered(true)
		first.assertAnswered(false)
	})
	t.Run("short messages need no room", func(t *testing.T) {
		address := serveStreams(t, 4, 290<<10)
		dial(t, address, part)
		c := dial(t, address, "")
		for range 100 {
			c.send("message\n")
			c.assertAnswered(true)
		}
	})
	t.Run("idle connections give way to new ones", func(t *testing.T) {
		address := serveStreams(t, 2, 1<<20)
		for range 8 {
			c := dial(t, address, "message\n")
			c.assertAnswered(true)
		}
	})
}

package main

import (
	"net"
	"sync"
)

// connections are the open connections to a stand-in, which can go silent.
type connections struct {
	mu   sync.Mutex
	open map[*silentConn]bool
}

func newConnections() *connections {
	return &connections{open: map[*silentConn]bool{}}
}

// silence makes all connections that are open now silent for good: what arrives on
// them is dropped, and nothing is sent, not even a reset. It returns their number.
func (c *connections) silence() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for open := range c.open {
		open.silence()
	}
	return len(c.open)
}

type silentListener struct {
	net.Listener
	connections *connections
}

func (l *silentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &silentConn{Conn: c, connections: l.connections, silenced: make(chan struct{})}
	l.connections.mu.Lock()
	defer l.connections.mu.Unlock()
	l.connections.open[wrapped] = true
	return wrapped, nil
}

// silentConn is a connection that can go silent.
type silentConn struct {
	net.Conn
	connections *connections
	once        sync.Once
	silenced    chan struct{}
}

func (c *silentConn) silence() {
	c.once.Do(func() { close(c.silenced) })
}

func (c *silentConn) isSilent() bool {
	select {
	case <-c.silenced:
		return true
	default:
		return false
	}
}

func (c *silentConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.isSilent() || err != nil {
			return n, err
		}
	}
}

func (c *silentConn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *silentConn) Close() error {
	c.connections.mu.Lock()
	defer c.connections.mu.Unlock()
	delete(c.connections.open, c)
	return c.Conn.Close()
}

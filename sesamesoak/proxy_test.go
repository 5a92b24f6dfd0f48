package sesamesoak_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// fault is what a proxy does to the connections through it.
type fault string

// The faults of a proxy.
const (
	faultNone  fault = ""
	faultDelay fault = "delay"
	faultReset fault = "reset"
	// faultSilent discards the bytes of both directions and faultOneWay those
	// from the store only; connections stay open.
	faultSilent fault = "silent"
	faultOneWay fault = "one-way"
)

// proxyDelay is added to each read from a connection under faultDelay.
const proxyDelay = 120 * time.Millisecond

// proxy forwards TCP connections between one process and the store.
type proxy struct {
	listener net.Listener
	target   string
	group    errgroup.Group

	mu    sync.Mutex
	fault fault
	open  map[net.Conn]bool
}

// newProxy starts a proxy to the target address that runs until the test ends.
func newProxy(t *testing.T, target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	p := &proxy{
		listener: listener,
		target:   target,
		open:     map[net.Conn]bool{},
	}
	p.group.Go(p.accept)
	t.Cleanup(func() {
		listener.Close()
		p.setFault(faultReset)
		is.New(t).NoErr(p.group.Wait())
	})
	return p
}

// address returns the address that the proxy listens on.
func (p *proxy) address() string {
	return p.listener.Addr().String()
}

// setFault sets the fault for open and new connections. faultReset closes all
// open connections once; later ones work again.
func (p *proxy) setFault(f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f != faultReset {
		return
	}
	for c := range p.open {
		c.Close()
	}
	p.fault = faultNone
}

// currentFault returns the fault that is set.
func (p *proxy) currentFault() fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// accept accepts and forwards connections until the listener is closed.
func (p *proxy) accept() error {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return nil
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			client.Close()
			continue
		}
		p.mu.Lock()
		p.open[client] = true
		p.open[server] = true
		p.mu.Unlock()
		p.group.Go(func() error {
			p.forward(server, client, false)
			return nil
		})
		p.group.Go(func() error {
			p.forward(client, server, true)
			return nil
		})
	}
}

// forward copies bytes until one side closes; answers is true for the
// direction from the store. Bytes that a fault discards are not sent later.
func (p *proxy) forward(to, from net.Conn, answers bool) {
	defer func() {
		p.mu.Lock()
		delete(p.open, from)
		p.mu.Unlock()
		to.Close()
		from.Close()
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		f := p.currentFault()
		if f == faultDelay {
			time.Sleep(proxyDelay)
		}
		discarded := f == faultSilent || f == faultOneWay && answers
		if n > 0 && !discarded {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

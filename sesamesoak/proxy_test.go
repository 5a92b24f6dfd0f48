package sesamesoak_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// fault is what a proxy does to its connections.
type fault string

const (
	faultNone  fault = ""
	faultDelay fault = "delay"
	faultReset fault = "reset"
	// faultSilent swallows both ways, faultOneWay the answers only.
	faultSilent fault = "silent"
	faultOneWay fault = "one-way"
)

const proxyDelay = 120 * time.Millisecond

// proxy stands between one process and the store.
type proxy struct {
	listener net.Listener
	target   string
	group    errgroup.Group

	mu    sync.Mutex
	fault fault
	open  map[net.Conn]bool
}

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

func (p *proxy) address() string {
	return p.listener.Addr().String()
}

// setFault changes the fault; a reset ends all connections, and new ones pass.
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

func (p *proxy) currentFault() fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// accept takes connections until the listener is closed.
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

// forward passes bytes on until a side ends; what a silent fault swallows is gone.
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
		swallowed := f == faultSilent || f == faultOneWay && answers
		if n > 0 && !swallowed {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

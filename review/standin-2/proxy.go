package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards connections of one process to the store. While it is cut, bytes of
// both directions are lost and nobody is told.
type proxy struct {
	target string

	mu  sync.Mutex
	cut bool
}

// newProxy serves a proxy at the address and returns where.
func (w *world) newProxy(ip, target string) (*proxy, string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, "", err
	}
	p := &proxy{target: target}
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(client)
		}
	}()
	return p, l.Addr().String(), nil
}

// setCut cuts the proxy, or heals it. Connections that lost bytes stay silent.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

func (p *proxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

// serve forwards one connection.
func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	silent := &sync.Once{}
	lost := make(chan struct{})
	go p.forward(client, server, silent, lost)
	p.forward(server, client, silent, lost)
}

// forward copies bytes until one side closes. Once bytes were lost, the connection
// carries nothing more.
func (p *proxy) forward(to, from net.Conn, silent *sync.Once, lost chan struct{}) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if p.isCut() {
				silent.Do(func() { close(lost) })
			}
			select {
			case <-lost:
				_, _ = io.Copy(io.Discard, from)
				return
			default:
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

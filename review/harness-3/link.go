package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// retransmissions is when TCP repeats what was not acknowledged, counted from when
// it was sent first.
var retransmissions = []time.Duration{
	200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond,
	3000 * time.Millisecond, 6200 * time.Millisecond, 12600 * time.Millisecond,
}

// link is the network between two programs: it passes connections on, and holds up
// what is sent while it is cut. What was held up arrives with the first repetition
// after the cut, also if its sender has ended in between.
type link struct {
	listener net.Listener
	target   string

	mu  sync.Mutex
	cut bool
}

func newLink(address, target string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target}
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(from)
		}
	}()
	return l, nil
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// await returns when what is sent now arrives.
func (l *link) await() {
	sent := time.Now()
	if !l.isCut() {
		return
	}
	for _, after := range retransmissions {
		time.Sleep(time.Until(sent.Add(after)))
		if !l.isCut() {
			return
		}
	}
}

func (l *link) serve(from net.Conn) {
	defer from.Close()
	buffer := make([]byte, 64<<10)
	n, err := from.Read(buffer)
	if n == 0 || err != nil {
		return
	}
	l.await()
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer to.Close()
	if _, err := to.Write(buffer[:n]); err != nil {
		return
	}
	done := make(chan struct{})
	go func() {
		l.pump(from, to)
		close(done)
	}()
	l.pump(to, from)
	from.Close()
	<-done
}

// pump passes on what comes from one end to the other.
func (l *link) pump(from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			l.await()
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if half, ok := to.(*net.TCPConn); ok && err == io.EOF {
				_ = half.CloseWrite()
			}
			return
		}
	}
}

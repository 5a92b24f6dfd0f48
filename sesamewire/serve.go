package sesamewire

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// closeDelay is how long connections stay open after the last call, so that its
// reply and the client's closing of the call pass before they end.
const closeDelay = 100 * time.Millisecond

// Server serves the services registered with its Mux.
type Server struct {
	mux          *drpcmux.Mux
	drainTimeout time.Duration
	calls        inFlightCalls
}

// NewServer returns a server that on its end waits at most drain for the calls
// in progress. Register services with DRPCRegisterAgent and its kin:
//
//	err := sesamewire.DRPCRegisterAgent(server.Mux(), agent)
func NewServer(drainTimeout time.Duration) *Server {
	return &Server{
		mux:          drpcmux.New(),
		drainTimeout: drainTimeout,
		calls: inFlightCalls{
			idle: make(chan struct{}, 1),
		},
	}
}

// Mux returns where services are registered, before Serve is called.
func (s *Server) Mux() *drpcmux.Mux {
	return s.mux
}

// HandleRPC serves one call.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) error {
	s.calls.add(1)
	defer s.calls.add(-1)
	return s.mux.HandleRPC(stream, rpc)
}

// Serve accepts connections until ctx ends. Then it closes the listener, lets
// the calls in progress finish within the drain time, closes the connections
// and returns nil. Open connections may start calls until then.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	serving, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		<-ctx.Done()
		_ = listener.Close()
		s.calls.wait(s.drainTimeout)
		closing, done := context.WithTimeout(serving, closeDelay)
		defer done()
		<-closing.Done()
		cancel()
		return nil
	})
	server := drpcserver.New(s)
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return group.Wait()
		}
		if err != nil {
			return err
		}
		group.Go(func() error {
			// The client sees the error of a broken connection too.
			_ = server.ServeOne(serving, conn)
			return nil
		})
	}
}

// inFlightCalls counts calls in progress.
type inFlightCalls struct {
	mu    sync.Mutex
	count int
	idle  chan struct{}
}

func (c *inFlightCalls) add(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count += n
	if c.count == 0 {
		select {
		case c.idle <- struct{}{}:
		default:
		}
	}
}

func (c *inFlightCalls) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count > 0
}

// wait returns when no call is in progress, at the latest after limit.
func (c *inFlightCalls) wait(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for c.busy() {
		select {
		case <-c.idle:
		case <-ctx.Done():
			return
		}
	}
}

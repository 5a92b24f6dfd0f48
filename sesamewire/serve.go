package sesamewire

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// closeDelay is how long connections stay open after the last call, so that its
// reply and the client's message that closes the call are delivered first.
const closeDelay = 100 * time.Millisecond

// maxMessageBytes bounds a message from a client. The longest ones describe a gang
// of 1,024 members, with some hundred bytes each.
const maxMessageBytes = 1 << 20

// Server serves the RPC services that are registered with its Mux, and drains
// on shutdown.
type Server struct {
	mux          *drpcmux.Mux
	drainTimeout time.Duration
	calls        inFlightCalls
}

// NewServer returns a server that on shutdown waits at most drainTimeout for
// the calls in progress. Register services with DRPCRegisterAgent,
// DRPCRegisterKeeper and DRPCRegisterPeer:
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

// Mux returns the multiplexer, on which services are registered before Serve is
// called.
func (s *Server) Mux() *drpcmux.Mux {
	return s.mux
}

// HandleRPC serves one call and counts it as in progress meanwhile.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) error {
	s.calls.add(1)
	defer s.calls.add(-1)
	transport, _ := drpcctx.Transport(stream.Context())
	if tracker, ok := transport.(callTracker); ok {
		defer tracker.EndCall()
		stream = &trackedStream{
			Stream:  stream,
			tracker: tracker,
		}
	}
	return s.mux.HandleRPC(stream, rpc)
}

// callTracker is a connection that is told when a call on it has been read and
// when it has ended, as those of a sesameguard.Guard are.
type callTracker interface {
	BeginCall() bool
	EndCall()
}

// trackedStream is the stream of a call, whose only message begins it.
type trackedStream struct {
	drpc.Stream
	tracker callTracker
}

// MsgRecv receives the client's message. It fails with a *ConnectionClosedError if
// the connection was closed to make room for others.
func (s *trackedStream) MsgRecv(message drpc.Message, encoding drpc.Encoding) error {
	if err := s.Stream.MsgRecv(message, encoding); err != nil {
		return err
	}
	if !s.tracker.BeginCall() {
		return &ConnectionClosedError{}
	}
	return nil
}

// ConnectionClosedError says that a call is not handled because its connection was
// closed to make room for others.
type ConnectionClosedError struct{}

// Error says so.
func (e *ConnectionClosedError) Error() string {
	return "the connection was closed to make room for others"
}

// Serve accepts connections until ctx ends. Then it closes the listener, lets
// the calls in progress finish within drainTimeout, closes the connections and
// returns nil. Until the connections are closed, clients may start further
// calls on them. An error of the listener ends it earlier and is returned; the
// listener of a sesameguard.Guard for streams has none that passes, and bounds what
// clients take.
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
	server := drpcserver.NewWithOptions(s, drpcserver.Options{
		Manager: drpcmanager.Options{
			Reader: drpcwire.ReaderOptions{
				MaximumBufferSize: maxMessageBytes,
			},
		},
	})
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

// inFlightCalls counts the calls in progress.
type inFlightCalls struct {
	mu    sync.Mutex
	count int
	// idle gets a value, without blocking, whenever the count drops to 0.
	idle chan struct{}
}

// add changes the count by n, which is 1 when a call begins and -1 when it ends.
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

// busy reports whether a call is in progress.
func (c *inFlightCalls) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count > 0
}

// wait returns as soon as no call is in progress, and at the latest after
// limit.
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

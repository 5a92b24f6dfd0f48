package sesamewire_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesameguard"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamewire"
)

// blockingKeeper serves Keeper. Its Finish signals entered and blocks until
// release is closed or the call is cancelled.
type blockingKeeper struct {
	sesamewire.DRPCKeeperUnimplementedServer
	entered chan struct{}
	release chan struct{}
}

// Heartbeat returns the epoch of the request plus one.
func (k *blockingKeeper) Heartbeat(_ context.Context, in *sesamewire.HeartbeatRequest) (*sesamewire.HeartbeatReply, error) {
	return &sesamewire.HeartbeatReply{
		Epoch: in.Epoch + 1,
	}, nil
}

// Finish blocks; see blockingKeeper.
func (k *blockingKeeper) Finish(ctx context.Context, _ *sesamewire.FinishRequest) (*sesamewire.FinishReply, error) {
	k.entered <- struct{}{}
	select {
	case <-k.release:
		return &sesamewire.FinishReply{
			Recorded: true,
		}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// runningServer is a server that runs in the background until stop is called.
type runningServer struct {
	address string
	stop    context.CancelFunc
	group   errgroup.Group
}

// startServer serves k at the address, with a drain timeout of 10 s.
func startServer(t *testing.T, k *blockingKeeper, address string) *runningServer {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", address)
	is.NoErr(err)
	return serveListener(t, k, listener)
}

// serveListener serves k at the listener, with a drain timeout of 10 s.
func serveListener(t *testing.T, k *blockingKeeper, listener net.Listener) *runningServer {
	t.Helper()
	is := is.New(t)
	server := sesamewire.NewServer(10 * time.Second)
	is.NoErr(sesamewire.DRPCRegisterKeeper(server.Mux(), k))
	ctx, cancel := context.WithCancel(t.Context())
	r := &runningServer{
		address: listener.Addr().String(),
		stop:    cancel,
	}
	r.group.Go(func() error {
		return server.Serve(ctx, listener)
	})
	return r
}

func newBlockingKeeper() *blockingKeeper {
	return &blockingKeeper{
		entered: make(chan struct{}, 1),
		release: make(chan struct{}),
	}
}

// assertHeartbeat makes a heartbeat call and checks its reply.
func assertHeartbeat(t *testing.T, client sesamewire.DRPCKeeperClient) {
	t.Helper()
	is := is.New(t)
	reply, err := client.Heartbeat(t.Context(), &sesamewire.HeartbeatRequest{
		Epoch: 6,
	})
	is.NoErr(err)
	is.Equal(reply.Epoch, uint64(7))
}

// TestDialer checks that calls are retried on a new connection after the server
// was replaced, that failed dials are reported, and that calls time out.
func TestDialer(t *testing.T) {
	t.Run("calls again after the server was replaced", func(t *testing.T) {
		dialer := sesamewire.NewDialer(sesamewire.DialOptions{})
		defer dialer.Close()
		first := startServer(t, newBlockingKeeper(), "127.0.0.1:0")
		client := dialer.Keeper(first.address)
		assertHeartbeat(t, client)
		first.stop()
		is.New(t).NoErr(first.group.Wait())
		second := startServer(t, newBlockingKeeper(), first.address)
		defer second.stop()
		assertHeartbeat(t, client)
	})
	t.Run("names an address that cannot be reached", func(t *testing.T) {
		dialer := sesamewire.NewDialer(sesamewire.DialOptions{})
		_, err := dialer.Keeper("127.0.0.1:1").Heartbeat(t.Context(), &sesamewire.HeartbeatRequest{})
		var dial *sesamewire.DialError
		is.New(t).True(errors.As(err, &dial))
	})
	t.Run("bounds a call", func(t *testing.T) {
		k := newBlockingKeeper()
		r := startServer(t, k, "127.0.0.1:0")
		defer r.stop()
		dialer := sesamewire.NewDialer(sesamewire.DialOptions{
			Timeout: 20 * time.Millisecond,
		})
		_, err := dialer.Keeper(r.address).Finish(t.Context(), &sesamewire.FinishRequest{})
		is.New(t).True(errors.Is(err, context.DeadlineExceeded))
	})
}

// TestServerFinishesCalls checks that a call in progress when the server is
// stopped gets its reply before the connection is closed.
func TestServerFinishesCalls(t *testing.T) {
	is := is.New(t)
	k := newBlockingKeeper()
	r := startServer(t, k, "127.0.0.1:0")
	dialer := sesamewire.NewDialer(sesamewire.DialOptions{
		Timeout: 10 * time.Second,
	})
	var call errgroup.Group
	var reply *sesamewire.FinishReply
	call.Go(func() error {
		var err error
		reply, err = dialer.Keeper(r.address).Finish(t.Context(), &sesamewire.FinishRequest{})
		return err
	})
	<-k.entered
	r.stop()
	close(k.release)
	is.NoErr(call.Wait())
	is.True(reply.Recorded)
	is.NoErr(r.group.Wait())
}

// TestCallsKeepConnections guards against a call that is cut off to make room for
// a new connection, and against a new one that waits for ever beside an idle one.
func TestCallsKeepConnections(t *testing.T) {
	is := is.New(t)
	guard := sesameguard.New(sesameguard.Options{
		Name:        "test",
		Connections: 1,
		Bytes:       1 << 20,
		Stream:      true,
		Clock:       clockwork.NewRealClock(),
		Log:         sesamelog.Discard(),
		Scope:       tally.NoopScope,
	})
	listener, err := guard.Listen(t.Context(), "127.0.0.1:0")
	is.NoErr(err)
	k := newBlockingKeeper()
	r := serveListener(t, k, listener)
	defer r.stop()
	newClient := func() sesamewire.DRPCKeeperClient {
		dialer := sesamewire.NewDialer(sesamewire.DialOptions{
			Timeout: 10 * time.Second,
		})
		t.Cleanup(func() { dialer.Close() })
		return dialer.Keeper(r.address)
	}
	var call errgroup.Group
	call.Go(func() error {
		_, err := newClient().Finish(t.Context(), &sesamewire.FinishRequest{})
		return err
	})
	<-k.entered
	_, err = newClient().Heartbeat(t.Context(), &sesamewire.HeartbeatRequest{})
	is.True(err != nil)
	close(k.release)
	is.NoErr(call.Wait())
	assertHeartbeat(t, newClient())
	assertHeartbeat(t, newClient())
}

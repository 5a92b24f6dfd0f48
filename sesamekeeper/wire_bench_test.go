package sesamekeeper

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesamewire"
)

// keeperServer serves the heartbeats of a Service over the network.
type keeperServer struct {
	sesamewire.DRPCKeeperUnimplementedServer
	service *Service
}

func (k *keeperServer) Heartbeat(_ context.Context, req *sesamewire.HeartbeatRequest) (*sesamewire.HeartbeatReply, error) {
	return k.service.Heartbeat(req), nil
}

// BenchmarkHeartbeatCall measures one heartbeat over loopback, with the work of
// both the agent's and the keeper's side.
func BenchmarkHeartbeatCall(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("%d targets", n), func(b *testing.B) {
			is := is.New(b)
			s := newTestService("e1", &fakeRoster{"e1"}, &fakeCells{}, clockwork.NewRealClock())
			server := sesamewire.NewServer(time.Second)
			is.NoErr(sesamewire.DRPCRegisterKeeper(server.Mux(), &keeperServer{
				service: s,
			}))
			var config net.ListenConfig
			listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
			is.NoErr(err)
			ctx, cancel := context.WithCancel(context.Background())
			var group errgroup.Group
			group.Go(func() error {
				return server.Serve(ctx, listener)
			})
			dialer := sesamewire.NewDialer(sesamewire.DialOptions{})
			client := dialer.Keeper(listener.Addr().String())
			beats := make([]*sesamewire.HeartbeatRequest, n)
			for i := range beats {
				beats[i] = newHeartbeat(fmt.Sprintf("w%d", i))
				s.Heartbeat(beats[i])
				beats[i].Announce = nil
			}
			s.Flush(ctx)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				_, err := client.Heartbeat(ctx, beats[i%n])
				is.NoErr(err)
				i++
			}
			cancel()
			is.NoErr(dialer.Close())
			is.NoErr(group.Wait())
		})
	}
}

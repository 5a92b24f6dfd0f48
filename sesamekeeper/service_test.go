package sesamekeeper

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestore"
	"github.com/sesamestack/sesamestack/sesametable"
	"github.com/sesamestack/sesamestack/sesamewire"
)

// fakeRoster has one entry as the preferred keeper of all cells.
type fakeRoster struct {
	first string
}

func (r *fakeRoster) First(string) sesamemodel.Member {
	return sesamemodel.Member{
		ID:      r.first,
		Address: r.first + ":1",
	}
}

// fakeCells stores one row and writes it only if its version has not changed.
type fakeCells struct {
	row    sesamestore.Versioned[sesamemodel.Cell]
	writes int
	// down makes all reads and writes fail.
	down bool
}

func (c *fakeCells) Cell(context.Context, sesamemodel.CellID) (sesamestore.Versioned[sesamemodel.Cell], error) {
	if c.down {
		return c.row, &sesametable.UnavailableError{
			Operation: "get",
		}
	}
	if c.row.Version == 0 {
		return c.row, &sesametable.NotFoundError{}
	}
	return c.row, nil
}

func (c *fakeCells) CommitCell(_ context.Context, cell sesamestore.Versioned[sesamemodel.Cell]) error {
	if c.down || cell.Version != c.row.Version {
		return &sesametable.ConflictError{
			Key: string(cell.Value.ID),
		}
	}
	cell.Version++
	c.row = cell
	c.writes++
	return nil
}

// fakeDialer returns a fakeAgent for every address.
type fakeDialer struct{}

// fakeAgent accepts each Adopt call and does nothing.
type fakeAgent struct {
	sesamewire.DRPCAgentClient
}

func (fakeDialer) Agent(string) sesamewire.DRPCAgentClient {
	return fakeAgent{}
}

func (fakeAgent) Adopt(context.Context, *sesamewire.AdoptRequest) (*sesamewire.AdoptReply, error) {
	return &sesamewire.AdoptReply{}, nil
}

// newTestService returns a service of the entry with that ID.
func newTestService(id string, roster Roster, cells Cells, clock clockwork.Clock) *Service {
	return NewService(Options{
		Self: sesamemodel.Member{
			ID: id,
		},
		Lease:  testLease,
		Margin: testMargin,
		Cells:  cells,
		Roster: roster,
		Dialer: fakeDialer{},
		Clock:  clock,
		Log:    sesamelog.Discard(),
		Contracts: func() uint64 {
			return 7
		},
	})
}

// newHeartbeat returns a request that also registers the target.
func newHeartbeat(target string) *sesamewire.HeartbeatRequest {
	return &sesamewire.HeartbeatRequest{
		Target:      target,
		Cell:        string(testCell),
		Incarnation: "i1",
		Announce: &sesamewire.Target{
			Id:          target,
			Zone:        "a",
			Incarnation: "i1",
		},
	}
}

// TestService checks the calls of agents together with the writes of cell rows.
func TestService(t *testing.T) {
	ctx := context.Background()
	t.Run("targets that register at the same time share one write", func(t *testing.T) {
		is := is.New(t)
		cells := &fakeCells{}
		s := newTestService("e1", &fakeRoster{"e1"}, cells, clockwork.NewFakeClock())
		for i := range 32 {
			s.Heartbeat(newHeartbeat(fmt.Sprintf("w%d", i)))
		}
		s.Flush(ctx)
		is.Equal(cells.writes, 1)
		is.Equal(len(cells.row.Value.Targets), 32)
		is.Equal(s.Heartbeat(newHeartbeat("w0")).GetLeaseMs(), testLease.Milliseconds())
	})
	t.Run("redirects to the preferred entry", func(t *testing.T) {
		is := is.New(t)
		s := newTestService("e1", &fakeRoster{"e2"}, &fakeCells{}, clockwork.NewFakeClock())
		reply := s.Heartbeat(newHeartbeat("w0"))
		is.Equal(reply.GetKeeper(), "e2:1")
		is.Equal(reply.GetLeaseMs(), int64(0))
	})
	t.Run("grants leases while the store is down", func(t *testing.T) {
		is := is.New(t)
		cells := &fakeCells{}
		clock := clockwork.NewFakeClock()
		s := newTestService("e1", &fakeRoster{"e1"}, cells, clock)
		s.Heartbeat(newHeartbeat("w0"))
		s.Flush(ctx)
		cells.down = true
		for range 3600 {
			clock.Advance(time.Second)
			is.Equal(s.Heartbeat(newHeartbeat("w0")).GetLeaseMs(), testLease.Milliseconds())
			s.Flush(ctx)
		}
	})
	t.Run("a keeper that lost the cell neither marks targets lost nor takes the cell back", func(t *testing.T) {
		is := is.New(t)
		cells := &fakeCells{}
		clock := clockwork.NewFakeClock()
		roster := &fakeRoster{"e1"}
		first := newTestService("e1", roster, cells, clock)
		second := newTestService("e2", roster, cells, clock)
		first.Heartbeat(newHeartbeat("w0"))
		first.Flush(ctx)
		roster.first = "e2"
		second.Heartbeat(newHeartbeat("w0"))
		second.Flush(ctx)
		for range 10 {
			clock.Advance(time.Second)
			second.Heartbeat(newHeartbeat("w0"))
			first.Flush(ctx)
			second.Flush(ctx)
		}
		is.Equal(cells.row.Value.Keeper, "e2")
		is.Equal(cells.row.Value.Epoch, uint64(2))
		is.Equal(cells.row.Value.Targets[0].Health, sesamemodel.Ready)
	})
}

// BenchmarkHeartbeat measures the answer to one heartbeat, without the network.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("%d targets", n), func(b *testing.B) {
			s := newTestService("e1", &fakeRoster{"e1"}, &fakeCells{}, clockwork.NewRealClock())
			beats := make([]*sesamewire.HeartbeatRequest, n)
			for i := range beats {
				beats[i] = newHeartbeat(fmt.Sprintf("w%d", i))
				s.Heartbeat(beats[i])
			}
			s.Flush(context.Background())
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				s.Heartbeat(beats[i%n])
				i++
			}
		})
	}
}

package sesameagent_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesameagent"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamesettings"
	"github.com/sesamestack/sesamestack/sesametarget"
	"github.com/sesamestack/sesamestack/sesamewire"
)

// segmentOverheadBytes is the size of the headers that TCP over IPv4 with
// timestamps adds to each write. The acknowledgement of each write costs as
// much again in the other direction.
const segmentOverheadBytes = 52

// idleTarget accepts every task and runs it until the end of the benchmark.
type idleTarget struct {
	mu    sync.Mutex
	tasks []sesametarget.Status
}

// Describe returns a worker with 8 accelerators.
func (*idleTarget) Describe(context.Context) (sesametarget.Description, error) {
	return sesametarget.Description{
		Kind: sesamemodel.Worker,
		Capacity: sesamemodel.Resources{
			Accelerators: 8,
		},
	}, nil
}

// Renew accepts every lease.
func (*idleTarget) Renew(context.Context, sesametarget.Lease) error { return nil }

// Start records the task as running.
func (i *idleTarget) Start(_ context.Context, t sesametarget.Task) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.tasks = append(i.tasks, sesametarget.Status{
		ID:    t.ID,
		Phase: sesametarget.PhaseRunning,
	})
	return nil
}

// Tasks returns all tasks that were started.
func (i *idleTarget) Tasks(context.Context) ([]sesametarget.Status, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]sesametarget.Status{}, i.tasks...), nil
}

// Output returns nothing, since no task is ever done.
func (*idleTarget) Output(context.Context, sesametarget.TaskID) ([]byte, error) { return nil, nil }

// Stop answers that the task has stopped, but does not record it.
func (*idleTarget) Stop(_ context.Context, id sesametarget.TaskID, _ time.Duration) (sesametarget.Status, error) {
	return sesametarget.Status{
		ID:    id,
		Phase: sesametarget.PhaseStopped,
	}, nil
}

// traffic counts the bytes and the calls of Read and Write on connections, by
// the address of each end.
type traffic struct {
	// bytes and calls have a counter for each address; a call is a read or a
	// write.
	bytes sync.Map
	calls sync.Map
}

// addCount adds n to the counter of the key.
func addCount(m *sync.Map, key string, n int) {
	value, _ := m.LoadOrStore(key, new(atomic.Int64))
	value.(*atomic.Int64).Add(int64(n))
}

// loadCount returns the counter of the key, or 0.
func loadCount(m *sync.Map, key string) int64 {
	value, ok := m.Load(key)
	if !ok {
		return 0
	}
	return value.(*atomic.Int64).Load()
}

// dial returns a DialFunc whose connections are counted for the caller's
// address and the dialled one.
func (c *traffic) dial(from string) sesamewire.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &countedConn{
			Conn:      conn,
			traffic:   c,
			addresses: [2]string{from, address},
		}, err
	}
}

// countedConn adds its reads and writes to the counters of both ends.
type countedConn struct {
	net.Conn
	traffic *traffic
	// addresses are the caller's and the dialled one.
	addresses [2]string
}

// count adds one read or write of n bytes to both ends.
func (c *countedConn) count(n int) {
	for _, end := range c.addresses {
		addCount(&c.traffic.bytes, end, n)
		addCount(&c.traffic.calls, end, 1)
	}
}

// Read counts one read and its bytes for both ends.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(n)
	return n, err
}

// Write counts one write and its bytes for both ends.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(n)
	return n, err
}

// fleet is a number of agents in one process, each beside an idleTarget.
type fleet struct {
	traffic traffic
	// members has one member for each agent, for a gang over the whole fleet.
	members []*sesamewire.Member
	dialer  *sesamewire.Dialer
	group   errgroup.Group
	stop    context.CancelFunc
}

// startFleet starts the agents under the default settings and waits until all
// are ready.
func startFleet(b *testing.B, size int, entry string) *fleet {
	b.Helper()
	f := &fleet{
		dialer: sesamewire.NewDialer(sesamewire.DialOptions{
			Timeout: time.Minute,
		}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	agents := make([]*sesameagent.Agent, size)
	for i := range size {
		settings := sesamesettings.DefaultAgent()
		settings.ID = fmt.Sprintf("r1-worker-%04d", i)
		settings.Wire = freeAddress(b)
		settings.Entries = []string{entry}
		settings.DrainTimeout = time.Second
		agents[i] = sesameagent.New(settings, sesameagent.Deps{
			Target:  &idleTarget{},
			Objects: newObjects(),
			Dialer: sesamewire.NewDialer(sesamewire.DialOptions{
				Dial: f.traffic.dial(settings.Wire),
			}),
			Clock: clockwork.NewRealClock(),
			Log:   sesamelog.Discard(),
			Scope: tally.NoopScope,
		})
		f.members = append(f.members, &sesamewire.Member{
			Target:       settings.ID,
			Address:      settings.Wire,
			Incarnation:  agents[i].Incarnation(),
			First:        int32(i),
			Tasks:        1,
			Accelerators: 1,
		})
		f.group.Go(func() error { return agents[i].Run(ctx) })
	}
	for _, a := range agents {
		for !a.Ready() {
			time.Sleep(10 * time.Millisecond)
		}
	}
	return f
}

// forEachMember makes the call for all members, 64 at a time. A refusal fails
// the benchmark, an error ends it.
func (f *fleet) forEachMember(b *testing.B, call func(i int, m *sesamewire.Member) (sesamewire.Refusal, error)) {
	b.Helper()
	var group errgroup.Group
	group.SetLimit(64)
	for i, m := range f.members {
		group.Go(func() error {
			refusal, err := call(i, m)
			if err == nil && refusal != sesamewire.Refusal_REFUSAL_NONE {
				b.Errorf("member %d refuses: %v", i, refusal)
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		b.Fatal(err)
	}
}

// openGang prepares and opens one gang with a task on each agent.
func (f *fleet) openGang(b *testing.B) {
	b.Helper()
	id := &sesamewire.AttemptID{
		Job:     "r1.0123456789abcdef0123456789abcdef",
		Attempt: 1,
	}
	f.forEachMember(b, func(i int, m *sesamewire.Member) (sesamewire.Refusal, error) {
		reply, err := f.dialer.Agent(m.GetAddress()).Prepare(b.Context(), &sesamewire.PrepareRequest{
			Id:      id,
			Member:  int32(i),
			Members: f.members,
			Task: &sesamewire.Resources{
				Accelerators: 1,
			},
			HoldMs: time.Minute.Milliseconds(),
		})
		return reply.GetRefusal(), err
	})
	f.forEachMember(b, func(_ int, m *sesamewire.Member) (sesamewire.Refusal, error) {
		reply, err := f.dialer.Agent(m.GetAddress()).Open(b.Context(), &sesamewire.OpenRequest{
			Id:          id,
			Incarnation: m.GetIncarnation(),
		})
		return reply.GetRefusal(), err
	})
}

// cpuTime returns the CPU time that this process has used so far.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measure reports averages over 10 s, after a warm-up of 3 s. For the agent of
// each role these are bytes per second, with the headers of both directions, and
// reads and writes per second; for all agents, the share of a core per agent in
// percent. roles has an agent's index for each role.
func (f *fleet) measure(b *testing.B, roles map[string]int) {
	b.Helper()
	const seconds = 10
	time.Sleep(3 * time.Second)
	bytes, writes := map[string]int64{}, map[string]int64{}
	for role, i := range roles {
		bytes[role] = loadCount(&f.traffic.bytes, f.members[i].GetAddress())
		writes[role] = loadCount(&f.traffic.calls, f.members[i].GetAddress())
	}
	before := cpuTime()
	time.Sleep(seconds * time.Second)
	spent := cpuTime() - before
	for role, i := range roles {
		n := float64(loadCount(&f.traffic.bytes, f.members[i].GetAddress())-bytes[role]) / seconds
		k := float64(loadCount(&f.traffic.calls, f.members[i].GetAddress())-writes[role]) / seconds
		b.ReportMetric(n+2*k*segmentOverheadBytes, role+"_B/s")
		b.ReportMetric(k, role+"_writes/s")
	}
	share := 100 * spent.Seconds() / seconds / float64(len(f.members))
	b.ReportMetric(share, "core%/agent")
}

// benchmarkFleet measures agents without work, or with one gang over all of
// them.
func benchmarkFleet(b *testing.B, size int, gang bool, roles map[string]int) {
	entry, address := serveBenchKeeper(b)
	entry.lease = 5 * time.Second
	f := startFleet(b, size, address)
	if gang {
		f.openGang(b)
	}
	for b.Loop() {
		f.measure(b, roles)
	}
	f.stop()
	_ = f.group.Wait()
}

// serveBenchKeeper is serveKeeper for a benchmark. The caller sets the lease.
func serveBenchKeeper(b *testing.B) (*fakeKeeper, string) {
	b.Helper()
	k := &fakeKeeper{
		epoch: 1,
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := sesamewire.NewServer(time.Second)
	if err := sesamewire.DRPCRegisterKeeper(server.Mux(), k); err != nil {
		b.Fatal(err)
	}
	var group errgroup.Group
	ctx, cancel := context.WithCancel(context.Background())
	group.Go(func() error { return server.Serve(ctx, listener) })
	b.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	return k, listener.Addr().String()
}

// BenchmarkHeartbeats measures the heartbeats between 128 idle agents and their
// keeper.
func BenchmarkHeartbeats(b *testing.B) {
	benchmarkFleet(b, 128, false, map[string]int{
		"agent": 0,
	})
}

// BenchmarkGang measures one gang over all agents: at the root of its tree, at
// an inner member and at a leaf.
func BenchmarkGang(b *testing.B) {
	for _, size := range []int{16, 128, 1024} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			benchmarkFleet(b, size, true, map[string]int{
				"root":  0,
				"inner": 1,
				"leaf":  size - 1,
			})
		})
	}
}

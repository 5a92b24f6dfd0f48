package sesameagent_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesameagent"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamesettings"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesametable"
	"github.com/sesamestack/sesamestack/sesametarget"
	"github.com/sesamestack/sesamestack/sesamewire"
)

// testLeases are short, so that a test sees them expire. Their proportions are
// those of the deployment.
var testLeases = sesamesettings.Leases{
	Heartbeat: 100 * time.Millisecond,
	Lease:     500 * time.Millisecond,
	Margin:    50 * time.Millisecond,
	Grace:     100 * time.Millisecond,
}

// eventuallyTimeout bounds the wait for a condition.
const eventuallyTimeout = 20 * time.Second

// objects is an object store in memory. All agents of a test share one.
type objects struct {
	mu sync.Mutex
	// rows has the content of each object by its key.
	rows map[string][]byte
}

// PutObject stores the body under the key, without a copy.
func (o *objects) PutObject(_ context.Context, key string, body []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rows[key] = body
	return nil
}

// GetObject returns the object and its length, or a *sesametable.NotFoundError.
func (o *objects) GetObject(_ context.Context, key string) (io.ReadCloser, int64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	body, ok := o.rows[key]
	if !ok {
		return nil, 0, &sesametable.NotFoundError{
			Key: key,
		}
	}
	return io.NopCloser(bytes.NewReader(body)), int64(len(body)), nil
}

// fakeKeeper is an entry that records heartbeats and outcomes, and whose
// replies the test sets.
type fakeKeeper struct {
	sesamewire.DRPCKeeperUnimplementedServer
	// lease is granted by every heartbeat that is not refused or referred.
	lease time.Duration

	mu sync.Mutex
	// unavailable makes every heartbeat fail.
	unavailable bool
	// redirectTo is the keeper that replies refer to instead of granting a lease.
	redirectTo string
	// epoch is the epoch that replies carry.
	epoch uint64
	// heartbeats and finishes have the requests in the order of arrival.
	heartbeats []*sesamewire.HeartbeatRequest
	finishes   []*sesamewire.FinishRequest
	// failFinishes is the number of Finish calls that still fail.
	failFinishes int
}

// Heartbeat records the request and grants a lease, or refers to another
// keeper.
func (k *fakeKeeper) Heartbeat(_ context.Context, req *sesamewire.HeartbeatRequest) (*sesamewire.HeartbeatReply, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.unavailable {
		return nil, io.ErrUnexpectedEOF
	}
	k.heartbeats = append(k.heartbeats, req)
	if k.redirectTo != "" {
		return &sesamewire.HeartbeatReply{
			Keeper: k.redirectTo,
		}, nil
	}
	return &sesamewire.HeartbeatReply{
		LeaseMs: k.lease.Milliseconds(),
		Epoch:   k.epoch,
		Known:   true,
	}, nil
}

// Finish records the outcome, also when it then fails.
func (k *fakeKeeper) Finish(_ context.Context, req *sesamewire.FinishRequest) (*sesamewire.FinishReply, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.finishes = append(k.finishes, req)
	if k.failFinishes > 0 {
		k.failFinishes--
		return nil, io.ErrUnexpectedEOF
	}
	return &sesamewire.FinishReply{
		Recorded: true,
	}, nil
}

// set changes fields under the lock.
func (k *fakeKeeper) set(f func(k *fakeKeeper)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f(k)
}

// heartbeatCount returns the number of heartbeats that did not fail.
func (k *fakeKeeper) heartbeatCount() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.heartbeats)
}

// outcome returns the first reported outcome of the job, or nil.
func (k *fakeKeeper) outcome(job string) *sesamewire.FinishRequest {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, f := range k.finishes {
		if f.GetId().GetJob() == job {
			return f
		}
	}
	return nil
}

// process is a server in the background that runs until it is stopped.
type process struct {
	stop  context.CancelFunc
	group errgroup.Group
}

// run starts f in the background and stops it at the end of the test, which
// fails if f returned an error.
func (p *process) run(t *testing.T, f func(ctx context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	p.group.Go(func() error { return f(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := p.group.Wait(); err != nil {
			t.Errorf("process ended: %v", err)
		}
	})
}

// serveKeeper starts a fake entry, with epoch 1 and the test's lease, and
// returns it with its address.
func serveKeeper(t *testing.T) (*fakeKeeper, string) {
	t.Helper()
	k := &fakeKeeper{
		lease: testLeases.Lease,
		epoch: 1,
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := sesamewire.NewServer(time.Second)
	is.New(t).NoErr(sesamewire.DRPCRegisterKeeper(server.Mux(), k))
	new(process).run(t, func(ctx context.Context) error {
		return server.Serve(ctx, listener)
	})
	return k, listener.Addr().String()
}

// testAgent is an agent in the test's process, with clients of it and of its
// stand-in target.
type testAgent struct {
	process
	agent   *sesameagent.Agent
	target  *sesametarget.Client
	objects *objects
	client  sesamewire.DRPCAgentClient
	address string
	id      string
}

// freeAddress returns an address for an agent to listen on.
func freeAddress(t testing.TB) string {
	t.Helper()
	address, err := sesamestandin.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// newTarget serves a stand-in worker with 64 cores, 8 accelerators and 8 slots,
// and returns its base address.
func newTarget(t *testing.T) string {
	t.Helper()
	return newTargetBehind(t, func(next http.Handler) http.Handler { return next })
}

// newTargetBehind is newTarget with a handler of the test before the stand-in.
func newTargetBehind(t *testing.T, wrap func(next http.Handler) http.Handler) string {
	t.Helper()
	server := httptest.NewServer(wrap(sesamestandin.NewTargetHandler(clockwork.NewRealClock(), sesametarget.Description{
		Kind: sesamemodel.Worker,
		Capacity: sesamemodel.Resources{
			Cores:        64,
			Memory:       1 << 16,
			Accelerators: 8,
			Slots:        8,
		},
	})))
	t.Cleanup(server.Close)
	return server.URL
}

// startAgent runs an agent beside the target until the test ends.
func startAgent(t *testing.T, target string, store *objects, entries ...string) *testAgent {
	t.Helper()
	address := freeAddress(t)
	settings := sesamesettings.DefaultAgent()
	settings.ID = "worker-" + address
	settings.Wire = address
	settings.Entries = entries
	settings.Leases = testLeases
	settings.Place.Region = "r1"
	settings.Place.Zone = "z1"
	dialer := sesamewire.NewDialer(sesamewire.DialOptions{})
	t.Cleanup(func() { _ = dialer.Close() })
	b := &testAgent{
		target:  sesametarget.NewClient(target, http.DefaultClient),
		objects: store,
		client:  dialer.Agent(address),
		address: address,
		id:      settings.ID,
	}
	b.agent = sesameagent.New(settings, sesameagent.Deps{
		Target:  b.target,
		Objects: store,
		Dialer:  dialer,
		Clock:   clockwork.NewRealClock(),
		Log:     sesamelog.Discard(),
		Scope:   tally.NoopScope,
	})
	b.run(t, b.agent.Run)
	return b
}

// newObjects returns an empty object store.
func newObjects() *objects {
	return &objects{
		rows: map[string][]byte{},
	}
}

// eventually waits until f returns true. After eventuallyTimeout it fails the
// test with the description.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), eventuallyTimeout)
	defer cancel()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !f() {
		select {
		case <-ctx.Done():
			t.Fatalf("not within %v: %s", eventuallyTimeout, what)
		case <-ticker.C:
		}
	}
}

// awaitReady waits until the agent accepts new attempts.
func (b *testAgent) awaitReady(t *testing.T) {
	t.Helper()
	eventually(t, "agent is ready", b.agent.Ready)
}

// newAttempt returns the Prepare request for an attempt with one task on each
// agent, and stores the script as its input.
func newAttempt(job string, script string, members ...*testAgent) *sesamewire.PrepareRequest {
	req := &sesamewire.PrepareRequest{
		Id: &sesamewire.AttemptID{
			Job:     job,
			Attempt: 1,
		},
		Team: "weavers",
		Task: &sesamewire.Resources{
			Cores:        1,
			Accelerators: 1,
		},
		Payload: "payload/" + job,
		GraceMs: testLeases.Grace.Milliseconds(),
		HoldMs:  5000,
	}
	for i, b := range members {
		_ = b.objects.PutObject(context.Background(), req.GetPayload(), []byte(script))
		req.Members = append(req.Members, &sesamewire.Member{
			Target:       b.id,
			Address:      b.address,
			Incarnation:  b.agent.Incarnation(),
			First:        int32(i),
			Tasks:        1,
			Accelerators: 1,
		})
	}
	return req
}

// forMember returns the request as the agent with that index receives it.
func forMember(req *sesamewire.PrepareRequest, i int) *sesamewire.PrepareRequest {
	return &sesamewire.PrepareRequest{
		Id:      req.GetId(),
		Team:    req.GetTeam(),
		Member:  int32(i),
		Members: req.GetMembers(),
		Task:    req.GetTask(),
		Once:    req.GetOnce(),
		Payload: req.GetPayload(),
		Evict:   req.GetEvict(),
		GraceMs: req.GetGraceMs(),
		HoldMs:  req.GetHoldMs(),
	}
}

// prepare sends the Prepare to each agent, which must accept it.
func prepare(t *testing.T, req *sesamewire.PrepareRequest, members ...*testAgent) {
	t.Helper()
	is := is.New(t)
	for i, b := range members {
		reply, err := b.client.Prepare(t.Context(), forMember(req, i))
		is.NoErr(err)
		is.Equal(reply.GetDetail(), "")
		is.Equal(reply.GetRefusal(), sesamewire.Refusal_REFUSAL_NONE)
	}
}

// open sends the Open to each agent, which must accept it.
func open(t *testing.T, req *sesamewire.PrepareRequest, members ...*testAgent) {
	t.Helper()
	is := is.New(t)
	for _, b := range members {
		reply, err := b.client.Open(t.Context(), &sesamewire.OpenRequest{
			Id:          req.GetId(),
			Incarnation: b.agent.Incarnation(),
		})
		is.NoErr(err)
		is.Equal(reply.GetDetail(), "")
		is.Equal(reply.GetRefusal(), sesamewire.Refusal_REFUSAL_NONE)
	}
}

// phase returns the phase of the job's task on the target, or "" without one.
func (b *testAgent) phase(t *testing.T, job string) sesametarget.Phase {
	t.Helper()
	statuses, err := b.target.Tasks(t.Context())
	is.New(t).NoErr(err)
	for _, s := range statuses {
		if bytes.HasPrefix([]byte(s.ID), []byte(fmt.Sprintf("%s:", job))) {
			return s.Phase
		}
	}
	return ""
}

package sesameentry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesameapi"
	"github.com/sesamestack/sesamestack/sesameattempt"
	"github.com/sesamestack/sesamestack/sesamecontract"
	"github.com/sesamestack/sesamestack/sesameguard"
	"github.com/sesamestack/sesamestack/sesamekeeper"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesameplanner"
	"github.com/sesamestack/sesamestack/sesamering"
	"github.com/sesamestack/sesamestack/sesamesettings"
	"github.com/sesamestack/sesamestack/sesamestore"
	"github.com/sesamestack/sesamestack/sesametable"
	"github.com/sesamestack/sesamestack/sesamewire"
)

const (
	// The sizes of the kernel's buffers of a caller's connection, in bytes: for
	// requests, which are short, and for results.
	receiveBuffer = 16 << 10
	sendBuffer    = 128 << 10
	// ringSize is the most hints that wait in each topic of the ring.
	ringSize = 4096
	// listenerCloseDelay is how long a stopping entry still accepts connections.
	// In this time the load balancer sees /readyz fail, and connections that
	// callers have opened already are still answered.
	listenerCloseDelay = time.Second
	// tickInterval is how often the planner runs without a hint of a change.
	tickInterval = time.Second
	// maxWaiterShare is the part of callers' connections (1 divided by it) that may
	// wait for jobs. The others remain for requests that are answered at once.
	maxWaiterShare = 2
	// cellScanInterval is how often an entry reads the region's cells to find
	// those that it should keep, that is, grant leases for.
	cellScanInterval = 5 * time.Second
)

// Deps are the external dependencies of an entry.
type Deps struct {
	// Table and Objects are the platform's rows and objects.
	Table   sesametable.Table
	Objects sesametable.Objects
	// Dialer connects to agents and other entries.
	Dialer *sesamewire.Dialer
	Clock  clockwork.Clock
	Log    *sesamelog.Logger
	// Scope receives the metrics.
	Scope tally.Scope
	// Metrics serves /metrics; nil leaves it out.
	Metrics http.Handler
	// Shares is what callers and other processes may take of this one; the zero
	// value means the default.
	Shares sesameguard.OwnShares
}

// Entry is one process that serves callers, operators, agents and other
// entries. It also plans for its region while it is the elected leader there,
// which is the first live entry in the order of rendezvous hashing.
type Entry struct {
	settings sesamesettings.Entry
	deps     Deps
	// ring has the queues of hints, one for each topic.
	ring  *sesamering.Ring
	store *sesamestore.Store
	// roster knows which entries are live; membership keeps it up to date.
	roster *roster
	// retries bounds the retries of each team's jobs.
	retries *sesameplanner.RetryBudget
	// rows caches the rows of jobs and cells.
	rows       *sesameattempt.RowCache
	membership *membership
	// watch keeps the contracts up to date.
	watch *sesamecontract.Watch
	// keeper grants leases to the agents of some cells.
	keeper *sesamekeeper.Service
	// driver starts and stops attempts on agents.
	driver    *sesameattempt.Driver
	planning  *planning
	forwarder *hintForwarder
	// api serves HTTP for callers and operators, wire RPCs for agents and other
	// entries. Their guards bound what these take.
	api       *sesameapi.Handler
	wire      *sesamewire.Server
	apiGuard  *sesameguard.Guard
	wireGuard *sesameguard.Guard
}

// New returns an entry that has not started. The only errors are those of
// registering its RPC services.
func New(settings sesamesettings.Entry, deps Deps) (*Entry, error) {
	deps.Shares = deps.Shares.OrDefault()
	e := &Entry{
		settings: settings,
		deps:     deps,
		ring:     sesamering.New(ringSize),
		retries:  sesameplanner.NewRetryBudget(),
		store:    sesamestore.New(deps.Table, deps.Objects),
	}
	self := sesamemodel.Member{
		ID:      settings.ID,
		Region:  settings.Place.Region,
		Zone:    settings.Place.Zone,
		Address: settings.Wire,
	}
	e.roster = newRoster(self, maxMissedRenewals*renewInterval, deps.Clock)
	e.rows = sesameattempt.NewRowCache(e.store, deps.Clock, sesameplanner.UpdateSuspectFailures)
	e.membership = &membership{
		store:  e.store,
		roster: e.roster,
		clock:  deps.Clock,
		log:    deps.Log,
		scope:  deps.Scope,
		onPlannerChange: func() {
			e.wakePlanner(hint{})
		},
		writeLock: make(chan struct{}, 1),
	}
	e.watch = sesamecontract.NewWatch(e.store, sesamecontract.NewHolder(), sesamecontract.WatchOptions{
		Clock: deps.Clock,
		OnChange: func(*sesamecontract.Set) {
			e.wakePlanner(hint{
				Tick: true,
			})
		},
	})
	e.buildDuties(self)
	e.buildAPI()
	return e, e.buildWire()
}

// buildDuties creates the entry's background work: forwarding hints, driving
// attempts, planning, and keeping cells.
func (e *Entry) buildDuties(self sesamemodel.Member) {
	region := self.Region
	e.forwarder = &hintForwarder{
		region: region,
		self:   self.ID,
		roster: e.roster,
		dialer: e.deps.Dialer,
		ring:   e.ring,
		log:    e.deps.Log,
		wake: func(keys []string) {
			e.api.RowsChanged(keys)
		},
	}
	e.driver = sesameattempt.NewDriver(e.attemptOptions())
	e.planning = &planning{
		region:    region,
		packing:   e.settings.Policy.PackingWeight,
		store:     e.store,
		rows:      e.rows,
		contracts: e.watch,
		attempts:  e.driver,
		leader:    e.roster,
		queue:     e.ring,
		clock:     e.deps.Clock,
		log:       e.deps.Log,
		scope:     e.deps.Scope,
	}
	e.keeper = sesamekeeper.NewService(sesamekeeper.Options{
		Self:   self,
		Lease:  e.settings.Leases.Lease,
		Margin: e.settings.Leases.Margin,
		Cells:  keeperCells{e},
		Roster: e.roster,
		Dialer: e.deps.Dialer,
		Clock:  e.deps.Clock,
		Log:    e.deps.Log,
		Contracts: func() uint64 {
			return e.contractsNumber()
		},
	})
}

// attemptOptions returns the options that the driver and the finisher of
// attempts share.
func (e *Entry) attemptOptions() sesameattempt.Options {
	return sesameattempt.Options{
		Rows:        e.rows,
		Dialer:      e.deps.Dialer,
		Grace:       e.settings.Leases.Grace,
		Clock:       e.deps.Clock,
		Log:         e.deps.Log,
		Scope:       e.deps.Scope,
		RetryPolicy: e.retryOrFail,
		OnChange: func(jobs ...sesamemodel.Job) {
			e.forwarder.rowsChanged(hintForJobs(jobs...))
		},
	}
}

// retryOrFail returns a job whose tasks failed as queued again, if the job may
// be repeated and the retries of the team's contract allow it, and otherwise as
// ended. Without a contract there are no retries. on are the targets on which
// tasks failed, and detail says why.
func (e *Entry) retryOrFail(job sesamemodel.Job, on []sesamemodel.TargetID, detail string) sesamemodel.Job {
	var contract sesamemodel.Contract
	if set, err := e.watch.Set(); err == nil {
		contract, _ = set.Team(job.Spec.Team)
	}
	return sesameplanner.RetryOrFail(e.deps.Clock.Now(), job, on, detail, sesameplanner.RetryLimit{
		Contract: contract,
		Budget:   e.retries,
		Entries:  e.roster.liveEntries(),
	})
}

// contractsNumber returns the number of the newest accepted change in the set
// of contracts that this entry has read; 0 before the first read.
func (e *Entry) contractsNumber() uint64 {
	set, err := e.watch.Set()
	if err != nil {
		return 0
	}
	return set.Number()
}

// buildAPI creates the HTTP handler for callers and operators.
func (e *Entry) buildAPI() {
	e.api = sesameapi.New(sesameapi.Options{
		Region:         e.settings.Place.Region,
		Store:          e.store,
		Contracts:      e.watch,
		Operators:      e.settings.Operators,
		Clock:          e.deps.Clock,
		Log:            e.deps.Log,
		Metrics:        e.deps.Scope,
		MetricsHandler: e.deps.Metrics,
		MaxBody:        e.settings.MaxBodyBytes,
		MaxWaiters:     min(sesameapi.DefaultMaxWaiters, e.deps.Shares.Callers/maxWaiterShare),
	}, &backend{
		entry: e,
	})
	e.apiGuard = sesameguard.New(sesameguard.Options{
		Name:          "callers",
		Connections:   e.deps.Shares.Callers,
		Bytes:         e.deps.Shares.CallerBytes,
		ReceiveBuffer: receiveBuffer,
		SendBuffer:    sendBuffer,
		Limits:        sesameapi.ServerLimits,
		Refusal:       sesameapi.Refusal,
		Clock:         e.deps.Clock,
		Log:           e.deps.Log,
		Scope:         e.deps.Scope,
	})
}

// buildWire creates the RPC server for agents and other entries.
func (e *Entry) buildWire() error {
	w := &wireServer{
		keeper:    e.keeper,
		finisher:  sesameattempt.NewFinisher(e.attemptOptions()),
		forwarder: e.forwarder,
		planning:  e.planning,
		contracts: e.watch.Hint,
	}
	e.wireGuard = e.deps.Shares.NewWire(e.deps.Clock, e.deps.Log, e.deps.Scope)
	e.wire = sesamewire.NewServer(e.settings.DrainTimeout)
	if err := sesamewire.DRPCRegisterKeeper(e.wire.Mux(), w); err != nil {
		return err
	}
	return sesamewire.DRPCRegisterPeer(e.wire.Mux(), w)
}

// wakePlanner queues a hint for this entry's own planning duty.
func (e *Entry) wakePlanner(h hint) {
	e.forwarder.send(topicPlan, h)
}

// Run listens on the addresses of the settings and serves until ctx ends. Then
// it stops gracefully: it marks its member row as left, answers the open
// requests of callers, and ends its background duties. It returns nil after a
// graceful stop, and a *ListenError when an address cannot be listened on.
func (e *Entry) Run(ctx context.Context) error {
	public, err := listen(ctx, e.apiGuard, e.settings.HTTP)
	if err != nil {
		return err
	}
	private, err := listen(ctx, e.wireGuard, e.settings.Wire)
	if err != nil {
		return errors.CombineErrors(err, public.Close())
	}
	return e.serve(ctx, public, private)
}

// listen opens a TCP listener of the guard; its error is a *ListenError.
func listen(ctx context.Context, guard *sesameguard.Guard, address string) (net.Listener, error) {
	l, err := guard.Listen(ctx, address)
	if err != nil {
		return nil, &ListenError{
			Address: address,
			Cause:   err,
		}
	}
	return l, nil
}

// Serve is like Run with listeners that are open already: public for callers
// and operators, private for agents and other entries. The error is that of the
// first duty or server that failed.
func (e *Entry) Serve(ctx context.Context, public, private net.Listener) error {
	guardedPublic, err := e.apiGuard.Wrap(public)
	if err != nil {
		return errors.CombineErrors(err, private.Close())
	}
	guardedPrivate, err := e.wireGuard.Wrap(private)
	if err != nil {
		return errors.CombineErrors(err, guardedPublic.Close())
	}
	return e.serve(ctx, guardedPublic, guardedPrivate)
}

// serve is Serve with listeners of the guards.
func (e *Entry) serve(ctx context.Context, public, private net.Listener) error {
	duties, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, duties := errgroup.WithContext(duties)
	e.driver.Begin(duties, group)
	server := e.apiGuard.NewServer(e.api)
	group.Go(func() error {
		return ignoreClosed(server.Serve(public))
	})
	group.Go(func() error {
		return e.wire.Serve(duties, private)
	})
	if err := e.startDuties(duties, group); err != nil {
		return err
	}
	e.deps.Log.Emit(eventStarted, sesamelog.Fields{
		"entry": e.settings.ID,
		"http":  public.Addr().String(),
		"wire":  private.Addr().String(),
	})
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-duties.Done():
		}
		e.stop(duties, server)
		cancel()
		return nil
	})
	err := group.Wait()
	e.deps.Log.Emit(eventStopped, sesamelog.Fields{
		"entry": e.settings.ID,
	})
	return err
}

// startDuties starts the consumers of hints, the membership, the keeper, the
// contract watch and the timer. They run in the group until ctx ends. The error
// is that of creating the router of hints.
func (e *Entry) startDuties(ctx context.Context, group *errgroup.Group) error {
	router, err := message.NewRouter(message.RouterConfig{}, watermill.NopLogger{})
	if err != nil {
		return err
	}
	router.AddConsumerHandler("planning", topicPlan, e.ring, e.planning.handle)
	router.AddConsumerHandler("noticing", topicNotice, e.ring, e.forwarder.handle)
	group.Go(func() error {
		return router.Run(ctx)
	})
	group.Go(func() error {
		return e.membership.run(ctx)
	})
	group.Go(func() error {
		return e.keeper.Run(ctx)
	})
	group.Go(func() error {
		return ignoreCancelled(e.watch.Run(ctx))
	})
	group.Go(func() error {
		return e.tick(ctx)
	})
	return nil
}

// tick sends the planner a hint every tickInterval, and gives the keeper the
// region's cells every cellScanInterval. It returns nil when ctx ends.
func (e *Entry) tick(ctx context.Context) error {
	ticker := e.deps.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	lastScan := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		e.wakePlanner(hint{
			Tick: true,
		})
		if now := e.deps.Clock.Now(); now.Sub(lastScan) >= cellScanInterval {
			lastScan = now
			e.observeCells(ctx)
		}
	}
}

// observeCells reads the region's cells and gives them to the keeper, which
// takes over those for which this entry is the leader.
func (e *Entry) observeCells(ctx context.Context) {
	cells, err := e.store.Cells(ctx, e.settings.Place.Region)
	if err != nil {
		return // the keeper continues with the cells that it has
	}
	for _, cell := range cells {
		e.rows.CacheCell(cell)
		e.keeper.ObserveRow(cell.Value)
	}
}

// stop drains the entry: it lets the readiness check fail, marks the member row
// as left, waits listenerCloseDelay, then closes the HTTP listener and waits for
// open requests. All of this takes at most the drain time of the settings. If
// requests are still open then, it logs that they are cut off.
func (e *Entry) stop(ctx context.Context, server *http.Server) {
	e.deps.Log.Emit(eventStopping, sesamelog.Fields{
		"entry": e.settings.ID,
	})
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.settings.DrainTimeout)
	defer cancel()
	e.api.Drain()
	e.membership.leave(ctx)
	select {
	case <-ctx.Done():
	case <-e.deps.Clock.After(listenerCloseDelay):
	}
	if err := server.Shutdown(ctx); err != nil {
		e.deps.Log.Emit(eventRequestsCut, sesamelog.Fields{
			"error": err,
		})
	}
}

// ignoreClosed returns nil for the error of a server that was shut down, and any
// other error unchanged.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// ignoreCancelled returns nil for the error of a cancelled context, and any
// other error unchanged.
func ignoreCancelled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

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
	// ringSize bounds the hints that wait in each ring.
	ringSize = 4096
	// listenerCloseDelay is how long a stopping entry still accepts connections:
	// the balancer sees /readyz fail meanwhile, and connections that callers
	// have opened already are answered.
	listenerCloseDelay = time.Second
	// tickInterval is how often the planner looks without a hint.
	tickInterval = time.Second
	// cellScanInterval is how often an entry looks for cells to keep.
	cellScanInterval = 5 * time.Second
)

// Deps is what an entry is built on.
type Deps struct {
	Table   sesametable.Table
	Objects sesametable.Objects
	Dialer  *sesamewire.Dialer
	Clock   clockwork.Clock
	Log     *sesamelog.Logger
	Scope   tally.Scope
	// Metrics serves /metrics; nil leaves it out.
	Metrics http.Handler
}

// Entry is one entry of the system: it answers callers, operators, agents and
// other entries, and plans for its region while it is preferred for that.
type Entry struct {
	settings   sesamesettings.Entry
	deps       Deps
	ring       *sesamering.Ring
	store      *sesamestore.Store
	roster     *roster
	retries    *sesameplanner.RetryBudget
	rows       *sesameattempt.RowCache
	membership *membership
	watch      *sesamecontract.Watch
	keeper     *sesamekeeper.Service
	driver     *sesameattempt.Driver
	planning   *planning
	forwarder  *hintForwarder
	api        *sesameapi.Handler
	wire       *sesamewire.Server
}

// New returns an entry that has not started. The error is that of registering
// its services.
func New(settings sesamesettings.Entry, deps Deps) (*Entry, error) {
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
			e.api.Wake(keys)
		},
	}
	e.driver = sesameattempt.NewDriver(e.attemptOptions())
	e.planning = &planning{
		region:    region,
		packing:   e.settings.Policy.Packing,
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

// retryOrFail decides about a repeatable job whose tasks failed, within the retries
// of its team's contract. Without a contract there are none.
func (e *Entry) retryOrFail(job sesamemodel.Job, on []sesamemodel.TargetID, detail string) sesamemodel.Job {
	var contract sesamemodel.Contract
	if set, err := e.watch.Set(); err == nil {
		contract, _ = set.Team(job.Spec.Team)
	}
	return sesameplanner.RetryOrFail(e.deps.Clock.Now(), job, on, detail, contract, e.retries)
}

// contractsNumber returns the contractsNumber of the contracts in force here; 0 before the
// store was read.
func (e *Entry) contractsNumber() uint64 {
	set, err := e.watch.Set()
	if err != nil {
		return 0
	}
	return set.Number()
}

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
		MaxBody:        e.settings.MaxBody,
	}, &backend{
		entry: e,
	})
}

func (e *Entry) buildWire() error {
	w := &wireServer{
		keeper:    e.keeper,
		finisher:  sesameattempt.NewFinisher(e.attemptOptions()),
		forwarder: e.forwarder,
		planning:  e.planning,
		contracts: e.watch.Hint,
	}
	e.wire = sesamewire.NewServer(e.settings.Drain)
	if err := sesamewire.DRPCRegisterKeeper(e.wire.Mux(), w); err != nil {
		return err
	}
	return sesamewire.DRPCRegisterPeer(e.wire.Mux(), w)
}

func (e *Entry) wakePlanner(h hint) {
	e.forwarder.send(topicPlan, h)
}

// Run serves until ctx ends, then stops gracefully: the entry leaves, callers'
// open requests are answered, and the duties end. It returns nil after a
// graceful stop.
func (e *Entry) Run(ctx context.Context) error {
	public, err := listen(ctx, e.settings.HTTP)
	if err != nil {
		return err
	}
	private, err := listen(ctx, e.settings.Wire)
	if err != nil {
		return err
	}
	return e.Serve(ctx, public, private)
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, &ListenError{
			Address: address,
			Cause:   err,
		}
	}
	return l, nil
}

// Serve is Run on listeners that are open already: public for callers and
// operators, private for agents and other entries.
func (e *Entry) Serve(ctx context.Context, public, private net.Listener) error {
	duties, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, duties := errgroup.WithContext(duties)
	e.driver.Begin(duties, group)
	server := sesameapi.NewServer(e.settings.HTTP, e.api)
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

// tick has the planner look at its rows and the keeper at its cells.
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

// observeCells takes over the cells that this entry is preferred for.
func (e *Entry) observeCells(ctx context.Context) {
	cells, err := e.store.Cells(ctx, e.settings.Place.Region)
	if err != nil {
		return // the keeper goes on with the cells that it has
	}
	for _, cell := range cells {
		e.rows.CacheCell(cell)
		e.keeper.ObserveRow(cell.Value)
	}
}

// stop leaves, answers the open requests of callers and closes the listener.
func (e *Entry) stop(ctx context.Context, server *http.Server) {
	e.deps.Log.Emit(eventStopping, sesamelog.Fields{
		"entry": e.settings.ID,
	})
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.settings.Drain)
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

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func ignoreCancelled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

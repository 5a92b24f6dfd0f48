package sesamecommand

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/uber-go/tally/v4"

	"github.com/sesamestack/sesamestack/platform"
	"github.com/sesamestack/sesamestack/sesameclock"
	"github.com/sesamestack/sesamestack/sesamedispatch"
	"github.com/sesamestack/sesamestack/sesameguard"
	"github.com/sesamestack/sesamestack/sesameintake"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamesettings"
)

const (
	// readinessShare is the share of the drain timeout in which the entry still
	// serves but reports that it isn't ready, so that the load balancer sends
	// no more connections; the rest is for open requests.
	readinessShare = 0.55
	// shutdownShare is the share of the drain timeout that open requests have
	// after that.
	shutdownShare = 0.3
)

// newHostedEntry returns the command that runs an entry on a platform that
// provides the store.
func newHostedEntry(s streams) *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:     "entry",
		Short:   "Run an entry on a platform",
		Long:    "Runs an entry: it serves callers, and plans while it is the leader among the entries.",
		Example: `  sesamestack hosted entry --settings /etc/sesamestack/entry.yaml`,
		Args:    exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			if err := requireSettings(c, file); err != nil {
				return err
			}
			settings, err := sesamesettings.LoadHostedEntry(file)
			if err != nil {
				return err
			}
			return runHostedEntry(c, s, file, settings)
		},
	}
	hostedSettingsFlag(c, &file)
	return c
}

// hostedEntry is a running entry: its intake takes jobs from callers, and its
// planner places them while this entry is the leader.
type hostedEntry struct {
	*process
	settings sesamesettings.HostedEntry
	intake   *sesameintake.Intake
	planner  *sesamedispatch.Planner
	// draining is closed when the entry begins to stop.
	draining        chan struct{}
	store           *hostedStore
	shares          sesameguard.Shares
	callerServer    guardedServer
	readinessServer guardedServer
	// relayServer forwards store calls of processes whose own calls the store
	// refuses.
	relayServer guardedServer
	scope       tally.Scope
}

// runHostedEntry runs an entry until the command is told to stop or one of the
// entry's goroutines fails, then drains it.
func runHostedEntry(c *cobra.Command, s streams, file string, settings sesamesettings.HostedEntry) error {
	scope, metrics, closer := newMetrics()
	p, stop := newProcess(c, s, settings.ID, settings.Log, settings.MemoryMiB)
	p.validateOnHangup(func() error {
		_, err := sesamesettings.LoadHostedEntry(file)
		return err
	})
	e := newHostedEntryProcess(p, settings, scope)
	err := e.start(metrics)
	if err == nil {
		e.waitForStop(c.Context())
		err = e.drain()
	}
	return errors.CombineErrors(err, errors.CombineErrors(stop(), closer.Close()))
}

// newHostedEntryProcess connects the parts of an entry. It starts none of them
// and opens no port.
func newHostedEntryProcess(p *process, settings sesamesettings.HostedEntry, scope tally.Scope) *hostedEntry {
	clock := sesameclock.Boot{}
	size := sesamerows.Size{
		Memory: settings.MemoryMiB,
	}
	if settings.Cores != nil {
		size.Cores = int64(math.Round(*settings.Cores * 1000))
	}
	store := p.newStore(settings.Store, sesamerows.RelayOptions{
		Name:    settings.ID,
		Zone:    settings.Place.Zone,
		Address: settings.Relay,
		Size:    size,
	}, clock, scope)
	intake := sesameintake.New(sesameintake.Options{
		Store:  store,
		Source: platform.NewPolicySource(store, settings.Evacuation > 0),
		Clock:  clock,
		Log:    p.log,
		Scope:  scope,
	})
	e := &hostedEntry{
		process:  p,
		settings: settings,
		store:    store,
		intake:   intake,
		draining: make(chan struct{}),
		shares:   shares(settings),
		scope:    scope,
	}
	e.planner = e.newPlanner(size, clock)
	e.callerServer = newServer(platform.NewJobsHandler(intake, e.draining), e.callerOptions())
	e.readinessServer = p.newInternalServer("readiness", e.shares.Internal, platform.NewReadinessHandler(e.isReady), scope)
	e.relayServer = newServer(platform.NewRelayHandler(store.failover.Direct()),
		p.guardOptions("relay", e.shares.Relay, e.shares.RelayBytes, scope))
	return e
}

// newPlanner returns the entry's planner, which takes into account that the process
// is of this size.
func (e *hostedEntry) newPlanner(size sesamerows.Size, clock sesameclock.Clock) *sesamedispatch.Planner {
	o := sesamedispatch.Options{
		Name:     e.settings.ID,
		Store:    e.store,
		Policies: e.intake.Policies(),
		Size:     size,
		Peers:    e.store.relays,
		Clock:    clock,
		Log:      e.log,
		Scope:    e.scope,

		EvacuationBound: e.settings.Evacuation,
		Contention:      e.settings.Contention,
		Speeds:          e.settings.Speeds == sesamesettings.SpeedsAuto,
	}
	if e.settings.Inventory != "" {
		o.Inventory = platform.NewInventory(e.settings.Inventory, e.scope)
	}
	if e.settings.Evacuation > 0 {
		o.Evacuations = e.intake.Policies()
	}
	return sesamedispatch.NewPlanner(o)
}

// shares returns what each server of the entry may take: what the settings say,
// and otherwise what its memory and descriptors allow.
func shares(settings sesamesettings.HostedEntry) sesameguard.Shares {
	descriptors := openFiles()
	if settings.Descriptors != nil {
		descriptors = *settings.Descriptors
	}
	s := sesameguard.Derive(settings.MemoryMiB, descriptors)
	if settings.Guard.Connections != 0 {
		s.Callers = settings.Guard.Connections
	}
	if settings.Guard.Bytes != 0 {
		s.CallerBytes = settings.Guard.Bytes
	}
	return s
}

// callerOptions returns the bounds of the server for callers. Those of the
// operators' policy hold as soon as it is in force.
func (e *hostedEntry) callerOptions() sesameguard.Options {
	o := e.guardOptions("callers", e.shares.Callers, e.shares.CallerBytes, e.scope)
	o.KernelBuffers = false
	o.ReceiveBuffer = e.settings.Guard.ReceiveBuffer
	o.Decoders = e.settings.Guard.Decoders
	o.Limits = func() sesameguard.Limits {
		policy := e.intake.Policies().Current()
		if policy == nil {
			return sesameguard.Limits{}
		}
		return sesameguard.Limits{
			HeadBytes:   policy.Bounds.HeaderBytes,
			HeadTimeout: policy.Bounds.HeaderTimeout,
			IdleTimeout: policy.Bounds.IdleTimeout,
		}
	}
	return o
}

// isReady returns nil if the entry takes connections, otherwise the reason why
// it doesn't, as a *sesameintake.NotReadyError while it is stopping.
func (e *hostedEntry) isReady() error {
	select {
	case <-e.draining:
		return &sesameintake.NotReadyError{
			Reason: "the process is stopping",
		}
	default:
		return e.intake.Ready()
	}
}

// start starts the intake, the planner and the servers, and logs eventServing.
// Planning ends as soon as the entry drains, so that another entry takes over.
func (e *hostedEntry) start(metrics http.Handler) error {
	planningCtx, endPlanning := context.WithCancel(e.ctx)
	e.group.Go(func() error {
		defer endPlanning()
		select {
		case <-e.draining:
		case <-planningCtx.Done():
		}
		return nil
	})
	e.group.Go(func() error {
		return e.intake.Run(e.ctx)
	})
	e.group.Go(func() error {
		return e.planner.Run(planningCtx)
	})
	e.group.Go(func() error {
		return e.store.run(e.ctx)
	})
	err := errors.CombineErrors(
		e.serve(e.settings.CallerAddress, e.callerServer),
		e.serve(e.settings.ReadinessAddress, e.readinessServer),
	)
	if e.settings.Relay != "" {
		err = errors.CombineErrors(err, e.serve(e.settings.Relay, e.relayServer))
	}
	err = errors.CombineErrors(err, e.serveMetrics(e.settings.Metrics, e.shares.Internal, metrics, e.scope))
	e.log.Emit(eventServing, sesamelog.Fields{
		"zone":  e.settings.Place.Zone,
		"http":  e.settings.CallerAddress,
		"store": e.settings.Store,
		"error": err,
	})
	return err
}

// drain ends planning at once, so that another entry takes over, waits until
// the load balancer sends no more connections, and then waits for open
// requests, for the shares of the drain timeout above.
func (e *hostedEntry) drain() error {
	close(e.draining)
	e.log.Emit(eventDraining, sesamelog.Fields{
		"drain": e.settings.DrainTimeout.String(),
	})
	share := func(part float64) time.Duration {
		return time.Duration(part * float64(e.settings.DrainTimeout))
	}
	readinessCtx, cancel := context.WithTimeout(e.ctx, share(readinessShare))
	defer cancel()
	<-readinessCtx.Done()
	return shutdownAll(share(shutdownShare), e.callerServer, e.readinessServer)
}

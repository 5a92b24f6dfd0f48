package sesamecommand

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/uber-go/tally/v4"

	"github.com/sesamestack/sesamestack/platform"
	"github.com/sesamestack/sesamestack/sesameclock"
	"github.com/sesamestack/sesamestack/sesamedispatch"
	"github.com/sesamestack/sesamestack/sesameintake"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamesettings"
)

const (
	// readinessShare is the part of the drain in which the balancer learns that
	// this entry takes no more connections; the rest is for open requests.
	readinessShare = 0.55
	// shutdownShare is the part of the drain for open requests after that.
	shutdownShare = 0.3
	// maxHeaderBytes bounds what is read of a request's headers, in bytes; the
	// policy's own bound is checked then. idleTime is how long a client's
	// connection is kept without a request.
	maxHeaderBytes = 64 << 10
	idleTimeout    = time.Minute
)

func newHostedEntry(s streams) *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:     "entry",
		Short:   "Run an entry on a platform",
		Long:    "Runs an entry: it serves callers, and plans while no other entry does.",
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

// hostedEntry is an entry that runs.
type hostedEntry struct {
	*process
	settings sesamesettings.HostedEntry
	intake   *sesameintake.Intake
	planner  *sesamedispatch.Planner
	// draining is closed once the entry is stopping.
	draining        chan struct{}
	store           *hostedStore
	callerServer    *http.Server
	readinessServer *http.Server
	// relayServer serves processes that the store turns away.
	relayServer *http.Server
}

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

func newHostedEntryProcess(p *process, settings sesamesettings.HostedEntry, scope tally.Scope) *hostedEntry {
	clock := sesameclock.Boot{}
	store := p.newStore(settings.Store, sesamerows.RelayOptions{
		Name:    settings.ID,
		Zone:    settings.Place.Zone,
		Address: settings.Relay,
	}, clock, scope)
	intake := sesameintake.New(sesameintake.Options{
		Store:  store,
		Source: platform.NewPolicySource(store),
		Clock:  clock,
		Log:    p.log,
		Scope:  scope,
	})
	var inventory sesamedispatch.Inventory
	if settings.Inventory != "" {
		inventory = platform.NewInventory(settings.Inventory, scope)
	}
	e := &hostedEntry{
		process:  p,
		settings: settings,
		store:    store,
		intake:   intake,
		planner: sesamedispatch.NewPlanner(sesamedispatch.Options{
			Name:      settings.ID,
			Store:     store,
			Policies:  intake.Policies(),
			Inventory: inventory,
			Clock:     clock,
			Log:       p.log,
			Scope:     scope,
		}),
		draining: make(chan struct{}),
	}
	e.callerServer = newServer(platform.NewJobsHandler(intake, e.draining))
	e.callerServer.MaxHeaderBytes = maxHeaderBytes
	e.callerServer.IdleTimeout = idleTimeout
	e.readinessServer = newServer(platform.NewReadinessHandler(e.isReady))
	e.relayServer = newServer(platform.NewRelayHandler(store.failover.Direct()))
	return e
}

// isReady returns why the entry takes no connections now, or nil.
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
	err = errors.CombineErrors(err, e.serveMetrics(e.settings.Metrics, metrics))
	e.log.Emit(eventServing, sesamelog.Fields{
		"zone":  e.settings.Place.Zone,
		"http":  e.settings.CallerAddress,
		"store": e.settings.Store,
		"error": err,
	})
	return err
}

// drain hands planning over at once, waits until the balancer sends no more
// connections, and lets open requests end.
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

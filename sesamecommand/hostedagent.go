package sesamecommand

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/uber-go/tally/v4"

	"github.com/sesamestack/sesamestack/platform"
	"github.com/sesamestack/sesamestack/sesameclock"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamerunner"
	"github.com/sesamestack/sesamestack/sesamesettings"
)

// agentShutdownTimeout is how long a stopping agent waits for open requests.
// It is short because the target's tasks continue without the agent, and a
// replacement agent should start as soon as possible.
const agentShutdownTimeout = 200 * time.Millisecond

// agentConnections is the most connections to each server of an agent. The
// targets of its VM and the platform's collector of metrics use a few.
const agentConnections = 64

// newHostedAgent returns the command that runs an agent on a platform that
// provides the store.
func newHostedAgent(s streams) *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:     "agent",
		Short:   "Run the agent beside a target of a platform",
		Long:    "Runs an agent: it starts runs on the target beside it and records how they ended.",
		Example: `  sesamestack hosted agent --settings /etc/sesamestack/agent.yaml`,
		Args:    exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			if err := requireSettings(c, file); err != nil {
				return err
			}
			settings, err := sesamesettings.LoadHostedAgent(file)
			if err != nil {
				return err
			}
			return runHostedAgent(c, s, file, settings)
		},
	}
	hostedSettingsFlag(c, &file)
	return c
}

// runHostedAgent runs an agent until the command is told to stop or one of the
// agent's goroutines fails.
func runHostedAgent(c *cobra.Command, s streams, file string, settings sesamesettings.HostedAgent) error {
	scope, metrics, closer := newMetrics()
	p, stop := newProcess(c, s, settings.ID, settings.Log, settings.MemoryMiB)
	p.validateOnHangup(func() error {
		_, err := sesamesettings.LoadHostedAgent(file)
		return err
	})
	runner := newRunner(p, settings, scope)
	handler := platform.NewReportsHandler(runner, settings.Service, p.log)
	reports := p.newInternalServer("reports", agentConnections, handler, scope)
	err := startAgent(p, settings, runner, reports, metrics, scope)
	if err == nil {
		p.waitForStop(c.Context())
		err = shutdownAll(agentShutdownTimeout, reports)
	}
	return errors.CombineErrors(err, errors.CombineErrors(stop(), closer.Close()))
}

// newRunner returns the runner, which starts the runs that the planner orders
// for the target beside the agent. It also starts a goroutine of p that keeps
// the list of processes up to date through which the agent can reach the store
// when its own calls fail.
func newRunner(p *process, settings sesamesettings.HostedAgent, scope tally.Scope) *sesamerunner.Runner {
	clock := sesameclock.Boot{}
	store := p.newStore(settings.Store, sesamerows.RelayOptions{
		Name: settings.ID,
		Zone: settings.Place.Zone,
	}, clock, scope)
	p.group.Go(func() error {
		return store.run(p.ctx)
	})
	return sesamerunner.New(sesamerunner.Options{
		Node:     settings.ID,
		Zone:     settings.Place.Zone,
		Store:    store,
		Dial:     platform.NewExecutor,
		Clock:    clock,
		Log:      p.log,
		Scope:    scope,
		MaxLease: settings.MaxLease,

		TargetReportInterval: settings.TargetReportInterval,
	})
}

// startAgent starts the runner, the server for the target's reports and the
// metrics, and logs eventServing.
func startAgent(
	p *process, settings sesamesettings.HostedAgent, runner *sesamerunner.Runner,
	reports guardedServer, metrics http.Handler, scope tally.Scope,
) error {
	p.group.Go(func() error {
		return runner.Run(p.ctx)
	})
	err := errors.CombineErrors(
		p.serve(settings.ReportAddress, reports),
		p.serveMetrics(settings.Metrics, agentConnections, metrics, scope),
	)
	p.log.Emit(eventServing, sesamelog.Fields{
		"zone":    settings.Place.Zone,
		"http":    settings.ReportAddress,
		"service": settings.Service,
		"store":   settings.Store,
		"error":   err,
	})
	return err
}

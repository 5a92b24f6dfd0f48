package sesamecommand

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/platform"
	"github.com/sesamestack/sesamestack/sesameclock"
	"github.com/sesamestack/sesamestack/sesameguard"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamesettings"
)

// metricsPath is the URL path that serves the metrics.
const metricsPath = "/metrics"

// newHosted returns the command whose subcommands run an entry or an agent on
// a platform that provides the store, and check the operators' configuration.
func newHosted(s streams) *cobra.Command {
	c := &cobra.Command{
		Use:   "hosted",
		Short: "Run a process on a platform that provides the store",
		Long: `Runs an entry or an agent on a platform that provides the store, the load balancer
and the operators' policy, or checks that policy. Nothing is stored on the VM.`,
		Example: `  sesamestack hosted entry --settings /etc/sesamestack/entry.yaml
  sesamestack hosted agent --settings /etc/sesamestack/agent.yaml
  sesamestack hosted check config.json`,
		RunE: func(c *cobra.Command, _ []string) error {
			return c.Help()
		},
	}
	c.AddCommand(newHostedEntry(s), newHostedAgent(s), newHostedCheck(s))
	return c
}

// hostedSettingsFlag defines --settings, whose default is the environment
// variable in which the platform names the settings file.
func hostedSettingsFlag(c *cobra.Command, file *string) {
	c.Flags().StringVar(file, "settings", os.Getenv(platform.SettingsVariable),
		"settings file, in YAML (default $"+platform.SettingsVariable+")")
}

// hostedStore is a hosted process's client of the platform's store. A commit
// whose answer is lost times out soon enough to be repeated, and calls are
// relayed through other processes while the store refuses this one or doesn't
// answer it.
type hostedStore struct {
	*sesamerows.AdaptiveTimeoutStore
	failover *sesamerows.FailoverStore
	relays   *sesamerows.Relays
}

// newStore returns a client of the store at the address. Calls go through other
// processes (relays) while the store refuses this process or does not answer it;
// each change between direct and relayed calls is logged. o.Dial must be nil:
// newStore sets it.
func (p *process) newStore(address string, o sesamerows.RelayOptions, clock sesameclock.Clock, scope tally.Scope) *hostedStore {
	dial := func(address string) sesamerows.Store {
		return platform.NewStore(address, clock, scope)
	}
	o.Dial = dial
	relays := sesamerows.NewRelays(o)
	failover := sesamerows.NewFailoverStore(dial(address), relays, clock, func(blocked bool, cause error) {
		p.log.Emit(eventFailover, sesamelog.Fields{
			"detour": blocked,
			"error":  cause,
		})
	})
	return &hostedStore{
		AdaptiveTimeoutStore: sesamerows.NewAdaptiveTimeoutStore(failover, clock),
		failover:             failover,
		relays:               relays,
	}
}

// run keeps the list of processes that relay calls up to date until ctx ends.
func (s *hostedStore) run(ctx context.Context) error {
	return s.relays.Run(ctx, s)
}

// process holds what hosted entries and agents have in common: the log, the
// goroutines and the HTTP servers.
type process struct {
	log *sesamelog.Logger
	// group runs the process's long-lived goroutines; its context, ctx, ends
	// when one of them fails.
	group  *errgroup.Group
	ctx    context.Context
	cancel context.CancelFunc
	// servers are closed when the process stops, unless they were shut down
	// before.
	servers []*http.Server
}

// newProcess limits the process to memory MiB and one core, and starts its
// log. The goroutines of the group continue after a termination signal until
// the returned function is called; it closes the servers, waits for the group
// and writes the rest of the log.
func newProcess(c *cobra.Command, s streams, id string, l sesamesettings.Log, memory int64) (*process, func() error) {
	runtime.GOMAXPROCS(1)
	limitMemory(memory)
	log, flush := startLog(s.out, l)
	ctx, cancel := context.WithCancel(context.WithoutCancel(c.Context()))
	group, ctx := errgroup.WithContext(ctx)
	p := &process{
		log: log.With(sesamelog.Fields{
			"process": id,
		}),
		group:  group,
		ctx:    ctx,
		cancel: cancel,
	}
	return p, func() error {
		cancel()
		for _, server := range p.servers {
			if err := server.Close(); err != nil {
				p.log.Emit(eventStopped, sesamelog.Fields{
					"error": err,
				})
			}
		}
		err := group.Wait()
		if errors.Is(err, context.Canceled) {
			err = nil
		}
		p.log.Emit(eventStopped, sesamelog.Fields{
			"error": err,
		})
		return errors.CombineErrors(err, flush())
	}
}

// guardedServer is a server whose connections a guard bounds.
type guardedServer struct {
	*http.Server
	guard *sesameguard.Guard
}

// newServer returns a server of the handler, without TLS, for calls from within
// the platform.
func newServer(h http.Handler, o sesameguard.Options) guardedServer {
	guard := sesameguard.New(o)
	return guardedServer{
		Server: guard.NewServer(h),
		guard:  guard,
	}
}

// guardOptions returns the bounds of the server with that name, which the
// platform's own processes call. A relayed transaction of 1 MB would need 60 round
// trips with the small buffers of callers' connections.
func (p *process) guardOptions(name string, connections int, bytes int64, scope tally.Scope) sesameguard.Options {
	return sesameguard.Options{
		Name:        name,
		Connections: connections,
		Bytes:       bytes,
		Clock:       clockwork.NewRealClock(),
		Log:         p.log,
		Scope:       scope,

		KernelBuffers: true,
	}
}

// internalBytes bounds the heads and bodies in flight of a server that is called
// by the platform only.
const internalBytes = 4 << 20

// newInternalServer returns a server that is called by the platform only.
func (p *process) newInternalServer(name string, connections int, h http.Handler, scope tally.Scope) guardedServer {
	return newServer(h, p.guardOptions(name, connections, internalBytes, scope))
}

// serve listens at the address and serves in the background until the server
// is shut down or closed.
func (p *process) serve(address string, server guardedServer) error {
	listener, err := server.guard.Listen(p.ctx, address)
	if err != nil {
		return err
	}
	p.servers = append(p.servers, server.Server)
	p.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// serveMetrics serves the metrics, unless the settings leave their address
// empty.
func (p *process) serveMetrics(address string, connections int, metrics http.Handler, scope tally.Scope) error {
	if address == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle(metricsPath, metrics)
	return p.serve(address, p.newInternalServer("metrics", connections, mux, scope))
}

// validateOnHangup calls reload, which loads and validates the settings file,
// on each SIGHUP and logs its error. The process keeps running with the
// addresses and limits that it started with; an invalid file changes nothing.
func (p *process) validateOnHangup(reload func() error) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	p.group.Go(func() error {
		defer signal.Stop(hangups)
		for {
			select {
			case <-hangups:
				p.log.Emit(eventReloaded, sesamelog.Fields{
					"error": reload(),
				})
			case <-p.ctx.Done():
				return nil
			}
		}
	})
}

// waitForStop returns when ctx, the command's context, ends or when one of the
// process's goroutines has failed.
func (p *process) waitForStop(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-p.ctx.Done():
	}
}

// shutdownAll shuts the servers down one after another and waits for their
// open requests, up to the timeout for all together.
func shutdownAll(timeout time.Duration, servers ...guardedServer) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var err error
	for _, server := range servers {
		err = errors.CombineErrors(err, server.Shutdown(ctx))
	}
	return err
}

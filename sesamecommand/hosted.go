package sesamecommand

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/platform"
	"github.com/sesamestack/sesamestack/sesameclock"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamesettings"
)

const (
	// logQueueLines bounds the lines that wait to be written.
	logQueueLines = 4096
	// heapLimitShare is the part of a process's memory that Go may use before it
	// collects garbage harder; the rest is for stacks and sockets.
	heapLimitShare = 0.7
	// metricsPath is where metrics are shown.
	metricsPath = "/metrics"
)

func newHosted(s streams) *cobra.Command {
	c := &cobra.Command{
		Use:   "hosted",
		Short: "Run a process on a platform that provides the store",
		Long: `Runs an entry or an agent on a platform that provides the store, the balancer and
the operators' policy. Nothing is kept on the VM.`,
		Example: `  sesamestack hosted entry --settings /etc/sesamestack/entry.yaml
  sesamestack hosted agent --settings /etc/sesamestack/agent.yaml`,
		RunE: func(c *cobra.Command, _ []string) error {
			return c.Help()
		},
	}
	c.AddCommand(newHostedEntry(s), newHostedAgent(s))
	return c
}

// hostedSettingsFlag is the flag for a settings file that the platform may name.
func hostedSettingsFlag(c *cobra.Command, file *string) {
	c.Flags().StringVar(file, "settings", os.Getenv(platform.SettingsVariable),
		"settings file, in YAML (default $"+platform.SettingsVariable+")")
}

// hostedStore is the platform's store as a hosted process uses it: commits are
// repeated in time, and calls go through other processes where the store turns
// this one away.
type hostedStore struct {
	*sesamerows.AdaptiveTimeoutStore
	failover *sesamerows.FailoverStore
	relays   *sesamerows.Relays
}

// newStore returns the store at the address. The options lack a way to dial.
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

// run keeps the list of other processes until ctx ends.
func (s *hostedStore) run(ctx context.Context) error {
	return s.relays.Run(ctx, s)
}

// process is what all hosted processes have.
type process struct {
	log *sesamelog.Logger
	// group holds the process's duties; its context ends when one fails.
	group  *errgroup.Group
	ctx    context.Context
	cancel context.CancelFunc
	// servers are closed when the process stops, if they were not before.
	servers []*http.Server
}

// newProcess limits the process to its memory and one core, and starts its
// log. The duties go on after a termination signal until stop is called.
func newProcess(c *cobra.Command, s streams, id string, l sesamesettings.Log, memory int64) (*process, func() error) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(float64(memory<<20) * heapLimitShare))
	logQueue := sesamelog.NewAsyncWriter(s.out, logQueueLines)
	ctx, cancel := context.WithCancel(context.WithoutCancel(c.Context()))
	logging, endLog := context.WithCancel(context.WithoutCancel(c.Context()))
	var writer errgroup.Group
	writer.Go(func() error {
		return logQueue.Run(logging)
	})
	group, ctx := errgroup.WithContext(ctx)
	p := &process{
		log: newLogger(logQueue, l).With(sesamelog.Fields{
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
		endLog()
		return errors.CombineErrors(err, writer.Wait())
	}
}

// serve listens and serves until stop is called on the server.
func (p *process) serve(address string, server *http.Server) error {
	var config net.ListenConfig
	listener, err := config.Listen(p.ctx, "tcp", address)
	if err != nil {
		return err
	}
	p.servers = append(p.servers, server)
	p.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// serveMetrics shows the metrics if the settings have an address for them.
func (p *process) serveMetrics(address string, metrics http.Handler) error {
	if address == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle(metricsPath, metrics)
	return p.serve(address, newServer(mux))
}

// newServer serves the platform's own calls.
func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
	}
}

// validateOnHangup reads the settings file again on each SIGHUP. Addresses and limits
// stay as they were at the start; a file with faults changes nothing.
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

// waitForStop returns when the process is told to stop, or when a duty failed.
func (p *process) waitForStop(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-p.ctx.Done():
	}
}

// shutdownAll lets open requests of the servers end.
func shutdownAll(timeout time.Duration, servers ...*http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var err error
	for _, server := range servers {
		err = errors.CombineErrors(err, server.Shutdown(ctx))
	}
	return err
}

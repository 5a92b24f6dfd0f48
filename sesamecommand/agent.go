package sesamecommand

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"github.com/sesamestack/sesamestack/sesameagent"
	"github.com/sesamestack/sesamestack/sesamesettings"
	"github.com/sesamestack/sesamestack/sesametable"
	"github.com/sesamestack/sesamestack/sesametarget"
	"github.com/sesamestack/sesamestack/sesamewire"
)

// newAgent returns the command that runs an agent of an own deployment, in
// which entries and agents call each other; newHostedAgent is for a platform
// on which they communicate through its store.
func newAgent(s streams) *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "agent",
		Short: "Run the agent beside a target",
		Long: `Runs the agent beside one target: it announces the target, renews its lease, and
starts and stops its tasks. SIGINT or SIGTERM drains it: it refuses new work at
once and finishes open work, within the time of the setting drain.`,
		Example: `  sesamestack agent --settings examples/corchera/settings/worker-01.yaml`,
		Args:    exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			if err := requireSettings(c, file); err != nil {
				return err
			}
			settings, err := sesamesettings.LoadAgent(file)
			if err != nil {
				return err
			}
			return runAgent(c, s, settings)
		},
	}
	settingsFlag(c, &file)
	return c
}

// runAgent runs an agent with the settings until the command's context ends,
// then closes its connections and metrics.
func runAgent(c *cobra.Command, s streams, settings sesamesettings.Agent) error {
	log, flush := startLog(s.err, settings.Log)
	clock := clockwork.NewRealClock()
	scope, metrics, closer := newMetrics()
	dialer := sesamewire.NewDialer(sesamewire.DialOptions{})
	agent := sesameagent.New(settings, sesameagent.Deps{
		Target: sesametarget.NewClient(settings.TargetURL, targetHTTP(settings.MaxConnections)),
		Objects: sesametable.NewClient(sesametable.Options{
			Platform: settings.Platform,
			Clock:    clock,
			Scope:    scope,
			Log:      log,
		}),
		Dialer:  dialer,
		Clock:   clock,
		Log:     log,
		Scope:   scope,
		Metrics: metrics,
		Shares:  limitProcess(settings.MemoryMiB, settings.Descriptors),
	})
	err := agent.Run(c.Context())
	err = errors.CombineErrors(err, errors.CombineErrors(dialer.Close(), closer.Close()))
	return errors.CombineErrors(err, flush())
}

// targetHTTP returns an HTTP client that opens at most that many connections
// to the target and keeps all of them open when idle.
func targetHTTP(connections int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
		},
	}
}

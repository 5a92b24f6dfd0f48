package sesamecommand

import (
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"github.com/sesamestack/sesamestack/sesameentry"
	"github.com/sesamestack/sesamestack/sesamesettings"
	"github.com/sesamestack/sesamestack/sesametable"
	"github.com/sesamestack/sesamestack/sesamewire"
)

// newEntry returns the command that runs an entry of an own deployment, in
// which entries and agents call each other; newHostedEntry is for a platform
// on which they communicate through its store.
func newEntry(s streams) *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "entry",
		Short: "Run an entry",
		Long: `Runs an entry: it serves callers and operators, plans, and is the keeper of some
cells (groups of neighbouring targets). It stores nothing on the VM. SIGINT or
SIGTERM stops it gracefully: open requests are answered first, within the time
of the setting drain.`,
		Example: `  sesamestack entry --settings examples/corchera/settings/entry-a.yaml`,
		Args:    exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			if err := requireSettings(c, file); err != nil {
				return err
			}
			settings, err := sesamesettings.LoadEntry(file)
			if err != nil {
				return err
			}
			return runEntry(c, s, settings)
		},
	}
	settingsFlag(c, &file)
	return c
}

// runEntry runs an entry with the settings until the command's context ends,
// then closes its connections and metrics.
func runEntry(c *cobra.Command, s streams, settings sesamesettings.Entry) error {
	log, flush := startLog(s.err, settings.Log)
	clock := clockwork.NewRealClock()
	scope, metrics, closer := newMetrics()
	platform := sesametable.NewClient(sesametable.Options{
		Platform: settings.Platform,
		Clock:    clock,
		Scope:    scope,
		Log:      log,
	})
	dialer := sesamewire.NewDialer(sesamewire.DialOptions{})
	memory := settings.MemoryMiB
	if memory == 0 {
		memory = machineMemoryMiB()
	}
	entry, err := sesameentry.New(settings, sesameentry.Deps{
		Table:   platform,
		Objects: platform,
		Dialer:  dialer,
		Clock:   clock,
		Log:     log,
		Scope:   scope,
		Metrics: metrics,
		Shares:  limitProcess(memory, settings.Descriptors),
	})
	if err != nil {
		return err
	}
	err = entry.Run(c.Context())
	err = errors.CombineErrors(err, errors.CombineErrors(dialer.Close(), closer.Close()))
	return errors.CombineErrors(err, flush())
}

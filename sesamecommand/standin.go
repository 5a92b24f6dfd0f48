package sesamecommand

import (
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamesettings"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesametarget"
)

// newStandin returns the command whose subcommands run stand-ins: emulations
// of the platform and of targets, for tests.
func newStandin(s streams) *cobra.Command {
	c := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in for the platform or a target",
		Long: `Runs a stand-in for the platform or for a target, for tests and trials only.
A stand-in holds everything in memory and loses it when its process ends.`,
		Example: `  sesamestack standin platform --settings platform.yaml
  sesamestack standin worker --settings worker.yaml`,
		Args: exactly(0),
	}
	c.AddCommand(
		newStandinPlatform(s),
		newStandinTarget(s, sesamemodel.Worker),
		newStandinTarget(s, sesamemodel.Executor),
	)
	return c
}

// settingsFlag defines --settings, the required name of a settings file.
func settingsFlag(c *cobra.Command, file *string) {
	c.Flags().StringVar(file, "settings", "", "settings file, in YAML (required)")
}

// requireSettings returns a *UsageError if --settings was not given.
func requireSettings(c *cobra.Command, file string) error {
	if file != "" {
		return nil
	}
	return &UsageError{
		Command: c.CommandPath(),
		Problem: "--settings is missing",
	}
}

// newStandinPlatform returns the command that serves an in-memory table and
// object store, as the platform of an own deployment has them.
func newStandinPlatform(s streams) *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:     "platform",
		Short:   "Run a stand-in for the platform's table and object store",
		Long:    "Serves the table and the object store from memory. The settings must have the key http.",
		Example: `  sesamestack standin platform --settings platform.yaml`,
		Args:    exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			settings, err := loadStandin(c, file)
			if err != nil {
				return err
			}
			log, flush := startLog(s.err, settings.Log)
			store := sesamestandin.NewStore(clockwork.NewRealClock())
			err = serveHTTP(c.Context(), settings.HTTP, sesamestandin.NewPlatformHandler(store, log), log)
			return errors.CombineErrors(err, flush())
		},
	}
	settingsFlag(c, &file)
	return c
}

// loadStandin loads the settings file, which must have been named.
func loadStandin(c *cobra.Command, file string) (sesamesettings.Standin, error) {
	if err := requireSettings(c, file); err != nil {
		return sesamesettings.Standin{}, err
	}
	return sesamesettings.LoadStandin(file)
}

// newStandinTarget returns the command that serves an emulated target of the
// kind. Each task's payload says what the task does.
func newStandinTarget(s streams, kind sesamemodel.Kind) *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:     string(kind),
		Short:   "Run a stand-in for one " + string(kind),
		Long:    "Serves a target whose tasks do what their payload says. The settings must have the keys http and kind, and the target's capacity.",
		Example: "  sesamestack standin " + string(kind) + " --settings " + string(kind) + ".yaml",
		Args:    exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			settings, err := loadStandin(c, file)
			if err != nil {
				return err
			}
			if settings.Kind != string(kind) {
				return &UsageError{
					Command: c.CommandPath(),
					Problem: "the settings are for kind " + settings.Kind,
				}
			}
			log, flush := startLog(s.err, settings.Log)
			target := sesamestandin.NewTargetHandler(clockwork.NewRealClock(), targetDescription(settings))
			err = serveHTTP(c.Context(), settings.HTTP, target, log)
			return errors.CombineErrors(err, flush())
		},
	}
	settingsFlag(c, &file)
	return c
}

// targetDescription returns the kind and capacity that an emulated target
// reports.
func targetDescription(s sesamesettings.Standin) sesametarget.Description {
	return sesametarget.Description{
		Kind: sesamemodel.Kind(s.Kind),
		Capacity: sesamemodel.Resources{
			Cores:        s.Cores,
			Memory:       s.MemoryMiB,
			Accelerators: s.Accelerators,
			Slots:        s.Slots,
		},
	}
}

package sesamecommand

import (
	"github.com/spf13/cobra"

	"github.com/sesamestack/sesamestack/sesamedemo"
	"github.com/sesamestack/sesamestack/sesamelog"
)

// newDemo returns the command that runs a whole deployment, its platform and
// its targets emulated, in one process.
func newDemo(s streams) *cobra.Command {
	var verbose bool
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a demonstration deployment in one process",
		Long: `Runs stand-ins (emulated platform and targets), entries and agents in one process
on loopback, applies contracts, runs jobs with a preemption, and prints the
completion times of each team. Exits with code 0 only if every job ended as
expected.`,
		Example: `  sesamestack demo
  sesamestack demo --verbose`,
		Args: exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			log := sesamelog.Discard()
			if verbose {
				log = sesamelog.New(s.err, sesamelog.Info, sesamelog.Text)
			}
			return sesamedemo.Run(c.Context(), s.out, log)
		},
	}
	c.Flags().BoolVarP(&verbose, "verbose", "v", false, "print the log events of the processes")
	return c
}

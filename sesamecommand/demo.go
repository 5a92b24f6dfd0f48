package sesamecommand

import (
	"github.com/spf13/cobra"

	"github.com/sesamestack/sesamestack/sesamedemo"
	"github.com/sesamestack/sesamestack/sesamelog"
)

func newDemo(s streams) *cobra.Command {
	var verbose bool
	c := &cobra.Command{
		Use:   "demo",
		Short: "Show the whole path in one process",
		Long: `Runs stand-ins, entries and agents in one process on loopback, puts contracts into
force, runs jobs with a preemption, and prints the completion times of each team.
Exits with code 0 only when every job ended as it should.`,
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
	c.Flags().BoolVarP(&verbose, "verbose", "v", false, "show the events of the processes")
	return c
}

package sesamecommand

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/sesamestack/sesamestack/sesamelog"
)

func newEvents(s streams) *cobra.Command {
	return &cobra.Command{
		Use:   "events",
		Short: "Print the catalogue of log events",
		Long: `Prints every event that a process may log, as the Markdown table of
docs/EVENTS.md.`,
		Example: `  sesamestack events`,
		Args:    exactly(0),
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprint(s.out, catalogueTable())
			return err
		},
	}
}

// catalogueTable returns the catalogue as a Markdown table.
func catalogueTable() string {
	table := "| event | level | text |\n| --- | --- | --- |\n"
	for _, e := range sesamelog.Catalogue() {
		table += fmt.Sprintf("| %d | %s | %s |\n", e.Number, e.Level, e.Text)
	}
	return table
}

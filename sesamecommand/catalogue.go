package sesamecommand

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/sesamestack/sesamestack/sesamelog"
)

// newEvents returns the command that prints the catalogue of log events, from
// which docs/EVENTS.md is generated.
func newEvents(s streams) *cobra.Command {
	return &cobra.Command{
		Use:   "events",
		Short: "Print the catalogue of log events",
		Long: `Prints all events that a process may log, as the Markdown table of
docs/EVENTS.md.`,
		Example: `  sesamestack events`,
		Args:    exactly(0),
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprint(s.out, catalogueTable())
			return err
		},
	}
}

// catalogueTable returns number, level and text of each log event as a
// Markdown table.
func catalogueTable() string {
	table := "| event | level | text |\n| --- | --- | --- |\n"
	for _, e := range sesamelog.Catalogue() {
		table += fmt.Sprintf("| %d | %s | %s |\n", e.Number, e.Level, e.Text)
	}
	return table
}

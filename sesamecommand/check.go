package sesamecommand

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/sesamestack/sesamestack/sesamesettings"
)

// newCheck returns the command that validates settings and contract files
// without a running process.
func newCheck(s streams) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE…",
		Short: "Validate settings and contract files",
		Long: `Validates settings and contract files, each alone and against each other.
A directory means all YAML files below it. Prints one line per problem, as
file:line: key: problem, and exits with code 2 if there is any.`,
		Example: `  sesamestack check entry.yaml
  sesamestack check examples/corchera examples/hlasy/settings/entry-a.yaml`,
		Args: atLeastOne,
		RunE: func(_ *cobra.Command, args []string) error {
			files, err := sesamesettings.Check(args...)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(s.out, "%d files without faults\n", files)
			return err
		},
	}
}

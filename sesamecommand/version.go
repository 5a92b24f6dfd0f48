package sesamecommand

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// newVersion returns the command that prints the version of the binary.
func newVersion(s streams) *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Long:    "Prints the version of the module, the commit it was built from and the version of Go.",
		Example: `  sesamestack version`,
		Args:    exactly(0),
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprintln(s.out, version())
			return err
		},
	}
}

// version returns the module version, the commit and the Go version that the
// running binary was built with, as one line.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "sesamestack (unknown build)"
	}
	commit := "unknown"
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			commit = s.Value
		}
	}
	return fmt.Sprintf("sesamestack %s, commit %s, %s", info.Main.Version, commit, info.GoVersion)
}

// Package sesamecommand is the command line of sesamestack.
package sesamecommand

import "io"

// Run executes one command line and returns the exit code.
func Run(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	return 0
}

// Command sesamestack schedules jobs that need many accelerators at once, within
// the accelerators that teams are guaranteed by contract.
package main

import (
	"os"

	"github.com/sesamestack/sesamestack/sesamecommand"
)

func main() {
	os.Exit(sesamecommand.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

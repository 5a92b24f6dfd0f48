// Sesamestack schedules multi-accelerator jobs under team guarantees.
package main

import (
	"os"

	"github.com/sesamestack/sesamestack/sesamecommand"
)

func main() {
	os.Exit(sesamecommand.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

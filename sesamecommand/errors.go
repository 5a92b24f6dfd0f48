package sesamecommand

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesamesettings"
)

// The exit codes of every command.
const (
	ExitOK = iota
	// ExitFailure is any failure without a code of its own.
	ExitFailure
	// ExitInput means a wrong flag, file or request.
	ExitInput
	// ExitNotDone means that the job ended other than as done.
	ExitNotDone
	// ExitLater means that nothing was accepted and that the same command may
	// succeed later.
	ExitLater
)

// UsageError says that a command line is wrong.
type UsageError struct {
	Command string
	Problem string
}

// Error names the command and the problem.
func (e *UsageError) Error() string {
	return fmt.Sprintf("%s: %s; see %s --help", e.Command, e.Problem, e.Command)
}

// exitCoder is an error that has an exit code of its own.
type exitCoder interface {
	error
	ExitCode() int
}

// ExitCode returns ExitInput.
func (e *UsageError) ExitCode() int {
	return ExitInput
}

func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var coder exitCoder
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	var faults *sesamesettings.FaultsError
	if errors.As(err, &faults) {
		return ExitInput
	}
	return ExitFailure
}

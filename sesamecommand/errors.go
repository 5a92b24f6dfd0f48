package sesamecommand

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesameapi"
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
	var invalid *sesamesettings.ValidationError
	if errors.As(err, &invalid) {
		return ExitInput
	}
	var problem *sesameapi.ProblemError
	if errors.As(err, &problem) {
		return problemExitCode(problem.Problem.Status)
	}
	var unreachable *sesameapi.UnreachableError
	if errors.As(err, &unreachable) && !unreachable.MaybeReceived {
		return ExitLater
	}
	return ExitFailure
}

// errorText returns the lines that tell of an error. An entry's answer has a
// line for each wrong field, and one that says what is known of the work.
func errorText(err error) string {
	var text strings.Builder
	fmt.Fprintln(&text, err)
	var problem *sesameapi.ProblemError
	if !errors.As(err, &problem) {
		return text.String()
	}
	for _, f := range problem.Problem.InvalidFields {
		fmt.Fprintf(&text, "%s: %s\n", f.Field, f.Detail)
	}
	if problem.Problem.Outcome != "" {
		fmt.Fprintf(&text, "outcome: %s\n", problem.Problem.Outcome)
	}
	if problem.Problem.RetryAfter > 0 {
		fmt.Fprintf(&text, "try again after %s\n", problem.Problem.RetryAfter)
	}
	return text.String()
}

// problemExitCode returns the code for an entry's answer with that status.
func problemExitCode(status int) int {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return ExitInput
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return ExitLater
	}
	return ExitFailure
}

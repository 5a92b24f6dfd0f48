package sesamecommand

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesameapi"
	"github.com/sesamestack/sesamestack/sesamesettings"
)

// The exit codes of all commands.
const (
	ExitOK = iota
	// ExitFailure means any failure that the other codes do not cover.
	ExitFailure
	// ExitInput means a wrong flag, file or request.
	ExitInput
	// ExitNotDone means that the job ended in a state other than done.
	ExitNotDone
	// ExitLater means that the entry accepted nothing and that the same command
	// may succeed later, for example after a rate limit or when the entry is
	// reachable again.
	ExitLater
)

// UsageError reports a wrong command line: Command is the full name of the
// command, Problem what is wrong.
type UsageError struct {
	Command string
	Problem string
}

// Error names the command, the problem and how to show the command's help.
func (e *UsageError) Error() string {
	return fmt.Sprintf("%s: %s; see %s --help", e.Command, e.Problem, e.Command)
}

// exitCoder is an error that states the exit code of the command it ends.
type exitCoder interface {
	error
	ExitCode() int
}

// ExitCode returns ExitInput.
func (e *UsageError) ExitCode() int {
	return ExitInput
}

// exitCode returns the exit code for the error of a command. An entry that
// could not be reached gives ExitLater only if it surely did not receive the
// request; otherwise the request may have been accepted.
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

// errorText returns the lines that the command prints for an error. If an
// entry answered with problem details, a line for each invalid field follows,
// one with the outcome of the job if it is known, and one with the time after
// which to try again.
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

// problemExitCode returns the exit code for the HTTP status of an entry's
// error answer.
func problemExitCode(status int) int {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return ExitInput
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return ExitLater
	}
	return ExitFailure
}

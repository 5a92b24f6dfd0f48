package sesamecommand

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// streams are the standard input, output and error of one command line. Tests
// replace them.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// Run executes one command line, without the program's name, and returns its
// exit code. SIGINT or SIGTERM stops the command gracefully.
func Run(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	return RunContext(ctx, args, stdin, stdout, stderr)
}

// RunContext is Run, except that the end of ctx stops the command, not a
// signal.
func RunContext(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	root := newRoot(streams{
		in:  stdin,
		out: stdout,
		err: stderr,
	})
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	if _, printErr := io.WriteString(stderr, errorText(err)); printErr != nil {
		return ExitFailure
	}
	return exitCode(err)
}

// rootHelp is the help text of the program. It lists the exit codes from ExitOK
// to ExitLater.
const rootHelp = `Sesamestack schedules multi-accelerator jobs under team guarantees.

Client commands call the entries in --entry or SESAMESTACK_ENTRY and send the
access token in SESAMESTACK_TOKEN.

Exit codes:
  0  the command did what it was asked for
  1  it failed
  2  bad input: a wrong flag, file or request
  3  the job ended in a state other than done
  4  not accepted now; the same command may succeed later`

// rootExample is the examples section of the program's help.
const rootExample = `  sesamestack demo
  sesamestack check examples/corchera
  sesamestack apply -f examples/corchera
  sesamestack submit --class estimate --tasks 2 --accelerators 8 --span rack --wait`

// newRoot returns the program's root command. Without arguments it prints the
// help; an unknown command or flag is a *UsageError.
func newRoot(s streams) *cobra.Command {
	root := &cobra.Command{
		Use:           "sesamestack",
		Short:         "Schedules multi-accelerator jobs under team guarantees",
		Long:          rootHelp,
		Example:       rootExample,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.ArbitraryArgs,
	}
	root.RunE = func(c *cobra.Command, args []string) error {
		if len(args) == 0 {
			return c.Help()
		}
		return &UsageError{
			Command: c.CommandPath(),
			Problem: fmt.Sprintf("unknown command %q", args[0]),
		}
	}
	root.SetIn(s.in)
	root.SetOut(s.out)
	root.SetErr(s.err)
	root.SetFlagErrorFunc(func(c *cobra.Command, err error) error {
		return &UsageError{
			Command: c.CommandPath(),
			Problem: err.Error(),
		}
	})
	addCommands(root, s)
	return root
}

// addCommands adds all commands: those for callers, those for operators, and
// the processes and tools.
func addCommands(root *cobra.Command, s streams) {
	root.AddCommand(
		newSubmit(s),
		newWait(s),
		newStatus(s),
		newResult(s),
		newCancel(s),
		newExplain(s),
	)
	root.AddCommand(
		newApply(s),
		newDiff(s),
		newContracts(s),
		newHistory(s),
		newRollback(s),
		newTargets(s),
		newRelease(s),
		newResolve(s),
	)
	root.AddCommand(
		newEntry(s),
		newAgent(s),
		newHosted(s),
		newDemo(s),
		newStandin(s),
		newCheck(s),
		newToken(s),
		newEvents(s),
		newStory(s),
		newVersion(s),
	)
}

// exactly accepts n arguments and returns a *UsageError for any other number.
func exactly(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) == n {
			return nil
		}
		return &UsageError{
			Command: c.CommandPath(),
			Problem: fmt.Sprintf("has %d arguments, expected %d", len(args), n),
		}
	}
}

// atMostOne accepts no argument or one, and returns a *UsageError for more.
func atMostOne(c *cobra.Command, args []string) error {
	if len(args) <= 1 {
		return nil
	}
	return &UsageError{
		Command: c.CommandPath(),
		Problem: fmt.Sprintf("has %d arguments, expected at most 1", len(args)),
	}
}

// atLeastOne accepts one argument or more, and returns a *UsageError for none.
func atLeastOne(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return nil
	}
	return &UsageError{
		Command: c.CommandPath(),
		Problem: "has no argument, expected at least 1",
	}
}

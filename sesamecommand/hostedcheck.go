package sesamecommand

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/uber-go/tally/v4"

	"github.com/sesamestack/sesamestack/platform"
	"github.com/sesamestack/sesamestack/sesameclock"
	"github.com/sesamestack/sesamestack/sesamereview"
)

// stdinName is the file name that stands for standard input.
const stdinName = "-"

// ConfigurationFaultsError says that a checked configuration has errors, which
// have been printed.
type ConfigurationFaultsError struct {
	File string
}

// Error names the file.
func (e *ConfigurationFaultsError) Error() string {
	return e.File + " has errors"
}

// ExitCode returns ExitInput.
func (e *ConfigurationFaultsError) ExitCode() int {
	return ExitInput
}

// hostedCheck holds the flags of the command that checks a configuration.
type hostedCheck struct {
	against      string
	store        string
	accelerators int64
}

// newHostedCheck returns the command that checks the operators' configuration of a
// hosted deployment before it is sent.
func newHostedCheck(s streams) *cobra.Command {
	var f hostedCheck
	c := &cobra.Command{
		Use:   "check FILE",
		Short: "Check the operators' configuration before it is sent",
		Long: `Checks the operators' configuration in JSON, alone or against the one in force, which
is read from the platform's store or from another file. FILE may be - for standard
input. Prints one line per finding, then what differs; API keys are only counted.
Exits with code 2 if there is an error.`,
		Example: `  sesamestack hosted check config.json
  sesamestack hosted check config.json --against config.old.json --accelerators 496
  sesamestack hosted check - --store 10.1.1.5:7000 < config.json`,
		Args: exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			if problem := f.problem(args[0]); problem != "" {
				return &UsageError{
					Command: c.CommandPath(),
					Problem: problem,
				}
			}
			return f.run(c.Context(), s, args[0])
		},
	}
	c.Flags().StringVar(&f.against, "against", "", "file with the configuration in force")
	c.Flags().StringVar(&f.store, "store", "", "address of the platform's store, host:port, that holds the configuration in force")
	c.Flags().Int64Var(&f.accelerators, "accelerators", 0, "accelerators of the deployment, which all guarantees must fit (0: unknown)")
	return c
}

// problem returns what is wrong with the flags for the file, or nothing.
func (f *hostedCheck) problem(file string) string {
	switch {
	case f.accelerators < 0:
		return "--accelerators is negative"
	case f.against != "" && f.store != "":
		return "--against and --store exclude each other"
	case f.against == stdinName && file == stdinName:
		return "FILE and --against are both standard input"
	}
	return ""
}

// run checks the file and prints the findings and the differences.
func (f *hostedCheck) run(ctx context.Context, s streams, file string) error {
	data, err := readInput(s.in, file)
	if err != nil {
		return err
	}
	proposed, err := platform.ParseConfig(data)
	if err != nil {
		if _, printErr := fmt.Fprintf(s.out, "error: policy: %s\n", err); printErr != nil {
			return printErr
		}
		return &ConfigurationFaultsError{
			File: file,
		}
	}
	// An unreadable configuration in force is mended by the one that is checked, so
	// it is no error.
	inForce, err := f.readInForce(ctx, s.in)
	var unreadable *platform.ConfigError
	if err != nil && !errors.As(err, &unreadable) {
		return err
	}
	findings := sesamereview.Check(proposed, sesamereview.Options{
		InForce:      inForce,
		Accelerators: f.accelerators,
	})
	if unreadable != nil {
		findings = append(findings, sesamereview.Finding{
			Severity: sesamereview.Warning,
			Entry: sesamereview.Entry{
				Kind: sesamereview.KindPolicy,
			},
			Problem: "the one in force can't be read, so nothing is compared: " + unreadable.Error(),
		})
	}
	if err := printReview(s.out, findings, inForce, proposed); err != nil {
		return err
	}
	if sesamereview.HasErrors(findings) {
		return &ConfigurationFaultsError{
			File: file,
		}
	}
	return nil
}

// readInForce returns the configuration in force, or nil if no flag names its
// source or the store has none. A configuration that can't be decoded is a
// *platform.ConfigError.
func (f *hostedCheck) readInForce(ctx context.Context, in io.Reader) (*sesamereview.Configuration, error) {
	var c sesamereview.Configuration
	found := f.against != ""
	var err error
	if f.store != "" {
		c, found, err = platform.ReadConfig(ctx, platform.NewStore(f.store, sesameclock.Boot{}, tally.NoopScope))
	} else if found {
		var data []byte
		if data, err = readInput(in, f.against); err == nil {
			c, err = platform.ParseConfig(data)
		}
	}
	if err != nil || !found {
		return nil, err
	}
	return &c, nil
}

// readInput reads a file, or the input if its name is stdinName.
func readInput(in io.Reader, file string) ([]byte, error) {
	if file == stdinName {
		return io.ReadAll(in)
	}
	return os.ReadFile(file)
}

// printReview prints the findings, then what differs from the configuration in
// force if that is known.
func printReview(out io.Writer, findings []sesamereview.Finding, inForce *sesamereview.Configuration, proposed sesamereview.Configuration) error {
	for _, f := range findings {
		if _, err := fmt.Fprintf(out, "%s: %s: %s\n", f.Severity, entryText(f.Entry, f.Field), f.Problem); err != nil {
			return err
		}
	}
	if len(findings) == 0 {
		if _, err := fmt.Fprintln(out, "no findings"); err != nil {
			return err
		}
	}
	if inForce == nil {
		return nil
	}
	for _, change := range sesamereview.Compare(*inForce, proposed) {
		line := fmt.Sprintf("%s: %s", change.Action, entryText(change.Entry, change.Field))
		if change.Detail != "" {
			line += ": " + change.Detail
		}
		if _, err := fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
	return nil
}

// entryText returns the entry, and the field, if any, by its name in the file.
func entryText(e sesamereview.Entry, f sesamereview.Field) string {
	if f == "" {
		return e.String()
	}
	return e.String() + ": " + platform.ConfigName(f)
}

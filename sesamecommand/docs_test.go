package sesamecommand_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamecommand"
)

// assertCommand runs one command line in this process, fails the test unless it
// exits with the code, and returns what it printed to both outputs.
func assertCommand(t *testing.T, code int, args ...string) string {
	t.Helper()
	var out, errors bytes.Buffer
	if found := sesamecommand.Run(args, strings.NewReader(""), &out, &errors); found != code {
		t.Fatalf("%s ended with %d, expected %d:\n%s", strings.Join(args, " "), found, code, errors.String())
	}
	return out.String() + errors.String()
}

// TestEventsPage checks that docs/EVENTS.md ends with the current catalogue of
// log events.
func TestEventsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/EVENTS.md")
	is.New(t).NoErr(err)
	table := assertCommand(t, sesamecommand.ExitOK, "events")
	if !strings.HasSuffix(string(page), table) {
		t.Errorf("docs/EVENTS.md does not end with what `sesamestack events` prints; run make events")
	}
}

// TestHelp checks that the help of every command has an example.
func TestHelp(t *testing.T) {
	help := assertCommand(t, sesamecommand.ExitOK, "--help")
	_, commands, _ := strings.Cut(help, "Available Commands:\n")
	commands, _, _ = strings.Cut(commands, "\n\n")
	for _, line := range strings.Split(commands, "\n") {
		name := strings.Fields(line)[0]
		if name == "help" || name == "completion" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			text := assertCommand(t, sesamecommand.ExitOK, name, "--help")
			is.New(t).True(strings.Contains(text, "Examples:\n  "))
		})
	}
}

// TestExitCodes checks the exit codes of wrong command lines.
func TestExitCodes(t *testing.T) {
	t.Run("an unknown command", func(t *testing.T) {
		assertContains(t, assertCommand(t, sesamecommand.ExitInput, "nothing"), `unknown command "nothing"`)
	})
	t.Run("an unknown flag", func(t *testing.T) {
		assertCommand(t, sesamecommand.ExitInput, "wait", "--nothing")
	})
	t.Run("a missing argument", func(t *testing.T) {
		assertContains(t, assertCommand(t, sesamecommand.ExitInput, "wait"), "has 0 arguments, expected 1")
	})
	t.Run("an address that is no URL", func(t *testing.T) {
		assertCommand(t, sesamecommand.ExitInput, "targets", "--entry", "10.0.0.1:80")
	})
}

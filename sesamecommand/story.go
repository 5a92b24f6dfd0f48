package sesamecommand

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

// maxLogLineBytes is the longest log line that is read; a longer one is an
// error.
const maxLogLineBytes = 1 << 20

// newStory returns the command that prints the log events of one job in the
// order of time, merged from the logs of several processes.
func newStory(s streams) *cobra.Command {
	return &cobra.Command{
		Use:   "story ID [FILE...]",
		Short: "Print the log events of a job in the order of time",
		Long: `Reads log lines in JSON from files or standard input and prints those of the job
in the order of time, each with all its fields, such as the inputs of a decision.
Text before the JSON of a line is ignored.`,
		Example: `  sesamestack story 5c0e7a21d94b36f8 entry-*.log agent-*.log
  sesamestack story 5c0e7a21d94b36f8 < all.log`,
		Args: atLeastOne,
		RunE: func(_ *cobra.Command, args []string) error {
			lines, err := readStoryLines(s.in, args[0], args[1:])
			if err != nil {
				return err
			}
			return printStoryLines(s.out, args[0], lines)
		},
	}
}

// storyLine is one log line of a job: its time as text, the ID of the process
// that logged it, the event's text, and all fields of the line.
type storyLine struct {
	time    string
	process string
	text    string
	fields  map[string]any
}

// readStoryLines returns the log lines of the job in the files, or in the
// input if there are no files, in the order in which they are read.
func readStoryLines(in io.Reader, job string, files []string) ([]storyLine, error) {
	if len(files) == 0 {
		return scanStoryLines(in, job)
	}
	var all []storyLine
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err := scanStoryLines(file, job)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

// scanStoryLines returns the log lines of the job in one input.
func scanStoryLines(in io.Reader, job string) ([]storyLine, error) {
	var all []storyLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		if line, ok := parseStoryLine(scanner.Bytes()); ok && line.fields["job"] == job {
			all = append(all, line)
		}
	}
	return all, scanner.Err()
}

// parseStoryLine parses the JSON of a log line, from its first brace. It
// returns false for a line without valid JSON.
func parseStoryLine(line []byte) (storyLine, bool) {
	start := slices.Index(line, '{')
	if start < 0 {
		return storyLine{}, false
	}
	fields := map[string]any{}
	if err := json.Unmarshal(line[start:], &fields); err != nil {
		return storyLine{}, false
	}
	text := func(name string) string {
		value, ok := fields[name].(string)
		if !ok {
			return ""
		}
		return value
	}
	return storyLine{
		time:    text("time"),
		process: text("process"),
		text:    text("msg"),
		fields:  fields,
	}, true
}

// omittedFields are the fields that otherFields leaves out: they are already
// printed at the start of a line or tell nothing more about the job.
var omittedFields = []string{"time", "process", "msg", "job", "level", "event"}

// printStoryLines prints the lines sorted by time; lines of the same time stay
// in the order in which they were read.
func printStoryLines(out io.Writer, job string, lines []storyLine) error {
	if len(lines) == 0 {
		_, err := fmt.Fprintf(out, "no log line names job %q\n", job)
		return err
	}
	slices.SortStableFunc(lines, func(a, b storyLine) int {
		return cmp.Compare(a.time, b.time)
	})
	for _, l := range lines {
		if _, err := fmt.Fprintf(out, "%s  %-22s %s%s\n", l.time, l.process, l.text, l.otherFields()); err != nil {
			return err
		}
	}
	return nil
}

// otherFields returns the fields of the line that are not in omittedFields, as
// name=value with values in JSON, sorted by name.
func (l storyLine) otherFields() string {
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		if !slices.Contains(omittedFields, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		value, err := json.Marshal(l.fields[name])
		if err != nil {
			continue
		}
		fmt.Fprintf(&b, " %s=%s", name, value)
	}
	return b.String()
}

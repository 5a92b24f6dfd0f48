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

// maxLogLineBytes bounds one line of a log, in bytes.
const maxLogLineBytes = 1 << 20

func newStory(s streams) *cobra.Command {
	return &cobra.Command{
		Use:   "story ID [FILE...]",
		Short: "Tell from log lines what happened to a job",
		Long: `Reads the JSON lines that processes logged, from files or the standard input, and
prints those that concern the job in the order of time, with the inputs of each
decision. What stands in front of a line's JSON is ignored.`,
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

// storyLine is a logged event.
type storyLine struct {
	time    string
	process string
	text    string
	fields  map[string]any
}

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

// parseStoryLine reads the JSON of a line; false for lines without any.
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

// omittedFields stand in front of a line or say nothing new.
var omittedFields = []string{"time", "process", "msg", "job", "level", "event"}

func printStoryLines(out io.Writer, job string, lines []storyLine) error {
	if len(lines) == 0 {
		_, err := fmt.Fprintf(out, "no line concerns job %q\n", job)
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

// otherFields returns the other fields of a line in the order of their names.
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

package sesamedemo

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/sesamestack/sesamestack/sesameapi"
	"github.com/sesamestack/sesamestack/sesamemodel"
)

// UnexpectedStateError reports a job that ended in another state than
// expected.
type UnexpectedStateError struct {
	// Name is the job's name in the demonstration.
	Name     string
	State    sesamemodel.State
	Expected sesamemodel.State
	// Reason is the job's reason for its state.
	Reason string
}

// Error names the job, its state, the expected state and the reason.
func (e *UnexpectedStateError) Error() string {
	return fmt.Sprintf("job %q ended as %s, expected %s: %s", e.Name, e.State, e.Expected, e.Reason)
}

// jobResult is a submitted job with its latest status.
type jobResult struct {
	spec   demoJob
	status sesameapi.JobStatus
}

// checkStates returns an *UnexpectedStateError for the first job that ended in
// another state than expected.
func checkStates(results []jobResult) error {
	for _, e := range results {
		if e.status.State != e.spec.expected {
			return &UnexpectedStateError{
				Name:     e.spec.name,
				State:    e.status.State,
				Expected: e.spec.expected,
				Reason:   e.status.Reason,
			}
		}
	}
	return nil
}

// teamTimes holds the completion times of one team's jobs.
type teamTimes struct {
	team string
	// done counts the jobs that ended as done, jobs all submitted ones.
	done int
	jobs int
	// times are the times from submission to end of the jobs that are done,
	// sorted.
	times []time.Duration
}

// timesByTeam returns the completion times of each team, sorted by team name.
func timesByTeam(results []jobResult) []teamTimes {
	teams := map[string]*teamTimes{}
	var names []string
	for _, e := range results {
		c, ok := teams[e.spec.team]
		if !ok {
			c = &teamTimes{
				team: e.spec.team,
			}
			teams[e.spec.team] = c
			names = append(names, e.spec.team)
		}
		c.jobs++
		if e.status.State == sesamemodel.Done {
			c.done++
			c.times = append(c.times, e.status.EndTime.Sub(e.status.Submitted))
		}
	}
	sort.Strings(names)
	var all []teamTimes
	for _, name := range names {
		c := teams[name]
		sort.Slice(c.times, func(i, k int) bool {
			return c.times[i] < c.times[k]
		})
		all = append(all, *c)
	}
	return all
}

// columnGap is the number of spaces between two columns of the table.
const columnGap = 2

// writeTable writes a table with one line for each team.
func writeTable(w io.Writer, all []teamTimes) error {
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	rows := []string{"TEAM\tJOBS\tDONE\tMEDIAN\tLONGEST"}
	for _, c := range all {
		rows = append(rows, fmt.Sprintf("%s\t%d\t%d\t%s\t%s", c.team, c.jobs, c.done, c.quantile(2), c.quantile(1)))
	}
	if _, err := fmt.Fprintln(table, strings.Join(rows, "\n")); err != nil {
		return err
	}
	return table.Flush()
}

// quantile returns the completion time at 1/part of the sorted list: the
// longest for part 1, the median for part 2, "-" without any.
func (c teamTimes) quantile(part int) string {
	if len(c.times) == 0 {
		return "-"
	}
	i := (len(c.times) - 1) / part
	return c.times[i].Round(time.Millisecond).String()
}

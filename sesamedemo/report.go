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

// UnexpectedStateError says that a job ended other than it should.
type UnexpectedStateError struct {
	Name     string
	State    sesamemodel.State
	Expected sesamemodel.State
	Reason   string
}

// Error names the job, both states and the reason.
func (e *UnexpectedStateError) Error() string {
	return fmt.Sprintf("job %q ended as %s, expected %s: %s", e.Name, e.State, e.Expected, e.Reason)
}

// jobResult is an order with the job as it ended.
type jobResult struct {
	spec   demoJob
	status sesameapi.JobStatus
}

// checkStates returns an *UnexpectedError for the first job that ended other
// than it should.
func checkStates(endings []jobResult) error {
	for _, e := range endings {
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

// teamTimes is how long the jobs of one team took.
type teamTimes struct {
	team  string
	done  int
	jobs  int
	times []time.Duration
}

// timesByTeam returns what each team waited for its finished jobs, in the
// order of the teams' names.
func timesByTeam(endings []jobResult) []teamTimes {
	teams := map[string]*teamTimes{}
	var names []string
	for _, e := range endings {
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

// columnGap is the space between two columns of a table.
const columnGap = 2

// writeTable writes the completion times of the teams.
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

// quantile returns the longest completion time with part 1, and the median
// with part 2.
func (c teamTimes) quantile(part int) string {
	if len(c.times) == 0 {
		return "-"
	}
	i := (len(c.times) - 1) / part
	return c.times[i].Round(time.Millisecond).String()
}

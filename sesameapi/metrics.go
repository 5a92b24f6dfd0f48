package sesameapi

import (
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// latencyBuckets of the time to accept a submission, from 1 ms to 65 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)

// completionBuckets of the time until a job ends, from 100 ms to 9 days.
var completionBuckets = tally.MustMakeExponentialDurationBuckets(100*time.Millisecond, 3, 15)

// metrics reports the handler's histograms and counters, tagged with the team
// where it is known.
type metrics struct {
	scope tally.Scope
}

// newMetrics returns metrics below the name api of the scope.
func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope: scope.SubScope("api"),
	}
}

// teamScope returns the scope whose metrics are tagged with the team.
func (m *metrics) teamScope(team sesamemodel.TeamID) tally.Scope {
	return m.scope.Tagged(map[string]string{
		"team": string(team),
	})
}

// submissionAccepted records how long the entry took to accept a submission.
func (m *metrics) submissionAccepted(team sesamemodel.TeamID, d time.Duration) {
	m.teamScope(team).Histogram("submission_latency", latencyBuckets).RecordDuration(d)
}

// jobEnded records the time from a job's submission to its end, once for each
// long poll that saw the end.
func (m *metrics) jobEnded(job sesamemodel.Job) {
	if len(job.Events) == 0 {
		return
	}
	last := job.Events[len(job.Events)-1].Time
	m.teamScope(job.Spec.Team).Histogram("wait_to_end", completionBuckets).RecordDuration(last.Sub(job.Submitted))
}

// problemAnswered counts an error response by problem type.
func (m *metrics) problemAnswered(t ProblemType) {
	m.scope.Tagged(map[string]string{
		"type": strings.TrimPrefix(string(t), problemPrefix),
	}).Counter("problems").Inc(1)
}

// submissionRefused counts a refused submission by team and problem type.
func (m *metrics) submissionRefused(team sesamemodel.TeamID, t ProblemType) {
	m.scope.Tagged(map[string]string{
		"team": string(team),
		"type": strings.TrimPrefix(string(t), problemPrefix),
	}).Counter("refusals").Inc(1)
}

package sesameapi

import (
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// JobStatus is a job as callers see it; most fields are those of sesamemodel.Job
// and its Spec. Tasks is the number of tasks and Task the needs of each. Attempt
// counts the placements of the job, and Targets are those of the current one;
// Owed is true if it is within a guarantee of the team. Submitted, StartTime and
// EndTime are wall-clock times of entries.
type JobStatus struct {
	ID         sesamemodel.JobID      `json:"id"`
	Team       sesamemodel.TeamID     `json:"team"`
	Class      string                 `json:"class"`
	Kind       sesamemodel.Kind       `json:"kind"`
	Tasks      int                    `json:"tasks"`
	Task       sesamemodel.Resources  `json:"task"`
	Span       sesamemodel.Span       `json:"span,omitempty"`
	AtMostOnce bool                   `json:"once,omitempty"`
	Urgency    sesamemodel.Urgency    `json:"urgency"`
	State      sesamemodel.State      `json:"state"`
	Outcome    Outcome                `json:"outcome,omitempty"`
	Reason     string                 `json:"reason,omitempty"`
	Attempt    uint32                 `json:"attempt"`
	Owed       bool                   `json:"owed,omitempty"`
	Targets    []sesamemodel.TargetID `json:"targets,omitempty"`
	Submitted  time.Time              `json:"submitted"`
	StartTime  time.Time              `json:"opened,omitzero"`
	EndTime    time.Time              `json:"ended,omitzero"`
	Results    []ResultStatus         `json:"results,omitempty"`
	Events     []sesamemodel.Event    `json:"events,omitempty"`
}

// ResultStatus describes the output of one task.
type ResultStatus struct {
	Rank int `json:"rank"`
	// Length is in bytes.
	Length int64 `json:"length"`
	// Digest is the SHA-256 of the output, in hex.
	Digest string `json:"digest"`
}

// JobList is the response to a request for the team's open (not ended) jobs.
type JobList struct {
	Jobs []JobStatus `json:"jobs"`
}

// Explanation says why a job is in its state.
type Explanation struct {
	Job     sesamemodel.JobID   `json:"job"`
	State   sesamemodel.State   `json:"state"`
	Outcome Outcome             `json:"outcome,omitempty"`
	Reason  string              `json:"reason"`
	Events  []sesamemodel.Event `json:"events,omitempty"`
}

// statusOf returns the caller's view of a stored job.
func statusOf(job sesamemodel.Job) JobStatus {
	return JobStatus{
		ID:         job.ID,
		Team:       job.Spec.Team,
		Class:      job.Spec.Class,
		Kind:       job.Spec.Kind,
		Tasks:      job.Spec.Tasks,
		Task:       job.Spec.Task,
		Span:       job.Spec.Span,
		AtMostOnce: job.Spec.AtMostOnce,
		Urgency:    job.Urgency,
		State:      job.State,
		Outcome:    outcomeOf(job),
		Reason:     job.Reason,
		Attempt:    job.Attempt,
		Owed:       job.Owed,
		Targets:    targetsOf(job),
		Submitted:  job.Submitted,
		StartTime:  job.StartTime,
		EndTime:    endTime(job),
		Results:    resultsOf(job),
		Events:     job.Events,
	}
}

// targetsOf returns the targets (workers or executors) of the current attempt.
func targetsOf(job sesamemodel.Job) []sesamemodel.TargetID {
	var targets []sesamemodel.TargetID
	for _, a := range job.Assignments {
		targets = append(targets, a.Target)
	}
	return targets
}

// resultsOf returns the lengths and digests of the outputs, one for each task that
// has one.
func resultsOf(job sesamemodel.Job) []ResultStatus {
	var results []ResultStatus
	for _, r := range job.Results {
		results = append(results, ResultStatus{
			Rank:   r.Rank,
			Length: r.Length,
			Digest: r.Digest,
		})
	}
	return results
}

// endTime returns the time of the job's last event if it has ended, and
// otherwise the zero time.
func endTime(job sesamemodel.Job) time.Time {
	if !job.State.Ended() || len(job.Events) == 0 {
		return time.Time{}
	}
	return job.Events[len(job.Events)-1].Time
}

// outcomeOf says whether the work ran. It returns NotRun only for a state in
// which the job can no longer be started.
func outcomeOf(job sesamemodel.Job) Outcome {
	switch {
	case job.State == sesamemodel.Done:
		return Ran
	case job.State == sesamemodel.Unknown:
		return Unsure
	case job.NeverRan():
		return NotRun
	case job.State.Ended():
		return Started
	}
	return Pending
}

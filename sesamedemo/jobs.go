package sesamedemo

import (
	"encoding/json"
	"time"

	"github.com/sesamestack/sesamestack/sesameapi"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestandin"
)

// demoJob is a job to submit, with the state that it is expected to end in.
type demoJob struct {
	// name is the job's name in the output.
	name     string
	team     string
	request  sesameapi.JobRequest
	expected sesamemodel.State
	// cancel makes the team cancel the job right after its submission.
	cancel bool
}

// Size and duration of the jobs.
const (
	// workerAccelerators is the number of accelerators of each worker.
	workerAccelerators = 8

	// Durations of the tasks of surveys and of all other jobs.
	surveyRuntime = 2 * time.Second
	shortRuntime  = 500 * time.Millisecond
)

// payload returns a payload that keeps a simulated target busy for the given
// time.
func payload(run time.Duration) []byte {
	payload, err := json.Marshal(sesamestandin.Script{
		Work:       sesamestandin.Sum,
		Run:        run.String(),
		Output:     outputLength,
		Checkpoint: (stopGrace / 2).String(),
	})
	if err != nil {
		return nil // plain values always encode
	}
	return payload
}

// outputLength is the size of each task's output, in bytes.
const outputLength = 1000

// survey returns a batch job of the team crews on one whole worker. It writes
// checkpoints, so that it can be preempted and resumed.
func survey(name string) demoJob {
	return demoJob{
		name: name,
		team: "crews",
		request: sesameapi.JobRequest{
			Class: "survey",
			Kind:  sesamemodel.Worker,
			Tasks: 1,
			Task: sesamemodel.Resources{
				Accelerators: workerAccelerators,
			},
			Checkpoints: true,
			RunTime:     surveyRuntime.String(),
			Payload:     payload(surveyRuntime),
		},
		expected: sesamemodel.Done,
	}
}

// pricing returns an urgent job of the team buyers on one whole worker.
func pricing() demoJob {
	return demoJob{
		name: "pricing",
		team: "buyers",
		request: sesameapi.JobRequest{
			Class: "pricing",
			Kind:  sesamemodel.Worker,
			Tasks: 1,
			Task: sesamemodel.Resources{
				Accelerators: workerAccelerators,
			},
			RunTime: shortRuntime.String(),
			Payload: payload(shortRuntime),
		},
		expected: sesamemodel.Done,
	}
}

// gangEstimate returns a job of the team crews with two tasks that run at the
// same time on two workers of one rack.
func gangEstimate() demoJob {
	return demoJob{
		name: "estimate",
		team: "crews",
		request: sesameapi.JobRequest{
			Class: "estimate",
			Kind:  sesamemodel.Worker,
			Tasks: 2,
			Task: sesamemodel.Resources{
				Accelerators: workerAccelerators,
			},
			Span:    sesamemodel.SpanRack,
			RunTime: shortRuntime.String(),
			Payload: payload(shortRuntime),
		},
		expected: sesamemodel.Done,
	}
}

// reconciliation returns a job of the team bookkeepers that runs at most once,
// on an executor.
func reconciliation(name string) demoJob {
	return demoJob{
		name: name,
		team: "bookkeepers",
		request: sesameapi.JobRequest{
			Class: "reconciliation",
			Kind:  sesamemodel.Executor,
			Tasks: 1,
			Task: sesamemodel.Resources{
				Slots: 1,
			},
			AtMostOnce: true,
			Payload:    payload(shortRuntime),
		},
		expected: sesamemodel.Done,
	}
}

// tooLarge returns a job that needs more accelerators in one rack than any
// rack has, so that it is refused.
func tooLarge() demoJob {
	o := gangEstimate()
	o.name = "too-large"
	o.request.Tasks = 40
	o.expected = sesamemodel.Refused
	return o
}

// cancelledSurvey returns a survey that is cancelled right after its
// submission.
func cancelledSurvey() demoJob {
	o := survey("given-up")
	o.expected = sesamemodel.Cancelled
	o.cancel = true
	return o
}

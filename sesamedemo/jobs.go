package sesamedemo

import (
	"encoding/json"
	"time"

	"github.com/sesamestack/sesamestack/sesameapi"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestandin"
)

// demoJob is one job of the demo with the state that it should end in.
type demoJob struct {
	// name is what the demo calls the job.
	name     string
	team     string
	request  sesameapi.JobRequest
	expected sesamemodel.State
	// cancel makes the caller cancel the job once it has been accepted.
	cancel bool
}

const (
	workerAccelerators = 8

	surveyRuntime = 2 * time.Second
	shortRuntime  = 500 * time.Millisecond
)

// payload returns a payload that keeps a stand-in busy for a while.
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

// outputLength is what each task puts out, in bytes.
const outputLength = 1000

// survey is batch work of the crews on one whole worker, which can be stopped
// and continued.
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

// pricing is urgent work of the buyers on one whole worker.
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

// gangEstimate is an estimate on two neighbouring workers.
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

// reconciliation runs at most once on an executor.
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

// tooLarge needs more accelerators in one rack than any rack has.
func tooLarge() demoJob {
	o := gangEstimate()
	o.name = "too-large"
	o.request.Tasks = 40
	o.expected = sesamemodel.Refused
	return o
}

// cancelledSurvey is a survey that its caller gives up.
func cancelledSurvey() demoJob {
	o := survey("given-up")
	o.expected = sesamemodel.Cancelled
	o.cancel = true
	return o
}

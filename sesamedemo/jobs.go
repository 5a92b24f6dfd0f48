package sesamedemo

import (
	"encoding/json"
	"time"

	"github.com/sesamestack/sesamestack/sesameapi"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestandin"
)

// order is one job of the demo with the state that it should end in.
type order struct {
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

	surveyTime = 2 * time.Second
	shortTime  = 500 * time.Millisecond
)

// work returns a payload that keeps a stand-in busy for a while.
func work(run time.Duration) []byte {
	payload, err := json.Marshal(sesamestandin.Script{
		Work:       sesamestandin.Sum,
		Run:        run.String(),
		Output:     outputLength,
		Checkpoint: (grace / 2).String(),
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
func survey(name string) order {
	return order{
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
			Runtime:     surveyTime.String(),
			Payload:     work(surveyTime),
		},
		expected: sesamemodel.Done,
	}
}

// pricing is urgent work of the buyers on one whole worker.
func pricing() order {
	return order{
		name: "pricing",
		team: "buyers",
		request: sesameapi.JobRequest{
			Class: "pricing",
			Kind:  sesamemodel.Worker,
			Tasks: 1,
			Task: sesamemodel.Resources{
				Accelerators: workerAccelerators,
			},
			Runtime: shortTime.String(),
			Payload: work(shortTime),
		},
		expected: sesamemodel.Done,
	}
}

// gang is an estimate on two neighbouring workers.
func gang() order {
	return order{
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
			Runtime: shortTime.String(),
			Payload: work(shortTime),
		},
		expected: sesamemodel.Done,
	}
}

// reconciliation runs at most once on an executor.
func reconciliation(name string) order {
	return order{
		name: name,
		team: "bookkeepers",
		request: sesameapi.JobRequest{
			Class: "reconciliation",
			Kind:  sesamemodel.Executor,
			Tasks: 1,
			Task: sesamemodel.Resources{
				Slots: 1,
			},
			Once:    true,
			Payload: work(shortTime),
		},
		expected: sesamemodel.Done,
	}
}

// tooLarge needs more accelerators in one rack than any rack has.
func tooLarge() order {
	o := gang()
	o.name = "too-large"
	o.request.Tasks = 40
	o.expected = sesamemodel.Refused
	return o
}

// cancelled is a survey that its caller gives up.
func cancelled() order {
	o := survey("given-up")
	o.expected = sesamemodel.Cancelled
	o.cancel = true
	return o
}

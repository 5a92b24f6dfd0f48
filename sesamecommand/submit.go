package sesamecommand

import (
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/sesamestack/sesamestack/sesameapi"
	"github.com/sesamestack/sesamestack/sesamemodel"
)

// submitFlags are the flags of submit. request holds those that are sent as
// they were given; jobRequest completes it from the others.
type submitFlags struct {
	clientFlags
	// key is the idempotency key; empty generates one.
	key     string
	kind    string
	span    string
	runtime time.Duration
	payload string
	wait    bool
	request sesameapi.JobRequest
}

// newSubmit returns the command that submits a job and, with --wait, waits for
// its end.
func newSubmit(s streams) *cobra.Command {
	var f submitFlags
	c := &cobra.Command{
		Use:   "submit",
		Short: "Submit a job",
		Long: `Submits a job for the team that the token belongs to and prints its ID. The same
--key always names the same job, so repeat a submission whose answer was lost
with the same key. With --wait the command returns when the job has ended,
and exits with code 3 unless it is done.`,
		Example: `  # A gang of two workers with 8 accelerators each, within one rack.
  sesamestack submit --class estimate --tasks 2 --accelerators 8 --span rack --payload input.json
  # A reconciliation on an executor, never run twice.
  sesamestack submit --class reconciliation --kind executor --once --key 2026-11 --payload ledger.csv --wait`,
		Args: exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			return f.run(c, s)
		},
	}
	f.addTo(c)
	f.addRequestFlags(c)
	return c
}

// addRequestFlags defines the flags that describe the job.
func (f *submitFlags) addRequestFlags(c *cobra.Command) {
	flags := c.Flags()
	flags.StringVar(&f.key, "key", "", "idempotency key; empty generates one")
	flags.StringVar(&f.request.Class, "class", "", "class of the team's contract")
	flags.StringVar(&f.kind, "kind", string(sesamemodel.Worker), "kind of target: worker or executor")
	flags.IntVar(&f.request.Tasks, "tasks", 1, "number of tasks, started together or not at all")
	flags.IntVar(&f.request.Task.Cores, "cores", 0, "processor cores of each task")
	flags.IntVar(&f.request.Task.Memory, "memory", 0, "memory of each task, in MiB")
	flags.IntVar(&f.request.Task.Accelerators, "accelerators", 0, "accelerators of each task")
	flags.IntVar(&f.request.Task.Slots, "slots", 0, "slots of each task; 1 on an executor when not set")
	flags.StringVar(&f.span, "span", "", "what all tasks must share: worker, rack, zone or region")
	flags.BoolVar(&f.request.AtMostOnce, "once", false, "run the job at most once")
	flags.BoolVar(&f.request.Checkpoints, "checkpoints", false, "the job can be stopped and continued later")
	flags.DurationVar(&f.runtime, "runtime", 0, "expected run time; 0 means unknown")
	flags.StringVar(&f.payload, "payload", "", "file with the input of every task; - means the standard input")
	flags.BoolVar(&f.wait, "wait", false, "wait until the job has ended")
}

// run submits the job and prints its ID and state, or waits for its end if
// --wait was given.
func (f *submitFlags) run(c *cobra.Command, s streams) error {
	client, err := f.client(c)
	if err != nil {
		return err
	}
	request, err := f.jobRequest(c, s)
	if err != nil {
		return err
	}
	job, err := client.Submit(c.Context(), f.key, request)
	if err != nil {
		return err
	}
	if !f.wait {
		return f.print(s.out, job.JobStatus, textLine("%s %s", job.ID, job.State))
	}
	return waitFor(c.Context(), client, &f.clientFlags, s, job.ID)
}

// jobRequest returns the request that the flags describe, with the payload
// read. A task on an executor takes one slot unless --slots says otherwise.
func (f *submitFlags) jobRequest(c *cobra.Command, s streams) (sesameapi.JobRequest, error) {
	request := f.request
	request.Kind = sesamemodel.Kind(f.kind)
	request.Span = sesamemodel.Span(f.span)
	if request.Kind == sesamemodel.Executor && !c.Flags().Changed("slots") {
		request.Task.Slots = 1
	}
	if f.runtime > 0 {
		request.RunTime = f.runtime.String()
	}
	payload, err := f.readPayload(s.in)
	request.Payload = payload
	return request, err
}

// readPayload returns the content of the --payload file, of in for "-", or nil
// without a file.
func (f *submitFlags) readPayload(in io.Reader) ([]byte, error) {
	switch f.payload {
	case "":
		return nil, nil
	case "-":
		return io.ReadAll(in)
	}
	return os.ReadFile(f.payload)
}

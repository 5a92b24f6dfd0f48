package sesamedemo

import (
	"context"
	_ "embed" // for the contracts
	"fmt"
	"io"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesameapi"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamesettings"
)

// contracts are the teams' contracts as YAML documents.
//
//go:embed demo.yaml
var contracts []byte

// Size of the simulated platform.
const (
	// Number of targets of each kind.
	demoWorkers   = 4
	demoExecutors = 2
	// rackWorkers is how many workers share a rack.
	rackWorkers = 3

	// Capacity of each target: memory is in MiB, and a slot runs one task.
	workerCores   = 130
	workerMemory  = 500 << 10
	executorSlots = 8
)

// demo is one run of the demonstration.
type demo struct {
	system *system
	out    io.Writer
	// writeErr is the first error of a write to out.
	writeErr error
}

// Run runs the demonstration and writes a line to out for each step. It stops
// everything it started before it returns. The errors are those of the system,
// *UnexpectedStateError and *TimeoutError.
func Run(ctx context.Context, out io.Writer, log *sesamelog.Logger) error {
	group, serving := errgroup.WithContext(ctx)
	entries, stopEntries := context.WithCancel(serving)
	targets, stopTargets := context.WithCancel(serving)
	d := &demo{
		system: newSystem(group, log),
		out:    out,
	}
	began := d.system.clock.Now()
	group.Go(func() error {
		defer stopEntries()
		defer d.system.targets.Wait()
		defer stopTargets()
		return d.run(entries, targets)
	})
	if err := group.Wait(); err != nil {
		return err
	}
	d.printf("every job ended as it should, in %s", d.system.clock.Since(began).Round(time.Millisecond))
	return d.writeErr
}

// printf writes one line and keeps the first write error.
func (d *demo) printf(format string, args ...any) {
	_, err := fmt.Fprintf(d.out, format+"\n", args...)
	if d.writeErr == nil {
		d.writeErr = err
	}
}

// run starts the system, runs the jobs and checks their final states. The
// first context stops the entries, the second the targets. Targets are stopped
// before the entries, so that their agents can still report to an entry that
// they leave.
func (d *demo) run(ctx, targets context.Context) error {
	if err := d.startSystem(ctx, targets); err != nil {
		return err
	}
	if err := d.applyContracts(ctx); err != nil {
		return err
	}
	results, err := d.runJobs(ctx)
	if err != nil {
		return err
	}
	d.printf("")
	if err := writeTable(d.out, timesByTeam(results)); err != nil {
		return err
	}
	return checkStates(results)
}

// startSystem starts the entries and targets and waits until every target has
// registered with the entries and is ready.
func (d *demo) startSystem(ctx, targets context.Context) error {
	for _, id := range []string{"entry-1", "entry-2"} {
		if err := d.system.startEntry(ctx, id); err != nil {
			return err
		}
	}
	for _, p := range targetSpecs() {
		if err := d.system.startTarget(targets, p); err != nil {
			return err
		}
	}
	client := d.system.client(operatorToken)
	err := d.system.eventually(ctx, "the registration of all targets", func() (bool, error) {
		announced, err := client.Targets(ctx)
		return readyTargets(announced) == demoWorkers+demoExecutors, err
	})
	d.printf("2 entries, %d workers with %d accelerators each and %d executors have announced themselves", demoWorkers, workerAccelerators, demoExecutors)
	return err
}

// readyTargets counts the targets that are ready to run tasks.
func readyTargets(targets []sesameapi.TargetStatus) int {
	ready := 0
	for _, t := range targets {
		if t.Health == sesamemodel.Ready {
			ready++
		}
	}
	return ready
}

// targetSpecs returns the targets of the demonstration: workers in racks, and
// executors.
func targetSpecs() []targetSpec {
	var all []targetSpec
	for i := range demoWorkers {
		all = append(all, targetSpec{
			id:   fmt.Sprintf("worker-%d", i+1),
			kind: sesamemodel.Worker,
			rack: fmt.Sprintf("rack-%d", i/rackWorkers+1),
			capacity: sesamemodel.Resources{
				Cores:        workerCores,
				Memory:       workerMemory,
				Accelerators: workerAccelerators,
			},
		})
	}
	for i := range demoExecutors {
		all = append(all, targetSpec{
			id:   fmt.Sprintf("executor-%d", i+1),
			kind: sesamemodel.Executor,
			capacity: sesamemodel.Resources{
				Slots: executorSlots,
			},
		})
	}
	return all
}

// applyContracts submits the contracts and waits until every entry uses them.
func (d *demo) applyContracts(ctx context.Context) error {
	parsed, err := sesamesettings.ParseContracts("demo.yaml", contracts)
	if err != nil {
		return err
	}
	var request sesameapi.ChangeRequest
	for _, c := range parsed {
		request.Changes = append(request.Changes, sesameapi.ContractChange{
			Team:     c.Team,
			Contract: c,
		})
	}
	result, err := d.system.client(operatorToken).ApplyContracts(ctx, request)
	if err != nil {
		return err
	}
	for _, c := range parsed {
		d.printf("contract of %s: guarantees %v", c.Team, c.Guarantees)
	}
	err = d.system.eventually(ctx, "the use of the contracts by every entry", func() (bool, error) {
		return d.system.contractsInForce(ctx, result.Number)
	})
	d.printf("change %d is in force on every entry", result.Number)
	return err
}

// runJobs submits all jobs and returns their results. The surveys come first
// and occupy all workers, so that the urgent pricing job, which the guarantee
// of its team covers, has to preempt a survey.
func (d *demo) runJobs(ctx context.Context) ([]jobResult, error) {
	surveys := []demoJob{survey("survey-1"), survey("survey-2"), survey("survey-3"), survey("survey-4")}
	first, err := d.submit(ctx, surveys)
	if err != nil {
		return nil, err
	}
	if err := d.waitRunning(ctx, first); err != nil {
		return nil, err
	}
	d.printf("the surveys of crews run on all %d workers, %d of them borrowed", demoWorkers, demoWorkers-2)
	then, err := d.submit(ctx, []demoJob{
		pricing(),
		gangEstimate(),
		reconciliation("reconciliation-1"),
		reconciliation("reconciliation-2"),
		tooLarge(),
		cancelledSurvey(),
	})
	if err != nil {
		return nil, err
	}
	results, err := d.waitEnded(ctx, append(first, then...))
	for _, e := range results {
		d.printResult(e)
	}
	return results, err
}

// submit submits each job with the token of its team, and cancels those that
// are to be cancelled.
func (d *demo) submit(ctx context.Context, jobs []demoJob) ([]jobResult, error) {
	var submitted []jobResult
	for _, o := range jobs {
		client := d.system.client("example-" + o.team)
		job, err := client.Submit(ctx, o.name, o.request)
		if err != nil {
			return nil, err
		}
		d.printf("%s of %s is submitted", o.name, o.team)
		if o.cancel {
			if _, err := client.Cancel(ctx, job.ID); err != nil {
				return nil, err
			}
		}
		submitted = append(submitted, jobResult{
			spec:   o,
			status: job.JobStatus,
		})
	}
	return submitted, nil
}

// waitRunning waits until all the jobs are running.
func (d *demo) waitRunning(ctx context.Context, jobs []jobResult) error {
	return d.system.eventually(ctx, "the start of the surveys", func() (bool, error) {
		for _, e := range jobs {
			job, err := d.system.client("example-"+e.spec.team).Status(ctx, e.status.ID)
			if err != nil || job.State != sesamemodel.Running {
				return false, err
			}
		}
		return true, nil
	})
}

// waitEnded waits until all jobs have ended and returns them with their final
// status.
func (d *demo) waitEnded(ctx context.Context, jobs []jobResult) ([]jobResult, error) {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	var ended []jobResult
	for _, e := range jobs {
		job, err := d.system.client("example-"+e.spec.team).Wait(ctx, e.status.ID)
		if err != nil {
			return ended, err
		}
		e.status = job
		ended = append(ended, e)
	}
	return ended, nil
}

// printResult prints the final state of a job, and the reasons for which its
// attempts were stopped before.
func (d *demo) printResult(e jobResult) {
	for _, event := range e.status.Events {
		if event.State == sesamemodel.Stopping && !e.spec.cancel {
			d.printf("%s of %s was stopped: %s", e.spec.name, e.spec.team, event.Reason)
		}
	}
	reason := ""
	if e.status.Reason != "" {
		reason = ": " + e.status.Reason
	}
	d.printf("%s of %s is %s after attempt %d%s", e.spec.name, e.spec.team, e.status.State, e.status.Attempt, strings.TrimRight(reason, "."))
}

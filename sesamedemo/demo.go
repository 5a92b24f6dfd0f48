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

//go:embed demo.yaml
var contracts []byte

const (
	demoWorkers   = 4
	demoExecutors = 2
	// rackWorkers is how many workers share a rack.
	rackWorkers = 3

	workerCores   = 130
	workerMemory  = 500 << 10
	executorSlots = 8
)

// demo is one run.
type demo struct {
	system *system
	out    io.Writer
	// writeErr is the first failure to write to out.
	writeErr error
}

// Run shows the whole path and writes what happens to out. It stops all that
// it started before it returns.
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

// printf writes one line.
func (d *demo) printf(format string, args ...any) {
	_, err := fmt.Fprintf(d.out, format+"\n", args...)
	if d.writeErr == nil {
		d.writeErr = err
	}
}

// run shows everything; the contexts end the entries and the targets, which
// stop first, so that they can tell the entries.
func (d *demo) run(ctx, targets context.Context) error {
	if err := d.startSystem(ctx, targets); err != nil {
		return err
	}
	if err := d.applyContracts(ctx); err != nil {
		return err
	}
	endings, err := d.runJobs(ctx)
	if err != nil {
		return err
	}
	d.printf("")
	if err := writeTable(d.out, timesByTeam(endings)); err != nil {
		return err
	}
	return checkStates(endings)
}

// startSystem runs the entries and targets and waits until all are announced.
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
	err := d.system.eventually(ctx, "the announcement of all targets", func() (bool, error) {
		announced, err := client.Targets(ctx)
		return readyTargets(announced) == demoWorkers+demoExecutors, err
	})
	d.printf("2 entries, %d workers with %d accelerators each and %d executors have announced themselves", demoWorkers, workerAccelerators, demoExecutors)
	return err
}

func readyTargets(targets []sesameapi.TargetStatus) int {
	ready := 0
	for _, t := range targets {
		if t.Health == sesamemodel.Ready {
			ready++
		}
	}
	return ready
}

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

// applyContracts puts the contracts into force.
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
	err = d.system.eventually(ctx, "the contracts on every entry", func() (bool, error) {
		return d.system.contractsInForce(ctx, result.Number)
	})
	d.printf("change %d is in force on every entry", result.Number)
	return err
}

// runJobs runs all jobs and returns how they ended.
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
	endings, err := d.waitEnded(ctx, append(first, then...))
	for _, e := range endings {
		d.printResult(e)
	}
	return endings, err
}

// submit hands in the orders, each as its team.
func (d *demo) submit(ctx context.Context, jobs []demoJob) ([]jobResult, error) {
	var open []jobResult
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
		open = append(open, jobResult{
			spec:   o,
			status: job.JobStatus,
		})
	}
	return open, nil
}

// waitRunning waits until all jobs run.
func (d *demo) waitRunning(ctx context.Context, open []jobResult) error {
	return d.system.eventually(ctx, "the start of the surveys", func() (bool, error) {
		for _, e := range open {
			job, err := d.system.client("example-"+e.spec.team).Status(ctx, e.status.ID)
			if err != nil || job.State != sesamemodel.Running {
				return false, err
			}
		}
		return true, nil
	})
}

// waitEnded returns the jobs once all have ended.
func (d *demo) waitEnded(ctx context.Context, open []jobResult) ([]jobResult, error) {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	var ended []jobResult
	for _, e := range open {
		job, err := d.system.client("example-"+e.spec.team).Wait(ctx, e.status.ID)
		if err != nil {
			return ended, err
		}
		e.status = job
		ended = append(ended, e)
	}
	return ended, nil
}

// printResult says how a job ended, and why it was stopped on the way.
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

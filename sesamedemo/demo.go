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
	// failed is the first failure to write to out.
	failed error
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
	d.say("every job ended as it should, in %s", d.system.clock.Since(began).Round(time.Millisecond))
	return d.failed
}

// say writes one line.
func (d *demo) say(format string, args ...any) {
	_, err := fmt.Fprintf(d.out, format+"\n", args...)
	if d.failed == nil {
		d.failed = err
	}
}

// run shows everything; the contexts end the entries and the targets, which
// stop first, so that they can tell the entries.
func (d *demo) run(ctx, targets context.Context) error {
	if err := d.start(ctx, targets); err != nil {
		return err
	}
	if err := d.apply(ctx); err != nil {
		return err
	}
	endings, err := d.work(ctx)
	if err != nil {
		return err
	}
	d.say("")
	if err := writeTable(d.out, completions(endings)); err != nil {
		return err
	}
	return asExpected(endings)
}

// start runs the entries and targets and waits until all are announced.
func (d *demo) start(ctx, targets context.Context) error {
	for _, id := range []string{"entry-1", "entry-2"} {
		if err := d.system.startEntry(ctx, id); err != nil {
			return err
		}
	}
	for _, p := range places() {
		if err := d.system.startTarget(targets, p); err != nil {
			return err
		}
	}
	client := d.system.client(operatorToken)
	err := d.system.eventually(ctx, "the announcement of all targets", func() (bool, error) {
		announced, err := client.Targets(ctx)
		return readyTargets(announced) == demoWorkers+demoExecutors, err
	})
	d.say("2 entries, %d workers with %d accelerators each and %d executors have announced themselves", demoWorkers, workerAccelerators, demoExecutors)
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

func places() []place {
	var all []place
	for i := range demoWorkers {
		all = append(all, place{
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
		all = append(all, place{
			id:   fmt.Sprintf("executor-%d", i+1),
			kind: sesamemodel.Executor,
			capacity: sesamemodel.Resources{
				Slots: executorSlots,
			},
		})
	}
	return all
}

// apply puts the contracts into force.
func (d *demo) apply(ctx context.Context) error {
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
	result, err := d.system.client(operatorToken).Apply(ctx, request)
	if err != nil {
		return err
	}
	for _, c := range parsed {
		d.say("contract of %s: guarantees %v", c.Team, c.Guarantees)
	}
	err = d.system.eventually(ctx, "the contracts on every entry", func() (bool, error) {
		return d.system.inForce(ctx, result.Number)
	})
	d.say("change %d is in force on every entry", result.Number)
	return err
}

// work runs all jobs and returns how they ended.
func (d *demo) work(ctx context.Context) ([]ending, error) {
	surveys := []order{survey("survey-1"), survey("survey-2"), survey("survey-3"), survey("survey-4")}
	first, err := d.submit(ctx, surveys)
	if err != nil {
		return nil, err
	}
	if err := d.running(ctx, first); err != nil {
		return nil, err
	}
	d.say("the surveys of crews run on all %d workers, %d of them borrowed", demoWorkers, demoWorkers-2)
	then, err := d.submit(ctx, []order{
		pricing(),
		gang(),
		reconciliation("reconciliation-1"),
		reconciliation("reconciliation-2"),
		tooLarge(),
		cancelled(),
	})
	if err != nil {
		return nil, err
	}
	endings, err := d.wait(ctx, append(first, then...))
	for _, e := range endings {
		d.tell(e)
	}
	return endings, err
}

// submit hands in the orders, each as its team.
func (d *demo) submit(ctx context.Context, orders []order) ([]ending, error) {
	var open []ending
	for _, o := range orders {
		client := d.system.client("example-" + o.team)
		job, err := client.Submit(ctx, o.name, o.request)
		if err != nil {
			return nil, err
		}
		d.say("%s of %s is submitted", o.name, o.team)
		if o.cancel {
			if _, err := client.Cancel(ctx, job.ID); err != nil {
				return nil, err
			}
		}
		open = append(open, ending{
			order: o,
			job:   job.JobStatus,
		})
	}
	return open, nil
}

// running waits until all jobs run.
func (d *demo) running(ctx context.Context, open []ending) error {
	return d.system.eventually(ctx, "the start of the surveys", func() (bool, error) {
		for _, e := range open {
			job, err := d.system.client("example-"+e.order.team).Status(ctx, e.job.ID)
			if err != nil || job.State != sesamemodel.Running {
				return false, err
			}
		}
		return true, nil
	})
}

// wait returns the jobs once all have ended.
func (d *demo) wait(ctx context.Context, open []ending) ([]ending, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	var ended []ending
	for _, e := range open {
		job, err := d.system.client("example-"+e.order.team).Wait(ctx, e.job.ID)
		if err != nil {
			return ended, err
		}
		e.job = job
		ended = append(ended, e)
	}
	return ended, nil
}

// tell says how a job ended, and why it was stopped on the way.
func (d *demo) tell(e ending) {
	for _, event := range e.job.Events {
		if event.State == sesamemodel.Stopping && !e.order.cancel {
			d.say("%s of %s was stopped: %s", e.order.name, e.order.team, event.Reason)
		}
	}
	reason := ""
	if e.job.Reason != "" {
		reason = ": " + e.job.Reason
	}
	d.say("%s of %s is %s after attempt %d%s", e.order.name, e.order.team, e.job.State, e.job.Attempt, strings.TrimRight(reason, "."))
}

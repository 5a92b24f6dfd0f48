package sesamecommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/sesamestack/sesamestack/sesameapi"
	"github.com/sesamestack/sesamestack/sesamemodel"
)

// NotDoneError reports a job that ended in a state other than done.
type NotDoneError struct {
	Job    sesamemodel.JobID
	State  sesamemodel.State
	Reason string
}

// Error names the job, its state and the reason.
func (e *NotDoneError) Error() string {
	return fmt.Sprintf("job %q ended as %s: %s", e.Job, e.State, dashIfEmpty(e.Reason))
}

// ExitCode returns ExitNotDone.
func (e *NotDoneError) ExitCode() int {
	return ExitNotDone
}

// waitFor waits until the job has ended and prints it. The error is a
// *NotDoneError if it ended in a state other than done.
func waitFor(ctx context.Context, client *sesameapi.Client, f *clientFlags, s streams, id sesamemodel.JobID) error {
	job, err := client.Wait(ctx, id)
	if err != nil {
		return err
	}
	if err := f.print(s.out, job, jobText(job)); err != nil {
		return err
	}
	if job.State == sesamemodel.Done {
		return nil
	}
	return &NotDoneError{
		Job:    job.ID,
		State:  job.State,
		Reason: job.Reason,
	}
}

// jobText writes one job with its results and its changes of state, one value
// a line.
func jobText(j sesameapi.JobStatus) func(io.Writer) error {
	return func(w io.Writer) error {
		rows := [][]string{
			{"job", string(j.ID)},
			{"team", string(j.Team)},
			{"class", fmt.Sprintf("%s (%s)", j.Class, j.Urgency)},
			{"state", string(j.State)},
			{"reason", dashIfEmpty(j.Reason)},
			{"attempt", strconv.FormatUint(uint64(j.Attempt), 10)},
			{"targets", dashIfEmpty(targetNames(j.Targets))},
		}
		if j.Outcome != "" {
			rows = append(rows, []string{"outcome", string(j.Outcome)})
		}
		for _, r := range j.Results {
			result := fmt.Sprintf("rank %d, %d bytes, sha256 %s", r.Rank, r.Length, r.Digest)
			rows = append(rows, []string{"result", result})
		}
		for _, e := range j.Events {
			eventText := fmt.Sprintf("%s %s %s", e.Time.Format(time.RFC3339Nano), e.State, e.Reason)
			rows = append(rows, []string{"event", strings.TrimSpace(eventText)})
		}
		return writeTable(w, rows)
	}
}

// targetNames returns the IDs of the targets, separated by commas.
func targetNames(targets []sesamemodel.TargetID) string {
	names := make([]string, 0, len(targets))
	for _, t := range targets {
		names = append(names, string(t))
	}
	return strings.Join(names, ", ")
}

// jobAction calls an entry about one job and prints the answer.
type jobAction func(ctx context.Context, client *sesameapi.Client, f *clientFlags, id sesamemodel.JobID) error

// newJobCommand completes c as a client command with one argument, a job's ID,
// that calls act.
func newJobCommand(c *cobra.Command, act jobAction) *cobra.Command {
	var f clientFlags
	c.Args = exactly(1)
	c.RunE = func(c *cobra.Command, args []string) error {
		client, err := f.client(c)
		if err != nil {
			return err
		}
		return act(c.Context(), client, &f, sesamemodel.JobID(args[0]))
	}
	f.addTo(c)
	return c
}

// newWait returns the command that waits until a job has ended.
func newWait(s streams) *cobra.Command {
	return newJobCommand(&cobra.Command{
		Use:     "wait JOB",
		Short:   "Wait until a job has ended",
		Long:    "Waits until the job has ended and prints it. Exits with code 3 unless the job is done.",
		Example: `  sesamestack wait "$job"`,
	}, func(ctx context.Context, client *sesameapi.Client, f *clientFlags, id sesamemodel.JobID) error {
		return waitFor(ctx, client, f, s, id)
	})
}

// newCancel returns the command that cancels a job.
func newCancel(s streams) *cobra.Command {
	return newJobCommand(&cobra.Command{
		Use:   "cancel JOB",
		Short: "Cancel a job",
		Long: `Cancels a job and prints its state: cancelled if it will never run, stopping
while its tasks are being stopped. The outcome "not-run" is printed only if no
part of it ran.`,
		Example: `  sesamestack cancel "$job"`,
	}, func(ctx context.Context, client *sesameapi.Client, f *clientFlags, id sesamemodel.JobID) error {
		job, err := client.Cancel(ctx, id)
		if err != nil {
			return err
		}
		return f.print(s.out, job, textLine("%s %s %s", job.ID, job.State, job.Outcome))
	})
}

// newExplain returns the command that says why a job waits or how it ended.
func newExplain(s streams) *cobra.Command {
	return newJobCommand(&cobra.Command{
		Use:     "explain JOB",
		Short:   "Say why a job waits or how it ended",
		Long:    "Says in a sentence why a job waits or how it ended.",
		Example: `  sesamestack explain "$job"`,
	}, func(ctx context.Context, client *sesameapi.Client, f *clientFlags, id sesamemodel.JobID) error {
		e, err := client.Explain(ctx, id)
		if err != nil {
			return err
		}
		return f.print(s.out, e, textLine("%s: %s", e.State, e.Reason))
	})
}

// newStatus returns the command that shows one job, or lists the team's open
// jobs.
func newStatus(s streams) *cobra.Command {
	var f clientFlags
	c := &cobra.Command{
		Use:   "status [JOB]",
		Short: "Show a job, or all open jobs of the team",
		Long:  "Shows one job with its results and history, or all open jobs of the token's team.",
		Example: `  sesamestack status
  sesamestack status "$job"`,
		Args: atMostOne,
		RunE: func(c *cobra.Command, args []string) error {
			client, err := f.client(c)
			if err != nil {
				return err
			}
			if len(args) == 0 {
				return listJobs(c.Context(), client, &f, s)
			}
			job, err := client.Status(c.Context(), sesamemodel.JobID(args[0]))
			if err != nil {
				return err
			}
			return f.print(s.out, job, jobText(job))
		},
	}
	f.addTo(c)
	return c
}

// listJobs prints the open jobs of the token's team as a table.
func listJobs(ctx context.Context, client *sesameapi.Client, f *clientFlags, s streams) error {
	jobs, err := client.Jobs(ctx)
	if err != nil {
		return err
	}
	return f.print(s.out, jobs, func(w io.Writer) error {
		rows := [][]string{{"JOB", "CLASS", "STATE", "ATTEMPT", "TARGETS", "REASON"}}
		for _, j := range jobs {
			attempt := strconv.FormatUint(uint64(j.Attempt), 10)
			rows = append(rows, []string{string(j.ID), j.Class, string(j.State), attempt, dashIfEmpty(targetNames(j.Targets)), dashIfEmpty(j.Reason)})
		}
		return writeTable(w, rows)
	})
}

// newResult returns the command that downloads the output of one task.
func newResult(s streams) *cobra.Command {
	var (
		f    clientFlags
		rank int
		file string
	)
	c := &cobra.Command{
		Use:   "result JOB",
		Short: "Fetch the output of one task",
		Long: `Writes the output of one task of a job that is done. The length and the SHA-256
of the received data are checked; if they differ, the command fails and removes
the file.`,
		Example: `  sesamestack result "$job" --out estimate.json
  sesamestack result "$job" --rank 1 | sha256sum`,
		Args: exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			client, err := f.client(c)
			if err != nil {
				return err
			}
			body, err := client.Result(c.Context(), sesamemodel.JobID(args[0]), rank)
			if err != nil {
				return err
			}
			return errors.CombineErrors(writeResult(s.out, file, body), body.Close())
		},
	}
	f.addTo(c)
	c.Flags().IntVar(&rank, "rank", 0, "rank of the task, from 0")
	c.Flags().StringVar(&file, "out", "", "file to write; empty means the standard output")
	return c
}

// writeResult copies the body to the file, or to out if file is empty. A file
// that could not be written whole is removed.
func writeResult(out io.Writer, file string, body io.Reader) error {
	if file == "" {
		_, err := io.Copy(out, body)
		return err
	}
	created, err := os.Create(file)
	if err != nil {
		return err
	}
	_, err = io.Copy(created, body)
	err = errors.CombineErrors(err, created.Close())
	if err != nil {
		return errors.CombineErrors(err, os.Remove(file))
	}
	return nil
}

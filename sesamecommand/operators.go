package sesamecommand

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/sesamestack/sesamestack/sesameapi"
	"github.com/sesamestack/sesamestack/sesamemodel"
)

// newResolve returns the command by which an operator decides the outcome of a
// job in state unknown: a job that must run at most once and whose target was
// lost.
func newResolve(s streams) *cobra.Command {
	var (
		request sesameapi.ResolveRequest
		state   string
	)
	c := newJobCommand(&cobra.Command{
		Use:   "resolve JOB",
		Short: "Decide the outcome of a job in state unknown",
		Long: `Records the outcome that an operator found for a job in state unknown: done, or
failed with or without having run. The operator's name, the time and the note are
stored with the job. The job is never run again.`,
		Example: `  sesamestack resolve "$job" --state done --ran --note "the bank shows one payment"
  sesamestack resolve "$job" --state failed --note "the bank shows no payment"`,
	}, func(ctx context.Context, client *sesameapi.Client, f *clientFlags, id sesamemodel.JobID) error {
		request.State = sesamemodel.State(state)
		job, err := client.Resolve(ctx, id, request)
		if err != nil {
			return err
		}
		return f.print(s.out, job, textLine("%s %s: %s", job.ID, job.State, job.Reason))
	})
	c.Flags().StringVar(&state, "state", "", "done or failed")
	c.Flags().BoolVar(&request.Ran, "ran", false, "the job ran, wholly or in part")
	c.Flags().StringVar(&request.Note, "note", "", "what the operator's decision is based on")
	return c
}

// newTargets returns the command that lists the targets.
func newTargets(s streams) *cobra.Command {
	var f clientFlags
	c := &cobra.Command{
		Use:     "targets",
		Short:   "Show all targets",
		Long:    "Shows every target of the region with its place, health, capacity and allocation.",
		Example: `  sesamestack targets`,
		Args:    exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := f.client(c)
			if err != nil {
				return err
			}
			targets, err := client.Targets(c.Context())
			if err != nil {
				return err
			}
			return f.print(s.out, targets, targetsText(targets))
		},
	}
	f.addTo(c)
	return c
}

// targetsText writes the targets as a table.
func targetsText(targets []sesameapi.TargetStatus) func(io.Writer) error {
	return func(w io.Writer) error {
		rows := [][]string{{"TARGET", "KIND", "ZONE", "RACK", "HEALTH", "ACCELERATORS", "SLOTS", "CORES", "KEEPER"}}
		for _, t := range targets {
			rows = append(rows, []string{
				string(t.ID),
				string(t.Kind),
				t.Zone,
				dashIfEmpty(t.Rack),
				string(t.Health),
				usedOfCapacity(t.Allocated.Accelerators, t.Capacity.Accelerators),
				usedOfCapacity(t.Allocated.Slots, t.Capacity.Slots),
				usedOfCapacity(t.Allocated.Cores, t.Capacity.Cores),
				t.Keeper,
			})
		}
		return writeTable(w, rows)
	}
}

// usedOfCapacity returns "used/capacity", or "-" for a target that has none of
// the resource.
func usedOfCapacity(used, capacity int) string {
	if capacity == 0 {
		return "-"
	}
	return fmt.Sprintf("%d/%d", used, capacity)
}

// newRelease returns the command that ends a target's quarantine.
func newRelease(s streams) *cobra.Command {
	var f clientFlags
	c := &cobra.Command{
		Use:     "release TARGET",
		Short:   "End a target's quarantine",
		Long:    "Ends a target's quarantine, so that work is placed on it again.",
		Example: `  sesamestack release worker-03`,
		Args:    exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			client, err := f.client(c)
			if err != nil {
				return err
			}
			target, err := client.EndQuarantine(c.Context(), sesamemodel.TargetID(args[0]))
			if err != nil {
				return err
			}
			return f.print(s.out, target, textLine("%s %s", target.ID, target.Health))
		},
	}
	f.addTo(c)
	return c
}

// newHistory returns the command that lists the accepted changes of contracts.
func newHistory(s streams) *cobra.Command {
	var (
		f     clientFlags
		since uint64
	)
	c := &cobra.Command{
		Use:     "history",
		Short:   "Show the accepted changes of contracts",
		Long:    "Shows the accepted changes of contracts with their numbers, oldest first.",
		Example: `  sesamestack history --since 12`,
		Args:    exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := f.client(c)
			if err != nil {
				return err
			}
			changes, err := client.ContractHistory(c.Context(), since)
			if err != nil {
				return err
			}
			return f.print(s.out, changes, historyText(changes))
		},
	}
	f.addTo(c)
	c.Flags().Uint64Var(&since, "since", 0, "show only changes after this number")
	return c
}

// historyText writes changes of contracts as a table.
func historyText(changes []sesamemodel.Change) func(io.Writer) error {
	return func(w io.Writer) error {
		rows := [][]string{{"NUMBER", "TIME", "OPERATOR", "TEAM", "CHANGE"}}
		for _, ch := range changes {
			changeKind := "set"
			if ch.Removed {
				changeKind = "removed"
			}
			rows = append(rows, []string{
				strconv.FormatUint(ch.Number, 10),
				ch.Time.UTC().Format("2006-01-02T15:04:05Z"),
				ch.Operator,
				string(ch.Team),
				changeKind,
			})
		}
		return writeTable(w, rows)
	}
}

package sesamecommand

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/sesamestack/sesamestack/sesameapi"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamesettings"
)

// changeFlags are the flags of apply, diff and rollback. base is the number of
// the change that must be the newest (optimistic concurrency); 0 means the one
// in force when the command starts.
type changeFlags struct {
	clientFlags
	path   string
	base   uint64
	prune  bool
	dryRun bool
}

// addFileFlags defines the flags of the commands that read contract files.
func (f *changeFlags) addFileFlags(c *cobra.Command) {
	f.addTo(c)
	c.Flags().StringVarP(&f.path, "file", "f", "", "contract file, or directory of contract files (required)")
	c.Flags().BoolVar(&f.prune, "prune", false, "remove the contracts of teams that the files do not name")
}

// addBaseFlags defines --base and --dry-run, for the commands that make a
// change.
func (f *changeFlags) addBaseFlags(c *cobra.Command) {
	c.Flags().Uint64Var(&f.base, "base", 0, "fail unless this change is the newest; 0 means the one in force")
	c.Flags().BoolVar(&f.dryRun, "dry-run", false, "check and show the change without making it")
}

// newApply returns the command that puts contracts into force.
func newApply(s streams) *cobra.Command {
	var f changeFlags
	c := &cobra.Command{
		Use:   "apply -f PATH",
		Short: "Put contracts into force",
		Long: `Puts the contracts of a file or directory into force, all of them or none, and
shows what changed. Contracts that are already in force stay unchanged, so the
command may be repeated. If another operator changed contracts in the meantime,
it fails and shows their changes.`,
		Example: `  sesamestack apply -f examples/corchera --dry-run
  sesamestack apply -f examples/corchera`,
		Args: exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			return f.change(c, s)
		},
	}
	f.addFileFlags(c)
	f.addBaseFlags(c)
	return c
}

// newDiff returns the command that shows what apply would change: apply with a
// dry run and without a base.
func newDiff(s streams) *cobra.Command {
	f := changeFlags{
		dryRun: true,
	}
	c := &cobra.Command{
		Use:     "diff -f PATH",
		Short:   "Show what apply would change",
		Long:    "Shows what apply would change, and fails where it would fail.",
		Example: `  sesamestack diff -f examples/corchera`,
		Args:    exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			return f.change(c, s)
		},
	}
	f.addFileFlags(c)
	return c
}

// change sends the contracts of the files as one change, based on the contracts
// in force, and prints the result.
func (f *changeFlags) change(c *cobra.Command, s streams) error {
	if f.path == "" {
		return &UsageError{
			Command: c.CommandPath(),
			Problem: "--file is missing",
		}
	}
	contracts, err := sesamesettings.LoadContracts(f.path)
	if err != nil {
		return err
	}
	client, err := f.client(c)
	if err != nil {
		return err
	}
	inForce, err := client.Contracts(c.Context())
	if err != nil {
		return err
	}
	request := sesameapi.ChangeRequest{
		Base:    f.baseOrCurrent(inForce.Number),
		Changes: buildChanges(contracts, inForce.Contracts, f.prune),
	}
	send := client.ApplyContracts
	if f.dryRun {
		send = client.DiffContracts
	}
	result, err := send(c.Context(), request)
	return f.report(s, inForce.Number, result, err)
}

// baseOrCurrent returns the number in --base, or that of the change in force.
func (f *changeFlags) baseOrCurrent(inForce uint64) uint64 {
	if f.base > 0 {
		return f.base
	}
	return inForce
}

// buildChanges returns the changes that put the contracts into force. With
// prune, teams that are in force but not among the contracts are removed.
func buildChanges(contracts, inForce []sesamemodel.Contract, prune bool) []sesameapi.ContractChange {
	var changes []sesameapi.ContractChange
	named := map[sesamemodel.TeamID]bool{}
	for _, c := range contracts {
		named[c.Team] = true
		changes = append(changes, sesameapi.ContractChange{
			Team:     c.Team,
			Contract: c,
		})
	}
	for _, c := range inForce {
		if prune && !named[c.Team] {
			changes = append(changes, sesameapi.ContractChange{
				Team:    c.Team,
				Removed: true,
			})
		}
	}
	return changes
}

// newRollback returns the command that puts earlier contracts into force again.
func newRollback(s streams) *cobra.Command {
	var (
		f    changeFlags
		to   uint64
		team string
	)
	c := &cobra.Command{
		Use:   "rollback --to NUMBER",
		Short: "Return to earlier contracts, as a new change",
		Long: `Puts the contracts as they were after an earlier change into force again. This
is a change with a new number; all earlier changes stay in the history.`,
		Example: `  sesamestack rollback --to 12 --dry-run
  sesamestack rollback --to 12 --team crews`,
		Args: exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			return f.rollback(c, s, to, sesamemodel.TeamID(team))
		},
	}
	f.addTo(c)
	f.addBaseFlags(c)
	c.Flags().Uint64Var(&to, "to", 0, "number of the change to return to; 0 is before the first")
	c.Flags().StringVar(&team, "team", "", "roll back this team only")
	return c
}

// rollback asks for the return to the change with the number to, for one team
// or for all if team is empty, and prints the result.
func (f *changeFlags) rollback(c *cobra.Command, s streams, to uint64, team sesamemodel.TeamID) error {
	if !c.Flags().Changed("to") {
		return &UsageError{
			Command: c.CommandPath(),
			Problem: "--to is missing",
		}
	}
	client, err := f.client(c)
	if err != nil {
		return err
	}
	inForce, err := client.Contracts(c.Context())
	if err != nil {
		return err
	}
	result, err := client.RollbackContracts(c.Context(), sesameapi.RollbackRequest{
		Base: f.baseOrCurrent(inForce.Number),
		To:   to,
		Team: team,
	}, f.dryRun)
	return f.report(s, inForce.Number, result, err)
}

// report prints the result of a change, or on a conflict the changes that
// other operators made since the base.
func (f *changeFlags) report(s streams, inForce uint64, result sesameapi.ChangeResult, err error) error {
	var problem *sesameapi.ProblemError
	if errors.As(err, &problem) && len(problem.Problem.Changes) > 0 {
		return errors.CombineErrors(err, historyText(problem.Problem.Changes)(s.out))
	}
	if err != nil {
		return err
	}
	return f.print(s.out, result, func(w io.Writer) error {
		return writeChange(w, inForce, result, f.dryRun)
	})
}

// writeChange writes the differences and one line on what became of the change.
// A result with an older number than inForce and without differences is a
// repeated change, accepted before.
func writeChange(w io.Writer, inForce uint64, result sesameapi.ChangeResult, dryRun bool) error {
	var text strings.Builder
	for _, d := range result.Differences {
		text.WriteString(differenceText(d))
	}
	switch {
	case len(result.Differences) == 0 && result.Number < inForce:
		fmt.Fprintf(&text, "accepted before as change %d; change %d is in force\n", result.Number, inForce)
	case len(result.Differences) == 0:
		fmt.Fprintf(&text, "nothing changes; change %d is in force\n", result.Number)
	case dryRun:
		text.WriteString("dry run: nothing was changed\n")
	default:
		fmt.Fprintf(&text, "accepted as change %d\n", result.Number)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

// differenceText returns the fields of a contract that differ, one a line for
// the value before (-) and after (+).
func differenceText(d sesameapi.Difference) string {
	if d.After == nil {
		return fmt.Sprintf("%s: removed\n", d.Team)
	}
	var before []contractField
	verb := "changed"
	if d.Before == nil {
		verb = "added"
	} else {
		before = contractFields(*d.Before)
	}
	text := fmt.Sprintf("%s: %s\n", d.Team, verb)
	for i, v := range contractFields(*d.After) {
		switch {
		case before == nil:
			text += fmt.Sprintf("  + %s: %s\n", v.key, v.text)
		case before[i] != v:
			text += fmt.Sprintf("  - %s: %s\n  + %s: %s\n", v.key, before[i].text, v.key, v.text)
		}
	}
	return text
}

// contractField is one field of a contract: its key in contract files and its
// value as text.
type contractField struct {
	key  string
	text string
}

// contractFields returns all fields of a contract, always in the same order:
// differenceText and showContracts use their indexes.
func contractFields(c sesamemodel.Contract) []contractField {
	shapes := make([]string, 0, len(c.Guarantees))
	for _, s := range c.Guarantees {
		shapes = append(shapes, s.String())
	}
	classes := make([]string, 0, len(c.Classes))
	for _, cl := range c.Classes {
		classes = append(classes, classText(cl))
	}
	return []contractField{
		{key: "weight", text: strconv.Itoa(c.Weight)},
		{key: "guarantees", text: dashIfEmpty(strings.Join(shapes, ", "))},
		{key: "classes", text: strings.Join(classes, ", ")},
		{key: "limits.open", text: strconv.Itoa(c.Limits.OpenJobs)},
		{key: "limits.rate", text: strconv.FormatFloat(c.Limits.Rate, 'g', -1, 64)},
		{key: "limits.burst", text: strconv.Itoa(c.Limits.Burst)},
		{key: "limits.retries", text: strconv.Itoa(c.Limits.RetriesPerHour)},
		{key: "limits.borrow", text: strconv.Itoa(c.Limits.Borrow)},
		{key: "tokens", text: tokenDigestsText(c.TokenDigests)},
	}
}

// classText returns a class's name, its urgency, and "once" if its jobs run at
// most once.
func classText(c sesamemodel.Class) string {
	if c.AtMostOnce {
		return fmt.Sprintf("%s (%s, once)", c.Name, c.Urgency)
	}
	return fmt.Sprintf("%s (%s)", c.Name, c.Urgency)
}

// digestPrefixLength is how many hex digits of a digest are shown.
const digestPrefixLength = 12

// tokenDigestsText returns the first digits of each digest, separated by commas.
func tokenDigestsText(tokens []string) string {
	short := make([]string, 0, len(tokens))
	for _, t := range tokens {
		short = append(short, t[:min(len(t), digestPrefixLength)]+"…")
	}
	return strings.Join(short, ", ")
}

// newContracts returns the command that lists the contracts in force.
func newContracts(s streams) *cobra.Command {
	var f clientFlags
	c := &cobra.Command{
		Use:     "contracts",
		Short:   "Show the contracts in force",
		Long:    "Shows the contracts in force and the number of the newest accepted change.",
		Example: `  sesamestack contracts`,
		Args:    exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			return showContracts(c.Context(), c, &f, s)
		},
	}
	f.addTo(c)
	return c
}

// showContracts prints the contracts in force as a table, followed by the
// number of the newest change.
func showContracts(ctx context.Context, c *cobra.Command, f *clientFlags, s streams) error {
	client, err := f.client(c)
	if err != nil {
		return err
	}
	list, err := client.Contracts(ctx)
	if err != nil {
		return err
	}
	return f.print(s.out, list, func(w io.Writer) error {
		rows := [][]string{{"TEAM", "CHANGE", "WEIGHT", "GUARANTEES", "CLASSES", "OPEN", "BORROW"}}
		for _, k := range list.Contracts {
			v := contractFields(k)
			number := strconv.FormatUint(k.Number, 10)
			rows = append(rows, []string{string(k.Team), number, v[0].text, v[1].text, v[2].text, v[3].text, v[7].text})
		}
		if err := writeTable(w, rows); err != nil {
			return err
		}
		_, err := fmt.Fprintf(w, "change %d is in force\n", list.Number)
		return err
	})
}

package sesameapi

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesamecontract"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestore"
	"github.com/sesamestack/sesamestack/sesametable"
)

// acceptance is one operator's request to change contracts.
type acceptance struct {
	handler  *Handler
	operator string
	request  ChangeRequest
	dryRun   bool
}

// try reads the contracts, and records the changes if they start from the
// newest number. A conflict of the cells' rows is a
// *sesametable.ConflictError; the caller tries again.
func (a *acceptance) try(ctx context.Context) (ChangeResult, error) {
	store := a.handler.options.Store
	set, err := sesamecontract.Load(ctx, store)
	if err != nil {
		return ChangeResult{}, err
	}
	if set.Number() != a.request.Base {
		return a.moved(ctx, set)
	}
	changes := a.effective(set)
	result := ChangeResult{
		Number:      set.Number(),
		Differences: differences(set, changes),
	}
	if len(changes) == 0 {
		return result, nil
	}
	cells, err := a.admitted(ctx, set, changes)
	if err != nil || a.dryRun {
		return result, err
	}
	number, err := store.AcceptChanges(ctx, a.request.Base, changes, cells)
	if err != nil {
		return a.undecided(ctx, set, result, err)
	}
	result.Number = number
	result.Accepted = true
	return result, nil
}

// undecided looks for the own change after a failed write: it may have been
// recorded though the answer was lost, or another change came first.
func (a *acceptance) undecided(ctx context.Context, set *sesamecontract.Set, result ChangeResult, failure error) (ChangeResult, error) {
	var unavailable *sesametable.UnavailableError
	if errors.As(failure, &unavailable) {
		return result, failure
	}
	since, err := a.handler.options.Store.ChangesPage(ctx, a.request.Base, 0)
	if err != nil {
		return result, failure
	}
	if number, ok := a.recorded(set, since); ok {
		result.Number = number
		result.Accepted = true
		return result, nil
	}
	var stale *sesamestore.StaleNumberError
	if errors.As(failure, &stale) || len(since) > 0 {
		return ChangeResult{}, a.conflict(since, set.Number())
	}
	return result, failure
}

// moved answers a request whose base is no longer the newest number: it was
// recorded before, is in force already, or conflicts with other changes.
func (a *acceptance) moved(ctx context.Context, set *sesamecontract.Set) (ChangeResult, error) {
	if a.request.Base > set.Number() {
		return ChangeResult{}, invalid([]Fault{
			{
				Field:  "base",
				Detail: fmt.Sprintf("is %d, the newest change is %d", a.request.Base, set.Number()),
			},
		})
	}
	since, err := a.handler.options.Store.ChangesPage(ctx, a.request.Base, 0)
	if err != nil {
		return ChangeResult{}, err
	}
	if number, ok := a.recorded(set, since); ok {
		return ChangeResult{
			Number:      number,
			Accepted:    true,
			Differences: []Difference{},
		}, nil
	}
	if len(a.effective(set)) == 0 {
		return ChangeResult{
			Number:      set.Number(),
			Differences: []Difference{},
		}, nil
	}
	return ChangeResult{}, a.conflict(since, set.Number())
}

// conflict shows the first page of what was accepted since the base, and the
// newest number known.
func (a *acceptance) conflict(since []sesamemodel.Change, number uint64) error {
	if len(since) > 0 {
		number = max(number, since[len(since)-1].Number)
	}
	problem := newProblem(ContractsChanged, fmt.Sprintf("change %d was accepted, expected %d", number, a.request.Base))
	problem.Problem.Changes = since
	problem.Problem.Number = number
	return problem
}

// recorded reports whether the log has the request's changes directly after
// its base, under the operator's name, and their last number. Changes that are
// not in the log must be in force, as they are when they altered nothing.
func (a *acceptance) recorded(set *sesamecontract.Set, since []sesamemodel.Change) (uint64, bool) {
	var last uint64
	for _, c := range a.request.Changes {
		if len(since) > 0 && a.made(since[0], c) {
			last = since[0].Number
			since = since[1:]
			continue
		}
		if alters(set, c) {
			return 0, false
		}
	}
	return last, last > 0
}

// made reports whether the change of the log is the operator's own.
func (a *acceptance) made(found sesamemodel.Change, c ContractChange) bool {
	if found.Operator != a.operator || found.Team != c.Team || found.Removed != c.Removed {
		return false
	}
	return c.Removed || sameContract(found.Contract, c.Contract)
}

// alters reports whether the set would differ after the change.
func alters(set *sesamecontract.Set, c ContractChange) bool {
	held, ok := set.Team(c.Team)
	if c.Removed {
		return ok
	}
	return !ok || !sameContract(held, c.Contract)
}

// effective returns the changes that alter something.
func (a *acceptance) effective(set *sesamecontract.Set) []sesamemodel.Change {
	var changes []sesamemodel.Change
	now := a.handler.options.Clock.Now()
	for _, c := range a.request.Changes {
		if !alters(set, c) {
			continue
		}
		change := sesamemodel.Change{
			Team:     c.Team,
			Operator: a.operator,
			Time:     now,
			Removed:  c.Removed,
		}
		if !c.Removed {
			change.Contract = c.Contract
		}
		changes = append(changes, change)
	}
	return changes
}

// admitted returns the cells whose guarantees the changes alter.
func (a *acceptance) admitted(ctx context.Context, set *sesamecontract.Set, changes []sesamemodel.Change) ([]sesamestore.Versioned[sesamemodel.Cell], error) {
	contracts, err := after(set, changes)
	if err != nil {
		return nil, err
	}
	cells, err := a.handler.options.Store.Cells(ctx, a.handler.options.Region)
	if err != nil {
		return nil, err
	}
	values := make([]sesamemodel.Cell, 0, len(cells))
	byID := make(map[sesamemodel.CellID]sesamestore.Versioned[sesamemodel.Cell], len(cells))
	for _, cell := range cells {
		values = append(values, cell.Value)
		byID[cell.Value.ID] = cell
	}
	changed, err := a.handler.backend.Admit(contracts, values)
	if err != nil {
		return nil, newProblem(NoRoom, err.Error())
	}
	var altered []sesamestore.Versioned[sesamemodel.Cell]
	for _, cell := range changed {
		altered = append(altered, byID[cell.ID].With(cell))
	}
	return altered, nil
}

// after returns the contracts once the changes are in force. Two teams with
// the same access token are refused.
func after(set *sesamecontract.Set, changes []sesamemodel.Change) ([]sesamemodel.Contract, error) {
	number := set.Number()
	numbered := make([]sesamemodel.Change, 0, len(changes))
	for _, change := range changes {
		number++
		change.Number = number
		change.Contract = change.Contract.WithNumber(number)
		numbered = append(numbered, change)
	}
	next, err := set.WithChanges(numbered)
	if err != nil {
		return nil, err
	}
	return next.Contracts(), sharedToken(next.Contracts())
}

func sharedToken(contracts []sesamemodel.Contract) error {
	teams := map[string]sesamemodel.TeamID{}
	for _, c := range contracts {
		for _, digest := range c.TokenDigests {
			if other, ok := teams[digest]; ok && other != c.Team {
				return invalid([]Fault{
					{
						Field:  "tokens",
						Detail: fmt.Sprintf("team %q has a token of team %q", c.Team, other),
					},
				})
			}
			teams[digest] = c.Team
		}
	}
	return nil
}

func differences(set *sesamecontract.Set, changes []sesamemodel.Change) []Difference {
	found := []Difference{}
	for _, change := range changes {
		d := Difference{
			Team: change.Team,
		}
		if held, ok := set.Team(change.Team); ok {
			d.Before = &held
		}
		if !change.Removed {
			d.After = &change.Contract
		}
		found = append(found, d)
	}
	return found
}

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

// contractUpdate is one operator's request to change contracts.
type contractUpdate struct {
	handler  *Handler
	operator string
	request  ChangeRequest
	dryRun   bool
}

// tryOnce reads the contracts, and records the changes if they start from the
// newest number. A conflict of the cells' rows is a
// *sesametable.ConflictError; the caller tries again.
func (a *contractUpdate) tryOnce(ctx context.Context) (ChangeResult, error) {
	store := a.handler.options.Store
	set, err := sesamecontract.Load(ctx, store)
	if err != nil {
		return ChangeResult{}, err
	}
	if set.Number() != a.request.Base {
		return a.afterBaseMoved(ctx, set)
	}
	changes := a.effectiveChanges(set)
	result := ChangeResult{
		Number:      set.Number(),
		Differences: differences(set, changes),
	}
	if len(changes) == 0 {
		return result, nil
	}
	cells, err := a.admitGuarantees(ctx, set, changes)
	if err != nil || a.dryRun {
		return result, err
	}
	number, err := store.AcceptChanges(ctx, a.request.Base, changes, cells)
	if err != nil {
		return a.afterFailedWrite(ctx, set, result, err)
	}
	result.Number = number
	result.Accepted = true
	return result, nil
}

// afterFailedWrite looks for the own change after a failed write: it may have been
// recorded though the answer was lost, or another change came first.
func (a *contractUpdate) afterFailedWrite(ctx context.Context, set *sesamecontract.Set, result ChangeResult, failure error) (ChangeResult, error) {
	var unavailable *sesametable.UnavailableError
	if errors.As(failure, &unavailable) {
		return result, failure
	}
	accepted, err := a.handler.options.Store.ChangesPage(ctx, a.request.Base, 0)
	if err != nil {
		return result, failure
	}
	if number, ok := a.findRecorded(set, accepted); ok {
		result.Number = number
		result.Accepted = true
		return result, nil
	}
	var stale *sesamestore.StaleNumberError
	if errors.As(failure, &stale) || len(accepted) > 0 {
		return ChangeResult{}, a.conflictProblem(accepted, set.Number())
	}
	return result, failure
}

// afterBaseMoved answers a request whose base is no longer the newest number: it was
// recorded before, is in force already, or conflicts with other changes.
func (a *contractUpdate) afterBaseMoved(ctx context.Context, set *sesamecontract.Set) (ChangeResult, error) {
	if a.request.Base > set.Number() {
		return ChangeResult{}, invalidProblem([]InvalidField{
			{
				Field:  "base",
				Detail: fmt.Sprintf("is %d, the newest change is %d", a.request.Base, set.Number()),
			},
		})
	}
	accepted, err := a.handler.options.Store.ChangesPage(ctx, a.request.Base, 0)
	if err != nil {
		return ChangeResult{}, err
	}
	if number, ok := a.findRecorded(set, accepted); ok {
		return ChangeResult{
			Number:      number,
			Accepted:    true,
			Differences: []Difference{},
		}, nil
	}
	if len(a.effectiveChanges(set)) == 0 {
		return ChangeResult{
			Number:      set.Number(),
			Differences: []Difference{},
		}, nil
	}
	return ChangeResult{}, a.conflictProblem(accepted, set.Number())
}

// conflictProblem shows the first page of what was accepted since the base, and the
// newest number known.
func (a *contractUpdate) conflictProblem(accepted []sesamemodel.Change, newest uint64) error {
	if len(accepted) > 0 {
		newest = max(newest, accepted[len(accepted)-1].Number)
	}
	problem := newProblem(ContractsChanged, fmt.Sprintf("change %d was accepted, expected %d", newest, a.request.Base))
	problem.Problem.Changes = accepted
	problem.Problem.Number = newest
	return problem
}

// findRecorded reports whether the log has the request's changes directly after
// its base, under the operator's name, and their last number. Changes that are
// not in the log must be in force, as they are when they altered nothing.
func (a *contractUpdate) findRecorded(set *sesamecontract.Set, accepted []sesamemodel.Change) (uint64, bool) {
	var last uint64
	for _, c := range a.request.Changes {
		if len(accepted) > 0 && a.isOwnChange(accepted[0], c) {
			last = accepted[0].Number
			accepted = accepted[1:]
			continue
		}
		if altersContract(set, c) {
			return 0, false
		}
	}
	return last, last > 0
}

// isOwnChange reports whether the change of the log is the operator's own.
func (a *contractUpdate) isOwnChange(logged sesamemodel.Change, c ContractChange) bool {
	if logged.Operator != a.operator || logged.Team != c.Team || logged.Removed != c.Removed {
		return false
	}
	return c.Removed || sameContract(logged.Contract, c.Contract)
}

// altersContract reports whether the set would differ after the change.
func altersContract(set *sesamecontract.Set, c ContractChange) bool {
	current, ok := set.Team(c.Team)
	if c.Removed {
		return ok
	}
	return !ok || !sameContract(current, c.Contract)
}

// effectiveChanges returns the changes that alter something.
func (a *contractUpdate) effectiveChanges(set *sesamecontract.Set) []sesamemodel.Change {
	var changes []sesamemodel.Change
	now := a.handler.options.Clock.Now()
	for _, c := range a.request.Changes {
		if !altersContract(set, c) {
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

// admitGuarantees returns the cells whose guarantees the changes alter.
func (a *contractUpdate) admitGuarantees(ctx context.Context, set *sesamecontract.Set, changes []sesamemodel.Change) ([]sesamestore.Versioned[sesamemodel.Cell], error) {
	contracts, err := contractsAfter(set, changes)
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
		return nil, newProblem(GuaranteesDoNotFit, err.Error())
	}
	var altered []sesamestore.Versioned[sesamemodel.Cell]
	for _, cell := range changed {
		altered = append(altered, byID[cell.ID].With(cell))
	}
	return altered, nil
}

// contractsAfter returns the contracts once the changes are in force. Two teams with
// the same access token are refused.
func contractsAfter(set *sesamecontract.Set, changes []sesamemodel.Change) ([]sesamemodel.Contract, error) {
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
	return next.Contracts(), checkNoSharedToken(next.Contracts())
}

func checkNoSharedToken(contracts []sesamemodel.Contract) error {
	teams := map[string]sesamemodel.TeamID{}
	for _, c := range contracts {
		for _, digest := range c.TokenDigests {
			if other, ok := teams[digest]; ok && other != c.Team {
				return invalidProblem([]InvalidField{
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
		if current, ok := set.Team(change.Team); ok {
			d.Before = &current
		}
		if !change.Removed {
			d.After = &change.Contract
		}
		found = append(found, d)
	}
	return found
}

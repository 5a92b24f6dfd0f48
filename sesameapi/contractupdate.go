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

// contractUpdate is one operator's request to change contracts. It uses
// optimistic concurrency: the request names the number of the change that it
// starts from (its base), and conflicts if a newer change was accepted.
type contractUpdate struct {
	handler *Handler
	// operator is the operator's name.
	operator string
	request  ChangeRequest
	// dryRun is true if the differences are only shown and nothing is written.
	dryRun bool
}

// tryOnce reads the contracts and records the changes if the base is the newest
// number. Repeating a request that was accepted returns the same result. When
// the row of a cell (a group of neighbouring targets) was changed meanwhile, the
// error is a *sesametable.ConflictError and the caller tries again.
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

// afterFailedWrite looks for the request's changes in the log after a write
// failed: they may have been recorded though the response was lost, or another
// change was accepted first. Otherwise it returns the failure.
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

// afterBaseMoved returns the result of a request whose base is not the newest
// number: its changes were recorded before, are already in force, or conflict
// with the changes of others.
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

// conflictProblem returns a ContractsChanged problem with the first page of the
// changes accepted after the base, and the newest number known.
func (a *contractUpdate) conflictProblem(accepted []sesamemodel.Change, newest uint64) error {
	if len(accepted) > 0 {
		newest = max(newest, accepted[len(accepted)-1].Number)
	}
	problem := newProblem(ContractsChanged, fmt.Sprintf("change %d was accepted, expected %d", newest, a.request.Base))
	problem.Problem.Changes = accepted
	problem.Problem.Number = newest
	return problem
}

// findRecorded returns the number of the request's last change, and whether the
// accepted changes begin with those of the request, made by the same operator.
// A requested change may be missing in the log only if it is in force anyway:
// changes that altered nothing were not recorded.
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

// isOwnChange reports whether a change in the log is the requested one, made by
// the same operator.
func (a *contractUpdate) isOwnChange(logged sesamemodel.Change, c ContractChange) bool {
	if logged.Operator != a.operator || logged.Team != c.Team || logged.Removed != c.Removed {
		return false
	}
	return c.Removed || sameContract(logged.Contract, c.Contract)
}

// altersContract reports whether the change would alter the set of contracts.
func altersContract(set *sesamecontract.Set, c ContractChange) bool {
	current, ok := set.Team(c.Team)
	if c.Removed {
		return ok
	}
	return !ok || !sameContract(current, c.Contract)
}

// effectiveChanges returns the requested changes that alter a contract, with
// the operator's name and the time, as they are to be recorded.
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

// admitGuarantees assigns the guarantees of the changed contracts to cells and
// returns the cells that change. It fails with GuaranteesDoNotFit if they can't be
// placed together, with Invalid if two teams have the same access token, and with
// the store's error.
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

// contractsAfter returns the contracts as they are once the changes are in
// force. It fails when two teams would have the same access token.
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

// checkNoSharedToken fails when two teams have the same access token, since the
// token has to identify the team.
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

// differences returns each changed contract before and after the changes.
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

package sesamecontract

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// Load reads the newest change of every team and the changes accepted
// meanwhile, so that the set is exactly what was in force at its number. It
// fails with a *StaleReadError when the readings don't fit together, as when
// one of them was answered from an old copy.
func Load(ctx context.Context, source Source) (*Set, error) {
	latest, number, err := source.TeamChanges(ctx)
	if err != nil {
		return nil, err
	}
	seen := newestNumber(latest)
	if err := checkNotOlder(seen, number); err != nil {
		return nil, err
	}
	changes, err := source.ChangesSince(ctx, number)
	if err != nil {
		return nil, err
	}
	set, err := NewSet(number, inForce(latest)).WithChanges(changes)
	if err != nil {
		return nil, err
	}
	return set, checkNotOlder(set.Number(), seen)
}

func newestNumber(changes []sesamemodel.Change) uint64 {
	var number uint64
	for _, change := range changes {
		number = max(number, change.Number)
	}
	return number
}

func inForce(latest []sesamemodel.Change) []sesamemodel.Contract {
	var contracts []sesamemodel.Contract
	for _, change := range latest {
		if !change.Removed {
			contracts = append(contracts, change.Contract)
		}
	}
	return contracts
}

// advance brings the set up to the newest change; a gap in the log is answered
// by reading all contracts.
func advance(ctx context.Context, source Source, held *Set) (*Set, error) {
	changes, err := source.ChangesSince(ctx, held.Number())
	if err != nil {
		return nil, err
	}
	set, err := held.WithChanges(changes)
	var gap *GapError
	if errors.As(err, &gap) {
		return Load(ctx, source)
	}
	return set, err
}

package sesamecontract

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// Load reads all contracts: the newest change of every team, and then the
// changes accepted meanwhile, so that the set is exactly what was in force at
// its number. It fails with a *StaleReadError when the reads contradict each
// other, as when one of them was answered from a stale replica.
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

// newestNumber returns the highest number among the changes; 0 if there are
// none.
func newestNumber(changes []sesamemodel.Change) uint64 {
	var number uint64
	for _, change := range changes {
		number = max(number, change.Number)
	}
	return number
}

// inForce returns the contracts of the changes that didn't remove theirs.
func inForce(latest []sesamemodel.Change) []sesamemodel.Contract {
	var contracts []sesamemodel.Contract
	for _, change := range latest {
		if !change.Removed {
			contracts = append(contracts, change.Contract)
		}
	}
	return contracts
}

// advance returns held plus the changes of contracts accepted after it, that is,
// those numbered above held.Number(). If a number is missing among them, it
// reads all contracts instead. Errors are those of source and of Load.
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

package sesamestore

import (
	"context"
	"fmt"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesametable"
)

// contractHead is the row with the number of the newest accepted change of
// contracts. Every accepting transaction replaces it, which puts all changes in
// one order.
type contractHead struct {
	Number uint64 `json:"number"`
}

// ContractNumber returns the number of the newest accepted change of contracts;
// 0 before the first.
func (s *Store) ContractNumber(ctx context.Context) (uint64, error) {
	h, err := s.contractHead(ctx)
	return h.Value.Number, err
}

// contractHead reads the head row; a missing row gives version 0 and number 0.
func (s *Store) contractHead(ctx context.Context) (Versioned[contractHead], error) {
	h, err := get[contractHead](ctx, s.table, contractHeadKey)
	if isNotFound(err) {
		return Versioned[contractHead]{}, nil
	}
	return h, err
}

// TeamChanges returns the newest accepted change of every team that ever had a
// contract, and the number of the newest change of all teams. The number is
// read first, so it may be older than the changes but never newer.
func (s *Store) TeamChanges(ctx context.Context) ([]sesamemodel.Change, uint64, error) {
	number, err := s.ContractNumber(ctx)
	if err != nil {
		return nil, 0, err
	}
	rows, err := scan[sesamemodel.Change](ctx, s.table, teamContractPrefix)
	if err != nil {
		return nil, 0, err
	}
	changes := make([]sesamemodel.Change, 0, len(rows))
	for _, row := range rows {
		changes = append(changes, row.Value)
	}
	return changes, number, nil
}

// ChangesSince returns all accepted changes after number, oldest first.
func (s *Store) ChangesSince(ctx context.Context, number uint64) ([]sesamemodel.Change, error) {
	var changes []sesamemodel.Change
	for {
		page, err := s.ChangesPage(ctx, number, sesametable.MaxScanRows)
		if err != nil {
			return nil, err
		}
		changes = append(changes, page...)
		if len(page) < sesametable.MaxScanRows {
			return changes, nil
		}
		number = page[len(page)-1].Number
	}
}

// ChangesPage returns at most limit accepted changes after number, oldest
// first. A limit of 0 means sesametable.MaxScanRows, which is also the most
// that it returns.
func (s *Store) ChangesPage(ctx context.Context, number uint64, limit int) ([]sesamemodel.Change, error) {
	rows, err := s.table.Scan(ctx, contractLogPrefix, changeKey(number), limit)
	if err != nil {
		return nil, err
	}
	changes := make([]sesamemodel.Change, 0, len(rows))
	for _, row := range rows {
		change, err := decode[sesamemodel.Change](row)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change.Value)
	}
	return changes, nil
}

// changeKey returns the key of the change's row. The number is zero-padded, so
// keys sort by number.
func changeKey(number uint64) string {
	return fmt.Sprintf("%s%012d", contractLogPrefix, number)
}

// StaleNumberError says that other changes were accepted since the operator
// read the contracts.
type StaleNumberError struct {
	// Base is the number of the newest change when the operator read the
	// contracts.
	Base uint64
	// Found is the number of the newest change now.
	Found uint64
}

// Error names the change number that the operator read and the one in force.
func (e *StaleNumberError) Error() string {
	return fmt.Sprintf("contracts changed: change %d is in force, expected %d", e.Found, e.Base)
}

// AcceptChanges records changes of contracts that follow the change numbered
// base, together with the cells whose guarantees they alter, in one
// transaction. It returns the number of the last change. Errors are
// *StaleNumberError when base is not the newest number, and those of
// sesametable.Table.Commit.
func (s *Store) AcceptChanges(ctx context.Context, base uint64, changes []sesamemodel.Change, cells []Versioned[sesamemodel.Cell]) (uint64, error) {
	h, err := s.contractHead(ctx)
	if err != nil {
		return 0, err
	}
	if h.Value.Number != base {
		return 0, &StaleNumberError{
			Base:  base,
			Found: h.Value.Number,
		}
	}
	t, number, err := s.changesTransaction(ctx, base, changes)
	if err != nil {
		return 0, err
	}
	put, err := encode(contractHeadKey, h.With(contractHead{
		Number: number,
	}))
	if err != nil {
		return 0, err
	}
	t.Puts = append(t.Puts, put)
	for _, cell := range cells {
		put, err := encode(CellKey(cell.Value.ID), cell)
		if err != nil {
			return 0, err
		}
		t.Puts = append(t.Puts, put)
	}
	return number, s.table.Commit(ctx, t)
}

// changesTransaction numbers the changes after base and returns the puts of
// their rows, and the number of the last change. The head row is not included.
func (s *Store) changesTransaction(ctx context.Context, base uint64, changes []sesamemodel.Change) (sesametable.Transaction, uint64, error) {
	var t sesametable.Transaction
	number := base
	for _, change := range changes {
		number++
		change.Number = number
		change.Contract = change.Contract.WithNumber(number)
		put, err := encode(changeKey(number), Versioned[sesamemodel.Change]{
			Value: change,
		})
		if err != nil {
			return t, 0, err
		}
		t.Puts = append(t.Puts, put)
		if err := s.putTeamChange(ctx, &t, change); err != nil {
			return t, 0, err
		}
	}
	return t, number, nil
}

// putTeamChange adds to t the put that replaces the team's newest change. A
// removed contract is kept as a change like any other, so that a reader of the
// rows sees which changes they include.
func (s *Store) putTeamChange(ctx context.Context, t *sesametable.Transaction, change sesamemodel.Change) error {
	key := teamContractPrefix + string(change.Team)
	current, err := get[sesamemodel.Change](ctx, s.table, key)
	if err != nil && !isNotFound(err) {
		return err
	}
	put, err := encode(key, current.With(change))
	t.Puts = append(t.Puts, put)
	return err
}

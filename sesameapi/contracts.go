package sesameapi

import (
	"context"
	"fmt"
	"net/http"
	"reflect"
	"slices"
	"strconv"

	"github.com/sesamestack/sesamestack/sesamecontract"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesametable"
)

// ContractList is the contracts in force and the number of the newest change.
type ContractList struct {
	Number    uint64                 `json:"number"`
	Contracts []sesamemodel.Contract `json:"contracts"`
}

// ContractChange is a request to add, replace or remove one team's contract.
type ContractChange struct {
	Team    sesamemodel.TeamID `json:"team"`
	Removed bool               `json:"removed,omitempty"`
	// Contract is ignored when Removed is set.
	Contract sesamemodel.Contract `json:"contract,omitzero"`
}

// ChangeRequest is a request to change contracts. Its changes take effect
// together or not at all.
type ChangeRequest struct {
	// Base is the number of the newest change that the operator has seen. The
	// request conflicts if a newer one was accepted (optimistic concurrency).
	Base    uint64           `json:"base"`
	Changes []ContractChange `json:"changes"`
}

// RollbackRequest is a request to restore the contracts as they were after an
// earlier change.
type RollbackRequest struct {
	// Base is the same as in ChangeRequest.
	Base uint64 `json:"base"`
	// To is the number of the change to restore; 0 is before the first change.
	To uint64 `json:"to"`
	// Team limits the rollback to one team; empty means all.
	Team sesamemodel.TeamID `json:"team,omitempty"`
}

// Validate returns the invalid fields.
func (q RollbackRequest) Validate() []InvalidField {
	var f invalidFields
	if q.To > q.Base {
		f.add("to", "is %d, must not be above base %d", q.To, q.Base)
	}
	return f
}

// Difference is one team's contract before and after a change.
type Difference struct {
	Team sesamemodel.TeamID `json:"team"`
	// Before is nil when the contract is added, After when it is removed.
	Before *sesamemodel.Contract `json:"before,omitempty"`
	After  *sesamemodel.Contract `json:"after,omitempty"`
}

// ChangeResult is the response to a request to change or roll back contracts.
type ChangeResult struct {
	// Number is that of the last accepted change of the request, or the newest
	// number in force when nothing was changed.
	Number uint64 `json:"number"`
	// Accepted is false after a dry run and when there was nothing to change.
	Accepted bool `json:"accepted"`
	// Differences has one entry for each contract that changed; it is empty for
	// a repeated request.
	Differences []Difference `json:"differences"`
}

// ChangeHistory is one page of the accepted changes, oldest first.
type ChangeHistory struct {
	Changes []sesamemodel.Change `json:"changes"`
	// Next is the value of since for the next page; 0 on the last page.
	Next uint64 `json:"next,omitempty"`
}

// contracts serves GET /v1/contracts.
func (h *Handler) contracts(w http.ResponseWriter, r *http.Request) error {
	if _, err := h.operator(r); err != nil {
		return err
	}
	set, err := sesamecontract.Load(r.Context(), h.options.Store)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, jsonContentType, ContractList{
		Number:    set.Number(),
		Contracts: set.Contracts(),
	})
	return nil
}

// history serves GET /v1/contracts/history.
func (h *Handler) history(w http.ResponseWriter, r *http.Request) error {
	if _, err := h.operator(r); err != nil {
		return err
	}
	since, err := numberParam(r, "since")
	if err != nil {
		return err
	}
	changes, err := h.options.Store.ChangesPage(r.Context(), since, 0)
	if err != nil {
		return err
	}
	page := ChangeHistory{
		Changes: changes,
	}
	if len(changes) == sesametable.MaxScanRows {
		page.Next = changes[len(changes)-1].Number
	}
	writeJSON(w, http.StatusOK, jsonContentType, page)
	return nil
}

// numberParam returns the named query parameter, or 0 if it is missing. It fails
// with Invalid if the parameter is no number.
func numberParam(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, invalidProblem([]InvalidField{
			{
				Field:  name,
				Detail: fmt.Sprintf("is %q, must be a number from 0", text),
			},
		})
	}
	return n, nil
}

// changeContracts serves POST /v1/contracts.
func (h *Handler) changeContracts(w http.ResponseWriter, r *http.Request) error {
	name, err := h.operator(r)
	if err != nil {
		return err
	}
	request, err := readValidated[ChangeRequest](h, w, r)
	if err != nil {
		return err
	}
	return h.updateContracts(w, r, name, request)
}

// rollback serves POST /v1/contracts/rollback.
func (h *Handler) rollback(w http.ResponseWriter, r *http.Request) error {
	name, err := h.operator(r)
	if err != nil {
		return err
	}
	request, err := readValidated[RollbackRequest](h, w, r)
	if err != nil {
		return err
	}
	changes, err := h.rollbackChanges(r.Context(), request)
	if err != nil {
		return err
	}
	return h.updateContracts(w, r, name, ChangeRequest{
		Base:    request.Base,
		Changes: changes,
	})
}

// rollbackChanges returns the changes that turn the contracts in force after
// accepted change number Base into those in force after change number To; if Team
// is set, only that team's. Both are rebuilt from the log of accepted changes. It
// fails as invalid if Base is beyond the newest change.
func (h *Handler) rollbackChanges(ctx context.Context, q RollbackRequest) ([]ContractChange, error) {
	changeLog, err := h.options.Store.ChangesSince(ctx, 0)
	if err != nil {
		return nil, err
	}
	if q.Base > uint64(len(changeLog)) {
		return nil, invalidProblem([]InvalidField{
			{
				Field:  "base",
				Detail: fmt.Sprintf("is %d, the newest change is %d", q.Base, len(changeLog)),
			},
		})
	}
	target, err := sesamecontract.NewSet(0, nil).WithChanges(changeLog[:q.To])
	if err != nil {
		return nil, err
	}
	base, err := sesamecontract.NewSet(0, nil).WithChanges(changeLog[:q.Base])
	if err != nil {
		return nil, err
	}
	return contractDiff(base, target, q.Team), nil
}

// contractDiff returns the changes that turn one set of contracts into another,
// for one team, or for all if team is empty.
func contractDiff(from, to *sesamecontract.Set, team sesamemodel.TeamID) []ContractChange {
	var changes []ContractChange
	for _, c := range to.Contracts() {
		changes = append(changes, ContractChange{
			Team:     c.Team,
			Contract: c,
		})
	}
	for _, c := range from.Contracts() {
		if _, ok := to.Team(c.Team); !ok {
			changes = append(changes, ContractChange{
				Team:    c.Team,
				Removed: true,
			})
		}
	}
	return slices.DeleteFunc(changes, func(c ContractChange) bool {
		return team != "" && c.Team != team || !altersContract(from, c)
	})
}

// sameContract reports whether two contracts are equal in what operators write,
// which leaves out the number of the change that a contract comes from.
func sameContract(a, b sesamemodel.Contract) bool {
	return reflect.DeepEqual(normalized(a), normalized(b))
}

// normalized returns the contract without its number and with nil for each empty
// list, so that an empty and an absent list compare as equal.
func normalized(c sesamemodel.Contract) sesamemodel.Contract {
	c.Number = 0
	if len(c.Guarantees) == 0 {
		c.Guarantees = nil
	}
	if len(c.Classes) == 0 {
		c.Classes = nil
	}
	if len(c.TokenDigests) == 0 {
		c.TokenDigests = nil
	}
	return c
}

// updateContracts applies an operator's changes, or only shows their differences
// in a dry run, and writes the response.
func (h *Handler) updateContracts(w http.ResponseWriter, r *http.Request, name string, q ChangeRequest) error {
	a := &contractUpdate{
		handler:  h,
		operator: name,
		request:  q,
		dryRun:   r.URL.Query().Get("dry-run") == "true",
	}
	var result ChangeResult
	ctx := r.Context()
	err := retryOnConflict(func() error {
		var err error
		result, err = a.tryOnce(ctx)
		return err
	})
	if err != nil {
		return err
	}
	if result.Accepted {
		h.options.Contracts.Hint(result.Number)
		h.options.Log.Emit(eventContractsChanged, sesamelog.Fields{
			"number":   result.Number,
			"operator": name,
			"teams":    len(result.Differences),
		})
	}
	writeJSON(w, http.StatusOK, jsonContentType, result)
	return nil
}

// Validate returns the invalid fields.
func (q ChangeRequest) Validate() []InvalidField {
	var f invalidFields
	seen := map[sesamemodel.TeamID]bool{}
	for i, c := range q.Changes {
		field := fmt.Sprintf("changes[%d]", i)
		if seen[c.Team] {
			f.add(field+".team", "is %q, which appears in more than one change", c.Team)
		}
		seen[c.Team] = true
		if c.Removed {
			continue
		}
		if c.Contract.Team != c.Team {
			f.add(field+".contract.team", "is %q, must be %q", c.Contract.Team, c.Team)
		}
		for _, fault := range sesamecontract.Validate(c.Contract) {
			f.add(field+".contract."+fault.Field, "%s", fault.Detail)
		}
	}
	return f
}

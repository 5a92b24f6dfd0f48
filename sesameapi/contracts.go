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

// ContractList is the contracts in force after the change of that number.
type ContractList struct {
	Number    uint64                 `json:"number"`
	Contracts []sesamemodel.Contract `json:"contracts"`
}

// ContractChange asks for one contract to be added, replaced or removed.
type ContractChange struct {
	Team    sesamemodel.TeamID `json:"team"`
	Removed bool               `json:"removed,omitempty"`
	// Contract is ignored when Removed is set.
	Contract sesamemodel.Contract `json:"contract,omitzero"`
}

// ChangeRequest asks for changes that take effect together.
type ChangeRequest struct {
	// Base is the number that the operator's view of the contracts had.
	Base    uint64           `json:"base"`
	Changes []ContractChange `json:"changes"`
}

// RollbackRequest asks for the contracts as they were after an earlier change.
type RollbackRequest struct {
	Base uint64 `json:"base"`
	// To is the number to return to; 0 is before the first change.
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

// Difference is how one contract changes.
type Difference struct {
	Team sesamemodel.TeamID `json:"team"`
	// Before is nil when the contract is added, After when it is removed.
	Before *sesamemodel.Contract `json:"before,omitempty"`
	After  *sesamemodel.Contract `json:"after,omitempty"`
}

// ChangeResult is the answer to a change of contracts.
type ChangeResult struct {
	// Number is that of the change, or the one in force when nothing changed.
	Number uint64 `json:"number"`
	// Accepted is false after a dry run and when nothing was to change.
	Accepted    bool         `json:"accepted"`
	Differences []Difference `json:"differences"`
}

// ChangeHistory is one page of the accepted changes, oldest first.
type ChangeHistory struct {
	Changes []sesamemodel.Change `json:"changes"`
	// Next is where the next page starts; 0 after the last page.
	Next uint64 `json:"next,omitempty"`
}

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

func (h *Handler) changeContracts(w http.ResponseWriter, r *http.Request) error {
	name, err := h.operator(r)
	if err != nil {
		return err
	}
	request, err := readValidated[ChangeRequest](w, r)
	if err != nil {
		return err
	}
	return h.updateContracts(w, r, name, request)
}

func (h *Handler) rollback(w http.ResponseWriter, r *http.Request) error {
	name, err := h.operator(r)
	if err != nil {
		return err
	}
	request, err := readValidated[RollbackRequest](w, r)
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

// rollbackChanges returns what turns the contracts in force at the base into
// those of the earlier number, both rebuilt from the log.
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

// contractDiff returns the changes that lead from one set to another, for one team
// or for all.
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

// sameContract compares what operators write, not the numbers of acceptance.
func sameContract(a, b sesamemodel.Contract) bool {
	return reflect.DeepEqual(normalized(a), normalized(b))
}

// normalized drops the difference between an empty and an absent list.
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
			f.add(field+".team", "is %q, which is changed twice", c.Team)
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

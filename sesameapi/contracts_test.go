package sesameapi

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesamecontract"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesamestore"
	"github.com/sesamestack/sesamestack/sesametable"
)

// maxContractDelay is the required bound on the time from the acceptance of a
// change of contracts until no entry accepts work under the older contract.
const maxContractDelay = 3 * time.Second

// changeRequest returns a request to add or replace contracts after number base.
func changeRequest(base uint64, contracts ...sesamemodel.Contract) ChangeRequest {
	q := ChangeRequest{
		Base: base,
	}
	for _, c := range contracts {
		q.Changes = append(q.Changes, ContractChange{
			Team:     c.Team,
			Contract: c,
		})
	}
	return q
}

// contractWithWeight returns a contract that differs from others by its weight.
func contractWithWeight(team sesamemodel.TeamID, token string, weight int) sesamemodel.Contract {
	c := contract(team, token)
	c.Weight = weight
	return c
}

// apply sends a request to change contracts.
func (e *testEntry) apply(token string, q ChangeRequest) *httptest.ResponseRecorder {
	e.t.Helper()
	return e.call(http.MethodPost, "/v1/contracts", token, q)
}

// mustApply applies a change of contracts and asserts that it succeeds.
func (e *testEntry) mustApply(token string, q ChangeRequest) ChangeResult {
	e.t.Helper()
	w := e.apply(token, q)
	e.is.Equal(w.Code, http.StatusOK)
	return decodeAnswer[ChangeResult](e, w)
}

// currentContracts returns the contracts in force.
func (e *testEntry) currentContracts() ContractList {
	e.t.Helper()
	return decodeAnswer[ContractList](e, e.call(http.MethodGet, "/v1/contracts", annaToken, nil))
}

// weightOf returns the weight in the team's contract in force.
func (e *testEntry) weightOf(team sesamemodel.TeamID) int {
	e.t.Helper()
	for _, c := range e.currentContracts().Contracts {
		if c.Team == team {
			return c.Weight
		}
	}
	return 0
}

// TestApply checks how changes of contracts are accepted and refused.
func TestApply(t *testing.T) {
	t.Run("shows a dry run's differences and changes nothing", func(t *testing.T) {
		e := newTestEntry(t)
		w := e.call(http.MethodPost, "/v1/contracts?dry-run=true", annaToken, changeRequest(2, contractWithWeight("cork", corkToken, 5)))
		result := decodeAnswer[ChangeResult](e, w)
		e.is.Equal(result.Accepted, false)
		e.is.Equal(result.Differences[0].Before.Weight, 1)
		e.is.Equal(result.Differences[0].After.Weight, 5)
		e.is.Equal(e.currentContracts().Number, uint64(2))
	})
	t.Run("is idempotent", func(t *testing.T) {
		e := newTestEntry(t)
		q := changeRequest(2, contractWithWeight("cork", corkToken, 5))
		e.is.Equal(e.mustApply(annaToken, q).Number, uint64(3))
		e.is.Equal(e.mustApply(annaToken, q).Number, uint64(3)) // same base
		again := e.mustApply(annaToken, changeRequest(3, contractWithWeight("cork", corkToken, 5)))
		e.is.Equal(again.Accepted, false) // same contract
		e.is.Equal(e.currentContracts().Number, uint64(3))
	})
	t.Run("gives one of two operators the other's change", func(t *testing.T) {
		e := newTestEntry(t)
		e.mustApply(annaToken, changeRequest(2, contractWithWeight("cork", corkToken, 5)))
		problem := e.requireProblem(e.peer().apply(bertaToken, changeRequest(2, contractWithWeight("cork", corkToken, 7))), ContractsChanged)
		e.is.Equal(problem.Number, uint64(3))
		e.is.Equal(problem.Changes[0].Operator, "anna")
		e.is.Equal(problem.Changes[0].Contract.Weight, 5)
		e.is.Equal(e.weightOf("cork"), 5)
	})
	t.Run("refuses what does not pack, with the reason", func(t *testing.T) {
		e := newTestEntry(t)
		e.backend.admitErr = &RangeError{}
		e.requireProblem(e.apply(annaToken, changeRequest(2, contractWithWeight("cork", corkToken, 5))), GuaranteesDoNotFit)
		e.is.Equal(e.currentContracts().Number, uint64(2))
	})
	t.Run("refuses invalid contracts by field", func(t *testing.T) {
		e := newTestEntry(t)
		c := contractWithWeight("cork", corkToken, 5)
		c.Limits.OpenJobs = 0
		problem := e.requireProblem(e.apply(annaToken, changeRequest(2, c)), Invalid)
		e.is.Equal(fieldsOf(problem), []string{"changes[0].contract.limits.open"})
		e.requireProblem(e.apply(annaToken, changeRequest(2, contractWithWeight("cork", millToken, 5))), Invalid) // a token of another team
		e.requireProblem(e.apply(annaToken, changeRequest(9, contractWithWeight("cork", corkToken, 5))), Invalid) // a base that does not exist yet
	})
	t.Run("removes a contract and its tokens", func(t *testing.T) {
		e := newTestEntry(t)
		e.mustSubmit(corkToken, "k1", executorJob("pricing"))
		e.mustApply(annaToken, ChangeRequest{
			Base: 2,
			Changes: []ContractChange{
				{
					Team:    "cork",
					Removed: true,
				},
			},
		})
		e.clock.Advance(maxContractDelay)
		e.requireProblem(e.submit(corkToken, "k2", executorJob("pricing")), Unauthenticated)
	})
}

// TestApplyAtOnce checks that of concurrent changes with the same base only one is
// accepted: another operator's change between the read and the write of a
// request, and many operators in parallel.
func TestApplyAtOnce(t *testing.T) {
	t.Run("the second write is refused and shows the first", func(t *testing.T) {
		e := newTestEntry(t)
		first := true
		race := &interleavedTable{
			Table:       e.table,
			otherWriter: func() {},
		}
		other := *e
		other.store = sesamestore.New(race, e.table)
		other.startHandler()
		race.otherWriter = func() {
			if first {
				first = false
				e.mustApply(annaToken, changeRequest(2, contractWithWeight("cork", corkToken, 5)))
			}
		}
		problem := other.requireProblem(other.apply(bertaToken, changeRequest(2, contractWithWeight("mill", millToken, 7))), ContractsChanged)
		e.is.Equal(problem.Changes[0].Operator, "anna")
		e.is.Equal(e.weightOf("cork"), 5)
		e.is.Equal(e.weightOf("mill"), 1)
	})
	t.Run("of many with one base, one is accepted", func(t *testing.T) {
		e := newTestEntry(t)
		var group errgroup.Group
		codes := make([]int, 16)
		for i := range codes {
			other := e.peer()
			group.Go(func() error {
				codes[i] = other.apply(annaToken, changeRequest(2, contractWithWeight("cork", corkToken, i+2))).Code
				return nil
			})
		}
		e.is.NoErr(group.Wait())
		slices.Sort(codes)
		e.is.Equal(codes[0], http.StatusOK)
		e.is.Equal(codes[1], http.StatusConflict)
		e.is.Equal(e.currentContracts().Number, uint64(3))
	})
}

// TestApplyLostAnswer repeats a request after the store's response to its write was
// lost, with the write applied or not, and with or without a change by another
// operator in between. The change must be recorded at most once.
func TestApplyLostAnswer(t *testing.T) {
	fates := map[string]sesamestandin.WriteFault{
		"taken":     sesamestandin.AnswerLost,
		"not taken": sesamestandin.WriteDropped,
	}
	for name, fate := range fates {
		for _, other := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				e := newTestEntry(t)
				e.table.SetFaults(sesamestandin.Faults{
					OnWrite: func(int) sesamestandin.WriteFault {
						return fate
					},
				})
				q := changeRequest(2, contractWithWeight("cork", corkToken, 5))
				first := e.apply(annaToken, q)
				e.is.Equal(first.Code == http.StatusOK, fate == sesamestandin.AnswerLost) // found in the log
				e.table.SetFaults(sesamestandin.Faults{})
				if other {
					e.mustApply(bertaToken, changeRequest(e.currentContracts().Number, contractWithWeight("mill", millToken, 9)))
				}
				again := e.apply(annaToken, q)
				taken := fate == sesamestandin.AnswerLost || !other
				e.is.Equal(again.Code == http.StatusOK, taken)
				e.is.Equal(len(e.changesBy("anna", 2)), map[bool]int{true: 1, false: 0}[taken])
			})
		}
	}
}

// changesBy returns the operator's accepted changes with a number above since.
func (e *testEntry) changesBy(operator string, since uint64) []sesamemodel.Change {
	e.t.Helper()
	changes, err := e.store.ChangesSince(context.Background(), since)
	e.is.NoErr(err)
	var own []sesamemodel.Change
	for _, change := range changes {
		if change.Operator == operator {
			own = append(own, change)
		}
	}
	return own
}

// TestRollback checks that a rollback is a new change with the same conflicts as
// any other, and can be limited to one team.
func TestRollback(t *testing.T) {
	t.Run("returns to an earlier number as a new change", func(t *testing.T) {
		e := newTestEntry(t)
		e.mustApply(annaToken, changeRequest(2, contractWithWeight("cork", corkToken, 5)))
		e.mustApply(annaToken, changeRequest(3, contract("crew", "crew-token")))
		w := e.call(http.MethodPost, "/v1/contracts/rollback", annaToken, RollbackRequest{
			Base: 4,
			To:   2,
		})
		e.is.Equal(decodeAnswer[ChangeResult](e, w).Number, uint64(6))
		e.is.Equal(len(e.currentContracts().Contracts), 2)
		e.is.Equal(e.weightOf("cork"), 1)
	})
	t.Run("is limited to one team", func(t *testing.T) {
		e := newTestEntry(t)
		e.mustApply(annaToken, changeRequest(2, contractWithWeight("cork", corkToken, 5), contractWithWeight("mill", millToken, 5)))
		e.call(http.MethodPost, "/v1/contracts/rollback", annaToken, RollbackRequest{
			Base: 4,
			To:   2,
			Team: "mill",
		})
		e.is.Equal(e.weightOf("cork"), 5)
		e.is.Equal(e.weightOf("mill"), 1)
	})
	t.Run("conflicts with changes that the operator has not seen", func(t *testing.T) {
		e := newTestEntry(t)
		e.mustApply(annaToken, changeRequest(2, contractWithWeight("cork", corkToken, 5)))
		e.mustApply(bertaToken, changeRequest(3, contractWithWeight("mill", millToken, 9)))
		w := e.call(http.MethodPost, "/v1/contracts/rollback", annaToken, RollbackRequest{
			Base: 3,
			To:   2,
		})
		e.requireProblem(w, ContractsChanged)
	})
	t.Run("keeps every change in the history", func(t *testing.T) {
		e := newTestEntry(t)
		e.mustApply(annaToken, changeRequest(2, contractWithWeight("cork", corkToken, 5)))
		page := decodeAnswer[ChangeHistory](e, e.call(http.MethodGet, "/v1/contracts/history?since=1", annaToken, nil))
		e.is.Equal(len(page.Changes), 2)
		e.is.Equal(page.Changes[1].Operator, "anna")
	})
}

// contractsOfflineTable is a table that fails to read contracts while offline is
// set; other rows stay available.
type contractsOfflineTable struct {
	sesametable.Table
	offline bool
}

func (c *contractsOfflineTable) Get(ctx context.Context, key string) (sesametable.Row, error) {
	if c.offline && strings.HasPrefix(key, "contract/") {
		return sesametable.Row{}, &sesametable.UnavailableError{
			Operation: "get",
		}
	}
	return c.Table.Get(ctx, key)
}

// TestCutEntry changes a contract while another entry can write jobs but can't
// read contracts. After maxContractDelay that entry must not accept work under the
// older contract.
func TestCutEntry(t *testing.T) {
	e := newTestEntry(t)
	table := &contractsOfflineTable{
		Table: e.table,
	}
	other := *e
	other.store = sesamestore.New(table, e.table)
	other.startHandler()
	other.mustSubmit(corkToken, "k1", executorJob("pricing"))
	table.offline = true
	without := contractWithWeight("cork", "new-token", 1)
	e.mustApply(annaToken, changeRequest(2, without))
	e.clock.Advance(maxContractDelay)
	problem := other.requireProblem(other.submit(corkToken, "k2", executorJob("pricing")), Unavailable)
	e.is.Equal(problem.Outcome, Unchanged)
	table.offline = false
	other.requireProblem(other.submit(corkToken, "k2", executorJob("pricing")), Unauthenticated)
	e.is.Equal(other.submit("new-token", "k2", executorJob("pricing")).Code, http.StatusCreated)
	set, err := other.watch.Set()
	e.is.NoErr(err)
	_, ok := set.ByTokenDigest(sesamecontract.Digest(corkToken))
	e.is.True(!ok)
}

// TestApplyAllTeams checks that one request can add contracts for 280 teams, the
// number that the system is designed for, and that all are in force afterwards.
func TestApplyAllTeams(t *testing.T) {
	const teams = 280
	e := newTestEntry(t)
	q := ChangeRequest{
		Base: 2,
	}
	for n := range teams {
		c := contract(sesamemodel.TeamID(fmt.Sprint("team-", n)), fmt.Sprint("token-", n))
		q.Changes = append(q.Changes, changeRequest(2, c).Changes...)
	}
	e.is.Equal(len(e.mustApply(annaToken, q).Differences), teams)
	e.is.Equal(len(e.currentContracts().Contracts), teams+2)
}

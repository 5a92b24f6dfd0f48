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

// inForceWithin is the bound of the first letter.
const inForceWithin = 3 * time.Second

func changeOf(base uint64, contracts ...sesamemodel.Contract) ChangeRequest {
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

func weighing(team sesamemodel.TeamID, token string, weight int) sesamemodel.Contract {
	c := contract(team, token)
	c.Weight = weight
	return c
}

func (e *entry) apply(token string, q ChangeRequest) *httptest.ResponseRecorder {
	e.t.Helper()
	return e.call(http.MethodPost, "/v1/contracts", token, q)
}

func (e *entry) applied(token string, q ChangeRequest) ChangeResult {
	e.t.Helper()
	w := e.apply(token, q)
	e.is.Equal(w.Code, http.StatusOK)
	return answer[ChangeResult](e, w)
}

func (e *entry) inForce() ContractList {
	e.t.Helper()
	return answer[ContractList](e, e.call(http.MethodGet, "/v1/contracts", anna, nil))
}

func (e *entry) weightOf(team sesamemodel.TeamID) int {
	e.t.Helper()
	for _, c := range e.inForce().Contracts {
		if c.Team == team {
			return c.Weight
		}
	}
	return 0
}

func TestApply(t *testing.T) {
	t.Run("shows a dry run's differences and changes nothing", func(t *testing.T) {
		e := newEntry(t)
		w := e.call(http.MethodPost, "/v1/contracts?dry-run=true", anna, changeOf(2, weighing("cork", cork, 5)))
		result := answer[ChangeResult](e, w)
		e.is.Equal(result.Accepted, false)
		e.is.Equal(result.Differences[0].Before.Weight, 1)
		e.is.Equal(result.Differences[0].After.Weight, 5)
		e.is.Equal(e.inForce().Number, uint64(2))
	})
	t.Run("is idempotent", func(t *testing.T) {
		e := newEntry(t)
		q := changeOf(2, weighing("cork", cork, 5))
		e.is.Equal(e.applied(anna, q).Number, uint64(3))
		e.is.Equal(e.applied(anna, q).Number, uint64(3)) // same base
		again := e.applied(anna, changeOf(3, weighing("cork", cork, 5)))
		e.is.Equal(again.Accepted, false) // same contract
		e.is.Equal(e.inForce().Number, uint64(3))
	})
	t.Run("gives one of two operators the other's change", func(t *testing.T) {
		e := newEntry(t)
		e.applied(anna, changeOf(2, weighing("cork", cork, 5)))
		problem := e.refused(e.peer().apply(berta, changeOf(2, weighing("cork", cork, 7))), ContractsChanged)
		e.is.Equal(problem.Number, uint64(3))
		e.is.Equal(problem.Changes[0].Operator, "anna")
		e.is.Equal(problem.Changes[0].Contract.Weight, 5)
		e.is.Equal(e.weightOf("cork"), 5)
	})
	t.Run("refuses what does not pack, with the reason", func(t *testing.T) {
		e := newEntry(t)
		e.backend.noRoom = &RangeError{}
		e.refused(e.apply(anna, changeOf(2, weighing("cork", cork, 5))), NoRoom)
		e.is.Equal(e.inForce().Number, uint64(2))
	})
	t.Run("refuses invalid contracts by field", func(t *testing.T) {
		e := newEntry(t)
		c := weighing("cork", cork, 5)
		c.Limits.OpenJobs = 0
		problem := e.refused(e.apply(anna, changeOf(2, c)), Invalid)
		e.is.Equal(fieldsOf(problem), []string{"changes[0].contract.limits.open"})
		e.refused(e.apply(anna, changeOf(2, weighing("cork", mill, 5))), Invalid) // a token of another team
		e.refused(e.apply(anna, changeOf(9, weighing("cork", cork, 5))), Invalid) // a number to come
	})
	t.Run("removes a contract and its tokens", func(t *testing.T) {
		e := newEntry(t)
		e.submitted(cork, "k1", executorJob("pricing"))
		e.applied(anna, ChangeRequest{
			Base: 2,
			Changes: []ContractChange{
				{
					Team:    "cork",
					Removed: true,
				},
			},
		})
		e.clock.Advance(inForceWithin)
		e.refused(e.submit(cork, "k2", executorJob("pricing")), Unauthenticated)
	})
}

// TestApplyAtOnce lets another operator's change in between the reading and
// the write of the first one's, and then many operators in at once.
func TestApplyAtOnce(t *testing.T) {
	t.Run("the second write is refused and shows the first", func(t *testing.T) {
		e := newEntry(t)
		first := true
		race := &racing{
			Table: e.table,
			act:   func() {},
		}
		other := *e
		other.store = sesamestore.New(race, e.table)
		other.start()
		race.act = func() {
			if first {
				first = false
				e.applied(anna, changeOf(2, weighing("cork", cork, 5)))
			}
		}
		problem := other.refused(other.apply(berta, changeOf(2, weighing("mill", mill, 7))), ContractsChanged)
		e.is.Equal(problem.Changes[0].Operator, "anna")
		e.is.Equal(e.weightOf("cork"), 5)
		e.is.Equal(e.weightOf("mill"), 1)
	})
	t.Run("of many with one base, one is accepted", func(t *testing.T) {
		e := newEntry(t)
		var group errgroup.Group
		codes := make([]int, 16)
		for i := range codes {
			other := e.peer()
			group.Go(func() error {
				codes[i] = other.apply(anna, changeOf(2, weighing("cork", cork, i+2))).Code
				return nil
			})
		}
		e.is.NoErr(group.Wait())
		slices.Sort(codes)
		e.is.Equal(codes[0], http.StatusOK)
		e.is.Equal(codes[1], http.StatusConflict)
		e.is.Equal(e.inForce().Number, uint64(3))
	})
}

// TestApplyLostAnswer loses the answer of the acceptance in every way, while
// another operator may change contracts too, and repeats the request.
func TestApplyLostAnswer(t *testing.T) {
	fates := map[string]sesamestandin.WriteFault{
		"taken":     sesamestandin.AnswerLost,
		"not taken": sesamestandin.WriteDropped,
	}
	for name, fate := range fates {
		for _, other := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				e := newEntry(t)
				e.table.SetFaults(sesamestandin.Faults{
					OnWrite: func(int) sesamestandin.WriteFault {
						return fate
					},
				})
				q := changeOf(2, weighing("cork", cork, 5))
				first := e.apply(anna, q)
				e.is.Equal(first.Code == http.StatusOK, fate == sesamestandin.AnswerLost) // found in the log
				e.table.SetFaults(sesamestandin.Faults{})
				if other {
					e.applied(berta, changeOf(e.inForce().Number, weighing("mill", mill, 9)))
				}
				again := e.apply(anna, q)
				taken := fate == sesamestandin.AnswerLost || !other
				e.is.Equal(again.Code == http.StatusOK, taken)
				e.is.Equal(len(e.changesBy("anna", 2)), map[bool]int{true: 1, false: 0}[taken])
			})
		}
	}
}

func (e *entry) changesBy(operator string, since uint64) []sesamemodel.Change {
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

func TestRollback(t *testing.T) {
	t.Run("returns to an earlier number as a new change", func(t *testing.T) {
		e := newEntry(t)
		e.applied(anna, changeOf(2, weighing("cork", cork, 5)))
		e.applied(anna, changeOf(3, contract("crew", "crew-token")))
		w := e.call(http.MethodPost, "/v1/contracts/rollback", anna, RollbackRequest{
			Base: 4,
			To:   2,
		})
		e.is.Equal(answer[ChangeResult](e, w).Number, uint64(6))
		e.is.Equal(len(e.inForce().Contracts), 2)
		e.is.Equal(e.weightOf("cork"), 1)
	})
	t.Run("is limited to one team", func(t *testing.T) {
		e := newEntry(t)
		e.applied(anna, changeOf(2, weighing("cork", cork, 5), weighing("mill", mill, 5)))
		e.call(http.MethodPost, "/v1/contracts/rollback", anna, RollbackRequest{
			Base: 4,
			To:   2,
			Team: "mill",
		})
		e.is.Equal(e.weightOf("cork"), 5)
		e.is.Equal(e.weightOf("mill"), 1)
	})
	t.Run("conflicts with changes that the operator has not seen", func(t *testing.T) {
		e := newEntry(t)
		e.applied(anna, changeOf(2, weighing("cork", cork, 5)))
		e.applied(berta, changeOf(3, weighing("mill", mill, 9)))
		w := e.call(http.MethodPost, "/v1/contracts/rollback", anna, RollbackRequest{
			Base: 3,
			To:   2,
		})
		e.refused(w, ContractsChanged)
	})
	t.Run("keeps every change in the history", func(t *testing.T) {
		e := newEntry(t)
		e.applied(anna, changeOf(2, weighing("cork", cork, 5)))
		page := answer[ChangeHistory](e, e.call(http.MethodGet, "/v1/contracts/history?since=1", anna, nil))
		e.is.Equal(len(page.Changes), 2)
		e.is.Equal(page.Changes[1].Operator, "anna")
	})
}

// cutTable does not answer for contracts.
type cutTable struct {
	sesametable.Table
	cut bool
}

func (c *cutTable) Get(ctx context.Context, key string) (sesametable.Row, error) {
	if c.cut && strings.HasPrefix(key, "contract/") {
		return sesametable.Row{}, &sesametable.UnavailableError{
			Operation: "get",
		}
	}
	return c.Table.Get(ctx, key)
}

// TestCutEntry accepts a change while an entry cannot read contracts, though
// it can write jobs: after the bound it accepts nothing under the older one.
func TestCutEntry(t *testing.T) {
	e := newEntry(t)
	table := &cutTable{
		Table: e.table,
	}
	other := *e
	other.store = sesamestore.New(table, e.table)
	other.start()
	other.submitted(cork, "k1", executorJob("pricing"))
	table.cut = true
	without := weighing("cork", "new-token", 1)
	e.applied(anna, changeOf(2, without))
	e.clock.Advance(inForceWithin)
	problem := other.refused(other.submit(cork, "k2", executorJob("pricing")), Unavailable)
	e.is.Equal(problem.Outcome, Unchanged)
	table.cut = false
	other.refused(other.submit(cork, "k2", executorJob("pricing")), Unauthenticated)
	e.is.Equal(other.submit("new-token", "k2", executorJob("pricing")).Code, http.StatusCreated)
	set, err := other.watch.Set()
	e.is.NoErr(err)
	_, ok := set.ByTokenDigest(sesamecontract.Digest(cork))
	e.is.True(!ok)
}

// TestApplyAllTeams applies the contracts of the target's 280 teams at once.
func TestApplyAllTeams(t *testing.T) {
	const teams = 280
	e := newEntry(t)
	q := ChangeRequest{
		Base: 2,
	}
	for n := range teams {
		c := contract(sesamemodel.TeamID(fmt.Sprint("team-", n)), fmt.Sprint("token-", n))
		q.Changes = append(q.Changes, changeOf(2, c).Changes...)
	}
	e.is.Equal(len(e.applied(anna, q).Differences), teams)
	e.is.Equal(len(e.inForce().Contracts), teams+2)
}

package sesameapi

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// Contracts returns the contracts in force. Like the other calls in this file, it
// needs an operator's token.
func (c *Client) Contracts(ctx context.Context) (ContractList, error) {
	list, _, _, err := fetch[ContractList](ctx, c, call{
		method: http.MethodGet,
		path:   "/v1/contracts",
	})
	return list, err
}

// ApplyContracts changes contracts. It fails with a *ProblemError of type
// ContractsChanged, which lists the changes of others, if a change newer than the
// request's base was accepted. Repeating it is safe.
func (c *Client) ApplyContracts(ctx context.Context, q ChangeRequest) (ChangeResult, error) {
	return c.post(ctx, "/v1/contracts", nil, q)
}

// DiffContracts returns what ApplyContracts would change, without changing it, and
// fails where that would fail.
func (c *Client) DiffContracts(ctx context.Context, q ChangeRequest) (ChangeResult, error) {
	return c.post(ctx, "/v1/contracts", dryRun(), q)
}

// RollbackContracts restores the contracts as they were after an earlier change,
// as new changes. A dry run only returns the differences.
func (c *Client) RollbackContracts(ctx context.Context, q RollbackRequest, dry bool) (ChangeResult, error) {
	var query url.Values
	if dry {
		query = dryRun()
	}
	return c.post(ctx, "/v1/contracts/rollback", query, q)
}

// dryRun returns the query that makes a request show its differences only,
// without changing contracts.
func dryRun() url.Values {
	return url.Values{
		"dry-run": []string{"true"},
	}
}

// post sends the request q for a change of contracts to the path. The error is a
// *ProblemError, *UnreachableError or *InvalidResponseError.
func (c *Client) post(ctx context.Context, path string, query url.Values, q any) (ChangeResult, error) {
	body, err := marshal(q)
	if err != nil {
		return ChangeResult{}, err
	}
	result, _, _, err := fetch[ChangeResult](ctx, c, call{
		method: http.MethodPost,
		path:   path,
		query:  query,
		body:   body,
	})
	return result, err
}

// ContractHistory returns all accepted changes with a number above since, oldest
// first.
func (c *Client) ContractHistory(ctx context.Context, since uint64) ([]sesamemodel.Change, error) {
	var changes []sesamemodel.Change
	for {
		page, _, _, err := fetch[ChangeHistory](ctx, c, call{
			method: http.MethodGet,
			path:   "/v1/contracts/history",
			query: url.Values{
				"since": []string{strconv.FormatUint(since, 10)},
			},
		})
		if err != nil {
			return nil, err
		}
		changes = append(changes, page.Changes...)
		if page.Next == 0 {
			return changes, nil
		}
		since = page.Next
	}
}

// Targets returns all targets (workers and executors) of the entry's region.
func (c *Client) Targets(ctx context.Context) ([]TargetStatus, error) {
	list, _, _, err := fetch[TargetList](ctx, c, call{
		method: http.MethodGet,
		path:   "/v1/targets",
	})
	return list.Targets, err
}

// EndQuarantine makes a quarantined target, one that is kept from new work for a
// time because jobs failed there, ready for work at once and resets its failure
// counters. A target in another state is left unchanged. It returns the target.
func (c *Client) EndQuarantine(ctx context.Context, id sesamemodel.TargetID) (TargetStatus, error) {
	target, _, _, err := fetch[TargetStatus](ctx, c, call{
		method: http.MethodPost,
		path:   "/v1/targets/" + url.PathEscape(string(id)) + "/release",
	})
	return target, err
}

package sesamecontract

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"sort"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// Set is an immutable collection of the contracts of all teams that are in
// force after one accepted change.
type Set struct {
	number uint64
	teams  map[sesamemodel.TeamID]sesamemodel.Contract
	// tokens has the team of each access token by the token's digest.
	tokens map[string]sesamemodel.TeamID
}

// NewSet returns the contracts in force after the change of that number.
func NewSet(number uint64, contracts []sesamemodel.Contract) *Set {
	teams := make(map[sesamemodel.TeamID]sesamemodel.Contract, len(contracts))
	for _, c := range contracts {
		teams[c.Team] = c
	}
	return newSet(number, teams)
}

// newSet builds the index of access tokens. It keeps the map of teams, which
// must not be changed afterwards.
func newSet(number uint64, teams map[sesamemodel.TeamID]sesamemodel.Contract) *Set {
	tokens := map[string]sesamemodel.TeamID{}
	for team, c := range teams {
		for _, digest := range c.TokenDigests {
			tokens[digest] = team
		}
	}
	return &Set{
		number: number,
		teams:  teams,
		tokens: tokens,
	}
}

// Number returns the number of the newest accepted change in the set. The first
// change has number 1, and there are no gaps.
func (s *Set) Number() uint64 {
	return s.number
}

// Len returns the number of contracts.
func (s *Set) Len() int {
	return len(s.teams)
}

// Team returns the contract of a team, and whether the team has one.
func (s *Set) Team(id sesamemodel.TeamID) (sesamemodel.Contract, bool) {
	c, ok := s.teams[id]
	return c, ok
}

// ByTokenDigest returns the contract that lists the digest of an access token
// (see Digest), and whether there is such a contract.
func (s *Set) ByTokenDigest(digest string) (sesamemodel.Contract, bool) {
	team, ok := s.tokens[digest]
	if !ok {
		return sesamemodel.Contract{}, false
	}
	return s.Team(team)
}

// Contracts returns all contracts, sorted by team.
func (s *Set) Contracts() []sesamemodel.Contract {
	contracts := make([]sesamemodel.Contract, 0, len(s.teams))
	for _, c := range s.teams {
		contracts = append(contracts, c)
	}
	sort.Slice(contracts, func(i, k int) bool {
		return contracts[i].Team < contracts[k].Team
	})
	return contracts
}

// GapError means that a number is missing among accepted changes, so that all
// contracts must be read again.
type GapError struct {
	// Expected is the number that is missing.
	Expected uint64
	// Found is the number of the change found in its place.
	Found uint64
}

// Error returns a message with the missing number and the one found instead.
func (e *GapError) Error() string {
	return fmt.Sprintf("change %d of contracts is missing, found change %d", e.Expected, e.Found)
}

// WithChanges returns the set after further accepted changes, which must be in
// the order of their numbers. Changes that the set already contains have no
// effect. The error is a *GapError.
func (s *Set) WithChanges(changes []sesamemodel.Change) (*Set, error) {
	number := s.number
	teams := maps.Clone(s.teams)
	for _, change := range changes {
		if change.Number <= number {
			continue
		}
		if change.Number != number+1 {
			return nil, &GapError{
				Expected: number + 1,
				Found:    change.Number,
			}
		}
		number = change.Number
		applyIfNewer(teams, change)
	}
	if number == s.number {
		return s, nil
	}
	return newSet(number, teams), nil
}

// applyIfNewer applies a change to the teams, unless the team's contract is
// already as new. That happens because Load reads the number before the rows,
// so a row may contain a later change.
func applyIfNewer(teams map[sesamemodel.TeamID]sesamemodel.Contract, change sesamemodel.Change) {
	if held, ok := teams[change.Team]; ok && held.Number >= change.Number {
		return
	}
	if change.Removed {
		delete(teams, change.Team)
		return
	}
	teams[change.Team] = change.Contract
}

// Digest returns the SHA-256 of an access token in lower-case hex. Contracts
// and settings contain this digest instead of the token.
func Digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

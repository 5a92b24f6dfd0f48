package sesamemodel

import "time"

// TeamID identifies a team. Each team has one contract.
type TeamID string

// Urgency orders owed work, which is work placed within a team's guarantee. A
// lower Rank starts first.
type Urgency string

// The urgencies, from the most to the least urgent.
const (
	Urgent Urgency = "urgent"
	Normal Urgency = "normal"
	Batch  Urgency = "batch"
)

// Rank orders urgencies: 0 is the most urgent. An unknown urgency ranks last.
func (u Urgency) Rank() int {
	switch u {
	case Urgent:
		return 0
	case Normal:
		return 1
	case Batch:
		return 2
	}
	return 3
}

// Class is a kind of work that a team may submit under its contract.
type Class struct {
	Name    string  `json:"name" yaml:"name"`
	Urgency Urgency `json:"urgency" yaml:"urgency"`
	// AtMostOnce marks jobs that must run at most once, such as a payment.
	AtMostOnce bool `json:"once,omitempty" yaml:"once"`
}

// Limits bounds what a team may ask of the scheduler. Rate and Burst are the
// parameters of a token bucket that each entry keeps for each team.
type Limits struct {
	// OpenJobs is the most jobs of the team that may be queued or running at a
	// time.
	OpenJobs int `json:"open" yaml:"open"`
	// Rate is the most submissions a second that one entry accepts on average.
	Rate float64 `json:"rate" yaml:"rate"`
	// Burst is the most submissions that one entry accepts at once.
	Burst int `json:"burst" yaml:"burst"`
	// RetriesPerHour is the most retries an hour on average, and the most at once,
	// that one entry grants over all jobs of the team. A retry is an attempt that
	// follows a failed one.
	RetriesPerHour int `json:"retries" yaml:"retries"`
	// Borrow is the most accelerators that the team may borrow, which means use
	// beyond its guarantees.
	Borrow int `json:"borrow" yaml:"borrow"`
}

// Contract is what the operators promise one team. All limits on the team come
// from it.
type Contract struct {
	Team TeamID `json:"team" yaml:"team"`
	// Number is the position of this version in the sequence of all accepted
	// changes of all contracts. It is assigned when a change is accepted.
	Number uint64 `json:"number" yaml:"-"`
	// Weight is the team's share of borrowed capacity, relative to the weights
	// of other teams.
	Weight int `json:"weight" yaml:"weight"`
	// Guarantees are the shapes that the team can always get: capacity that
	// other teams have borrowed is reclaimed for them.
	Guarantees []Shape `json:"guarantees,omitempty" yaml:"guarantees"`
	Classes    []Class `json:"classes" yaml:"classes"`
	Limits     Limits  `json:"limits" yaml:"limits"`
	// TokenDigests are the SHA-256 digests of the team's access tokens, in hex.
	TokenDigests []string `json:"tokens" yaml:"tokens"`
}

// Class returns the class with that name and whether the contract has it.
func (c Contract) Class(name string) (Class, bool) {
	for _, cl := range c.Classes {
		if cl.Name == name {
			return cl, true
		}
	}
	return Class{}, false
}

// GuaranteedAccelerators returns the number of accelerators in all guaranteed
// shapes together.
func (c Contract) GuaranteedAccelerators() int {
	total := 0
	for _, s := range c.Guarantees {
		total += s.Total()
	}
	return total
}

// WithNumber returns the contract with Number set to n: the position, among all
// accepted changes of contracts, of the change that made this version.
func (c Contract) WithNumber(n uint64) Contract {
	c.Number = n
	return c
}

// Change records one accepted change of a contract in the history of contracts.
type Change struct {
	// Number is the position of the change among all accepted changes of all
	// contracts.
	Number uint64 `json:"number"`
	Team   TeamID `json:"team"`
	// Operator is the name of the operator who made the change.
	Operator string    `json:"operator"`
	Time     time.Time `json:"time"`
	// Removed is true when the contract was removed; Contract is then empty.
	Removed bool `json:"removed,omitempty"`
	// Contract is the contract after the change.
	Contract Contract `json:"contract"`
}

package sesamemodel

import "time"

// TeamID names a team, the holder of one contract.
type TeamID string

// Urgency ranks owed work. A lower Rank starts first.
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

// Class describes one kind of work that a team may submit.
type Class struct {
	Name    string  `json:"name" yaml:"name"`
	Urgency Urgency `json:"urgency" yaml:"urgency"`
	// AtMostOnce marks work that must run at most once, such as a payment.
	AtMostOnce bool `json:"once,omitempty" yaml:"once"`
}

// Limits bounds what a team may ask of the system.
type Limits struct {
	// OpenJobs is the most jobs of the team that may be queued or running.
	OpenJobs int `json:"open" yaml:"open"`
	// Rate is the most submissions a second that one entry accepts.
	Rate float64 `json:"rate" yaml:"rate"`
	// Burst is the most submissions that one entry accepts at once.
	Burst int `json:"burst" yaml:"burst"`
	// RetriesPerHour is the most further attempts an hour, over all jobs of the team.
	RetriesPerHour int `json:"retries" yaml:"retries"`
	// Borrow is the most accelerators used beyond the guarantees.
	Borrow int `json:"borrow" yaml:"borrow"`
}

// Contract is what operators promise one team. Every limit follows from it.
type Contract struct {
	Team TeamID `json:"team" yaml:"team"`
	// Number is the position of this version among all accepted changes of
	// all contracts; the system assigns it.
	Number uint64 `json:"number" yaml:"-"`
	// Weight is the team's share of borrowed capacity relative to others.
	Weight int `json:"weight" yaml:"weight"`
	// Guarantees are the shapes that can always be reclaimed.
	Guarantees []Shape `json:"guarantees,omitempty" yaml:"guarantees"`
	Classes    []Class `json:"classes" yaml:"classes"`
	Limits     Limits  `json:"limits" yaml:"limits"`
	// TokenDigests are the SHA-256 digests of the team's access tokens, in hex.
	TokenDigests []string `json:"tokens" yaml:"tokens"`
}

// Class returns the class of that name and whether the contract has it.
func (c Contract) Class(name string) (Class, bool) {
	for _, cl := range c.Classes {
		if cl.Name == name {
			return cl, true
		}
	}
	return Class{}, false
}

// GuaranteedAccelerators returns the accelerators in all guaranteed shapes.
func (c Contract) GuaranteedAccelerators() int {
	total := 0
	for _, s := range c.Guarantees {
		total += s.Total()
	}
	return total
}

// WithNumber returns the contract as accepted at that number.
func (c Contract) WithNumber(n uint64) Contract {
	c.Number = n
	return c
}

// Change records one accepted change of a contract.
type Change struct {
	Number   uint64    `json:"number"`
	Team     TeamID    `json:"team"`
	Operator string    `json:"operator"`
	Time     time.Time `json:"time"`
	// Removed marks the end of the contract; Contract is then empty.
	Removed  bool     `json:"removed,omitempty"`
	Contract Contract `json:"contract"`
}

package sesamework

import (
	"strings"
	"time"

	"github.com/sesamestack/sesamestack/sesamerows"
)

// Queue accepts jobs of one kind and gives them their Terms.
type Queue struct {
	Name string
	// Host and Prefix select the queue for a caller's request, by its host and
	// the beginning of its path; see Route.
	Host   string
	Prefix string
	Terms  Terms
	// Public says that requests need no access key.
	Public bool
	// Timeout is the most time that the handling of one request may take.
	Timeout time.Duration
}

// Team is a group of callers that share a guarantee of accelerators.
type Team struct {
	Name string
	// Keys are the access keys of its callers.
	Keys []string
	// Guaranteed is the number of accelerators that the team can have at any
	// time, for its jobs of priority 0.
	Guaranteed int64
}

// Bounds limits callers' requests and connections.
type Bounds struct {
	// HeaderBytes and BodyBytes are the most bytes of a request's headers and
	// body; 0 means that the policy sets no limit.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is how long a request's headers may take to arrive, and
	// IdleTimeout how long a connection without a request is kept open.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Policy is one version of the operators' configuration. It is immutable.
type Policy struct {
	// Number grows with each change.
	Number int64
	// Guard is the condition of a transaction that relies on this policy
	// (optimistic concurrency): it holds while no newer policy is in force.
	Guard  sesamerows.Expect
	Queues []Queue
	Teams  []Team
	Bounds Bounds
}

// WithGuard returns the policy with another guard. It keeps a policy in force
// while the store holds a newer row of it that can't be read; the guard is then
// that row.
func (p Policy) WithGuard(guard sesamerows.Expect) *Policy {
	p.Guard = guard
	return &p
}

// Route returns the queue for a request to that host and path, or false if
// there is none. Of the queues of the host, it is the one with the longest
// Prefix that the path starts with. Case does not matter in the host.
func (p *Policy) Route(host, path string) (Queue, bool) {
	best := -1
	for i, q := range p.Queues {
		if !strings.EqualFold(q.Host, host) || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best < 0 || len(q.Prefix) > len(p.Queues[best].Prefix) {
			best = i
		}
	}
	if best < 0 {
		return Queue{}, false
	}
	return p.Queues[best], true
}

// TeamByKey returns the team that the access key belongs to, or false if there
// is none. No team has the empty key.
func (p *Policy) TeamByKey(key string) (Team, bool) {
	if key == "" {
		return Team{}, false
	}
	for _, t := range p.Teams {
		for _, k := range t.Keys {
			if k == key {
				return t, true
			}
		}
	}
	return Team{}, false
}

// GuaranteedAccelerators returns the number of accelerators that a team can
// have at any time. It is 0 for an unknown team and for a nil policy.
func (p *Policy) GuaranteedAccelerators(team string) int64 {
	if p == nil {
		return 0
	}
	for _, t := range p.Teams {
		if t.Name == team {
			return t.Guaranteed
		}
	}
	return 0
}

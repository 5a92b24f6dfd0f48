package sesamework

import (
	"strings"
	"time"

	"github.com/sesamestack/sesamestack/sesamerows"
)

// Queue takes jobs of one kind.
type Queue struct {
	Name string
	// Host and Prefix select the queue for a caller's request.
	Host   string
	Prefix string
	Terms  Terms
	// Public queues need no access key.
	Public bool
	// Timeout bounds the handling of one request.
	Timeout time.Duration
}

// Team holds a guarantee.
type Team struct {
	Name string
	// Keys are the access keys of its callers.
	Keys []string
	// Guaranteed accelerators are the team's at any time, for jobs of
	// priority 0.
	Guaranteed int64
}

// Bounds on callers' requests.
type Bounds struct {
	// HeaderBytes and BodyBytes; 0 means no bound of the policy's.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is how long a request's headers may take, and IdleTimeout
	// how long a connection is kept without one.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Policy is what operators have put into force. A Policy is never changed.
type Policy struct {
	// Number grows with each change.
	Number int64
	// Guard holds while no newer policy is in force.
	Guard  sesamerows.Expect
	Queues []Queue
	Teams  []Team
	Bounds Bounds
}

// WithGuard returns the policy in force beside a newer row that can't be read.
func (p Policy) WithGuard(guard sesamerows.Expect) *Policy {
	p.Guard = guard
	return &p
}

// Route returns the queue with the longest prefix of the path.
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

// TeamByKey returns the team that the access key belongs to.
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

// GuaranteedAccelerators returns the accelerators that a team can always have.
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

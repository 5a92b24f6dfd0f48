package sesameentry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// memberStatus is when a member's beat was last seen to grow.
type memberStatus struct {
	member      sesamemodel.Member
	lastRenewal time.Time
	// suspect is true after a failed call, until the beat grows again.
	suspect bool
}

// roster follows which entries live, by the growth of their beats on this
// entry's own clock.
type roster struct {
	self    sesamemodel.Member
	timeout time.Duration
	clock   clockwork.Clock

	mu      sync.Mutex
	members map[string]memberStatus
}

// newRoster returns a roster of this entry alone. A member whose beat stands
// still for longer than window is taken for gone.
func newRoster(self sesamemodel.Member, timeout time.Duration, clock clockwork.Clock) *roster {
	return &roster{
		self:    self,
		timeout: timeout,
		clock:   clock,
		members: map[string]memberStatus{},
	}
}

// observe takes in the members as the table lists them now.
func (r *roster) observe(members []sesamemodel.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for _, m := range members {
		known, ok := r.members[m.ID]
		if ok && known.member.Heartbeat == m.Heartbeat && known.member.Address == m.Address {
			continue
		}
		r.members[m.ID] = memberStatus{
			member:      m,
			lastRenewal: now,
		}
	}
}

// suspect leaves the member out until its beat grows again.
func (r *roster) suspect(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.members[id]
	if ok {
		known.suspect = true
		r.members[id] = known
	}
}

// liveMembers returns the members of this entry's region that liveMembers, itself included.
func (r *roster) liveMembers() []sesamemodel.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	members := []sesamemodel.Member{r.self}
	for _, s := range r.members {
		if r.isLive(s, now) {
			members = append(members, s.member)
		}
	}
	return members
}

// isLive reports whether the sighting is of another entry of this region that
// may be relied on.
func (r *roster) isLive(s memberStatus, now time.Time) bool {
	if s.member.ID == r.self.ID || s.member.Region != r.self.Region {
		return false
	}
	return !s.suspect && !s.member.Left && now.Sub(s.lastRenewal) <= r.timeout
}

// Preferred returns the live entries of the region in the order of rendezvous
// hashing for the key, the most preferred first.
func (r *roster) Preferred(key string) []sesamemodel.Member {
	members := r.liveMembers()
	slices.SortFunc(members, func(a, b sesamemodel.Member) int {
		return cmp.Or(
			cmp.Compare(score(b.ID, key), score(a.ID, key)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return members
}

// score is the weight of a member for the key; the highest is preferred.
func score(id, key string) uint64 {
	return xxhash.Sum64String(id + "\x00" + key)
}

// First returns the most preferred live entry for the key.
func (r *roster) First(key string) sesamemodel.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	first := r.self
	best := score(first.ID, key)
	for id, s := range r.members {
		if !r.isLive(s, now) {
			continue
		}
		if weight := score(id, key); weight > best || weight == best && id < first.ID {
			first, best = s.member, weight
		}
	}
	return first
}

// leads reports whether this entry is the most preferred for the key.
func (r *roster) leads(key string) bool {
	return r.First(key).ID == r.self.ID
}

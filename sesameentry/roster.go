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

// memberStatus holds a member's newest row, and when the member's heartbeat
// number was last seen to grow.
type memberStatus struct {
	member      sesamemodel.Member
	lastRenewal time.Time
	// suspect is true after a failed call, until the heartbeat number grows
	// again.
	suspect bool
}

// roster tracks which entries are live, by when their heartbeat numbers grow.
// It measures that on this entry's own clock, so that the clocks of different
// VMs need not agree. While the table can't be read, the entries that were live
// at the last reading count as live: their silence says nothing then.
type roster struct {
	// self is this entry, which always counts as live.
	self sesamemodel.Member
	// timeout is how long a member stays live after its last renewal.
	timeout time.Duration
	clock   clockwork.Clock

	mu sync.Mutex
	// members has the status of every member seen so far by the member's ID.
	members map[string]memberStatus
	// observedAt is when the member rows were last read.
	observedAt time.Time
}

// newRoster returns a roster of this entry alone. A member whose heartbeat
// number has not grown for longer than the timeout no longer counts as live.
func newRoster(self sesamemodel.Member, timeout time.Duration, clock clockwork.Clock) *roster {
	return &roster{
		self:    self,
		timeout: timeout,
		clock:   clock,
		members: map[string]memberStatus{},
	}
}

// observe records the member rows as just read from the table. A changed
// heartbeat number or address counts as a sign of life.
func (r *roster) observe(members []sesamemodel.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.observedAt = now
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

// suspect excludes the member from the live ones until its heartbeat number
// grows again.
func (r *roster) suspect(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.members[id]
	if ok {
		known.suspect = true
		r.members[id] = known
	}
}

// liveMembers returns the live members of this entry's region, itself included,
// in no particular order.
func (r *roster) liveMembers() []sesamemodel.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := []sesamemodel.Member{r.self}
	for _, s := range r.members {
		if r.isLive(s) {
			members = append(members, s.member)
		}
	}
	return members
}

// liveEntries returns how many entries of all regions are live, this one
// included.
func (r *roster) liveEntries() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 1
	for _, s := range r.members {
		if s.member.ID != r.self.ID && r.hasRenewed(s) {
			count++
		}
	}
	return count
}

// isLive reports whether the status is of another entry of this region that
// hasRenewed.
func (r *roster) isLive(s memberStatus) bool {
	return s.member.ID != r.self.ID && s.member.Region == r.self.Region && r.hasRenewed(s)
}

// hasRenewed reports whether the status is of an entry that is not suspect, has
// not left, and renewed its row within the timeout before the last reading.
func (r *roster) hasRenewed(s memberStatus) bool {
	return !s.suspect && !s.member.Left && r.observedAt.Sub(s.lastRenewal) <= r.timeout
}

// Preferred returns the live entries of the region in the order of rendezvous
// hashing for the key, such as the name of the region. The first is the leader
// for the key; each of the others takes over when those before it don't answer.
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

// score is the rendezvous hash of a member and a key. The live member with the
// highest score is the leader for the key.
func score(id, key string) uint64 {
	return xxhash.Sum64String(id + "\x00" + key)
}

// First returns the leader for the key: the live entry with the highest score,
// or among equal scores the one with the lowest ID.
func (r *roster) First(key string) sesamemodel.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.self
	best := score(first.ID, key)
	for id, s := range r.members {
		if !r.isLive(s) {
			continue
		}
		if weight := score(id, key); weight > best || weight == best && id < first.ID {
			first, best = s.member, weight
		}
	}
	return first
}

// leads reports whether this entry is the leader for the key.
func (r *roster) leads(key string) bool {
	return r.First(key).ID == r.self.ID
}

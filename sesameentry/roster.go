package sesameentry

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/jonboulle/clockwork"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// sighting is when a member's beat was last seen to grow.
type sighting struct {
	member sesamemodel.Member
	since  time.Time
	// suspect is true after a failed call, until the beat grows again.
	suspect bool
}

// roster follows which entries live, by the growth of their beats on this
// entry's own clock.
type roster struct {
	self   sesamemodel.Member
	window time.Duration
	clock  clockwork.Clock

	mu   sync.Mutex
	seen map[string]sighting
}

// newRoster returns a roster of this entry alone. A member whose beat stands
// still for longer than window is taken for gone.
func newRoster(self sesamemodel.Member, window time.Duration, clock clockwork.Clock) *roster {
	return &roster{
		self:   self,
		window: window,
		clock:  clock,
		seen:   map[string]sighting{},
	}
}

// observe takes in the members as the table lists them now.
func (r *roster) observe(members []sesamemodel.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for _, m := range members {
		known, ok := r.seen[m.ID]
		if ok && known.member.Beat == m.Beat && known.member.Address == m.Address {
			continue
		}
		r.seen[m.ID] = sighting{
			member: m,
			since:  now,
		}
	}
}

// suspect leaves the member out until its beat grows again.
func (r *roster) suspect(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.seen[id]
	if ok {
		known.suspect = true
		r.seen[id] = known
	}
}

// live returns the members of this entry's region that live, itself included.
func (r *roster) live() []sesamemodel.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	members := []sesamemodel.Member{r.self}
	for id, s := range r.seen {
		silent := now.Sub(s.since) > r.window
		if id == r.self.ID || silent || s.suspect || s.member.Region != r.self.Region {
			continue
		}
		members = append(members, s.member)
	}
	return members
}

// Preferred returns the live entries of the region in the order of rendezvous
// hashing for the key, the most preferred first.
func (r *roster) Preferred(key string) []sesamemodel.Member {
	members := r.live()
	byID := map[string]sesamemodel.Member{}
	ids := make([]string, 0, len(members))
	for _, m := range members {
		byID[m.ID] = m
		ids = append(ids, m.ID)
	}
	slices.Sort(ids)
	ring := rendezvous.New(ids, xxhash.Sum64String)
	ordered := make([]sesamemodel.Member, 0, len(ids))
	for range ids {
		id := ring.Lookup(key)
		ordered = append(ordered, byID[id])
		ring.Remove(id)
	}
	return ordered
}

// leads reports whether this entry is the most preferred for the key.
func (r *roster) leads(key string) bool {
	return r.Preferred(key)[0].ID == r.self.ID
}

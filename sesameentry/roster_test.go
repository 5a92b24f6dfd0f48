package sesameentry

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// rosterTimeout is the timeout of the rosters under test, as of a real entry.
const rosterTimeout = maxMissedRenewals * renewInterval

// testMember returns an entry in region "north" with that heartbeat number.
func testMember(id string, heartbeat uint64) sesamemodel.Member {
	return sesamemodel.Member{
		ID:        id,
		Region:    "north",
		Address:   id + ":1",
		Heartbeat: heartbeat,
	}
}

// idSet returns the set of the members' IDs.
func idSet(members []sesamemodel.Member) map[string]bool {
	out := map[string]bool{}
	for _, m := range members {
		out[m.ID] = true
	}
	return out
}

// TestRoster covers which members count as live, and that the order of
// rendezvous hashing changes only for the keys of a lost member.
func TestRoster(t *testing.T) {
	t.Run("excludes a member that stopped renewing", func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewFakeClock()
		r := newRoster(testMember("e1", 0), rosterTimeout, clock)
		r.observe([]sesamemodel.Member{testMember("e2", 1)})
		is.Equal(len(r.liveMembers()), 2)
		clock.Advance(rosterTimeout + 1)
		r.observe([]sesamemodel.Member{testMember("e2", 1)})
		is.Equal(len(r.liveMembers()), 1)
		r.observe([]sesamemodel.Member{testMember("e2", 2)})
		is.Equal(len(r.liveMembers()), 2)
	})
	t.Run("keeps its view while the table can't be read", func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewFakeClock()
		r := newRoster(testMember("e1", 0), rosterTimeout, clock)
		r.observe([]sesamemodel.Member{testMember("e2", 1)})
		clock.Advance(10 * rosterTimeout)
		is.Equal(len(r.liveMembers()), 2)
		is.Equal(r.liveEntries(), 2)
	})
	t.Run("excludes a suspect until it renews", func(t *testing.T) {
		is := is.New(t)
		r := newRoster(testMember("e1", 0), rosterTimeout, clockwork.NewFakeClock())
		r.observe([]sesamemodel.Member{testMember("e2", 1)})
		r.suspect("e2")
		r.observe([]sesamemodel.Member{testMember("e2", 1)})
		is.Equal(len(r.liveMembers()), 1)
		r.observe([]sesamemodel.Member{testMember("e2", 2)})
		is.Equal(len(r.liveMembers()), 2)
	})
	t.Run("excludes members that left or are in another region", func(t *testing.T) {
		is := is.New(t)
		r := newRoster(testMember("e1", 0), rosterTimeout, clockwork.NewFakeClock())
		left, far := testMember("e2", 1), testMember("e3", 1)
		left.Left = true
		far.Region = "south"
		r.observe([]sesamemodel.Member{left, far})
		is.Equal(len(r.liveMembers()), 1)
	})
	t.Run("losing a member changes the leader of its own cells only", rapid.MakeCheck(func(t *rapid.T) {
		is := is.New(t)
		n := rapid.IntRange(2, 8).Draw(t, "entries")
		r := newRoster(testMember("e0", 0), rosterTimeout, clockwork.NewFakeClock())
		var all []sesamemodel.Member
		for i := 1; i < n; i++ {
			all = append(all, testMember(fmt.Sprintf("e%d", i), 1))
		}
		r.observe(all)
		key := rapid.String().Draw(t, "cell")
		before := r.Preferred(key)
		is.Equal(len(idSet(before)), n) // every entry once
		is.Equal(r.First(key).ID, before[0].ID)
		lost := rapid.IntRange(1, n-1).Draw(t, "lost")
		r.suspect(fmt.Sprintf("e%d", lost))
		after := r.Preferred(key)
		if before[0].ID != fmt.Sprintf("e%d", lost) {
			is.Equal(after[0].ID, before[0].ID)
		} else {
			is.Equal(after[0].ID, before[1].ID)
		}
	}))
}

// BenchmarkFirst measures finding the leader among 2 to 16 entries.
func BenchmarkFirst(b *testing.B) {
	for _, n := range []int{2, 4, 16} {
		b.Run(fmt.Sprintf("%d entries", n), func(b *testing.B) {
			r := newRoster(testMember("e0", 0), time.Hour, clockwork.NewRealClock())
			var all []sesamemodel.Member
			for i := 1; i < n; i++ {
				all = append(all, testMember(fmt.Sprintf("e%d", i), 1))
			}
			r.observe(all)
			b.ReportAllocs()
			for b.Loop() {
				r.First("north/a")
			}
		})
	}
}

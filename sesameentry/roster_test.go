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

const rosterTimeout = maxMissedRenewals * renewInterval

func testMember(id string, beat uint64) sesamemodel.Member {
	return sesamemodel.Member{
		ID:        id,
		Region:    "north",
		Address:   id + ":1",
		Heartbeat: beat,
	}
}

func idSet(members []sesamemodel.Member) map[string]bool {
	out := map[string]bool{}
	for _, m := range members {
		out[m.ID] = true
	}
	return out
}

func TestRoster(t *testing.T) {
	t.Run("leaves out who stopped renewing", func(t *testing.T) {
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
	t.Run("leaves out a suspect until it renews", func(t *testing.T) {
		is := is.New(t)
		r := newRoster(testMember("e1", 0), rosterTimeout, clockwork.NewFakeClock())
		r.observe([]sesamemodel.Member{testMember("e2", 1)})
		r.suspect("e2")
		r.observe([]sesamemodel.Member{testMember("e2", 1)})
		is.Equal(len(r.liveMembers()), 1)
		r.observe([]sesamemodel.Member{testMember("e2", 2)})
		is.Equal(len(r.liveMembers()), 2)
	})
	t.Run("leaves out who left and who is elsewhere", func(t *testing.T) {
		is := is.New(t)
		r := newRoster(testMember("e1", 0), rosterTimeout, clockwork.NewFakeClock())
		left, far := testMember("e2", 1), testMember("e3", 1)
		left.Left = true
		far.Region = "south"
		r.observe([]sesamemodel.Member{left, far})
		is.Equal(len(r.liveMembers()), 1)
	})
	t.Run("losing a member moves only its own cells", rapid.MakeCheck(func(t *rapid.T) {
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
		is.Equal(len(idSet(before)), n) // an order of all, each once
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

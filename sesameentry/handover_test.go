package sesameentry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamering"
)

// neverLeader is the leadership of an entry that is not the leader, as after
// another entry was elected.
type neverLeader struct{}

func (neverLeader) leads(string) bool {
	return false
}

// TestHandOver checks that an entry which is no longer the leader sends the
// jobs that it knew to the new one.
func TestHandOver(t *testing.T) {
	is := is.New(t)
	w := newPlanningFixture(is, 1, 1)
	known := w.submit(is, 8)
	w.sendHint(is, 0, hint{
		Jobs: []sesamemodel.JobID{known},
	})
	p := w.planners[0]
	p.leader = neverLeader{}
	w.sendHint(is, 0, hint{
		Tick: true,
	})
	q := p.queue.(*fakeQueue)
	is.Equal(len(q.forwarded), 1)
	h, err := sesamering.Decode[hint](q.forwarded[0])
	is.NoErr(err)
	is.Equal(h.Jobs, []sesamemodel.JobID{known})
}

package sesameentry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamering"
)

// neverLeader no longer plans.
type neverLeader struct{}

func (neverLeader) leads(string) bool {
	return false
}

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

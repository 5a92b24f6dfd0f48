package sesameentry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamering"
)

// formerLeader no longer plans.
type formerLeader struct{}

func (formerLeader) leads(string) bool {
	return false
}

func TestHandOver(t *testing.T) {
	is := is.New(t)
	w := newPlanningWorld(is, 1, 1)
	known := w.submit(is, 8)
	w.hand(is, 0, hint{
		Jobs: []sesamemodel.JobID{known},
	})
	p := w.duties[0]
	p.leader = formerLeader{}
	w.hand(is, 0, hint{
		Tick: true,
	})
	q := p.queue.(*fakeQueue)
	is.Equal(len(q.handedOver), 1)
	h, err := sesamering.Decode[hint](q.handedOver[0])
	is.NoErr(err)
	is.Equal(h.Jobs, []sesamemodel.JobID{known})
}

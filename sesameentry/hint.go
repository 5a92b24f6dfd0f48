package sesameentry

import (
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestore"
)

// The topics of an entry's ring, its bounded message queue.
const (
	// topicPlan has the hints for this entry's planning duty.
	topicPlan = "plan"
	// topicNotice has the hints to forward to the entry that plans.
	topicNotice = "notice"
)

// hint names rows that changed, for the planning duty. Losing one only delays
// planning until the next reconciliation, which reads all rows.
type hint struct {
	Jobs  []sesamemodel.JobID  `json:"jobs,omitempty"`
	Cells []sesamemodel.CellID `json:"cells,omitempty"`
	// Stale is true when the rows were written outside of this entry's row
	// cache, so that they must be read from the store.
	Stale bool `json:"stale,omitempty"`
	// PlanRequested is true when another entry asks this one to plan, because
	// it takes this one for the leader or got no answer from those preferred.
	PlanRequested bool `json:"asked,omitempty"`
	// Tick is true for the periodic hint, which names no rows.
	Tick bool `json:"tick,omitempty"`
}

// hintForJobs returns a hint of the jobs and the cells of their assignments. To
// name also the cells that a job left, pass the job's values before and after
// the change.
func hintForJobs(jobs ...sesamemodel.Job) hint {
	var h hint
	for _, j := range jobs {
		h.Jobs = append(h.Jobs, j.ID)
		h.Cells = append(h.Cells, j.Cells()...)
	}
	return h
}

// keys returns the table keys of the rows that the hint names.
func (h hint) keys() []string {
	keys := make([]string, 0, len(h.Jobs)+len(h.Cells))
	for _, id := range h.Jobs {
		keys = append(keys, sesamestore.OpenKey(id))
	}
	for _, id := range h.Cells {
		keys = append(keys, sesamestore.CellKey(id))
	}
	return keys
}

// hintFromKeys is the inverse of keys. It skips keys of other kinds of rows.
func hintFromKeys(keys []string) hint {
	var h hint
	for _, key := range keys {
		if id, ok := sesamestore.JobOfKey(key); ok {
			h.Jobs = append(h.Jobs, id)
		}
		if id, ok := sesamestore.CellOfKey(key); ok {
			h.Cells = append(h.Cells, id)
		}
	}
	return h
}

package sesameentry

import (
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestore"
)

// The topics of an entry's ring.
const (
	topicPlan   = "plan"
	topicNotice = "notice"
)

// hint tells the planning duty which rows changed.
type hint struct {
	Jobs  []sesamemodel.JobID  `json:"jobs,omitempty"`
	Cells []sesamemodel.CellID `json:"cells,omitempty"`
	// Stale is true when the rows changed elsewhere and must be read.
	Stale bool `json:"stale,omitempty"`
	// PlanRequested is true when a peer wants this entry to plan.
	PlanRequested bool `json:"asked,omitempty"`
	// Tick is true for the periodic hint without rows.
	Tick bool `json:"tick,omitempty"`
}

// hintForJobs names the job and the cells of its assignments, before and after.
func hintForJobs(jobs ...sesamemodel.Job) hint {
	var h hint
	for _, j := range jobs {
		h.Jobs = append(h.Jobs, j.ID)
		h.Cells = append(h.Cells, j.Cells()...)
	}
	return h
}

// keys returns the rows that the hint names.
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

// hintFromKeys is the reverse of keys; rows of other kinds are left out.
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

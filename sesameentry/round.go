package sesameentry

import (
	"context"

	"github.com/sesamestack/sesamestack/sesameattempt"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesameplanner"
	"github.com/sesamestack/sesamestack/sesamestore"
	"github.com/sesamestack/sesamestack/sesametable"
)

const (
	// maxDecisions is how many decisions one round takes.
	maxDecisions = 64
	// maxGroup is how many decisions share one transaction.
	maxGroup = 16
)

// round asks the planner for decisions and commits them in groups.
func (p *planning) round(ctx context.Context) {
	for {
		p.mu.Lock()
		if p.planner == nil {
			p.mu.Unlock()
			return
		}
		watch := p.scope.Timer("plan_round").Start()
		decisions := p.planner.Plan(p.clock.Now(), maxDecisions)
		watch.Stop()
		p.mu.Unlock()
		for start := 0; start < len(decisions); start += maxGroup {
			group := decisions[start:min(start+maxGroup, len(decisions))]
			if err := p.commit(ctx, group); err != nil {
				p.conflicted(ctx, decisions[start:], err)
				return
			}
		}
		if len(decisions) < maxDecisions {
			return
		}
	}
}

// repair moves guaranteed shapes off lost workers, and reports those that no
// cell can form.
func (p *planning) repair(ctx context.Context) {
	p.mu.Lock()
	if p.planner == nil {
		p.mu.Unlock()
		return
	}
	moved := p.planner.Repair()
	risks := p.planner.AtRisk()
	p.mu.Unlock()
	p.scope.Gauge("guarantees_at_risk").Update(float64(len(risks)))
	for _, r := range risks {
		p.log.Emit(eventAtRisk, sesamelog.Fields{
			"team":   r.Guarantee.Team,
			"shape":  r.Guarantee.Shape.String(),
			"cell":   r.Cell,
			"reason": r.Reason,
		})
	}
	if len(moved) == 0 {
		return
	}
	d := sesameplanner.Decision{
		Verdict: sesameplanner.Move,
		Cells:   moved,
	}
	if err := p.commit(ctx, []sesameplanner.Decision{d}); err != nil {
		p.conflicted(ctx, []sesameplanner.Decision{d}, err)
	}
}

// commit writes a group of decisions in one transaction.
func (p *planning) commit(ctx context.Context, group []sesameplanner.Decision) error {
	b, err := p.ledger.Commit(ctx, func() (sesamestore.Batch, error) {
		return p.batch(ctx, group)
	})
	if err != nil {
		return err
	}
	p.mu.Lock()
	for _, job := range b.Jobs {
		if job.Value.State.Ended() {
			delete(p.jobs, job.Value.ID)
			continue
		}
		p.jobs[job.Value.ID] = job.Version + 1
	}
	for _, cell := range b.Cells {
		p.cells[cell.Value.ID] = cell.Version + 1
	}
	p.mu.Unlock()
	p.started(b)
	return nil
}

// started has the attempts of the committed jobs driven.
func (p *planning) started(b sesamestore.Batch) {
	for _, job := range b.Jobs {
		p.log.Emit(eventDecided, sesamelog.Fields{
			"job":     job.Value.ID,
			"state":   job.Value.State,
			"attempt": job.Value.Attempt,
			"reason":  job.Value.Reason,
		})
		if job.Value.State == sesamemodel.Placed {
			wait := p.clock.Since(job.Value.Submitted)
			sesameattempt.Tagged(p.scope, job.Value).Timer("submit_to_placed").Record(wait)
		}
		if job.Value.State.Active() {
			p.attempts.Drive(job.Value.ID)
		}
	}
}

// batch gathers the last value of every job and cell in the group, at the
// versions that the planner started from.
func (p *planning) batch(ctx context.Context, group []sesameplanner.Decision) (sesamestore.Batch, error) {
	jobs := map[sesamemodel.JobID]sesamemodel.Job{}
	cells := map[sesamemodel.CellID]sesamemodel.Cell{}
	for _, d := range group {
		switch d.Verdict {
		case sesameplanner.Place:
			jobs[d.Job.ID] = d.Job.WithEvicts(d.Victims)
		case sesameplanner.Refuse:
			jobs[d.Job.ID] = d.Job
		}
		for _, v := range d.Victims {
			jobs[v.ID] = v
		}
		for _, c := range d.Cells {
			cells[c.ID] = c
		}
	}
	var b sesamestore.Batch
	for id, job := range jobs {
		row, err := p.ledger.Job(ctx, id)
		if err != nil {
			return b, err
		}
		if row.Version != p.jobs[id] {
			return b, staleError(sesamestore.OpenKey(id), p.jobs[id], row.Version)
		}
		b.Jobs = append(b.Jobs, row.With(job))
	}
	for id, cell := range cells {
		row, err := p.ledger.Cell(ctx, id)
		if err != nil {
			return b, err
		}
		if row.Version != p.cells[id] {
			return b, staleError(sesamestore.CellKey(id), p.cells[id], row.Version)
		}
		b.Cells = append(b.Cells, row.With(cell))
	}
	return b, nil
}

func staleError(key string, expected, found uint64) error {
	return &sesametable.ConflictError{
		Key:      key,
		Expected: expected,
		Found:    found,
	}
}

// conflicted gives the planner the rows of the decisions that did not take
// effect as they really are, and asks for another round.
func (p *planning) conflicted(ctx context.Context, undone []sesameplanner.Decision, cause error) {
	p.scope.Counter("plan_conflicts").Inc(1)
	p.log.Emit(eventConflict, sesamelog.Fields{
		"error": cause,
	})
	var h hint
	for _, d := range undone {
		if d.Job.ID != "" {
			h.Jobs = append(h.Jobs, d.Job.ID)
		}
		for _, v := range d.Victims {
			h.Jobs = append(h.Jobs, v.ID)
		}
		for _, c := range d.Cells {
			h.Cells = append(h.Cells, c.ID)
		}
	}
	p.mu.Lock()
	for _, id := range h.Jobs {
		p.jobs[id] = 0
	}
	for _, id := range h.Cells {
		p.cells[id] = 0
	}
	p.mu.Unlock()
	if err := p.take(ctx, h); err != nil {
		p.reset()
		return
	}
	p.post(hint{})
}

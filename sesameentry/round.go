package sesameentry

import (
	"context"
	"time"

	"github.com/sesamestack/sesamestack/sesameattempt"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesameplanner"
	"github.com/sesamestack/sesamestack/sesamestore"
	"github.com/sesamestack/sesamestack/sesametable"
)

// maxGroup is how many decisions share one transaction.
const maxGroup = 16

// round takes decisions and commits them in groups, until there are no more.
func (p *planning) round(ctx context.Context) {
	for {
		n, err := p.decide(ctx, (*sesameplanner.Planner).Plan)
		if err != nil || n < maxGroup {
			return
		}
	}
}

// decide commits one group of decisions in one transaction and returns how
// many it took. The planner decides under the write turn, from the rows as
// they are known then, so that only another process can come between.
func (p *planning) decide(ctx context.Context, plan func(*sesameplanner.Planner, time.Time, int) []sesameplanner.Decision) (int, error) {
	var group []sesameplanner.Decision
	b, err := p.rows.Commit(ctx, func() (sesamestore.Batch, error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.planner == nil {
			return sesamestore.Batch{}, nil
		}
		p.catchUp()
		watch := p.scope.Timer("plan_round").Start()
		group = plan(p.planner, p.clock.Now(), maxGroup)
		watch.Stop()
		if err := p.checkRefusals(group); err != nil {
			return sesamestore.Batch{}, err
		}
		return p.batch(ctx, group)
	})
	if err != nil {
		p.conflicted(ctx, group, err)
		return 0, err
	}
	p.committed(b)
	return len(group), nil
}

// checkRefusals has all rows read anew before the first refusal of a job takes
// effect: a refusal rests on every target, and no version of a row guards that.
func (p *planning) checkRefusals(group []sesameplanner.Decision) error {
	for _, d := range group {
		if d.Action != sesameplanner.Refuse || p.checked[d.Job.ID] {
			continue
		}
		p.checked[d.Job.ID] = true
		p.loaded = time.Time{}
		return &UncheckedRefusalError{
			Job: d.Job.ID,
		}
	}
	return nil
}

// catchUp gives the planner the rows that other duties wrote meanwhile.
func (p *planning) catchUp() {
	for _, cell := range p.rows.NewerCells(p.cells) {
		p.planner.SetCell(cell.Value)
		p.cells[cell.Value.ID] = cell.Version
	}
	for _, job := range p.rows.NewerJobs(p.jobs) {
		p.planner.SetJob(job.Value)
		p.jobs[job.Value.ID] = job.Version
	}
}

// repair moves guaranteed shapes off lost workers, and reports those that no
// cell can form.
func (p *planning) repair(ctx context.Context) {
	if _, err := p.decide(ctx, moves); err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.planner == nil {
		return
	}
	risks := p.planner.GuaranteesAtRisk()
	p.scope.Gauge("guarantees_at_risk").Update(float64(len(risks)))
	for _, r := range risks {
		p.log.Emit(eventGuaranteeAtRisk, sesamelog.Fields{
			"team":   r.Guarantee.Team,
			"shape":  r.Guarantee.Shape.String(),
			"cell":   r.Cell,
			"reason": r.Reason,
		})
	}
}

// moves returns the decision that moves guaranteed shapes off lost workers.
func moves(planner *sesameplanner.Planner, _ time.Time, _ int) []sesameplanner.Decision {
	cells := planner.RepairGuarantees()
	if len(cells) == 0 {
		return nil
	}
	return []sesameplanner.Decision{
		{
			Action: sesameplanner.Move,
			Cells:  cells,
		},
	}
}

// committed records the versions of what was written.
func (p *planning) committed(b sesamestore.Batch) {
	p.mu.Lock()
	for _, job := range b.Jobs {
		if job.Value.State.Ended() {
			delete(p.jobs, job.Value.ID)
			delete(p.checked, job.Value.ID)
			continue
		}
		p.jobs[job.Value.ID] = job.Version + 1
	}
	for _, cell := range b.Cells {
		p.cells[cell.Value.ID] = cell.Version + 1
	}
	p.mu.Unlock()
	p.started(b)
}

// started has the attempts of the committed jobs driven.
func (p *planning) started(b sesamestore.Batch) {
	for _, job := range b.Jobs {
		p.log.Emit(eventJobDecided, sesamelog.Fields{
			"job":     job.Value.ID,
			"state":   job.Value.State,
			"attempt": job.Value.Attempt,
			"reason":  job.Value.Reason,
		})
		if job.Value.State == sesamemodel.Placed {
			wait := p.clock.Since(job.Value.Submitted)
			sesameattempt.JobScope(p.scope, job.Value).Timer("submit_to_placed").Record(wait)
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
		switch d.Action {
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
		row, err := p.rows.Job(ctx, id)
		if err != nil {
			return b, err
		}
		if row.Version != p.jobs[id] {
			return b, staleError(sesamestore.OpenKey(id), p.jobs[id], row.Version)
		}
		b.Jobs = append(b.Jobs, row.With(job))
	}
	for id, cell := range cells {
		row, err := p.rows.Cell(ctx, id)
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
	p.log.Emit(eventDecisionConflict, sesamelog.Fields{
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

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

// maxDecisionsPerCommit is how many decisions at most share one transaction.
const maxDecisionsPerCommit = 16

// planRounds commits groups of at most maxDecisionsPerCommit decisions, until
// the planner has no more or a commit fails.
func (p *planning) planRounds(ctx context.Context) {
	for {
		n, err := p.commitDecisions(ctx, (*sesameplanner.Planner).Plan)
		if err != nil || n < maxDecisionsPerCommit {
			return
		}
	}
}

// commitDecisions commits the decisions that plan returns, in one conditional
// transaction, and returns their number. plan gets the planner, the time, and
// the most decisions to return. It runs while the row cache's write lock is
// held, on the newest rows that the cache has, so that only the writes of
// another process can conflict.
func (p *planning) commitDecisions(ctx context.Context, plan func(*sesameplanner.Planner, time.Time, int) []sesameplanner.Decision) (int, error) {
	var group []sesameplanner.Decision
	b, err := p.rows.Commit(ctx, func() (sesamestore.Batch, error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.planner == nil {
			return sesamestore.Batch{}, nil
		}
		p.applyNewerRows()
		watch := p.scope.Timer("plan_round").Start()
		group = plan(p.planner, p.clock.Now(), maxDecisionsPerCommit)
		watch.Stop()
		if err := p.checkRefusals(group); err != nil {
			return sesamestore.Batch{}, err
		}
		return p.batch(ctx, group)
	})
	if err != nil {
		p.afterConflict(ctx, group, err)
		return 0, err
	}
	p.afterCommit(b)
	return len(group), nil
}

// checkRefusals returns an *UncheckedRefusalError at the first refusal of a
// job, and asks for a read of all rows before the planner decides again. A
// refusal depends on every target of the region, so the versions of the written
// rows cannot guard it the way they guard a placement.
func (p *planning) checkRefusals(group []sesameplanner.Decision) error {
	for _, d := range group {
		if d.Action != sesameplanner.Refuse || p.checkedRefusals[d.Job.ID] {
			continue
		}
		p.checkedRefusals[d.Job.ID] = true
		p.lastLoad = time.Time{}
		return &UncheckedRefusalError{
			Job: d.Job.ID,
		}
	}
	return nil
}

// applyNewerRows gives the planner the rows of the row cache that are newer
// than the planner's, since this entry's other duties write rows too. The
// caller holds p.mu.
func (p *planning) applyNewerRows() {
	for _, cell := range p.rows.NewerCells(p.cellVersions) {
		p.planner.SetCell(cell.Value)
		p.cellVersions[cell.Value.ID] = cell.Version
	}
	for _, job := range p.rows.NewerJobs(p.jobVersions) {
		p.planner.SetJob(job.Value)
		p.jobVersions[job.Value.ID] = job.Version
	}
}

// repair reassigns guaranteed shapes that contain lost workers, and logs the
// guarantees at risk: those that no cell can form any more.
func (p *planning) repair(ctx context.Context) {
	if _, err := p.commitDecisions(ctx, repairDecisions); err != nil {
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

// repairDecisions returns the one decision that reassigns guaranteed shapes
// away from lost workers, or none. It has the signature that commitDecisions
// expects, and ignores the time and the limit.
func repairDecisions(planner *sesameplanner.Planner, _ time.Time, _ int) []sesameplanner.Decision {
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

// afterCommit records the versions of the rows written, forgets the jobs that
// have ended, and calls driveAttempts.
func (p *planning) afterCommit(b sesamestore.Batch) {
	p.mu.Lock()
	for _, job := range b.Jobs {
		if job.Value.State.Ended() {
			delete(p.jobVersions, job.Value.ID)
			delete(p.checkedRefusals, job.Value.ID)
			continue
		}
		p.jobVersions[job.Value.ID] = job.Version + 1
	}
	for _, cell := range b.Cells {
		p.cellVersions[cell.Value.ID] = cell.Version + 1
	}
	p.mu.Unlock()
	p.driveAttempts(b)
}

// driveAttempts logs the decision about each committed job, and has the driver
// start or continue the attempts of those that are active.
func (p *planning) driveAttempts(b sesamestore.Batch) {
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

// batch returns the last value of every job and cell in the group, with the
// row versions from which the planner decided. The error is a
// *sesametable.ConflictError when the row cache has another version by now.
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
		if row.Version != p.jobVersions[id] {
			return b, versionConflict(sesamestore.OpenKey(id), p.jobVersions[id], row.Version)
		}
		b.Jobs = append(b.Jobs, row.With(job))
	}
	for id, cell := range cells {
		row, err := p.rows.Cell(ctx, id)
		if err != nil {
			return b, err
		}
		if row.Version != p.cellVersions[id] {
			return b, versionConflict(sesamestore.CellKey(id), p.cellVersions[id], row.Version)
		}
		b.Cells = append(b.Cells, row.With(cell))
	}
	return b, nil
}

// versionConflict returns a *sesametable.ConflictError for the key, with the
// version that the planner had and the one that the row cache has.
func versionConflict(key string, expected, found uint64) error {
	return &sesametable.ConflictError{
		Key:      key,
		Expected: expected,
		Found:    found,
	}
}

// afterConflict handles a group of decisions that was not committed because of
// cause: it gives the planner the current rows of their jobs and cells, and asks
// for another round.
func (p *planning) afterConflict(ctx context.Context, undone []sesameplanner.Decision, cause error) {
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
		p.jobVersions[id] = 0
	}
	for _, id := range h.Cells {
		p.cellVersions[id] = 0
	}
	p.mu.Unlock()
	if err := p.applyHint(ctx, h); err != nil {
		p.reset()
		return
	}
	p.sendToSelf(hint{})
}

package sesameentry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/sesamestack/sesamestack/sesameattempt"
	"github.com/sesamestack/sesamestack/sesamecontract"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesameplanner"
	"github.com/sesamestack/sesamestack/sesamering"
	"github.com/sesamestack/sesamestack/sesamestore"
	"github.com/sesamestack/sesamestack/sesametable"
)

const (
	// reconcileInterval is how often the planner reads all rows of its region
	// again. It is short enough that a job whose hint was lost still starts
	// within the 2.6 s allowed for urgent work.
	reconcileInterval = 2 * time.Second
	// takeoverDuration is how long an entry that is not the leader plans after
	// a peer asked it to.
	takeoverDuration = 10 * time.Second
	// maxHintsPerRound is after how many hints a planning round is held even
	// though more hints are waiting.
	maxHintsPerRound = 64
)

// regionStore reads all open jobs and all cells of a region.
type regionStore interface {
	OpenJobs(ctx context.Context, region string) ([]sesamestore.Versioned[sesamemodel.Job], error)
	Cells(ctx context.Context, region string) ([]sesamestore.Versioned[sesamemodel.Cell], error)
}

// contracts gives access to the newest contracts that the entry has read.
type contracts interface {
	// Set returns the contracts, or a *sesamecontract.NotReadError before they
	// were first read.
	Set() (*sesamecontract.Set, error)
	// Poll reads the store once and keeps a newer set.
	Poll(ctx context.Context) error
}

// attempts carries out decisions: it starts and stops attempts (single
// placements of a job) on the agents. *sesameattempt.Driver is one.
type attempts interface {
	// Drive takes the job's attempt through its steps until the job is queued
	// or ended, or until it runs, with every member of its gang started.
	Drive(id sesamemodel.JobID)
	// Requeue stops an attempt that lost a target and queues the job again.
	Requeue(id sesamemodel.JobID, attempt uint32, reason string)
}

// leadership says whether this entry plans for its region.
type leadership interface {
	// leads reports whether this entry is the leader for the key, such as the
	// name of a region.
	leads(key string) bool
}

// queue holds the hints that wait for the planning duty, and takes those for
// other duties. *sesamering.Ring is one.
type queue interface {
	message.Publisher
	// Len returns the number of messages waiting in the topic.
	Len(topic string) int
}

// planning is the duty that decides which job runs where. It keeps the planner,
// an in-memory model of the region, up to date with the table's rows, and
// commits the planner's decisions under optimistic concurrency. A hint is a
// message that names changed rows.
type planning struct {
	region string
	// packing weighs low fragmentation against completion time, from 0 (only
	// time counts) to 1 (only fragmentation counts).
	packing   float64
	store     regionStore
	rows      *sesameattempt.RowCache
	contracts contracts
	attempts  attempts
	leader    leadership
	queue     queue
	clock     clockwork.Clock
	log       *sesamelog.Logger
	scope     tally.Scope

	mu sync.Mutex
	// planner is nil while this entry does not plan, and after a failed read
	// until the next load.
	planner *sesameplanner.Planner
	// contractsNumber is the number of the contracts that the planner has.
	contractsNumber uint64
	// jobVersions and cellVersions are the versions of the rows that the
	// planner has. Version 0 is older than any row.
	jobVersions  map[sesamemodel.JobID]uint64
	cellVersions map[sesamemodel.CellID]uint64
	// checkedRefusals are the jobs that the planner decided to refuse once
	// already. A refusal depends on all rows of the region, so the first one is
	// not committed: all rows are read again, and only a second refusal of the
	// job is committed.
	checkedRefusals map[sesamemodel.JobID]bool
	// lastLoad is when all rows of the region were last read; zero asks for
	// another read at the next hint.
	lastLoad time.Time
	// takeoverUntil is until when this entry plans although it is not leader.
	takeoverUntil time.Time
	// hintsSinceRound counts the hints applied since the last planning round.
	hintsSinceRound int
}

// handle applies one hint, and holds a planning round when no more hints are
// waiting or maxHintsPerRound were applied. It always returns nil, which
// acknowledges the message: rows that it could not read are read by the next
// reconciliation.
func (p *planning) handle(m *message.Message) error {
	h, err := sesamering.Decode[hint](m)
	if err != nil {
		p.log.Emit(eventHintLost, sesamelog.Fields{
			"error": err,
		})
		return nil
	}
	ctx := m.Context()
	if err := p.applyHint(ctx, h); err != nil {
		p.log.Emit(eventPlanningPaused, sesamelog.Fields{
			"error": err,
		})
		p.reset()
		return nil
	}
	p.hintsSinceRound++
	if p.queue.Len(topicPlan) == 0 || p.hintsSinceRound >= maxHintsPerRound {
		p.hintsSinceRound = 0
		p.planRounds(ctx)
	}
	if h.Tick {
		p.repair(ctx)
	}
	return nil
}

// reset drops the planner after a failed read. The next hint makes this entry,
// if it still plans, read all rows of its region and create the planner again.
func (p *planning) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.planner = nil
}

// handOver drops the planner, and sends a hint of the jobs that the planner
// knew, along with the rows that h names, to the entry that plans from now on.
// That entry may have read the region's rows before these jobs were written.
func (p *planning) handOver(h hint) {
	p.mu.Lock()
	if p.planner != nil {
		for id := range p.jobVersions {
			h.Jobs = append(h.Jobs, id)
		}
		p.log.Emit(eventPlanningHandedOver, sesamelog.Fields{
			"jobs": len(h.Jobs),
		})
	}
	p.planner = nil
	p.mu.Unlock()
	if len(h.Jobs)+len(h.Cells) > 0 {
		p.send(topicNotice, h)
	}
}

// active reports whether this entry plans now: as the leader of its region, or
// because a peer asked it to less than takeoverDuration ago.
func (p *planning) active() bool {
	return p.leader.leads(p.region) || p.clock.Now().Before(p.takeoverUntil)
}

// applyHint brings the planner up to date with the rows that the hint names,
// and with all rows if the last load is reconcileInterval or more ago. When this
// entry does not plan, applyHint hands the hint over instead.
func (p *planning) applyHint(ctx context.Context, h hint) error {
	now := p.clock.Now()
	if h.PlanRequested {
		p.takeoverUntil = now.Add(takeoverDuration)
	}
	if !p.active() {
		p.handOver(h)
		return nil
	}
	if p.planner == nil || now.Sub(p.lastLoad) >= reconcileInterval {
		if err := p.load(ctx); err != nil {
			return err
		}
	}
	if h.Stale {
		p.invalidateRows(h)
	}
	for _, id := range h.Jobs {
		if err := p.refreshJob(ctx, id); err != nil {
			return err
		}
	}
	for _, id := range h.Cells {
		if err := p.refreshCell(ctx, id); err != nil {
			return err
		}
	}
	return p.updateContracts()
}

// invalidateRows removes the hint's rows from the row cache, so that the next
// use reads them from the store.
func (p *planning) invalidateRows(h hint) {
	for _, id := range h.Jobs {
		p.rows.InvalidateJob(id)
	}
	for _, id := range h.Cells {
		p.rows.InvalidateCell(id)
	}
}

// load is the reconciliation: it reads the contracts and all rows of the
// region, and gives the planner those newer than it has. It creates the planner
// if there is none.
func (p *planning) load(ctx context.Context) error {
	if err := p.contracts.Poll(ctx); err != nil {
		return err
	}
	cells, err := p.store.Cells(ctx, p.region)
	if err != nil {
		return err
	}
	jobs, err := p.store.OpenJobs(ctx, p.region)
	if err != nil {
		return err
	}
	if p.planner == nil {
		p.createPlanner()
		p.log.Emit(eventPlanningStarted, sesamelog.Fields{
			"jobs":  len(jobs),
			"cells": len(cells),
		})
	}
	if err := p.updateContracts(); err != nil {
		return err
	}
	for _, job := range jobs {
		p.rows.CacheJob(job)
	}
	for _, cell := range cells {
		p.rows.CacheCell(cell)
		p.setCell(cell)
	}
	p.setJobs(jobs)
	p.lastLoad = p.clock.Now()
	return nil
}

// createPlanner sets planner to a new one without rows and contracts, and clears
// the row versions and the checked refusals that belonged to the one before.
func (p *planning) createPlanner() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.planner = sesameplanner.New(sesameplanner.Options{
		Region:  p.region,
		Packing: p.packing,
	})
	p.contractsNumber = 0
	p.jobVersions = map[sesamemodel.JobID]uint64{}
	p.cellVersions = map[sesamemodel.CellID]uint64{}
	p.checkedRefusals = map[sesamemodel.JobID]bool{}
}

// setJobs gives the planner the open jobs of a listing. A job that the planner
// has but the listing lacks is not removed at once: a hint has its row read
// first, since the job may have been submitted after the listing.
func (p *planning) setJobs(jobs []sesamestore.Versioned[sesamemodel.Job]) {
	listed := map[sesamemodel.JobID]bool{}
	for _, job := range jobs {
		listed[job.Value.ID] = true
		p.setJob(job)
	}
	var missing hint
	for id := range p.jobVersions {
		if !listed[id] {
			missing.Jobs = append(missing.Jobs, id)
		}
	}
	if len(missing.Jobs) > 0 {
		missing.Stale = true
		p.sendToSelf(missing)
	}
}

// sendToSelf queues a hint for the planning duty of this entry.
func (p *planning) sendToSelf(h hint) {
	p.send(topicPlan, h)
}

// send queues the hint on the topic, or logs it as lost when the queue is full.
func (p *planning) send(topic string, h hint) {
	if err := sesamering.Send(p.queue, topic, h); err != nil {
		p.log.Emit(eventHintLost, sesamelog.Fields{
			"error": err,
		})
	}
}

// updateContracts gives the planner the newest contracts that the entry has
// read, unless the planner has them already (Set.Number, the number of the
// newest accepted change, is the same). It fails while none were read.
func (p *planning) updateContracts() error {
	set, err := p.contracts.Set()
	if err != nil {
		return err
	}
	if set.Number() == p.contractsNumber {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.planner.SetContracts(set.Contracts())
	p.contractsNumber = set.Number()
	return nil
}

// refreshJob gives the planner the job's row from the row cache or the store,
// or removes the job when it has no row.
func (p *planning) refreshJob(ctx context.Context, id sesamemodel.JobID) error {
	job, err := p.rows.Job(ctx, id)
	var missing *sesametable.NotFoundError
	if errors.As(err, &missing) {
		p.removeJob(id)
		return nil
	}
	if err != nil {
		return err
	}
	p.setJob(job)
	return nil
}

// refreshCell gives the planner the cell's row from the row cache or the store,
// and the jobs placed on the cell. A cell without a row is skipped.
func (p *planning) refreshCell(ctx context.Context, id sesamemodel.CellID) error {
	cell, err := p.rows.Cell(ctx, id)
	var missing *sesametable.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	if err != nil {
		return err
	}
	p.setCell(cell)
	return p.loadUnknownJobs(ctx, cell.Value)
}

// loadUnknownJobs gives the planner the jobs with an allocation on the cell that
// the planner does not know because another entry placed them. The planner has
// to know them, since it may choose each for preemption.
func (p *planning) loadUnknownJobs(ctx context.Context, cell sesamemodel.Cell) error {
	for _, a := range cell.Allocations {
		if _, known := p.jobVersions[a.Job]; known {
			continue
		}
		if err := p.refreshJob(ctx, a.Job); err != nil {
			return err
		}
	}
	return nil
}

// removeJob removes a job from the planner, if the planner has it.
func (p *planning) removeJob(id sesamemodel.JobID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.planner.RemoveJob(id)
	delete(p.jobVersions, id)
	delete(p.checkedRefusals, id)
}

// setJob gives the planner the job if its row is newer than the planner's, and
// has the driver continue the job's attempt if there is one. A job that has
// ended is removed. A failure of a job that was queued again is recorded
// against the targets that the job avoids from now on.
func (p *planning) setJob(job sesamestore.Versioned[sesamemodel.Job]) {
	id := job.Value.ID
	if job.Value.State.Ended() {
		p.recordSuccess(job.Value)
		p.removeJob(id)
		return
	}
	p.mu.Lock()
	known, ok := p.jobVersions[id]
	if !ok || known < job.Version {
		if job.Value.State == sesamemodel.Queued && job.Value.Failures > 0 {
			p.planner.RecordFailure(p.clock.Now(), job.Value, job.Value.Avoid)
		}
		p.planner.SetJob(job.Value)
		p.jobVersions[id] = job.Version
	}
	p.mu.Unlock()
	if job.Value.State.Active() {
		p.attempts.Drive(id)
	}
}

// recordSuccess tells the planner of a job that is done: on which targets it
// succeeded, and its run time for later estimates. Jobs that ended
// otherwise are ignored.
func (p *planning) recordSuccess(job sesamemodel.Job) {
	if job.State != sesamemodel.Done || len(job.Events) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.planner.RecordSuccess(job)
	p.planner.Observe(sesameplanner.Observation{
		Spec:    job.Spec,
		RunTime: job.Events[len(job.Events)-1].Time.Sub(job.StartTime),
	})
}

// setCell gives the planner the cell if its row is newer than the planner's, and
// then requeues the attempts on that cell that must stop because their target
// was lost or its agent restarted; see requeueReason.
func (p *planning) setCell(cell sesamestore.Versioned[sesamemodel.Cell]) {
	id := cell.Value.ID
	p.mu.Lock()
	known, ok := p.cellVersions[id]
	newer := !ok || known < cell.Version
	if newer {
		p.planner.SetCell(cell.Value)
		p.cellVersions[id] = cell.Version
	}
	p.mu.Unlock()
	if !newer {
		return
	}
	for _, a := range cell.Value.Allocations {
		if reason, mustRequeue := p.requeueReason(cell.Value, a); mustRequeue {
			p.attempts.Requeue(a.Job, a.Attempt, reason)
		}
	}
}

// requeueReason reports whether the attempt with that allocation on the cell
// must be stopped, and why; the reason is empty if not. An attempt must be
// stopped when the allocation's target is lost, or when the target's agent
// restarted (its incarnation changed) after the attempt was placed and has not
// adopted the attempt, that is, does not watch its tasks.
func (p *planning) requeueReason(cell sesamemodel.Cell, a sesamemodel.Allocation) (string, bool) {
	target, ok := cell.Target(a.Target)
	if !ok || target.Health == sesamemodel.Lost {
		return fmt.Sprintf("target %q was lost", a.Target), true
	}
	job, ok := p.rows.CachedJob(a.Job)
	if !ok || job.Attempt != a.Attempt {
		return "", false
	}
	for _, member := range job.Assignments {
		if member.Target != a.Target || target.Adopts(a.Job, a.Attempt) {
			continue
		}
		if member.Incarnation != target.Incarnation {
			return fmt.Sprintf("agent of target %q was restarted", a.Target), true
		}
	}
	return "", false
}

// waitReason returns the reason why a queued job waits; empty when this entry
// does not plan or the planner knows no reason.
func (p *planning) waitReason(id sesamemodel.JobID) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.planner == nil {
		return ""
	}
	return p.planner.Why(id)
}

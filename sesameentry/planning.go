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
	// reconcileInterval is how often the planner reads all its rows. A job
	// whose hint was lost still starts within the 2.6 s of urgent work.
	reconcileInterval = 2 * time.Second
	// takeoverDuration is how long an entry plans after a peer asked it to.
	takeoverDuration = 10 * time.Second
	// maxHintsPerRound is how many hints are taken in before a round is held
	// although more are waiting.
	maxHintsPerRound = 64
)

// regionStore is what the planning duty reads in bulk.
type regionStore interface {
	OpenJobs(ctx context.Context, region string) ([]sesamestore.Versioned[sesamemodel.Job], error)
	Cells(ctx context.Context, region string) ([]sesamestore.Versioned[sesamemodel.Cell], error)
}

// contracts is the newest set of contracts that the entry has.
type contracts interface {
	// Set returns the contracts, or an error before the store was read.
	Set() (*sesamecontract.Set, error)
	// Poll reads the store, and takes what is newer.
	Poll(ctx context.Context) error
}

// attempts drives the attempts of jobs.
type attempts interface {
	// Drive moves the job's attempt on until the job is queued or ended, or
	// runs with every member opened.
	Drive(id sesamemodel.JobID)
	// Requeue stops an attempt that has lost a target.
	Requeue(id sesamemodel.JobID, attempt uint32, reason string)
}

// leadership says whether this entry plans for its region.
type leadership interface {
	leads(key string) bool
}

// queue is where the duty's hints wait.
type queue interface {
	message.Publisher
	Len(topic string) int
}

// planning is the duty that decides which job runs where. It owns the planner.
type planning struct {
	region    string
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

	mu              sync.Mutex
	planner         *sesameplanner.Planner
	contractsNumber uint64
	jobVersions     map[sesamemodel.JobID]uint64
	cellVersions    map[sesamemodel.CellID]uint64
	// checkedRefusals are the jobs whose refusal was weighed on fresh rows.
	checkedRefusals map[sesamemodel.JobID]bool
	lastLoad        time.Time
	takeoverUntil   time.Time
	hintsSinceRound int
}

// handle takes in one hint and holds a round when no more are waiting. It
// always acknowledges: what it could not read, the next reconciliation reads.
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

// reset forgets everything; the next hint loads it anew.
func (p *planning) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.planner = nil
}

// handOver tells the entry that plans from now on of the jobs that this one
// was to plan for, since it may have read its rows before they were written.
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

// active reports whether this entry plans now.
func (p *planning) active() bool {
	return p.leader.leads(p.region) || p.clock.Now().Before(p.takeoverUntil)
}

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

// invalidateRows drops the rows that changed elsewhere from the row cache.
func (p *planning) invalidateRows(h hint) {
	for _, id := range h.Jobs {
		p.rows.InvalidateJob(id)
	}
	for _, id := range h.Cells {
		p.rows.InvalidateCell(id)
	}
}

// load reads the contracts and all rows of the region, and gives the planner
// those that are new to it.
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

// setJobs takes in the open jobs as listed; one that is listed no more is
// looked up, since it may have been submitted after the listing.
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

func (p *planning) sendToSelf(h hint) {
	p.send(topicPlan, h)
}

func (p *planning) send(topic string, h hint) {
	if err := sesamering.Send(p.queue, topic, h); err != nil {
		p.log.Emit(eventHintLost, sesamelog.Fields{
			"error": err,
		})
	}
}

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

// loadUnknownJobs takes in the jobs that hold a part of the cell and are not known
// here, since another entry placed them: any may be a victim.
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

func (p *planning) removeJob(id sesamemodel.JobID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.planner.RemoveJob(id)
	delete(p.jobVersions, id)
	delete(p.checkedRefusals, id)
}

// setJob gives the planner a newer job, and has a moving attempt driven.
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

// recordSuccess corrects later estimates by what became of the job.
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

// setCell gives the planner a newer cell, and has the attempts stopped that
// lost a target of it.
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

// requeueReason reports whether the allocation's target was lost, or its agent has
// started anew since the attempt was placed and does not watch it.
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

// waitReason says waitReason a queued job waits; empty when this entry does not plan for it.
func (p *planning) waitReason(id sesamemodel.JobID) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.planner == nil {
		return ""
	}
	return p.planner.Why(id)
}

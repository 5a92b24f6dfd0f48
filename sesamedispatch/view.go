package sesamedispatch

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// View is what the planner knows, made of the store's rows. It belongs to one
// goroutine.
type View struct {
	log     *sesamelog.Logger
	policy  *sesamework.Policy
	jobs    map[string]*job
	units   map[sesamework.UnitID]*unit
	targets map[string]*target
	// durationModels tell by queue what finished tasks took.
	durationModels map[string]*durationModel
	// ends holds the rows of all ends, which go with their jobs.
	ends map[sesamerows.Key]bool
	now  Now
	// needsDecision says that rows being applied may change a decision.
	needsDecision bool
}

// Now is the time of a decision on each of the clocks.
type Now struct {
	// Steady is the process's own clock, and Store the store's.
	Steady time.Duration
	Store  time.Duration
	// Wall is the time of day in Unix milliseconds, without jumps.
	Wall int64
}

// job is an accepted job with its progress.
type job struct {
	sesamework.Job
	cancelled bool
	failed    bool
	// published is the state in the job's row, and ended since when it is final.
	published sesamework.JobState
	endedAt   time.Duration
	// occurrences holds the units of each time, by step.
	occurrences [][][]*unit
	// durations are the expected ones of the steps, tails those of the longest
	// chain from each step on, and objective is when it should end; all by the
	// version of the queue's history that estimated names.
	durations       []time.Duration
	criticalPaths   []time.Duration
	objective       time.Duration
	estimateVersion int
}

// NewView returns an empty book.
func NewView(log *sesamelog.Logger) *View {
	return &View{
		log:     log,
		jobs:    map[string]*job{},
		units:   map[sesamework.UnitID]*unit{},
		targets: map[string]*target{},

		durationModels: map[string]*durationModel{},
		ends:           map[sesamerows.Key]bool{},
	}
}

// SetPolicy puts a policy into force.
func (b *View) SetPolicy(p *sesamework.Policy) {
	b.policy = p
}

// Load fills an empty book from the whole tables.
func (b *View) Load(work, runs, states []sesamerows.Row, now Now) {
	b.now = now
	b.applyPrefix(work, sesamework.JobPrefix, b.setJob)
	for _, row := range states {
		b.setState(row)
	}
	b.applyPrefix(work, sesamework.CancelPrefix, b.setCancel)
	b.applyPrefix(work, sesamework.TargetPrefix, b.setTarget)
	for _, row := range runs {
		b.setRun(row)
	}
	b.applyPrefix(work, sesamework.EndPrefix, b.setEnd)
	b.endLostMembers()
}

// Apply takes note of rows of the work table that changed. It reports whether
// that may change a decision at once; mere progress of runs does not.
func (b *View) Apply(rows []sesamerows.Row, now Now) bool {
	b.now = now
	b.needsDecision = false
	for _, row := range rows {
		b.needsDecision = b.needsDecision || !strings.HasPrefix(row.Key.Name, sesamework.TargetPrefix)
	}
	b.applyPrefix(rows, sesamework.JobPrefix, b.setJob)
	b.applyPrefix(rows, sesamework.CancelPrefix, b.setCancel)
	b.applyPrefix(rows, sesamework.EndPrefix, b.setEnd)
	b.applyPrefix(rows, sesamework.TargetPrefix, b.setTarget)
	if b.needsDecision {
		b.endLostMembers()
	}
	return b.needsDecision
}

func (b *View) applyPrefix(rows []sesamerows.Row, prefix string, set func(name string, row sesamerows.Row)) {
	for _, row := range rows {
		if name, ok := strings.CutPrefix(row.Key.Name, prefix); ok {
			set(name, row)
		}
	}
}

// decode reads a row's value, or logs why it can't be used.
func (b *View) decode(row sesamerows.Row, value []byte, into any) bool {
	err := json.Unmarshal(value, into)
	if err != nil {
		b.log.Emit(eventBadRow, sesamelog.Fields{
			"row":   row.Key.String(),
			"error": err,
		})
	}
	return err == nil
}

func (b *View) setJob(id string, row sesamerows.Row) {
	if _, ok := b.jobs[id]; ok || row.Removed {
		return
	}
	j := &job{
		published: sesamework.JobQueued,
	}
	if !b.decode(row, row.Value, &j.Job) || j.Validate() != nil || j.ID != id {
		return
	}
	b.estimate(j)
	b.jobs[id] = j
	if !j.Recurs() {
		b.addOccurrence(j)
	}
}

// addOccurrence adds the units of the job's next occurrence.
func (b *View) addOccurrence(j *job) {
	occurrence := len(j.occurrences)
	steps := make([][]*unit, len(j.Steps))
	for i, s := range j.Steps {
		count := s.Count
		first := 0
		if s.Gang {
			count = 1
			first = sesamework.GangIndex
		}
		for k := range count {
			u := &unit{
				id: sesamework.UnitID{
					Job:        j.ID,
					Occurrence: occurrence,
					Step:       i,
					Index:      first + k,
				},
				job:  j,
				step: s,
			}
			steps[i] = append(steps[i], u)
			b.units[u.id] = u
		}
	}
	j.occurrences = append(j.occurrences, steps)
}

func (b *View) setState(row sesamerows.Row) {
	j, ok := b.jobs[row.Key.Name]
	var s sesamework.JobStatus
	if !ok || !b.decode(row, row.Value, &s) {
		return
	}
	b.setPublished(j, s.State)
}

// setPublished notes the state that callers see by now.
func (b *View) setPublished(j *job, s sesamework.JobState) {
	if s.Ended() && !j.published.Ended() {
		j.endedAt = b.now.Steady
	}
	j.published = s
	j.failed = j.failed || s == sesamework.JobFailed
	j.cancelled = j.cancelled || s == sesamework.JobCancelled
}

func (b *View) setCancel(id string, row sesamerows.Row) {
	if j, ok := b.jobs[id]; ok && !row.Removed && !j.published.Ended() {
		j.cancelled = true
	}
}

func (b *View) setRun(row sesamerows.Row) {
	id, err := sesamework.ParseUnit(row.Key.Name)
	var r sesamework.Run
	if err != nil || !b.decode(row, row.Value, &r) {
		return
	}
	j, ok := b.jobs[id.Job]
	if !ok || id.Occurrence >= j.Occurrences() {
		return
	}
	for len(j.occurrences) <= id.Occurrence {
		b.addOccurrence(j)
	}
	if u, ok := b.units[id]; ok && r.Number >= u.run.Number {
		u.setRun(r, b.now.Steady)
	}
}

// unitOf returns the unit that a task belongs to.
func (b *View) unitOf(t sesamework.TaskID) (*unit, bool) {
	if u, ok := b.units[sesamework.UnitID(t)]; ok {
		return u, true
	}
	gang := sesamework.UnitID(t)
	gang.Index = sesamework.GangIndex
	u, ok := b.units[gang]
	return u, ok
}

func (b *View) setEnd(_ string, row sesamerows.Row) {
	if row.Removed {
		delete(b.ends, row.Key)
		return
	}
	b.ends[row.Key] = true
	task, number, ok := sesamework.ParseEndKey(row.Key)
	var e sesamework.End
	if !ok || !b.decode(row, row.Value, &e) {
		return
	}
	u, ok := b.unitOf(task)
	if !ok || u.run.Number != number {
		return
	}
	for _, m := range u.members {
		if m.Index == task.Index && m.Target == e.Target && m.Life == e.Life {
			b.endMember(u, m, e)
			return
		}
	}
}

// endMember takes note of the end of a member, and of what it says of its target.
func (b *View) endMember(u *unit, m member, e sesamework.End) {
	if m.outcome != "" {
		return
	}
	over := u.endMember(m.Index, e)
	b.log.Emit(eventEnded, sesamelog.Fields{
		"job":    u.id.Job,
		"task":   u.id.Task(m.Index).String(),
		"run":    u.run.Number,
		"how":    e.Outcome,
		"reason": e.Reason,
		"target": m.Target,
		"after":  (b.now.Steady - u.orderedAt).Milliseconds(),
		"over":   over,
	})
	if t, ok := b.targets[m.Target]; ok && t.Life == m.Life {
		t.recordEnd(u, e, b.now.Steady)
	}
	if over && u.done {
		b.updateDurationModel(u)
	}
	if over && e.Outcome == sesamework.EndFailed && len(u.avoid) > 1 {
		b.clearFailedUnit(u)
	}
}

// clearFailedUnit takes back what a unit's failures said of its targets, once it has
// failed on several.
func (b *View) clearFailedUnit(u *unit) {
	for _, name := range u.avoid {
		if t, ok := b.targets[name]; ok {
			delete(t.failedUnits, u.id)
		}
	}
}

// endLostMembers ends the members whose target is gone or has begun another life.
func (b *View) endLostMembers() {
	for _, u := range b.units {
		for _, m := range u.members {
			t, ok := b.targets[m.Target]
			if m.outcome != "" || ok && t.Life == m.Life && t.State != sesamework.TargetGone {
				continue
			}
			b.endMember(u, m, sesamework.End{
				Outcome:    sesamework.EndLost,
				Checkpoint: b.lastCheckpoint(t, u, m.Index),
			})
		}
	}
}

// lastCheckpoint returns the newest checkpoint that a target reported of a task.
func (b *View) lastCheckpoint(t *target, u *unit, index int) string {
	if t == nil {
		return ""
	}
	p, ok := t.progress[u.id.Task(index).String()]
	if !ok || p.Run != u.run.Number {
		return ""
	}
	return p.Checkpoint
}

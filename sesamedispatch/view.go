package sesamedispatch

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamespeed"
	"github.com/sesamestack/sesamestack/sesamework"
)

// View is the planner's in-memory view of the store's rows: jobs with their
// units and runs, and targets. It is used by one goroutine only.
type View struct {
	log    *sesamelog.Logger
	policy *sesamework.Policy
	jobs   map[string]*job
	// units holds the units that are created; see stepUnits. maxUnits is how many
	// the view should hold at the most; see Units.
	units    map[sesamework.UnitID]*unit
	maxUnits int
	// targets holds the targets by the names of their rows.
	targets map[string]*target
	// durationModels holds the duration model of each queue, by its name.
	durationModels map[string]*durationModel
	// speeds is the model of the targets' speeds; nil while all count as alike.
	speeds *sesamespeed.Model
	// speedsCount says that decisions take the speeds into account, by the policy
	// speedsPolicy.
	speedsCount  bool
	speedsPolicy *sesamework.Policy
	// ends holds the versions of the end rows of the units that the view holds. An
	// end row tells how a run ended on one of its targets. Rows that are needed no
	// more are in obsolete.
	ends     map[sesamerows.Key]sesamerows.Version
	obsolete obsolete
	// unreadable holds the IDs of jobs of which a row can't be read.
	unreadable map[string]bool
	// now is the time at which the view is being updated or read.
	now Now
	// needsDecision says that the rows being applied may change a decision.
	needsDecision bool
	// loading is set while the rows of earlier times are applied: when and in
	// which order runs ended is not known then.
	loading bool
	// evacuation is what is known of evacuated zones, and unfit holds the units
	// that reportUnfit has logged.
	evacuation evacuation
	unfit      map[sesamework.UnitID]bool
	// byValue says that waiting work is ordered by value, and preemption bounded;
	// see sesamecontention.ByValue.
	byValue bool
	// loadedRuns are runs that are done, found while loading, which teach the
	// duration models once the speeds of their targets are known.
	loadedRuns []doneRun
	// plain turns off what only makes decisions faster, for tests that compare
	// both ways.
	plain bool
}

// Now is the time of a decision on each of the clocks.
type Now struct {
	// Steady is a reading of the process's own steady (monotonic) clock, and
	// Store one of the store's.
	Steady time.Duration
	Store  time.Duration
	// Wall is the time of day in Unix milliseconds, without jumps: it is the
	// store's clock plus the leader row's Epoch.
	Wall int64
}

// job is an accepted job with its progress.
type job struct {
	sesamework.Job
	// cancelled and failed say that the job is to end so; published may lag
	// behind.
	cancelled bool
	failed    bool
	// published is the state in the job's row, and endedAt when it became
	// final, on the steady clock.
	published sesamework.JobState
	endedAt   time.Duration
	// occurrences holds, in their order, the units by step of the occurrences (one
	// due time of a recurring job; other jobs have one) that were opened, but for
	// doneOccurrences, which are done and not held any more. opened is the first
	// occurrence that was not opened yet.
	occurrences     [][]*stepUnits
	doneOccurrences sesamework.IndexSet
	opened          int
	// unreadable says that a record of what is done of the job can't be read, so that
	// no unit of it may be started.
	unreadable bool
	// durations holds the expected duration of a task of each step.
	// criticalPaths holds, for each step, the duration of the longest chain of
	// steps that begins with it. objective is the time in which an occurrence
	// should end. All are based on the version estimateVersion of the queue's
	// duration model.
	durations       []time.Duration
	criticalPaths   []time.Duration
	objective       time.Duration
	estimateVersion int
	// rejections of its writes keep the job's state from being published, and its
	// rows from being removed.
	rejections rejections
}

// NewView returns an empty view.
func NewView(log *sesamelog.Logger) *View {
	return &View{
		log:     log,
		jobs:    map[string]*job{},
		units:   map[sesamework.UnitID]*unit{},
		targets: map[string]*target{},

		maxUnits: defaultMaxUnits,

		durationModels: map[string]*durationModel{},
		ends:           map[sesamerows.Key]sesamerows.Version{},
		unreadable:     map[string]bool{},
		obsolete: obsolete{
			rows: map[sesamerows.Key]sesamerows.Version{},
		},
	}
}

// SetPolicy sets the policy in force. Without one, or with nil, no team has a
// guarantee.
func (v *View) SetPolicy(p *sesamework.Policy) {
	v.policy = p
}

// Load fills an empty view from all rows of the work table, of the zones' run
// tables, and, as states, of the state table and the done table.
func (v *View) Load(work, runs, states []sesamerows.Row, now Now) {
	v.now = now
	v.loading = true
	defer func() { v.loading = false }()
	v.applyPrefix(work, sesamework.JobPrefix, v.setJob)
	for _, row := range states {
		if row.Key.Table == sesamework.DoneTable {
			v.setDone(row)
		} else {
			v.setState(row)
		}
	}
	v.applyPrefix(work, sesamework.CancelPrefix, v.setCancel)
	v.applyPrefix(work, sesamework.TargetPrefix, v.setTarget)
	for _, row := range runs {
		v.setRun(row)
	}
	v.applyPrefix(work, sesamework.EndPrefix, v.setEnd)
	v.endLostMembers()
	v.learnLoadedRuns()
}

// Apply updates the view by changed rows of the work table. It reports whether
// that may change a decision at once; mere progress of runs does not.
func (v *View) Apply(rows []sesamerows.Row, now Now) bool {
	v.now = now
	v.needsDecision = false
	for _, row := range rows {
		v.needsDecision = v.needsDecision || !strings.HasPrefix(row.Key.Name, sesamework.TargetPrefix)
	}
	v.applyPrefix(rows, sesamework.JobPrefix, v.setJob)
	v.applyPrefix(rows, sesamework.CancelPrefix, v.setCancel)
	v.applyPrefix(rows, sesamework.EndPrefix, v.setEnd)
	v.applyPrefix(rows, sesamework.TargetPrefix, v.setTarget)
	if v.needsDecision {
		v.endLostMembers()
	}
	return v.needsDecision
}

// applyPrefix calls set for the rows whose names have the prefix. The name that
// set gets is without the prefix.
func (v *View) applyPrefix(rows []sesamerows.Row, prefix string, set func(name string, row sesamerows.Row)) {
	for _, row := range rows {
		if name, ok := strings.CutPrefix(row.Key.Name, prefix); ok {
			set(name, row)
		}
	}
}

// decode unmarshals value, the JSON content of the row, into the variable that
// into points to. If that fails, it logs the error and returns false, and the
// caller ignores the row.
func (v *View) decode(row sesamerows.Row, value []byte, into any) bool {
	err := json.Unmarshal(value, into)
	if err != nil {
		v.log.Emit(eventBadRow, sesamelog.Fields{
			"row":   row.Key.String(),
			"error": err,
		})
	}
	return err == nil
}

// setJob adds a job unless it is known already, and its units if it does not
// recur. Rows that hold no valid job are logged and ignored.
func (v *View) setJob(id string, row sesamerows.Row) {
	if _, ok := v.jobs[id]; ok || row.Removed {
		return
	}
	j := &job{
		published: sesamework.JobQueued,
	}
	if !v.decode(row, row.Value, &j.Job) {
		v.unreadable[id] = true
		return
	}
	if err := j.problem(id); err != nil {
		v.unreadable[id] = true
		v.log.Emit(eventBadRow, sesamelog.Fields{
			"row":   row.Key.String(),
			"error": err,
		})
		return
	}
	v.estimate(j)
	v.jobs[id] = j
	if !j.Recurs() {
		v.openNext(j)
	}
}

// WrongIDError says that the row of a job holds another job.
type WrongIDError struct {
	// Row is the ID that the row's name holds, and Found that of the job in it.
	Row   string
	Found string
}

// Error names both IDs.
func (e *WrongIDError) Error() string {
	return fmt.Sprintf("row of job %q holds job %q", e.Row, e.Found)
}

// problem returns why a job that was read from the row of the job with that ID
// can't be used, or nil. Errors are a *WrongIDError and those of Job.Validate.
func (j *job) problem(id string) error {
	if j.ID != id {
		return &WrongIDError{
			Row:   id,
			Found: j.ID,
		}
	}
	return j.Validate()
}

// setState sets the state that callers see for a job (published) from the job's
// status row. A row of an unknown job, or one that cannot be decoded, is ignored.
func (v *View) setState(row sesamerows.Row) {
	j, ok := v.jobs[row.Key.Name]
	var s sesamework.JobStatus
	if !ok || !v.decode(row, row.Value, &s) {
		return
	}
	v.setPublished(j, s.State)
}

// setPublished records the state that callers see now.
func (v *View) setPublished(j *job, s sesamework.JobState) {
	if s.Ended() && !j.published.Ended() {
		j.endedAt = v.now.Steady
	}
	j.published = s
	j.failed = j.failed || s == sesamework.JobFailed
	j.cancelled = j.cancelled || s == sesamework.JobCancelled
}

// setCancel marks a job as cancelled unless it has ended before.
func (v *View) setCancel(id string, row sesamerows.Row) {
	if j, ok := v.jobs[id]; ok && !row.Removed && !j.published.Ended() {
		j.cancelled = true
	}
}

// setRun sets a unit's newest run from one of its rows, or adds what another row of
// that run holds. Rows of unknown jobs and of earlier runs are ignored.
func (v *View) setRun(row sesamerows.Row) {
	id, name, err := sesamework.ParseRunKey(row.Key)
	if err != nil {
		return
	}
	var r sesamework.Run
	if !v.decode(row, row.Value, &r) {
		v.unreadable[id.Job] = true
		return
	}
	j, ok := v.jobs[id.Job]
	if !ok {
		v.addOrphan(row.Key, id.Job)
		return
	}
	if j.isReleased(id) {
		v.addObsolete(row.Key, 0)
		return
	}
	if !v.openUpTo(j, id.Occurrence) {
		return
	}
	u, ok := v.createByID(id)
	if !ok || r.Number < u.run.Number {
		return
	}
	if r.Number == u.run.Number {
		u.addRunPart(r)
	} else {
		u.setRun(r, v.now.Steady)
		u.rows = nil
	}
	u.rows = append(u.rows, name)
}

// unitOf returns the unit that the task belongs to, which is the task alone or
// its gang, and whether it is created.
func (v *View) unitOf(t sesamework.TaskID) (*unit, bool) {
	if u, ok := v.units[sesamework.UnitID(t)]; ok {
		return u, true
	}
	gang := sesamework.UnitID(t)
	gang.Index = sesamework.GangIndex
	u, ok := v.units[gang]
	return u, ok
}

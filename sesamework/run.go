package sesamework

import (
	"slices"
	"strings"

	"github.com/sesamestack/sesamestack/sesamerows"
)

// Member is one task of a run with the target that it is placed on.
type Member struct {
	// Index is the position of the task in its step.
	Index int `json:"i"`
	// Target is the name of the target's row.
	Target string `json:"t"`
	// Zone is the zone of the target.
	Zone string `json:"z"`
	// Life is the target's life that the task is placed on; see Target.Life.
	Life int64 `json:"l"`
}

// TargetKey returns the key of the row of the member's target.
func (m Member) TargetKey() sesamerows.Key {
	name := strings.TrimPrefix(m.Target, TargetPrefix)
	node, id := name, ""
	if i := strings.LastIndexByte(name, '/'); i >= 0 {
		node, id = name[:i], name[i+1:]
	}
	return TargetKey(m.Zone, node, id)
}

// Run is the newest run (start) of a unit. Its rows, of which each holds a part of
// the members (see Split), are in the store before an order to start it is sent to
// any target.
type Run struct {
	// Number counts the runs of the unit from 1.
	Number int `json:"n"`
	// Members are all tasks of the unit.
	Members Members `json:"m"`
	// Reservation is what each member takes from its target's capacity; see
	// Step.Reservation.
	Reservation Resources `json:"room"`
	// StopReason says why the run is to be stopped; empty while it is to go on.
	StopReason string `json:"stop,omitempty"`
	// Checkpoint is the checkpoint to resume from; empty means that the run
	// starts from the beginning.
	Checkpoint string `json:"ckpt,omitempty"`
	// Failures counts the earlier runs of the unit that failed.
	Failures int `json:"fails,omitempty"`
	// Avoid lists the targets on which the unit failed last, at most MaxAvoided, by
	// the names of their rows.
	Avoid []string `json:"avoid,omitempty"`
	// Crashes counts the targets that crashed under earlier runs of each task, by
	// its index, and Suspect says that the unit may have caused that.
	Crashes map[int]int `json:"crashes,omitempty"`
	Suspect bool        `json:"suspect,omitempty"`
	// Stalls counts the earlier runs that were stopped for lack of progress.
	Stalls int `json:"stalls,omitempty"`
	// Preempted says that the unit's run before was stopped to make room for another.
	Preempted bool `json:"taken,omitempty"`
	// OrderedAt is when the run was written to the store, on the store's clock
	// in milliseconds.
	OrderedAt int64 `json:"at"`
	// StartBy is until when a start of the run may be sent, on the store's clock in
	// milliseconds; 0 means at any time. It bounds how late a run can start in a
	// zone that is evacuated after the planner has ordered the run.
	StartBy int64 `json:"by,omitempty"`
}

// Zones returns the zones of the members, each once, in the order in which the
// members first name them.
func (r Run) Zones() []string {
	var zones []string
	for _, m := range r.Members {
		if !slices.Contains(zones, m.Zone) {
			zones = append(zones, m.Zone)
		}
	}
	return zones
}

// Outcome says how a run ended on its target.
type Outcome string

// The outcomes of a run on a target.
const (
	// EndDone means that the task is done. It is final.
	EndDone Outcome = "done"
	// EndFailed means that the task failed. It is the only outcome that counts
	// towards Terms.Attempts.
	EndFailed Outcome = "failed"
	// EndStopped means that the run was stopped by an order.
	EndStopped Outcome = "stopped"
	// EndLapsed means that the lease of the run lapsed.
	EndLapsed Outcome = "lapsed"
	// EndGangBroken means that the run was ended because another member of its
	// gang had ended.
	EndGangBroken Outcome = "broken"
	// EndGangTimeout means that the other members of the gang did not arrive
	// while this one waited for them.
	EndGangTimeout Outcome = "alone"
	// EndLost means that the target ended, and the run with it.
	EndLost Outcome = "lost"
	// EndCrashed means that the target crashed, and the run ended with it.
	EndCrashed Outcome = "crashed"
	// EndNeverRan means that the run never started and never will.
	EndNeverRan Outcome = "void"
)

// End records how a run ended on its target. Its row has the key EndKey.
type End struct {
	Outcome Outcome `json:"how"`
	// Target and Life are those of the Member that ended.
	Target string `json:"t"`
	Life   int64  `json:"l"`
	// Checkpoint is the newest checkpoint that was saved, if any.
	Checkpoint string `json:"ckpt,omitempty"`
	// Reason explains the outcome EndNeverRan.
	Reason string `json:"why,omitempty"`
	// Taken is how long the run took on its target, in milliseconds; 0 if that is
	// not known, because another agent ordered the start.
	Taken int64 `json:"ms,omitempty"`
}

// TargetState says whether a target accepts new runs.
type TargetState string

// MaxCheckpointBytes is the greatest length of a checkpoint that is kept, so that
// it fits into the rows of runs and ends with all else.
const MaxCheckpointBytes = 4096

// The states of a target.
const (
	// TargetReady means that the target accepts new runs.
	TargetReady TargetState = "ready"
	// TargetDraining means that the target accepts nothing new and leaves soon.
	TargetDraining TargetState = "draining"
	// TargetGone means that the target runs nothing any more.
	TargetGone TargetState = "gone"
)

// Progress is what a target reports of one task that it runs.
type Progress struct {
	// Task is the name of the task; see ParseTask.
	Task string `json:"t"`
	// Run is the number of the run; see Run.Number.
	Run int `json:"n"`
	// Checkpoint is the newest checkpoint that was saved, if any.
	Checkpoint string `json:"ckpt,omitempty"`
	// Percent is how much of the task's work is done.
	Percent int `json:"p"`
}

// Target is a target as its agent reports it, during one life (one start) of the
// target.
type Target struct {
	// ID is that of the target in the platform's inventory. Node names the VM
	// on which the target runs.
	ID   string `json:"id"`
	Node string `json:"node"`
	// Service names the kind of the target; see Terms.Service.
	Service string `json:"service"`
	// Zone and Rack say where the VM is, and Address where the target takes
	// calls. A Step may ask for one of the Labels.
	Zone    string   `json:"zone"`
	Address string   `json:"address"`
	Rack    string   `json:"rack,omitempty"`
	Labels  []string `json:"labels,omitempty"`
	// Capacity is the total, including what running tasks hold.
	Capacity Resources   `json:"room"`
	State    TargetState `json:"state"`
	// Life identifies the life (start) of the target: it is when the target
	// started, in Unix milliseconds, as the target itself reports it.
	Life int64 `json:"life"`
	// MinRemaining is how much longer a draining target stays at least, in
	// milliseconds from the report.
	MinRemaining int64 `json:"leaves,omitempty"`
	// ColdFor is how much longer the target should get no runs after it was out of
	// use, in milliseconds from the report.
	ColdFor int64 `json:"cold,omitempty"`
	// AgentEpoch counts the agents that served this target. It is a fencing
	// token: once the target has seen an agent's epoch, orders of earlier
	// agents have no effect.
	AgentEpoch int64 `json:"holder"`
	// Heartbeat counts the reports of one agent.
	Heartbeat int64 `json:"beat"`
	// Running are the tasks that run on the target, or, if Partial is set, some of
	// them: those that follow in order the ones of the report before.
	Running []Progress `json:"run,omitempty"`
	Partial bool       `json:"partial,omitempty"`
	// Refusing says that the target has lately refused orders, or has not
	// reported its capacity.
	Refusing bool `json:"refusing,omitempty"`
	// SilentFor is how long the target has not answered its agent, in
	// milliseconds; 0 while it answers. Running is as old as that.
	SilentFor int64 `json:"silent,omitempty"`
	// Crash tells of a crash of this life, or of an earlier one under the same
	// ID whose runs the planner has not replaced; nil without one.
	Crash *Crash `json:"crash,omitempty"`
}

// JobState is the state of a job as callers see it.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Ended reports whether the state is final: completed, failed or cancelled.
func (s JobState) Ended() bool {
	return s == JobCompleted || s == JobFailed || s == JobCancelled
}

// JobStatus is the content of the row that StateKey names, from which callers'
// questions about a job are answered. Queue and Team are those of the job.
type JobStatus struct {
	State JobState `json:"s"`
	Queue string   `json:"q"`
	Team  string   `json:"team,omitempty"`
	// Recurring says that the job runs at due times, so that it does not count
	// as waiting.
	Recurring bool `json:"timed,omitempty"`
}

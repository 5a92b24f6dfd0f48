package sesamework

import "slices"

// Member is one task of a run and where it runs.
type Member struct {
	Index int `json:"i"`
	// Target is the name of the target's row.
	Target string `json:"t"`
	Zone   string `json:"z"`
	// Life is when the target started, in Unix milliseconds by its own word.
	Life int64 `json:"l"`
}

// Run is the newest run of a unit. It lies in the store before any order for
// it goes out.
type Run struct {
	// Number counts the runs of the unit from 1.
	Number  int      `json:"n"`
	Members []Member `json:"m"`
	// StopReason says why the run is to be stopped; empty while it is wanted.
	StopReason string `json:"stop,omitempty"`
	// Checkpoint is where the run goes on from; empty from the start.
	Checkpoint string `json:"ckpt,omitempty"`
	// Failures counts the earlier runs that failed.
	Failures int `json:"fails,omitempty"`
	// Avoid lists targets on which the unit failed.
	Avoid []string `json:"avoid,omitempty"`
	// OrderedAt is when it was written, on the store's clock in milliseconds.
	OrderedAt int64 `json:"at"`
}

// Zones returns the zones of the members, each once, in their order.
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

// The ways to end. Done stands for good; only Failed counts as an attempt.
const (
	EndDone   Outcome = "done"
	EndFailed Outcome = "failed"
	// EndStopped was stopped by an order.
	EndStopped Outcome = "stopped"
	// EndLapsed ran out of its lease.
	EndLapsed Outcome = "lapsed"
	// EndGangBroken ended because another member of the gang had ended.
	EndGangBroken Outcome = "broken"
	// EndGangTimeout waited in vain for the other members of its gang.
	EndGangTimeout Outcome = "alone"
	// EndLost ended with its target.
	EndLost Outcome = "lost"
	// EndNeverRan never ran and never will.
	EndNeverRan Outcome = "void"
)

// End is the end of a run on its target.
type End struct {
	Outcome Outcome `json:"how"`
	Target  string  `json:"t"`
	Life    int64   `json:"l"`
	// Checkpoint is the newest saved progress, if any.
	Checkpoint string `json:"ckpt,omitempty"`
	// Reason says more of a void run.
	Reason string `json:"why,omitempty"`
}

// TargetState says what a target takes.
type TargetState string

// The states of a target.
const (
	TargetReady TargetState = "ready"
	// TargetDraining takes nothing new and leaves soon.
	TargetDraining TargetState = "draining"
	// TargetGone runs nothing any more.
	TargetGone TargetState = "gone"
)

// Progress is a run as its target reports it.
type Progress struct {
	Task       string `json:"t"`
	Run        int    `json:"n"`
	Checkpoint string `json:"ckpt,omitempty"`
	// Percent of the task's work that is done.
	Percent int `json:"p"`
}

// Target is one life of a target, as its agent reports it.
type Target struct {
	ID       string      `json:"id"`
	Node     string      `json:"node"`
	Service  string      `json:"service"`
	Zone     string      `json:"zone"`
	Address  string      `json:"address"`
	Rack     string      `json:"rack,omitempty"`
	Labels   []string    `json:"labels,omitempty"`
	Capacity Resources   `json:"room"`
	State    TargetState `json:"state"`
	// Life is when the target started, in Unix milliseconds by its own word.
	Life int64 `json:"life"`
	// MinRemaining is the least time that a draining target stays, in milliseconds.
	MinRemaining int64 `json:"leaves,omitempty"`
	// AgentEpoch counts the agents that served this target; orders of an earlier
	// one have no effect once the target has seen a later one.
	AgentEpoch int64 `json:"holder"`
	// Heartbeat counts the reports of one agent.
	Heartbeat int64      `json:"beat"`
	Running   []Progress `json:"run,omitempty"`
	// Refusing says that the target has lately refused orders.
	Refusing bool `json:"refusing,omitempty"`
	// SilentFor is for how long the target has not answered its agent, in
	// milliseconds; 0 while it does. Running is as old.
	SilentFor int64 `json:"silent,omitempty"`
}

// JobState is what callers see of a job.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Ended reports whether the state is final.
func (s JobState) Ended() bool {
	return s == JobCompleted || s == JobFailed || s == JobCancelled
}

// JobStatus is the row that callers' questions are answered from.
type JobStatus struct {
	State JobState `json:"s"`
	Queue string   `json:"q"`
	Team  string   `json:"team,omitempty"`
	// Recurring jobs run at set times and don't count as waiting.
	Recurring bool `json:"timed,omitempty"`
}

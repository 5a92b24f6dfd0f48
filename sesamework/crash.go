package sesamework

// Crash tells which runs a target had when its process ended unexpectedly,
// while the agent beside it went on running. It is evidence about these runs,
// unlike the loss of a VM.
type Crash struct {
	// Life is the life that ended so; see Target.Life.
	Life int64 `json:"l"`
	// Runs are those that had started there, or may have, and had not ended; at
	// most MaxCrashedRuns, those ordered last before the others.
	Runs []CrashedRun `json:"r"`
	// Omitted is the number of further ones.
	Omitted int `json:"more,omitempty"`
}

// MaxCrashedRuns bounds Crash.Runs, so that the target's row holds them.
const MaxCrashedRuns = 200

// CrashedRun is one task of a run on a target that crashed.
type CrashedRun struct {
	// Task is the name of the task; see ParseTask.
	Task string `json:"t"`
	// Run is the number of the run; see Run.Number.
	Run int `json:"n"`
	// Ran is how long before the crash the start was ordered, in milliseconds;
	// -1 if that is not known, because another agent process ordered it.
	Ran int64 `json:"ms"`
}

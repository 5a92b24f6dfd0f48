package sesamework

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamestack/sesamestack/sesamerows"
)

// Tables of the store. Each is for one kind of reader, and so is the RunTable
// of each zone, which the agents of that zone read.
const (
	// WorkTable is what the planner reads.
	WorkTable = "work"
	// StateTable is what entries read.
	StateTable = "states"
	// SpecTable holds what the tasks of each job execute; see SpecKey.
	SpecTable = "specs"
)

// Prefixes of row names in WorkTable, one for each kind of row.
const (
	// JobPrefix begins the names of accepted jobs.
	JobPrefix = "j/"
	// CancelPrefix begins the names of accepted cancellations of jobs.
	CancelPrefix = "c/"
	// TargetPrefix begins the names of targets.
	TargetPrefix = "t/"
	// EndPrefix begins the names of ends of runs.
	EndPrefix = "e/"
)

// PlanPart is the part of each table that the planner uses. The store handles the
// transactions of one part one after another, so that processes which write
// often have parts of their own: entries use those that EntryPart returns, agents
// those that NodePart returns.
const PlanPart = "plan"

const (
	// entryParts is the number of parts over which accepted jobs are spread. A
	// slow store handles 4 transactions a second in each.
	entryParts = 16
	// entryPartPrefix begins the names of these parts; a hexadecimal digit
	// follows.
	entryPartPrefix = "job-"
)

// EntryPart returns the part that holds the rows that entries write of the job
// with that ID: the job, its specification and its first status.
func EntryPart(id string) string {
	return entryPartName(xxhash.Sum64String(id) % entryParts)
}

// entryPartName returns the name of the entry part with that number.
func entryPartName(number uint64) string {
	return entryPartPrefix + strconv.FormatUint(number, entryParts)
}

// EntryParts returns all parts that EntryPart may return.
func EntryParts() []string {
	parts := make([]string, 0, entryParts)
	for i := range uint64(entryParts) {
		parts = append(parts, entryPartName(i))
	}
	return parts
}

// partsPerZone is the number of parts over which the agents of a zone are
// spread. A planner that takes over reads the parts one by one, so there are
// few.
const partsPerZone = 16

// NodePart returns the part that holds the rows of a node's targets and of the
// ends of runs on them. The parts of a zone are named zone/0 to zone/f, and a
// hash of the node selects one.
func NodePart(zone, node string) string {
	return zone + "/" + strconv.FormatUint(xxhash.Sum64String(node)%partsPerZone, partsPerZone)
}

// ZoneOf returns the zone whose agents write the part, and whether it is a part
// that NodePart returned.
func ZoneOf(part string) (string, bool) {
	i := strings.LastIndexByte(part, '/')
	if i < 0 {
		return "", false
	}
	return part[:i], true
}

// JobKey returns the key of the row of an accepted job.
func JobKey(id string) sesamerows.Key {
	return sesamerows.Key{
		Table: WorkTable,
		Part:  EntryPart(id),
		Name:  JobPrefix + id,
	}
}

// CancelKey returns the key of the row that exists once the cancellation of a
// job was accepted.
func CancelKey(id string) sesamerows.Key {
	return sesamerows.Key{
		Table: WorkTable,
		Part:  PlanPart,
		Name:  CancelPrefix + id,
	}
}

// SpecKey returns the key of the row that holds what the tasks of a job execute.
func SpecKey(id string) sesamerows.Key {
	return sesamerows.Key{
		Table: SpecTable,
		Part:  EntryPart(id),
		Name:  id,
	}
}

// StateKey returns the key of a row with the JobStatus of a job. There are two
// rows: one in the job's EntryPart, written when the job is accepted, and the
// planner's in PlanPart. Callers see the newer one.
func StateKey(part, id string) sesamerows.Key {
	return sesamerows.Key{
		Table: StateTable,
		Part:  part,
		Name:  id,
	}
}

// runTablePrefix begins the name of each zone's RunTable; the zone follows.
const runTablePrefix = "runs."

// RunTable returns the name of the table that holds the runs with members in a
// zone. Each zone has its own table, so that changes of other zones' runs do
// not wake its agents.
func RunTable(zone string) string {
	return runTablePrefix + zone
}

// IsRunTable reports whether the table is the RunTable of a zone.
func IsRunTable(table string) bool {
	return strings.HasPrefix(table, runTablePrefix)
}

// RunKey returns the key of the first row of a unit's newest run in the RunTable of
// a zone; see RunRow. A run with members in several zones has rows in the table of
// each.
func RunKey(u UnitID, zone string) sesamerows.Key {
	return sesamerows.Key{
		Table: RunTable(zone),
		Part:  PlanPart,
		Name:  u.String(),
	}
}

// TargetKey returns the key of the row of a target on a node of a zone.
func TargetKey(zone, node, id string) sesamerows.Key {
	return sesamerows.Key{
		Table: WorkTable,
		Part:  NodePart(zone, node),
		Name:  TargetPrefix + node + "/" + id,
	}
}

// EndKey returns the key of the row that records the end of a task's run. It is
// in the same table and part as the row of the target where the run ended.
func EndKey(target sesamerows.Key, task TaskID, run int) sesamerows.Key {
	return sesamerows.Key{
		Table: target.Table,
		Part:  target.Part,
		Name:  EndPrefix + task.String() + "/" + strconv.Itoa(run),
	}
}

// ParseEndKey returns the task and the run number from the key of a row that
// records the end of a task's run (see EndKey), and true. It returns false for
// other keys.
func ParseEndKey(key sesamerows.Key) (TaskID, int, bool) {
	name, ok := strings.CutPrefix(key.Name, EndPrefix)
	taskName, runNumber, cut := strings.Cut(name, "/")
	run, err := strconv.Atoi(runNumber)
	if !ok || !cut || err != nil {
		return TaskID{}, 0, false
	}
	task, err := ParseTask(taskName)
	return task, run, err == nil
}

// LeaderKey returns the key of the row through which one process is elected to
// plan (leader election). It is in WorkTable, whose changes the leader follows,
// so that the leader sees its own writes.
func LeaderKey() sesamerows.Key {
	return sesamerows.Key{
		Table: WorkTable,
		Part:  PlanPart,
		Name:  "planner",
	}
}

// GangIndex is the Index of a unit that consists of all tasks of a gang.
const GangIndex = -1

// UnitID identifies a unit, which is what is started as one: a task, or all
// tasks of a gang.
type UnitID struct {
	// Job is the ID of the job.
	Job string
	// Occurrence counts the occurrences of the job from 0.
	Occurrence int
	// Step is the index of the step in the job.
	Step int
	// Index is the index of the task in the step, or GangIndex.
	Index int
}

// String returns the unit's name: job.occurrence.step.index for a task, and
// job.occurrence.step for a gang.
func (u UnitID) String() string {
	name := fmt.Sprintf("%s.%d.%d", u.Job, u.Occurrence, u.Step)
	if u.Index == GangIndex {
		return name
	}
	return name + "." + strconv.Itoa(u.Index)
}

// Task returns the ID of the unit's task that has this index in its step.
func (u UnitID) Task(index int) TaskID {
	return TaskID{
		Job:        u.Job,
		Occurrence: u.Occurrence,
		Step:       u.Step,
		Index:      index,
	}
}

// TaskID identifies one task, which may belong to a gang. Its Index is never
// GangIndex.
type TaskID UnitID

// String returns the task's name: job.occurrence.step.index.
func (t TaskID) String() string {
	return UnitID(t).String()
}

// NameError says that a text is not the name of a unit or task.
type NameError struct {
	// Name is the text.
	Name string
}

// Error quotes the text.
func (e *NameError) Error() string {
	return fmt.Sprintf("%q is not the name of a task", e.Name)
}

// ParseUnit returns the unit with that name; it reverses UnitID.String. The
// error is a *NameError.
func ParseUnit(name string) (UnitID, error) {
	parts := strings.Split(name, ".")
	if len(parts) < 3 || len(parts) > 4 || parts[0] == "" {
		return UnitID{}, &NameError{
			Name: name,
		}
	}
	numbers := []int{0, 0, GangIndex}
	for i, text := range parts[1:] {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			return UnitID{}, &NameError{
				Name: name,
			}
		}
		numbers[i] = n
	}
	return UnitID{
		Job:        parts[0],
		Occurrence: numbers[0],
		Step:       numbers[1],
		Index:      numbers[2],
	}, nil
}

// ParseTask returns the task with that name; it reverses TaskID.String. The
// error is a *NameError, also for the name of a gang.
func ParseTask(name string) (TaskID, error) {
	u, err := ParseUnit(name)
	if err == nil && u.Index == GangIndex {
		err = &NameError{
			Name: name,
		}
	}
	return TaskID(u), err
}

package sesamework

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamestack/sesamestack/sesamerows"
)

// Tables of the store. Work is what the planner reads, states what entries
// read, and a table for each zone, RunTable, what its agents read.
const (
	WorkTable  = "work"
	StateTable = "states"
	SpecTable  = "specs"
)

// Prefixes of names in the work table.
const (
	JobPrefix    = "j/"
	CancelPrefix = "c/"
	TargetPrefix = "t/"
	EndPrefix    = "e/"
)

// The store handles the transactions of one part one after another, so those
// who write often have parts of their own: entries the unnamed one, which also
// holds the operators' rows, the planner PlanPart, and agents NodePart.
const (
	EntryPart = ""
	PlanPart  = "plan"
)

// partsPerZone is over how many parts the agents of a zone spread: few enough
// to be read one by one by a planner that takes over.
const partsPerZone = 16

// NodePart returns the part of a node's targets and of the ends there.
func NodePart(zone, node string) string {
	return zone + "/" + strconv.FormatUint(xxhash.Sum64String(node)%partsPerZone, partsPerZone)
}

// ZoneOf returns the zone whose agents write the part.
func ZoneOf(part string) (string, bool) {
	i := strings.LastIndexByte(part, '/')
	if i < 0 {
		return "", false
	}
	return part[:i], true
}

// JobKey names the row of an accepted job.
func JobKey(id string) sesamerows.Key {
	return sesamerows.Key{
		Table: WorkTable,
		Name:  JobPrefix + id,
	}
}

// CancelKey names the row that exists once a job's cancelling was accepted.
func CancelKey(id string) sesamerows.Key {
	return sesamerows.Key{
		Table: WorkTable,
		Part:  PlanPart,
		Name:  CancelPrefix + id,
	}
}

// SpecKey names the row with what a job's tasks are told to run.
func SpecKey(id string) sesamerows.Key {
	return sesamerows.Key{
		Table: SpecTable,
		Name:  id,
	}
}

// StateKey names the row with the state that callers see: the newer one of
// that in EntryPart, from the job's acceptance, and the planner's in PlanPart.
func StateKey(part, id string) sesamerows.Key {
	return sesamerows.Key{
		Table: StateTable,
		Part:  part,
		Name:  id,
	}
}

// runTablePrefix is followed by the zone.
const runTablePrefix = "runs."

// RunTable names the table of the runs that have members in a zone. An agent
// is woken only by the runs of its own zone.
func RunTable(zone string) string {
	return runTablePrefix + zone
}

// IsRunTable reports whether the table holds runs.
func IsRunTable(table string) bool {
	return strings.HasPrefix(table, runTablePrefix)
}

// RunKey names the row of a unit's newest run in the table of a zone. A run
// with members in several zones has a row in the table of each.
func RunKey(u UnitID, zone string) sesamerows.Key {
	return sesamerows.Key{
		Table: RunTable(zone),
		Part:  PlanPart,
		Name:  u.String(),
	}
}

// TargetKey names the row of one target.
func TargetKey(zone, node, id string) sesamerows.Key {
	return sesamerows.Key{
		Table: WorkTable,
		Part:  NodePart(zone, node),
		Name:  TargetPrefix + node + "/" + id,
	}
}

// EndKey names the row of a run's end on a target, beside the target's row.
func EndKey(target sesamerows.Key, task TaskID, run int) sesamerows.Key {
	return sesamerows.Key{
		Table: target.Table,
		Part:  target.Part,
		Name:  EndPrefix + task.String() + "/" + strconv.Itoa(run),
	}
}

// ParseEndKey reads the task and the run from a key that EndKey made.
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

// LeaderKey names the row of the process that plans. It lies in the table that
// this process follows, so that it sees its own writes.
func LeaderKey() sesamerows.Key {
	return sesamerows.Key{
		Table: WorkTable,
		Part:  PlanPart,
		Name:  "planner",
	}
}

// GangIndex stands for all tasks of a step together.
const GangIndex = -1

// UnitID names what is started as one: a task, or all tasks of a gang.
type UnitID struct {
	Job        string
	Occurrence int
	Step       int
	// Index is the task, or GangIndex.
	Index int
}

// String returns job.occurrence.step.index, without an index for a gang.
func (u UnitID) String() string {
	name := fmt.Sprintf("%s.%d.%d", u.Job, u.Occurrence, u.Step)
	if u.Index == GangIndex {
		return name
	}
	return name + "." + strconv.Itoa(u.Index)
}

// Task returns the name of one task of the unit.
func (u UnitID) Task(index int) TaskID {
	return TaskID{
		Job:        u.Job,
		Occurrence: u.Occurrence,
		Step:       u.Step,
		Index:      index,
	}
}

// TaskID names a task.
type TaskID UnitID

// String returns job.occurrence.step.index.
func (t TaskID) String() string {
	return UnitID(t).String()
}

// NameError says that a text is no name of a unit or a task.
type NameError struct {
	Name string
}

// Error names the text.
func (e *NameError) Error() string {
	return fmt.Sprintf("%q is not the name of a task", e.Name)
}

// ParseUnit reads what UnitID.String wrote.
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

// ParseTask reads what TaskID.String wrote.
func ParseTask(name string) (TaskID, error) {
	u, err := ParseUnit(name)
	if err == nil && u.Index == GangIndex {
		err = &NameError{
			Name: name,
		}
	}
	return TaskID(u), err
}

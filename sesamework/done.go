package sesamework

import (
	"strings"

	"github.com/sesamestack/sesamestack/sesamerows"
)

// DoneTable holds what is done of jobs and kept without its runs and their ends. Only
// planners write and read it.
const DoneTable = "done"

// DoneUnitsKey returns the key of the row that holds, as an IndexSet, which units of a
// step are done and have no other rows any more: the indexes of tasks, or 0 for the
// gang.
func DoneUnitsKey(job string, occurrence, step int) sesamerows.Key {
	return doneKey(UnitID{
		Job:        job,
		Occurrence: occurrence,
		Step:       step,
		Index:      GangIndex,
	}.String())
}

// DoneOccurrencesKey returns the key of the row that holds, as an IndexSet, which
// occurrences of a job are done and have no other rows any more.
func DoneOccurrencesKey(job string) sesamerows.Key {
	return doneKey(job)
}

func doneKey(name string) sesamerows.Key {
	return sesamerows.Key{
		Table: DoneTable,
		Part:  PlanPart,
		Name:  name,
	}
}

// DoneRow says what a row of DoneTable tells of: the units of a step, or, if
// Occurrences is set, the occurrences of a job.
type DoneRow struct {
	Job         string
	Occurrences bool
	Occurrence  int
	Step        int
}

// ParseDoneKey returns what the row with that key tells of. The error is a *NameError.
func ParseDoneKey(key sesamerows.Key) (DoneRow, error) {
	if key.Name != "" && !strings.Contains(key.Name, ".") {
		return DoneRow{
			Job:         key.Name,
			Occurrences: true,
		}, nil
	}
	u, err := ParseUnit(key.Name)
	if err == nil && u.Index != GangIndex {
		err = &NameError{
			Name: key.Name,
		}
	}
	return DoneRow{
		Job:        u.Job,
		Occurrence: u.Occurrence,
		Step:       u.Step,
	}, err
}

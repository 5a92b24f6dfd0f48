package sesamesettings

import (
	"fmt"
	"sort"
	"strings"
)

// ProblemError is one fault of a file.
type ProblemError struct {
	File string
	// Line counts from 1; 0 means that the fault concerns the whole file.
	Line int
	// Key is the path of the value, such as leases.heartbeat or tokens[0].
	Key     string
	Message string
}

// Error returns the fault as file:line: key: problem.
func (e *ProblemError) Error() string {
	place := e.File
	if e.Line > 0 {
		place = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key == "" {
		return fmt.Sprintf("%s: %s", place, e.Message)
	}
	return fmt.Sprintf("%s: %s: %s", place, e.Key, e.Message)
}

// ValidationError holds every fault found in one pass, ordered by file and line.
type ValidationError struct {
	Problems []*ProblemError
}

// Error returns the faults, one a line.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, f := range e.Problems {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

// validationErrorOrNil returns the faults as one error in a stable order.
func validationErrorOrNil(problems []*ProblemError) error {
	if len(problems) == 0 {
		return nil
	}
	sort.SliceStable(problems, func(i, k int) bool {
		a, b := problems[i], problems[k]
		if a.File != b.File {
			return a.File < b.File
		}
		return a.Line < b.Line
	})
	return &ValidationError{
		Problems: problems,
	}
}

package sesamesettings

import (
	"fmt"
	"sort"
	"strings"
)

// ProblemError is one problem found in a settings or contract file.
type ProblemError struct {
	// File is the file's path as it was given.
	File string
	// Line counts from 1; 0 means that the problem concerns the whole file.
	Line int
	// Key is the path of the value, such as leases.heartbeat or tokens[0]; empty
	// if the problem isn't about one value.
	Key string
	// Message says what is wrong, without file, line and key.
	Message string
}

// Error returns the problem as file:line: key: message. Line and key are left
// out if there is none.
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

// ValidationError holds all problems found in the checked files, ordered by file
// and line. It also reports files that can't be read.
type ValidationError struct {
	Problems []*ProblemError
}

// Error returns the problems, one a line.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, f := range e.Problems {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

// validationErrorOrNil sorts the problems by file and line and returns them as a
// *ValidationError, or nil if there are none. Problems of the same line stay in
// the order in which they were found.
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

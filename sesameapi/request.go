package sesameapi

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// JobRequest is the body of a submission.
type JobRequest struct {
	// Class is the name of one of the classes in the team's contract, which
	// sets the job's urgency.
	Class string `json:"class"`
	// Kind is the kind of target that the job runs on, worker or executor.
	Kind sesamemodel.Kind `json:"kind"`
	// Tasks is the number of tasks of the job, which are started together (a
	// gang).
	Tasks int `json:"tasks"`
	// Task is what each task needs.
	Task sesamemodel.Resources `json:"task"`
	// Span is the widest area that the targets of the job may be spread over:
	// a worker, rack, zone or region.
	Span sesamemodel.Span `json:"span,omitempty"`
	// AtMostOnce marks work that must run at most once; a class may set it too.
	AtMostOnce bool `json:"once,omitempty"`
	// Checkpoints is true if the work saves checkpoints.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// RunTime is the declared run time as a Go duration, such as 90m; empty
	// means unknown.
	RunTime string `json:"runtime,omitempty"`
	// Payload is the input of every task, in base64.
	Payload []byte `json:"payload,omitempty"`
}

// The bounds of a request: tasks of a job, needs of one task, declared run time
// and length of an Idempotency-Key.
const (
	MaxTasks     = 1024
	MaxCores     = 4096
	MaxMemory    = 64 << 20 // MiB
	MaxSlots     = 4096
	MaxRuntime   = 90 * 24 * time.Hour
	maxKeyLength = 128 // bytes
)

// decode decodes a body that must be exactly one JSON value without unknown
// fields. It fails with a problem of type Malformed or Invalid.
func decode[T any](body []byte) (T, error) {
	var value T
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&value); err != nil {
		return value, decodeProblem(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return value, newProblem(Malformed, "the body has more data after its JSON value")
	}
	return value, nil
}

// decodeProblem returns the problem for an error of encoding/json. It names the
// field where the error has one, and is Malformed otherwise.
func decodeProblem(err error) *ProblemError {
	var (
		wrongType *json.UnmarshalTypeError
		syntax    *json.SyntaxError
		encoding  base64.CorruptInputError
	)
	switch {
	case errors.As(err, &wrongType):
		return invalidProblem([]InvalidField{
			{
				Field:  wrongType.Field,
				Detail: fmt.Sprintf("must be a %s, not a %s", wrongType.Type, wrongType.Value),
			},
		})
	case errors.As(err, &encoding):
		return invalidProblem([]InvalidField{
			{
				Field:  "payload",
				Detail: "must be base64",
			},
		})
	case errors.As(err, &syntax):
		return newProblem(Malformed, fmt.Sprintf("the body is not JSON at byte %d", syntax.Offset))
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return newProblem(Malformed, "the body ends within its JSON value")
	}
	if field, ok := unknownField(err); ok {
		return invalidProblem([]InvalidField{
			{
				Field:  field,
				Detail: "is unknown",
			},
		})
	}
	return newProblem(Malformed, "the body does not have the expected JSON form")
}

// unknownField returns the name of the unknown field that the error is about. It
// parses the message, because encoding/json has no type for this error.
func unknownField(err error) (string, bool) {
	name, ok := strings.CutPrefix(err.Error(), "json: unknown field ")
	return strings.Trim(name, `"`), ok
}

// invalidFields collects the invalid fields of one request.
type invalidFields []InvalidField

// add adds a field; the detail continues a sentence that begins with its name.
func (f *invalidFields) add(field, format string, values ...any) {
	*f = append(*f, InvalidField{
		Field:  field,
		Detail: fmt.Sprintf(format, values...),
	})
}

// checkRange adds the field unless its value is from minimum to maximum.
func (f *invalidFields) checkRange(field string, value, minimum, maximum int) {
	if value < minimum || value > maximum {
		f.add(field, "is %d, must be %d to %d", value, minimum, maximum)
	}
}

// Validate returns the fields that are invalid under any contract.
func (q JobRequest) Validate() []InvalidField {
	var f invalidFields
	if q.Class == "" {
		f.add("class", "is missing")
	}
	f.checkRange("tasks", q.Tasks, 1, MaxTasks)
	f.checkRange("task.cores", q.Task.Cores, 0, MaxCores)
	f.checkRange("task.memory", q.Task.Memory, 0, MaxMemory)
	f.checkRange("task.accelerators", q.Task.Accelerators, 0, sesamemodel.MaxTargetAccelerators)
	f.checkRange("task.slots", q.Task.Slots, 0, MaxSlots)
	if q.Span != "" && q.Span.Width() == 0 {
		f.add("span", "is %q, must be worker, rack, zone or region", q.Span)
	}
	q.validateKind(&f)
	if _, err := q.parseRunTime(); err != nil {
		f.add("runtime", "is %q, must be a duration from 0s to %s", q.RunTime, MaxRuntime)
	}
	return f
}

// validateKind checks that the task's needs suit the kind of target: slots exist
// on executors only, accelerators on workers only.
func (q JobRequest) validateKind(f *invalidFields) {
	switch q.Kind {
	case sesamemodel.Worker:
		if q.Task.Slots != 0 {
			f.add("task.slots", "is for executors only")
		}
		if q.Task.Cores <= 0 && q.Task.Memory <= 0 && q.Task.Accelerators <= 0 {
			f.add("task", "needs cores, memory or accelerators")
		}
	case sesamemodel.Executor:
		if q.Task.Accelerators != 0 {
			f.add("task.accelerators", "is for workers only")
		}
		if q.Task.Slots <= 0 {
			f.add("task.slots", "must be 1 or more on an executor")
		}
	default:
		f.add("kind", "is %q, must be worker or executor", q.Kind)
	}
}

// RangeError says that a duration is negative or above its maximum.
type RangeError struct {
	Value time.Duration
	Max   time.Duration
}

// Error names the value and the allowed range.
func (e *RangeError) Error() string {
	return fmt.Sprintf("duration %s is not from 0s to %s", e.Value, e.Max)
}

func (q JobRequest) parseRunTime() (time.Duration, error) {
	return parseDuration(q.RunTime, MaxRuntime)
}

// parseDuration parses a Go duration from 0s to maximum; empty means 0. It fails
// with a *RangeError or the error of time.ParseDuration.
func parseDuration(s string, maximum time.Duration) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, err
	}
	if d < 0 || d > maximum {
		return 0, &RangeError{
			Value: d,
			Max:   maximum,
		}
	}
	return d, nil
}

// spec returns the job's specification for a valid request of the team, in which
// the class may make the work at most once.
func (q JobRequest) spec(team sesamemodel.TeamID, class sesamemodel.Class) sesamemodel.Spec {
	runTime, _ := q.parseRunTime()
	return sesamemodel.Spec{
		Team:        team,
		Class:       q.Class,
		Kind:        q.Kind,
		Tasks:       q.Tasks,
		Task:        q.Task,
		Span:        q.Span,
		AtMostOnce:  q.AtMostOnce || class.AtMostOnce,
		Checkpoints: q.Checkpoints,
		RunTime:     runTime,
	}
}

// validKey reports whether an Idempotency-Key is 1 to 128 visible ASCII
// characters.
func validKey(key string) bool {
	if key == "" || len(key) > maxKeyLength {
		return false
	}
	for _, c := range []byte(key) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

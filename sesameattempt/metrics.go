package sesameattempt

import (
	"github.com/uber-go/tally/v4"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// JobScope returns the scope tagged with the job's team and class.
func JobScope(scope tally.Scope, job sesamemodel.Job) tally.Scope {
	return scope.Tagged(map[string]string{
		"team":  string(job.Spec.Team),
		"class": job.Spec.Class,
	})
}

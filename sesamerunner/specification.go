package sesamerunner

import (
	"context"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// specification returns what the job's tasks execute, from the cache or the
// store. It returns a *NoSpecificationError when the store has none.
func (s *session) specification(ctx context.Context, job string) (string, error) {
	if text, ok := s.specifications.Get(job); ok {
		return text, nil
	}
	row, _, err := sesamerows.ReadRow(ctx, s.o.Store, sesamework.SpecKey(job))
	if err != nil {
		return "", err
	}
	if row.Version == 0 {
		return "", &NoSpecificationError{
			Job: job,
		}
	}
	text := string(row.Value)
	s.specifications.Add(job, text)
	return text, nil
}

// NoSpecificationError says that a job's specification is not in the store. Job
// is the job's ID.
type NoSpecificationError struct {
	Job string
}

// Error names the job.
func (e *NoSpecificationError) Error() string {
	return "store has no specification of job " + e.Job
}

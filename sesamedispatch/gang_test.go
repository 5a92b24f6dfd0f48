package sesamedispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// TestMemberNeverRan checks that a gang of which a target refuses a member is
// stopped on its other targets, where it would wait until it times out.
func TestMemberNeverRan(t *testing.T) {
	is := is.New(t)
	now := Now{
		Steady: time.Hour,
		Store:  time.Hour,
	}
	job := sesamework.Job{
		ID: "gang",
		Terms: sesamework.Terms{
			Service:  "service",
			Attempts: 3,
		},
		Steps: []sesamework.Step{{
			Count: 2,
			Need: sesamework.Resources{
				Accelerators: 8,
			},
			Gang: true,
		}},
	}
	v := NewView(sesamelog.Discard())
	v.Load([]sesamerows.Row{
		{
			Key:     sesamework.JobKey(job.ID),
			Version: 1,
			Value:   encode(job),
		},
		targetRow(newTarget("a"), 1),
		targetRow(newTarget("b"), 1),
	}, nil, nil, now)
	d := v.Decide(now)
	is.Equal(len(d.Starts), 1)
	v.applyDecision(d)

	refused := d.Starts[0].run.Members[0]
	task := d.Starts[0].unit.id.Task(refused.Index)
	v.Apply([]sesamerows.Row{{
		Key:     sesamework.EndKey(v.targets[refused.Target].key(), task, 1),
		Version: 2,
		Value: encode(sesamework.End{
			Outcome: sesamework.EndNeverRan,
			Target:  refused.Target,
			Life:    refused.Life,
		}),
	}}, now)
	d = v.Decide(now)
	is.Equal(len(d.Stops), 1)
	is.Equal(d.Stops[0].reason, stopIncomplete)
	v.applyDecision(d)
	is.True(v.Decide(now).IsEmpty())
}

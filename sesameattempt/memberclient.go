package sesameattempt

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesamegang"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamewire"
)

const (
	// maxMemberCalls bounds the parallel calls to one gang's members.
	maxMemberCalls = 64
	// holdTime is how long a prepared member keeps its resources unopened.
	// It covers one write that the platform delays.
	holdTime = 5 * time.Second
)

// Dialer reaches agents.
type Dialer interface {
	Agent(address string) sesamewire.DRPCAgentClient
}

// memberClient speaks to the agents of one attempt's members.
type memberClient struct {
	dialer Dialer
	grace  time.Duration
}

func attemptID(job sesamemodel.Job) *sesamewire.AttemptID {
	return &sesamewire.AttemptID{
		Job:     string(job.ID),
		Attempt: job.Attempt,
	}
}

// forEachMember calls f for every member in parallel and waits for all.
func forEachMember(job sesamemodel.Job, f func(i int, a sesamemodel.Assignment)) {
	var group errgroup.Group
	group.SetLimit(maxMemberCalls)
	for i, a := range job.Assignments {
		group.Go(func() error {
			f(i, a)
			return nil
		})
	}
	_ = group.Wait() // the functions keep their outcomes themselves
}

// memberReply is what one member said to Prepare or Open.
type memberReply struct {
	refusal sesamewire.Refusal
	detail  string
	err     error
}

func (a memberReply) accepted() bool {
	return a.err == nil && a.refusal == sesamewire.Refusal_REFUSAL_NONE
}

// reason says why the member did not accept.
func (a memberReply) reason() string {
	if a.err != nil {
		return a.err.Error()
	}
	if a.detail != "" {
		return a.detail
	}
	return a.refusal.String()
}

// prepare asks every member to hold its resources.
func (c *memberClient) prepare(ctx context.Context, job sesamemodel.Job) []memberReply {
	replies := make([]memberReply, len(job.Assignments))
	members := membersToWire(job)
	forEachMember(job, func(i int, a sesamemodel.Assignment) {
		reply, err := c.dialer.Agent(a.Address).Prepare(ctx, c.prepareRequest(job, i, members))
		replies[i] = memberReply{
			refusal: reply.GetRefusal(),
			detail:  reply.GetDetail(),
			err:     err,
		}
	})
	return replies
}

func membersToWire(job sesamemodel.Job) []*sesamewire.Member {
	members := make([]*sesamewire.Member, 0, len(job.Assignments))
	for _, a := range job.Assignments {
		members = append(members, &sesamewire.Member{
			Target:       string(a.Target),
			Address:      a.Address,
			Incarnation:  a.Incarnation,
			First:        int32(a.FirstRank),
			Tasks:        int32(a.Tasks),
			Accelerators: a.AcceleratorMask,
		})
	}
	return members
}

func (c *memberClient) prepareRequest(job sesamemodel.Job, member int, members []*sesamewire.Member) *sesamewire.PrepareRequest {
	evict := make([]*sesamewire.AttemptID, 0, len(job.Evicts))
	for _, e := range job.Evicts {
		evict = append(evict, &sesamewire.AttemptID{
			Job:     string(e.Job),
			Attempt: e.Attempt,
		})
	}
	return &sesamewire.PrepareRequest{
		Id:      attemptID(job),
		Team:    string(job.Spec.Team),
		Member:  int32(member),
		Members: members,
		Task: &sesamewire.Resources{
			Cores:        int32(job.Spec.Task.Cores),
			Memory:       int32(job.Spec.Task.Memory),
			Accelerators: int32(job.Spec.Task.Accelerators),
			Slots:        int32(job.Spec.Task.Slots),
		},
		Once:        job.Spec.AtMostOnce,
		Checkpoints: job.Spec.Checkpoints,
		Payload:     job.Spec.Payload,
		Evict:       evict,
		GraceMs:     c.grace.Milliseconds(),
		HoldMs:      holdTime.Milliseconds(),
	}
}

// open tells every member to start.
func (c *memberClient) open(ctx context.Context, job sesamemodel.Job) []memberReply {
	replies := make([]memberReply, len(job.Assignments))
	forEachMember(job, func(i int, a sesamemodel.Assignment) {
		reply, err := c.dialer.Agent(a.Address).Open(ctx, &sesamewire.OpenRequest{
			Id:          attemptID(job),
			Incarnation: a.Incarnation,
		})
		replies[i] = memberReply{
			refusal: reply.GetRefusal(),
			detail:  reply.GetDetail(),
			err:     err,
		}
	})
	return replies
}

// stop ends the attempt on every member and returns what each reported.
func (c *memberClient) stop(ctx context.Context, job sesamemodel.Job) []sesamegang.Report {
	reports := make([]sesamegang.Report, len(job.Assignments))
	forEachMember(job, func(i int, a sesamemodel.Assignment) {
		reply, err := c.dialer.Agent(a.Address).Stop(ctx, &sesamewire.StopRequest{
			Id:          attemptID(job),
			GraceMs:     c.grace.Milliseconds(),
			Reason:      job.Reason,
			Incarnation: a.Incarnation,
		})
		if err != nil {
			return
		}
		reports[i] = sesamegang.Report{
			Progress: reply.GetProgress(),
			Detail:   reply.GetDetail(),
			Results:  resultsFromWire(reply.GetResults()),
		}
	})
	return reports
}

// resultsFromWire converts the results of one member.
func resultsFromWire(wire []*sesamewire.Result) []sesamemodel.Result {
	out := make([]sesamemodel.Result, 0, len(wire))
	for _, r := range wire {
		out = append(out, sesamemodel.Result{
			Rank:   int(r.GetRank()),
			Object: r.GetObject(),
			Length: r.GetLength(),
			Digest: r.GetDigest(),
		})
	}
	return out
}

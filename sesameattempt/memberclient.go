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
	// maxMemberCalls limits the parallel calls to the members of one attempt.
	maxMemberCalls = 64
	// holdTime is how long an agent reserves the resources of a prepared member
	// that is not opened. It covers a delayed write of the start to the job's
	// row, which comes between the two calls.
	holdTime = 5 * time.Second
)

// Dialer returns clients of agents.
type Dialer interface {
	// Agent returns the client of the agent at the address.
	Agent(address string) sesamewire.DRPCAgentClient
}

// memberClient calls the agents of all members of an attempt. A member is the
// part of an attempt on one target.
type memberClient struct {
	dialer Dialer
	// grace is the time that a stopped task has to write a checkpoint.
	grace time.Duration
}

// attemptID returns the wire form of the job's current attempt.
func attemptID(job sesamemodel.Job) *sesamewire.AttemptID {
	return &sesamewire.AttemptID{
		Job:     string(job.ID),
		Attempt: job.Attempt,
	}
}

// forEachMember calls f in parallel for each assignment of the job, with its
// index, at most maxMemberCalls at a time, and waits for all calls.
func forEachMember(job sesamemodel.Job, f func(i int, a sesamemodel.Assignment)) {
	var group errgroup.Group
	group.SetLimit(maxMemberCalls)
	for i, a := range job.Assignments {
		group.Go(func() error {
			f(i, a)
			return nil
		})
	}
	_ = group.Wait() // f keeps its own outcome
}

// memberReply is an agent's reply to Prepare (reserve the resources) or Open
// (start the tasks). refusal is REFUSAL_NONE if the agent accepted; detail
// explains a refusal and may be empty. err is the error of the call; with one,
// the other fields say nothing.
type memberReply struct {
	refusal sesamewire.Refusal
	detail  string
	err     error
}

// accepted reports whether the member did what the call asked for.
func (r memberReply) accepted() bool {
	return r.err == nil && r.refusal == sesamewire.Refusal_REFUSAL_NONE
}

// reason says why the member did not accept: the error of the call, the agent's
// detail, or else the name of the refusal.
func (r memberReply) reason() string {
	if r.err != nil {
		return r.err.Error()
	}
	if r.detail != "" {
		return r.detail
	}
	return r.refusal.String()
}

// prepare asks the agent of every member to reserve the member's resources. The
// replies are in the order of the assignments.
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

// membersToWire converts the job's assignments to the members of a request.
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

// prepareRequest returns the request to one member, given by its index. It
// names all members, and the attempts to evict for this one.
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

// open tells the agent of every member to start its tasks. The replies are in
// the order of the assignments.
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

// stop tells the agent of every member to stop its tasks, and returns the
// reports in the order of the assignments. A member that did not answer has an
// empty report.
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

// resultsFromWire converts the task results of one member.
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

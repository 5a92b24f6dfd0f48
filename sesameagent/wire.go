package sesameagent

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesamegang"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamewire"
)

const (
	// evictSlack is how much longer than the grace a Prepare waits for the
	// attempts that it evicts.
	evictSlack = 500 * time.Millisecond
	// maxPayload bounds the input of a task, in bytes.
	maxPayload = 64 << 20
)

// serveWire serves entries and other agents until ctx ends.
func (a *Agent) serveWire(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", a.settings.Wire)
	if err != nil {
		return err
	}
	server := sesamewire.NewServer(a.settings.Leases.Heartbeat)
	if err := sesamewire.DRPCRegisterAgent(server.Mux(), &wire{
		agent: a,
	}); err != nil {
		return err
	}
	return server.Serve(ctx, listener)
}

// wire answers the calls of entries and other agents.
type wire struct {
	agent *Agent
}

var _ sesamewire.DRPCAgentServer = (*wire)(nil)

// Prepare holds resources for one attempt.
func (w *wire) Prepare(ctx context.Context, req *sesamewire.PrepareRequest) (*sesamewire.PrepareReply, error) {
	a := w.agent
	began := a.state.now()
	verdict := a.prepare(ctx, req)
	a.histogram(req.GetTeam(), metricPrepare).RecordDuration(a.state.now() - began)
	a.noteVerdict(eventPrepared, req.GetId(), verdict)
	return &sesamewire.PrepareReply{
		Refusal: verdict.Refusal,
		Detail:  verdict.Detail,
	}, nil
}

func (a *Agent) noteVerdict(accepted sesamelog.Event, id *sesamewire.AttemptID, v sesamegang.Answer) {
	event := accepted
	if v.Refusal != sesamewire.Refusal_REFUSAL_NONE {
		event = eventRefused
	}
	a.deps.Log.Emit(event, sesamelog.Fields{
		"job":     id.GetJob(),
		"attempt": id.GetAttempt(),
		"refusal": v.Refusal,
		"detail":  v.Detail,
	})
}

func (a *Agent) prepare(ctx context.Context, req *sesamewire.PrepareRequest) sesamegang.Answer {
	if !a.settled.Load() || !a.reachable.Load() {
		return sesamegang.Answer{
			Refusal: sesamewire.Refusal_REFUSAL_TARGET,
			Detail:  "the target does not take its lease",
		}
	}
	input, err := a.fetch(ctx, req.GetPayload())
	if err != nil {
		return sesamegang.Answer{
			Refusal: sesamewire.Refusal_REFUSAL_TARGET,
			Detail:  err.Error(),
		}
	}
	limit := time.Duration(req.GetGraceMs())*time.Millisecond + evictSlack
	verdict := a.await(ctx, limit, func(now time.Duration, s sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects, sesamegang.Answer) {
		return s.Prepare(now, req, input)
	})
	if verdict.Wait {
		return sesamegang.Answer{
			Refusal: sesamewire.Refusal_REFUSAL_BUSY,
			Detail:  "attempts that make room have not ended",
		}
	}
	return verdict
}

// fetch reads the input before anything is held, so that a store that is down
// refuses an attempt instead of breaking one.
func (a *Agent) fetch(ctx context.Context, object string) ([]byte, error) {
	if object == "" {
		return nil, nil
	}
	body, _, err := a.deps.Objects.GetObject(ctx, object)
	if err != nil {
		return nil, err
	}
	input, err := io.ReadAll(io.LimitReader(body, maxPayload))
	return input, errors.CombineErrors(err, body.Close())
}

// ask is a call that may have to wait for tasks to end.
type ask func(now time.Duration, s sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects, sesamegang.Answer)

// await repeats a call with each change until it need not wait, at most for
// limit. The verdict still asks to wait when the limit came first.
func (a *Agent) await(ctx context.Context, limit time.Duration, f ask) sesamegang.Answer {
	timer := a.deps.Clock.NewTimer(limit)
	defer timer.Stop()
	for {
		var verdict sesamegang.Answer
		changed := a.state.apply(func(now time.Duration, s sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects) {
			next, effects, v := f(now, s)
			verdict = v
			return next, effects
		})
		if !verdict.Wait {
			return verdict
		}
		select {
		case <-changed:
		case <-timer.Chan():
			return verdict
		case <-ctx.Done():
			return verdict
		}
	}
}

// Open starts a prepared attempt and answers when its tasks were started.
func (w *wire) Open(ctx context.Context, req *sesamewire.OpenRequest) (*sesamewire.OpenReply, error) {
	a := w.agent
	k := sesamegang.KeyOf(req.GetId())
	began := a.state.now()
	verdict := a.await(ctx, 0, func(now time.Duration, s sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects, sesamegang.Answer) {
		return s.Open(now, k, req.GetIncarnation())
	})
	if started := a.tasks.started(k); started != nil && verdict.Refusal == sesamewire.Refusal_REFUSAL_NONE {
		select {
		case <-started:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		verdict = a.notOpened(k)
	}
	s, now, _ := a.state.read()
	m, _ := s.Member(k)
	a.histogram(m.Team, metricOpen).RecordDuration(now - began)
	a.noteVerdict(eventOpened, req.GetId(), verdict)
	return &sesamewire.OpenReply{
		Refusal: verdict.Refusal,
		Detail:  verdict.Detail,
	}, nil
}

// notOpened refuses an attempt none of whose tasks the target has started.
func (a *Agent) notOpened(k sesamegang.AttemptKey) sesamegang.Answer {
	s, _, _ := a.state.read()
	m, ok := s.Member(k)
	if !ok || m.Progress() != sesamewire.Progress_PROGRESS_NEVER {
		return sesamegang.Answer{}
	}
	return sesamegang.Answer{
		Refusal: sesamewire.Refusal_REFUSAL_TARGET,
		Detail:  m.Report().GetDetail(),
	}
}

// Stop ends an attempt and answers when its tasks have ended.
func (w *wire) Stop(ctx context.Context, req *sesamewire.StopRequest) (*sesamewire.StopReply, error) {
	limit := time.Duration(req.GetGraceMs())*time.Millisecond + evictSlack
	verdict := w.agent.await(ctx, limit, func(now time.Duration, s sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects, sesamegang.Answer) {
		return s.Stop(now, req)
	})
	if verdict.Wait {
		return &sesamewire.StopReply{
			Progress: sesamewire.Progress_PROGRESS_RUNNING,
			Detail:   "the tasks have not ended yet",
		}, nil
	}
	return &sesamewire.StopReply{
		Progress: verdict.Report.GetProgress(),
		Detail:   verdict.Report.GetDetail(),
		Results:  verdict.Report.GetResults(),
	}, nil
}

// Gang answers a child once this member has renewed its own lease.
func (w *wire) Gang(ctx context.Context, req *sesamewire.GangRequest) (*sesamewire.GangReply, error) {
	a := w.agent
	var verdict sesamegang.PendingReply
	changed := a.state.apply(func(now time.Duration, s sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects) {
		next, effects, v := s.HeartbeatReceived(now, req)
		verdict = v
		return next, effects
	})
	for verdict.Reply == nil {
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		var s sesamegang.Agent
		var now time.Duration
		s, now, changed = a.state.read()
		renewals, ok := s.Renewals(sesamegang.KeyOf(req.GetId()))
		if !ok || renewals > verdict.AfterRenewals {
			return s.ReplyToChild(now, req), nil
		}
	}
	return verdict.Reply, nil
}

// Adopt turns the agent to the entry that keeps its cell from now on.
func (w *wire) Adopt(_ context.Context, req *sesamewire.AdoptRequest) (*sesamewire.AdoptReply, error) {
	a := w.agent
	if req.GetCell() != a.settings.Place.CellID() || !a.keeper.adopt(req.GetAddress(), req.GetEpoch()) {
		return &sesamewire.AdoptReply{}, nil
	}
	a.deps.Log.Emit(eventKeeper, sesamelog.Fields{
		"entry": req.GetAddress(),
		"epoch": req.GetEpoch(),
	})
	a.keeper.wake()
	return &sesamewire.AdoptReply{}, nil
}

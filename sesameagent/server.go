package sesameagent

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesamegang"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamewire"
)

const (
	// graceSlack is added to a request's grace (GraceMs): Prepare waits that
	// long for the attempts that it evicts, and Stop for the attempt that it
	// stops.
	graceSlack = 500 * time.Millisecond
	// maxInputBytes bounds the input of an attempt's tasks.
	maxInputBytes = 64 << 20
)

// listenWire returns the listener for the calls of entries and other agents.
func (a *Agent) listenWire(ctx context.Context) (net.Listener, error) {
	return a.deps.Shares.NewWire(a.deps.Clock, a.deps.Log, a.deps.Scope).Listen(ctx, a.settings.Wire)
}

// serveWire serves the calls of entries and other agents until ctx ends.
func (a *Agent) serveWire(ctx context.Context, listener net.Listener) error {
	server := sesamewire.NewServer(a.settings.Leases.Heartbeat)
	if err := sesamewire.DRPCRegisterAgent(server.Mux(), &agentServer{
		agent: a,
	}); err != nil {
		return err
	}
	return server.Serve(ctx, listener)
}

// agentServer implements the DRPC calls that entries and other agents make.
type agentServer struct {
	agent *Agent
}

var _ sesamewire.DRPCAgentServer = (*agentServer)(nil)

// Prepare reserves resources for an attempt, after the attempts that it evicts
// have ended. A refusal is part of the reply, not an error.
func (w *agentServer) Prepare(ctx context.Context, req *sesamewire.PrepareRequest) (*sesamewire.PrepareReply, error) {
	a := w.agent
	began := a.state.now()
	answer := a.prepare(ctx, req)
	a.histogram(req.GetTeam(), metricPrepare).RecordDuration(a.state.now() - began)
	a.logAnswer(eventPrepared, req.GetId(), answer)
	return &sesamewire.PrepareReply{
		Refusal: answer.Refusal,
		Detail:  answer.Detail,
	}, nil
}

// logAnswer logs the result of a call on an attempt: the event accepted, or
// eventRefused if the answer v is a refusal.
func (a *Agent) logAnswer(accepted sesamelog.Event, id *sesamewire.AttemptID, v sesamegang.Answer) {
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

// prepare reads the input and reserves the resources. It waits for evicted
// attempts up to the request's grace plus graceSlack, and refuses the attempt
// when they have not ended by then.
func (a *Agent) prepare(ctx context.Context, req *sesamewire.PrepareRequest) sesamegang.Answer {
	if !a.tasksRecovered.Load() || !a.targetReachable.Load() {
		return sesamegang.Answer{
			Refusal: sesamewire.Refusal_REFUSAL_TARGET,
			Detail:  "the target does not accept the agent's lease",
		}
	}
	input, err := a.fetchInput(ctx, req.GetPayload())
	if err != nil {
		return sesamegang.Answer{
			Refusal: sesamewire.Refusal_REFUSAL_TARGET,
			Detail:  err.Error(),
		}
	}
	limit := time.Duration(req.GetGraceMs())*time.Millisecond + graceSlack
	answer := a.callUntilReady(ctx, limit, func(now time.Duration, s sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects, sesamegang.Answer) {
		return s.Prepare(now, req, input)
	})
	if answer.Wait {
		return sesamegang.Answer{
			Refusal: sesamewire.Refusal_REFUSAL_BUSY,
			Detail:  "the evicted attempts have not ended yet",
		}
	}
	return answer
}

// fetchInput reads the whole input from the object with that key; for an empty
// key it returns nil. An input of more than maxInputBytes is an
// *InputTooLargeError. It runs before any resource is reserved, so that a store
// that is down leads to a refusal and does not break an attempt.
func (a *Agent) fetchInput(ctx context.Context, object string) ([]byte, error) {
	if object == "" {
		return nil, nil
	}
	body, _, err := a.deps.Objects.GetObject(ctx, object)
	if err != nil {
		return nil, err
	}
	input, err := io.ReadAll(http.MaxBytesReader(nil, body, maxInputBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		err = &InputTooLargeError{
			Object: object,
		}
	}
	return input, errors.CombineErrors(err, body.Close())
}

// callFunc applies an entry's call to the state at the clock reading now, and
// returns the new state, the effects to carry out and the answer. The answer may
// be to wait until tasks have ended.
type callFunc func(now time.Duration, s sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects, sesamegang.Answer)

// callUntilReady repeats a call after each change of the state until the answer
// no longer says to wait. After limit, or when ctx ends, it returns the last
// answer, which still says to wait.
func (a *Agent) callUntilReady(ctx context.Context, limit time.Duration, f callFunc) sesamegang.Answer {
	timer := a.deps.Clock.NewTimer(limit)
	defer timer.Stop()
	for {
		var answer sesamegang.Answer
		changed := a.state.apply(func(now time.Duration, s sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects) {
			next, effects, v := f(now, s)
			answer = v
			return next, effects
		})
		if !answer.Wait {
			return answer
		}
		select {
		case <-changed:
		case <-timer.Chan():
			return answer
		case <-ctx.Done():
			return answer
		}
	}
}

// Open starts a prepared attempt and answers when the start of each of its
// tasks has been tried. It is idempotent.
func (w *agentServer) Open(ctx context.Context, req *sesamewire.OpenRequest) (*sesamewire.OpenReply, error) {
	a := w.agent
	k := sesamegang.KeyOf(req.GetId())
	began := a.state.now()
	answer := a.callUntilReady(ctx, 0, func(now time.Duration, s sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects, sesamegang.Answer) {
		return s.Open(now, k, req.GetIncarnation())
	})
	if started := a.tasks.startsDoneChan(k); started != nil && answer.Refusal == sesamewire.Refusal_REFUSAL_NONE {
		select {
		case <-started:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		answer = a.startFailure(k)
	}
	s, now, _ := a.state.read()
	m, _ := s.Member(k)
	a.histogram(m.Team, metricOpen).RecordDuration(now - began)
	a.logAnswer(eventOpened, req.GetId(), answer)
	return &sesamewire.OpenReply{
		Refusal: answer.Refusal,
		Detail:  answer.Detail,
	}, nil
}

// startFailure returns a refusal when the target started none of the attempt's
// tasks, and otherwise the zero Answer, which accepts.
func (a *Agent) startFailure(k sesamegang.AttemptKey) sesamegang.Answer {
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

// Stop ends an attempt and answers when its tasks have ended. If they still run
// after the request's grace (GraceMs) plus graceSlack, it answers so; that is
// not an error.
func (w *agentServer) Stop(ctx context.Context, req *sesamewire.StopRequest) (*sesamewire.StopReply, error) {
	limit := time.Duration(req.GetGraceMs())*time.Millisecond + graceSlack
	answer := w.agent.callUntilReady(ctx, limit, func(now time.Duration, s sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects, sesamegang.Answer) {
		return s.Stop(now, req)
	})
	if answer.Wait {
		return &sesamewire.StopReply{
			Progress: sesamewire.Progress_PROGRESS_RUNNING,
			Detail:   "the tasks have not ended yet",
		}, nil
	}
	return &sesamewire.StopReply{
		Progress: answer.Report.GetProgress(),
		Detail:   answer.Report.GetDetail(),
		Results:  answer.Report.GetResults(),
	}, nil
}

// Gang answers a child's heartbeat once this member has renewed its own lease
// in the gang, so that one renewal reaches all levels of the tree at once.
func (w *agentServer) Gang(ctx context.Context, req *sesamewire.GangRequest) (*sesamewire.GangReply, error) {
	a := w.agent
	var pending sesamegang.PendingReply
	changed := a.state.apply(func(now time.Duration, s sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects) {
		next, effects, v := s.HeartbeatReceived(now, req)
		pending = v
		return next, effects
	})
	for pending.Reply == nil {
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		var s sesamegang.Agent
		var now time.Duration
		s, now, changed = a.state.read()
		renewals, ok := s.Renewals(sesamegang.KeyOf(req.GetId()))
		if !ok || renewals > pending.AfterRenewals {
			return s.ReplyToChild(now, req), nil
		}
	}
	return pending.Reply, nil
}

// Adopt makes the named entry the agent's keeper, if it is for the agent's cell
// and its epoch is newer. A heartbeat then goes to it at once.
func (w *agentServer) Adopt(_ context.Context, req *sesamewire.AdoptRequest) (*sesamewire.AdoptReply, error) {
	a := w.agent
	if req.GetCell() != a.settings.Place.CellID() || !a.keeper.acceptKeeper(req.GetAddress(), req.GetEpoch()) {
		return &sesamewire.AdoptReply{}, nil
	}
	a.deps.Log.Emit(eventKeeperChanged, sesamelog.Fields{
		"entry": req.GetAddress(),
		"epoch": req.GetEpoch(),
	})
	a.keeper.requestHeartbeat()
	return &sesamewire.AdoptReply{}, nil
}

package sesameentry

import (
	"context"

	"github.com/sesamestack/sesamestack/sesameattempt"
	"github.com/sesamestack/sesamestack/sesamekeeper"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamewire"
)

// wireServer answers agents and other entries.
type wireServer struct {
	keeper    *sesamekeeper.Service
	finisher  *sesameattempt.Finisher
	forwarder *hintForwarder
	planning  *planning
	contracts func(number uint64)
}

var (
	_ sesamewire.DRPCKeeperServer = (*wireServer)(nil)
	_ sesamewire.DRPCPeerServer   = (*wireServer)(nil)
)

// Heartbeat answers an agent's heartbeat.
func (w *wireServer) Heartbeat(_ context.Context, req *sesamewire.HeartbeatRequest) (*sesamewire.HeartbeatReply, error) {
	return w.keeper.Heartbeat(req), nil
}

// Finish records the outcome of an attempt. The entry that plans for the
// region records it if it answers, since it writes the same cells anyway; any
// other entry could do so too.
func (w *wireServer) Finish(ctx context.Context, req *sesamewire.FinishRequest) (*sesamewire.FinishReply, error) {
	if !req.GetForwarded() {
		req.Forwarded = true
		if reply, ok := w.forwarder.forwardOutcome(ctx, req); ok {
			return reply, nil
		}
	}
	return w.finisher.Finish(ctx, req)
}

// Notice takes in a hint of changed rows.
func (w *wireServer) Notice(_ context.Context, req *sesamewire.NoticeRequest) (*sesamewire.NoticeReply, error) {
	if req.GetContracts() > 0 {
		w.contracts(req.GetContracts())
	}
	if len(req.GetKeys()) > 0 {
		w.forwarder.receiveFromPeer(req.GetKeys(), req.GetPlan())
	}
	return &sesamewire.NoticeReply{}, nil
}

// Why says why a job waits that this entry plans for.
func (w *wireServer) Why(_ context.Context, req *sesamewire.WhyRequest) (*sesamewire.WhyReply, error) {
	return &sesamewire.WhyReply{
		Reason: w.planning.waitReason(sesamemodel.JobID(req.GetJob())),
	}, nil
}

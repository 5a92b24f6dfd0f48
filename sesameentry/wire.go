package sesameentry

import (
	"context"

	"github.com/sesamestack/sesamestack/sesameattempt"
	"github.com/sesamestack/sesamestack/sesamekeeper"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamewire"
)

// wireServer handles the RPC calls of agents and other entries.
type wireServer struct {
	keeper    *sesamekeeper.Service
	finisher  *sesameattempt.Finisher
	forwarder *hintForwarder
	planning  *planning
	// contracts is called with the number of a newer accepted change.
	contracts func(number uint64)
}

var (
	_ sesamewire.DRPCKeeperServer = (*wireServer)(nil)
	_ sesamewire.DRPCPeerServer   = (*wireServer)(nil)
)

// Heartbeat has the keeper answer an agent's heartbeat.
func (w *wireServer) Heartbeat(_ context.Context, req *sesamewire.HeartbeatRequest) (*sesamewire.HeartbeatReply, error) {
	return w.keeper.Heartbeat(req), nil
}

// Finish records the outcome of an attempt. A call that was not relayed yet is
// relayed to the entry that plans for the region: that entry writes the same
// cells, so recording there avoids conflicts. When it does not answer, this
// entry records the outcome; any entry may do so.
func (w *wireServer) Finish(ctx context.Context, req *sesamewire.FinishRequest) (*sesamewire.FinishReply, error) {
	if !req.GetForwarded() {
		req.Forwarded = true
		if reply, ok := w.forwarder.forwardOutcome(ctx, req); ok {
			return reply, nil
		}
	}
	return w.finisher.Finish(ctx, req)
}

// Notice receives from a peer a hint of changed rows, or the number of a newer
// change of the contracts, or both.
func (w *wireServer) Notice(_ context.Context, req *sesamewire.NoticeRequest) (*sesamewire.NoticeReply, error) {
	if req.GetContracts() > 0 {
		w.contracts(req.GetContracts())
	}
	if len(req.GetKeys()) > 0 {
		w.forwarder.receiveFromPeer(req.GetKeys(), req.GetPlan())
	}
	return &sesamewire.NoticeReply{}, nil
}

// Why returns the reason why a job waits; empty when this entry does not plan or
// knows no reason.
func (w *wireServer) Why(_ context.Context, req *sesamewire.WhyRequest) (*sesamewire.WhyReply, error) {
	return &sesamewire.WhyReply{
		Reason: w.planning.waitReason(sesamemodel.JobID(req.GetJob())),
	}, nil
}

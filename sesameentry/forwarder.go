package sesameentry

import (
	"context"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamering"
	"github.com/sesamestack/sesamestack/sesamewire"
)

// peerCallTimeout bounds one call to a peer. It is short, so that an urgent job
// whose preferred planner died reaches the next one in time.
const peerCallTimeout = 300 * time.Millisecond

// entryDialer reaches other entries.
type entryDialer interface {
	Peer(address string) sesamewire.DRPCPeerClient
	Keeper(address string) sesamewire.DRPCKeeperClient
}

// hintForwarder is the duty that brings hints to the entry that plans.
type hintForwarder struct {
	region string
	self   string
	roster *roster
	dialer entryDialer
	ring   *sesamering.Ring
	log    *sesamelog.Logger
	// wake tells this entry's waiting callers of changed rows.
	wake func(keys []string)
}

// rowsChanged is called by the duties of this entry after they wrote rows.
func (n *hintForwarder) rowsChanged(h hint) {
	n.wake(h.keys())
	n.send(topicNotice, h)
}

func (n *hintForwarder) send(topic string, h hint) {
	if err := sesamering.Send(n.ring, topic, h); err != nil {
		n.log.Emit(eventHintLost, sesamelog.Fields{
			"topic": topic,
			"error": err,
		})
	}
}

// handle brings one hint to the most preferred planner that answers, and tells
// the other entries, whose callers may wait for the rows.
func (n *hintForwarder) handle(m *message.Message) error {
	h, err := sesamering.Decode[hint](m)
	if err != nil {
		n.log.Emit(eventHintLost, sesamelog.Fields{
			"error": err,
		})
		return nil
	}
	plannerNotified := false
	for _, member := range n.roster.Preferred(n.region) {
		if member.ID != n.self {
			accepted := n.notifyPeer(m.Context(), member, h, !plannerNotified)
			plannerNotified = plannerNotified || accepted
			continue
		}
		if !plannerNotified {
			n.send(topicPlan, h)
			plannerNotified = true
		}
	}
	return nil
}

// notifyPeer reports whether the peer took the hint.
func (n *hintForwarder) notifyPeer(ctx context.Context, member sesamemodel.Member, h hint, plan bool) bool {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	_, err := n.dialer.Peer(member.Address).Notice(ctx, &sesamewire.NoticeRequest{
		Keys: h.keys(),
		From: n.self,
		Plan: plan,
	})
	if err == nil {
		return true
	}
	n.log.Emit(eventPeerSuspect, sesamelog.Fields{
		"entry": member.ID,
		"error": err,
	})
	n.roster.suspect(member.ID)
	return false
}

// receiveFromPeer takes in a hint from a peer.
func (n *hintForwarder) receiveFromPeer(keys []string, plan bool) {
	n.wake(keys)
	if !plan {
		return
	}
	h := hintFromKeys(keys)
	h.Stale = true
	h.PlanRequested = true
	n.send(topicPlan, h)
}

// forwardOutcome passes an outcome on to the entry that plans for the region; false
// means that this entry has to record it.
func (n *hintForwarder) forwardOutcome(ctx context.Context, req *sesamewire.FinishRequest) (*sesamewire.FinishReply, bool) {
	member := n.roster.First(n.region)
	if member.ID == n.self {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	reply, err := n.dialer.Keeper(member.Address).Finish(ctx, req)
	return reply, err == nil
}

// askPlanner asks the entry that plans for the region.
func (n *hintForwarder) askPlanner(ctx context.Context, id sesamemodel.JobID) string {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	member := n.roster.First(n.region)
	if member.ID == n.self {
		return ""
	}
	reply, err := n.dialer.Peer(member.Address).Why(ctx, &sesamewire.WhyRequest{
		Job: string(id),
	})
	if err != nil {
		return ""
	}
	return reply.GetReason()
}

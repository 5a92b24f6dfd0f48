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

// peerCallTimeout bounds one call to a peer, that is, another entry. It is
// short, so that an urgent job whose leader died reaches the next planner in
// time.
const peerCallTimeout = 300 * time.Millisecond

// entryDialer returns RPC clients of other entries.
type entryDialer interface {
	Peer(address string) sesamewire.DRPCPeerClient
	Keeper(address string) sesamewire.DRPCKeeperClient
}

// hintForwarder is the duty that delivers hints of changed rows to the entry
// that plans for the region, which may be this one.
type hintForwarder struct {
	region string
	// self is the ID of this entry.
	self   string
	roster *roster
	dialer entryDialer
	ring   *sesamering.Ring
	log    *sesamelog.Logger
	// wake wakes the long polls of this entry's callers on the changed rows.
	wake func(keys []string)
}

// rowsChanged wakes waiting callers and queues the hint for delivery. This
// entry's duties call it after they wrote rows.
func (n *hintForwarder) rowsChanged(h hint) {
	n.wake(h.keys())
	n.send(topicNotice, h)
}

// send queues the hint on a topic of the ring, or logs it as lost when the
// queue is full.
func (n *hintForwarder) send(topic string, h hint) {
	if err := sesamering.Send(n.ring, topic, h); err != nil {
		n.log.Emit(eventHintLost, sesamelog.Fields{
			"topic": topic,
			"error": err,
		})
	}
}

// handle delivers one hint for planning to the first entry that answers, in
// the order of roster.Preferred for the region. It sends the hint to all other
// entries as well, since their callers may wait for the rows. It always returns
// nil, which acknowledges the message.
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

// notifyPeer sends the hint to a peer and reports whether the peer received it.
// A peer that does not answer in time becomes suspect. plan asks the peer to
// act as the region's planner on the hint.
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

// receiveFromPeer wakes this entry's callers that wait for the rows with the
// keys. If plan is true, it also queues a hint for this entry's planning duty.
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

// forwardOutcome relays the outcome of an attempt to the entry that plans for
// the region. It returns false when this entry is to record the outcome: it is
// the leader itself, or the call failed.
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

// askPlanner asks the entry that plans for the region why a job waits. It
// returns an empty reason when that entry is this one or does not answer.
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

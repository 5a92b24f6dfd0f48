package sesameagent

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/sesamestack/sesamestack/sesamegang"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamewire"
)

const (
	// noLeaseRetryDelay is the pause before the next heartbeat after one that
	// brought no lease, for instance while the keeper registers the target.
	noLeaseRetryDelay = 100 * time.Millisecond
	// maxNoLeaseReplies is how many replies in a row may bring no lease before
	// heartbeats go to the next entry.
	maxNoLeaseReplies = 3
	// maxEntriesPerHeartbeat bounds the entries that one heartbeat tries.
	maxEntriesPerHeartbeat = 4
)

// heartbeatLoop recovers the target's tasks, and then sends heartbeats to the
// keeper until ctx ends. While the target does not accept its lease, it sends
// none.
func (a *Agent) heartbeatLoop(ctx context.Context) error {
	if a.recoverTasks(ctx) != nil {
		return nil
	}
	for ctx.Err() == nil {
		a.tick()
		wait := a.settings.Leases.Heartbeat
		if a.targetReachable.Load() {
			wait = a.sendHeartbeat(ctx)
		}
		a.requestLeaseRenewal()
		timer := a.deps.Clock.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.Chan():
		case <-a.keeper.heartbeatRequested:
		}
		timer.Stop()
	}
	return nil
}

// tick ends the attempts whose lease expired, repeats stops that have not taken
// effect, and takes a new incarnation when many tombstones (marks of attempts
// that must not start here any more) are stored and no attempt is held.
func (a *Agent) tick() {
	a.state.apply(func(now time.Duration, s sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects) {
		s, effects := s.Tick(now)
		effects.Halt = append(effects.Halt, s.PendingHalts()...)
		if s.CanRenewIncarnation() {
			s = s.WithNewIncarnation(uuid.NewString())
			a.deps.Log.Emit(eventIncarnationRenewed, sesamelog.Fields{
				"incarnation": s.Incarnation(),
			})
		}
		return s, effects
	})
}

// sendHeartbeat sends one heartbeat and returns the delay until the next; 0
// when ctx ends. When an entry does not answer, the next configured entry is
// tried, and when it names another keeper, that keeper; at most
// maxEntriesPerHeartbeat entries in all.
func (a *Agent) sendHeartbeat(ctx context.Context) time.Duration {
	for range maxEntriesPerHeartbeat {
		address, _ := a.keeper.current()
		reply, sent, err := a.callKeeper(ctx, address)
		if ctx.Err() != nil {
			return 0
		}
		if err != nil {
			a.tryNextEntry(address, err)
			continue
		}
		if reply.GetLeaseMs() == 0 && reply.GetKeeper() != "" && reply.GetKeeper() != address {
			a.followReferral(reply.GetKeeper())
			continue
		}
		return a.applyReply(sent, reply)
	}
	return noLeaseRetryDelay
}

// callKeeper sends one heartbeat to one entry. It returns the reply and the
// clock reading from before the call, since the granted lease counts from the
// sending of the request.
func (a *Agent) callKeeper(ctx context.Context, address string) (*sesamewire.HeartbeatReply, time.Duration, error) {
	s, sent, _ := a.state.read()
	_, epoch := a.keeper.current()
	req := &sesamewire.HeartbeatRequest{
		Target:      a.settings.ID,
		Cell:        a.settings.Place.CellID(),
		Incarnation: s.Incarnation(),
		Epoch:       epoch,
		Leaving:     s.Leaving(),
	}
	if !a.keeper.knowsTarget() {
		req.Announce = a.keeper.announcement(s.Incarnation())
	}
	req.Attempts = a.keeper.unconfirmedAttempts(s, req.Announce != nil)
	ctx, cancel := context.WithTimeout(ctx, a.settings.Leases.Heartbeat)
	defer cancel()
	reply, err := a.deps.Dialer.Keeper(address).Heartbeat(ctx, req)
	if err == nil {
		a.keeper.recordReply(req, reply)
	}
	return reply, sent, err
}

// tryNextEntry sends further heartbeats to the next entry, after the call to the
// entry at address failed with err.
func (a *Agent) tryNextEntry(address string, err error) {
	next := a.keeper.advance(address)
	a.deps.Log.Emit(eventKeeperLost, sesamelog.Fields{
		"entry": address,
		"next":  next,
		"error": err,
	})
}

// followReferral sends further heartbeats to the keeper that another entry
// named.
func (a *Agent) followReferral(address string) {
	a.keeper.redirect(address)
	a.deps.Log.Emit(eventKeeperChanged, sesamelog.Fields{
		"entry": address,
	})
}

// applyReply extends the agent's lease by the reply to a heartbeat sent at the
// given clock reading, and returns the delay until the next heartbeat. A lease
// from a keeper of an older epoch is ignored, and the next heartbeat goes to
// another entry. So it does after maxNoLeaseReplies replies without a lease:
// the entry can't become the keeper, as during an outage of the table, and the
// present one may still grant leases.
func (a *Agent) applyReply(sent time.Duration, reply *sesamewire.HeartbeatReply) time.Duration {
	if reply.GetLeaseMs() == 0 {
		a.countNoLease()
		return noLeaseRetryDelay
	}
	a.noLeaseReplies = 0
	if !a.keeper.acceptGrant(reply.GetEpoch(), reply.GetKnown()) {
		address, epoch := a.keeper.current()
		a.deps.Log.Emit(eventStaleEpoch, sesamelog.Fields{
			"entry": address,
			"epoch": epoch,
			"found": reply.GetEpoch(),
		})
		a.keeper.advance(address)
		return noLeaseRetryDelay
	}
	until := sent + time.Duration(reply.GetLeaseMs())*time.Millisecond
	a.state.apply(func(_ time.Duration, s sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects) {
		return s.WithLease(until), sesamegang.Effects{}
	})
	return a.settings.Leases.Heartbeat
}

// countNoLease counts a reply without a lease, and sends further heartbeats to
// the next entry after too many in a row.
func (a *Agent) countNoLease() {
	a.noLeaseReplies++
	if a.noLeaseReplies < maxNoLeaseReplies {
		return
	}
	a.noLeaseReplies = 0
	address, _ := a.keeper.current()
	next := a.keeper.advance(address)
	a.deps.Log.Emit(eventNoLease, sesamelog.Fields{
		"entry": address,
		"next":  next,
	})
}

// announcement returns the target's description with the given incarnation, for
// a keeper that does not know the target.
func (k *keeperState) announcement(incarnation string) *sesamewire.Target {
	return &sesamewire.Target{
		Id:          k.target.GetId(),
		Kind:        k.target.GetKind(),
		Region:      k.target.GetRegion(),
		Zone:        k.target.GetZone(),
		Rack:        k.target.GetRack(),
		Cell:        k.target.GetCell(),
		Address:     k.target.GetAddress(),
		Incarnation: incarnation,
		Capacity:    k.target.GetCapacity(),
	}
}

// unconfirmedAttempts returns the attempts whose progress the keeper has not
// confirmed yet, or every attempt if all is true. It also forgets the confirmed
// progress of attempts that the agent no longer holds.
func (k *keeperState) unconfirmedAttempts(s sesamegang.Agent, all bool) []*sesamewire.AttemptStatus {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key := range k.confirmedProgress {
		if _, ok := s.Member(key); !ok {
			delete(k.confirmedProgress, key)
		}
	}
	var unconfirmed []*sesamewire.AttemptStatus
	for _, m := range s.Members() {
		if progress, ok := k.confirmedProgress[m.Key]; all || !ok || progress != m.Progress() {
			unconfirmed = append(unconfirmed, &sesamewire.AttemptStatus{
				Id:       m.Key.ID(),
				Progress: m.Progress(),
			})
		}
	}
	return unconfirmed
}

// recordReply records the progress of attempts in req as confirmed by the
// keeper. When the reply says that the keeper does not know the target, nothing
// is recorded, and the next heartbeat announces the target.
func (k *keeperState) recordReply(req *sesamewire.HeartbeatRequest, reply *sesamewire.HeartbeatReply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !reply.GetKnown() {
		k.targetKnown = false
		return
	}
	if req.GetAnnounce() != nil {
		k.confirmedProgress = map[sesamegang.AttemptKey]sesamewire.Progress{}
	}
	for _, status := range req.GetAttempts() {
		k.confirmedProgress[sesamegang.KeyOf(status.GetId())] = status.GetProgress()
	}
	if req.GetLeaving() {
		k.confirmLeaving()
	}
}

// confirmLeaving closes leaveConfirmed, once. The caller holds mu.
func (k *keeperState) confirmLeaving() {
	select {
	case <-k.leaveConfirmed:
	default:
		close(k.leaveConfirmed)
	}
}

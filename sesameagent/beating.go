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
	// registerPause is how soon a heartbeat follows one that a keeper answered
	// without a lease, as while it registers the target.
	registerPause = 100 * time.Millisecond
	// maxHops bounds how many entries one heartbeat tries.
	maxHops = 4
)

// beating sends heartbeats to the keeper until ctx ends.
func (a *Agent) beating(ctx context.Context) error {
	if a.settle(ctx) != nil {
		return nil
	}
	for ctx.Err() == nil {
		a.tick()
		wait := a.settings.Leases.Heartbeat
		if a.reachable.Load() {
			wait = a.beat(ctx)
		}
		a.ringLease()
		timer := a.deps.Clock.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.Chan():
		case <-a.keeper.signal:
		}
		timer.Stop()
	}
	return nil
}

// tick ends what has lapsed, repeats stops that have not taken effect, and
// takes a new incarnation when it is time.
func (a *Agent) tick() {
	a.state.apply(func(now time.Duration, s sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects) {
		s, effects := s.Tick(now)
		effects.Halt = append(effects.Halt, s.PendingHalts()...)
		if s.CanRenewIncarnation() {
			s = s.WithNewIncarnation(uuid.NewString())
			a.deps.Log.Emit(eventRenewed, sesamelog.Fields{
				"incarnation": s.Incarnation(),
			})
		}
		return s, effects
	})
}

// beat sends one heartbeat, to further entries when one does not answer or
// names another, and returns when the next is due.
func (a *Agent) beat(ctx context.Context) time.Duration {
	for range maxHops {
		address, _ := a.keeper.current()
		reply, sent, err := a.heartbeat(ctx, address)
		if ctx.Err() != nil {
			return 0
		}
		if err != nil {
			a.rehome(address, err)
			continue
		}
		if reply.GetLeaseMs() == 0 && reply.GetKeeper() != "" && reply.GetKeeper() != address {
			a.follow(reply.GetKeeper())
			continue
		}
		return a.grant(sent, reply)
	}
	return registerPause
}

func (a *Agent) heartbeat(ctx context.Context, address string) (*sesamewire.HeartbeatReply, time.Duration, error) {
	s, sent, _ := a.state.read()
	_, epoch := a.keeper.current()
	req := &sesamewire.HeartbeatRequest{
		Target:      a.settings.ID,
		Cell:        a.settings.Place.CellID(),
		Incarnation: s.Incarnation(),
		Epoch:       epoch,
		Leaving:     s.Leaving(),
	}
	if !a.keeper.announced() {
		req.Announce = a.keeper.announcement(s.Incarnation())
	}
	req.Attempts = a.keeper.news(s, req.Announce != nil)
	ctx, cancel := context.WithTimeout(ctx, a.settings.Leases.Heartbeat)
	defer cancel()
	reply, err := a.deps.Dialer.Keeper(address).Heartbeat(ctx, req)
	if err == nil {
		a.keeper.confirmed(req, reply)
	}
	return reply, sent, err
}

func (a *Agent) rehome(address string, err error) {
	next := a.keeper.fail(address)
	a.deps.Log.Emit(eventKeeperLost, sesamelog.Fields{
		"entry": address,
		"next":  next,
		"error": err,
	})
}

func (a *Agent) follow(address string) {
	a.keeper.move(address)
	a.deps.Log.Emit(eventKeeper, sesamelog.Fields{
		"entry": address,
	})
}

// grant applies a reply to a heartbeat sent at a reading. A keeper of an older
// epoch grants nothing.
func (a *Agent) grant(sent time.Duration, reply *sesamewire.HeartbeatReply) time.Duration {
	if reply.GetLeaseMs() == 0 {
		return registerPause
	}
	if !a.keeper.granted(reply.GetEpoch(), reply.GetKnown()) {
		address, epoch := a.keeper.current()
		a.deps.Log.Emit(eventEpochOld, sesamelog.Fields{
			"entry": address,
			"epoch": epoch,
			"found": reply.GetEpoch(),
		})
		a.keeper.fail(address)
		return registerPause
	}
	until := sent + time.Duration(reply.GetLeaseMs())*time.Millisecond
	a.state.apply(func(_ time.Duration, s sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects) {
		return s.WithLease(until), sesamegang.Effects{}
	})
	return a.settings.Leases.Heartbeat
}

// announcement returns the description of the target under an incarnation.
func (k *keeper) announcement(incarnation string) *sesamewire.Target {
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

// news returns the attempts whose progress the keeper has not confirmed.
func (k *keeper) news(s sesamegang.Agent, all bool) []*sesamewire.AttemptStatus {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key := range k.reported {
		if _, ok := s.Member(key); !ok {
			delete(k.reported, key)
		}
	}
	var news []*sesamewire.AttemptStatus
	for _, m := range s.Members() {
		if progress, ok := k.reported[m.Key]; all || !ok || progress != m.Progress() {
			news = append(news, &sesamewire.AttemptStatus{
				Id:       m.Key.ID(),
				Progress: m.Progress(),
			})
		}
	}
	return news
}

// confirmed notes what the keeper now knows.
func (k *keeper) confirmed(req *sesamewire.HeartbeatRequest, reply *sesamewire.HeartbeatReply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !reply.GetKnown() {
		k.known = false
		return
	}
	if req.GetAnnounce() != nil {
		k.reported = map[sesamegang.AttemptKey]sesamewire.Progress{}
	}
	for _, status := range req.GetAttempts() {
		k.reported[sesamegang.KeyOf(status.GetId())] = status.GetProgress()
	}
	if req.GetLeaving() {
		k.leavingTold()
	}
}

func (k *keeper) leavingTold() {
	select {
	case <-k.told:
	default:
		close(k.told)
	}
}

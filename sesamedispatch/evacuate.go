package sesamedispatch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

const (
	// maxEvacuationsAge is how old the planner's knowledge of the evacuated zones
	// may be for it to start anything.
	maxEvacuationsAge = 2 * time.Second
	// startMargin is how long before the end of the bound on starts in an evacuated
	// zone agents send the last one. It covers an answer of the store that was on
	// its way for long, by which an agent's estimate of the store's clock lags, and
	// the call to the target.
	startMargin = time.Second
	// minMarginShare is the part of a bound of less than four seconds that the
	// margin takes instead.
	minMarginShare = 4
)

// Evacuations provides the zones that operators have evacuated.
type Evacuations interface {
	// Evacuations returns them as last read.
	Evacuations() sesamework.Evacuations
}

// evacuation is what a decision knows of evacuated zones. The zero value is that of
// a deployment without evacuations: all zones are open.
type evacuation struct {
	// enabled says that the deployment has evacuations, and known that the
	// planner's knowledge of them is not older than maxEvacuationsAge.
	enabled bool
	known   bool
	// evacuated names the zones that operators have evacuated.
	evacuated []string
	// open holds the zones that are not evacuated and have no marker row.
	open map[string]bool
	// startBy is until when runs of this decision may be started, on the store's
	// clock.
	startBy time.Duration
}

// mayStart reports whether the decision may start anything.
func (e evacuation) mayStart() bool {
	return !e.enabled || e.known
}

// isOpen reports whether work may be placed in the zone.
func (e evacuation) isOpen(zone string) bool {
	return !e.enabled || e.known && e.open[zone]
}

// isEvacuated reports whether operators have evacuated the zone.
func (e evacuation) isEvacuated(zone string) bool {
	return slices.Contains(e.evacuated, zone)
}

// limitStart returns the run with the time until which it may be started.
func (e evacuation) limitStart(r sesamework.Run) sesamework.Run {
	r.StartBy = e.startBy.Milliseconds()
	return r
}

// takesWork reports whether a run of that service can be ordered on the target now:
// it accepts work, its zone is open, and it is not cold. Deployments without
// evacuations have no cold targets.
func (v *View) takesWork(t *target, service string) bool {
	return t.acceptsWork(service, v.now.Steady) && v.evacuation.isOpen(t.Zone) &&
		(!v.evacuation.enabled || !t.isCold(v.now.Steady))
}

// isCold reports whether the target should get no runs yet after it was out of use.
// now is on the steady clock.
func (t *target) isCold(now time.Duration) bool {
	return now < t.reportedAt+time.Duration(t.ColdFor)*time.Millisecond
}

// evacuatedRuns returns the runs that last and have a member in an evacuated zone,
// in the order of their names, unless they are being stopped.
func (v *View) evacuatedRuns() []*unit {
	if len(v.evacuation.evacuated) == 0 {
		return nil
	}
	var all []*unit
	for _, u := range v.units {
		if u.step.LongRunning && u.run.StopReason == "" && u.isIn(v.evacuation.isEvacuated) {
			all = append(all, u)
		}
	}
	slices.SortFunc(all, func(a, b *unit) int {
		return compareUnits(a, b)
	})
	return all
}

// compareUnits orders units by the priority of their jobs and then by their names.
func compareUnits(a, b *unit) int {
	if a.job.Terms.Priority != b.job.Terms.Priority {
		return a.job.Terms.Priority - b.job.Terms.Priority
	}
	if a.id.String() < b.id.String() {
		return -1
	}
	return 1
}

// isIn reports whether an active member of the unit's run is in a zone of that kind.
func (u *unit) isIn(zone func(string) bool) bool {
	return slices.ContainsFunc(u.members, func(m member) bool {
		return m.outcome == "" && zone(m.Zone)
	})
}

// move stops a run with members in an evacuated zone if the unit fits elsewhere now,
// also where other members of it are, and claims the room there. The stop lets its
// tasks write a checkpoint.
func (p *pass) move(u *unit) {
	if p.d.stopping[u] {
		return
	}
	p.countMembers(u, -1)
	targets := p.choose(u)
	p.countMembers(u, 1)
	if targets == nil {
		return
	}
	p.d.stop(u, stopEvacuated)
	if !p.d.stopping[u] {
		return
	}
	u.claim = claim{
		targets: targetNames(targets),
		until:   p.view.now.Steady + claimTimeout,
	}
	p.reserve(u, u.claim.targets, 0)
}

// countMembers adds, that many times, what the active members of the unit's run use.
func (p *pass) countMembers(u *unit, times int) {
	for _, m := range u.members {
		if m.outcome != "" {
			continue
		}
		p.room[m.Target] = p.room[m.Target].Minus(u.step.Reservation().Times(int64(times)))
		if u.step.MaxPerTarget > 0 {
			p.tasksOnTarget[u.spreadKey(m.Target)] += times
		}
	}
}

// holdMove sets aside the room that the unit has claimed while its run in an
// evacuated zone is being stopped.
func (p *pass) holdMove(u *unit) {
	if u.run.StopReason == stopEvacuated && u.isActive() && p.view.now.Steady < u.claim.until {
		p.reserve(u, u.claim.targets, 0)
	}
}

// reportUnfit logs, once for each set of evacuated zones, that a unit that is owed
// its room finds none while zones are evacuated.
func (p *pass) reportUnfit(u *unit) {
	v := p.view
	if len(v.evacuation.evacuated) == 0 || p.owed != u || v.unfit[u.id] {
		return
	}
	v.unfit[u.id] = true
	var remaining int64
	for _, t := range p.targetsByService[u.job.Terms.Service] {
		remaining += t.Capacity.Accelerators
	}
	v.log.Emit(eventUnfit, sesamelog.Fields{
		"team":       u.job.Team,
		"job":        u.id.Job,
		"unit":       u.id.String(),
		"requested":  u.accelerators(),
		"guaranteed": v.policy.GuaranteedAccelerators(u.job.Team),
		"remaining":  remaining,
		"zones":      v.evacuation.evacuated,
	})
}

// setEvacuation sets what the next decision knows of evacuated zones.
func (v *View) setEvacuation(e evacuation) {
	if v.unfit == nil || !slices.Equal(e.evacuated, v.evacuation.evacuated) {
		v.unfit = map[sesamework.UnitID]bool{}
	}
	v.evacuation = e
}

// markers knows which zones have a marker row, that is, a row that tells the zone's
// agents that it is evacuated. It is safe for concurrent use.
type markers struct {
	mu sync.Mutex
	// present tells for each zone whether the row is there; a zone that it lacks
	// is not known.
	present map[string]bool
	// rejections of their writes, by zone.
	rejections map[string]rejections
}

// newMarkers returns markers of which nothing is known.
func newMarkers() *markers {
	return &markers{
		present:    map[string]bool{},
		rejections: map[string]rejections{},
	}
}

// noteRead takes in which of the zones, all of whose run tables were read, have a
// marker row. What this process has written since is newer.
func (m *markers) noteRead(zones []string, rows []sesamerows.Row) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, zone := range zones {
		if _, known := m.present[zone]; known {
			continue
		}
		m.present[zone] = slices.ContainsFunc(rows, func(row sesamerows.Row) bool {
			return row.Key == sesamework.EvacuationKey(zone)
		})
	}
}

// set notes that the zone's marker row was written or removed.
func (m *markers) set(zone string, present bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.present[zone] = present
	delete(m.rejections, zone)
}

// reject notes that the store has refused the write of the zone's marker row.
func (m *markers) reject(zone string, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.rejections[zone]
	r.add(now)
	m.rejections[zone] = r
}

// missing returns which of the zones have no marker row, as far as is known, and
// surplus returns which zones have one and are not among the evacuated, or may have
// one and are among the others. Zones whose write was refused lately are left out.
func (m *markers) missing(evacuated []string, now time.Duration) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(evacuated), func(zone string) bool {
		return m.present[zone] || m.rejections[zone].isInForce(now)
	})
}

// surplus is described at missing.
func (m *markers) surplus(evacuated, others []string, now time.Duration) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	found := map[string]bool{}
	for zone, present := range m.present {
		found[zone] = present
	}
	for _, zone := range others {
		if _, known := m.present[zone]; !known {
			found[zone] = true
		}
	}
	var all []string
	for _, zone := range slices.Sorted(maps.Keys(found)) {
		if found[zone] && !slices.Contains(evacuated, zone) && !m.rejections[zone].isInForce(now) {
			all = append(all, zone)
		}
	}
	return all
}

// open returns the zones that have no marker row and are not among the evacuated.
func (m *markers) open(evacuated []string) map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := map[string]bool{}
	for zone, present := range m.present {
		if !present && !slices.Contains(evacuated, zone) {
			all[zone] = true
		}
	}
	return all
}

// updateEvacuation writes and removes marker rows as operators have evacuated zones
// and taken them back, and lets the next decision know. Markers are removed before
// anything is placed in their zones, since agents start nothing while they see one.
// Errors are those of commit.
func (r *term) updateEvacuation(ctx context.Context) error {
	now := r.o.Clock.Steady()
	var known sesamework.Evacuations
	if r.o.Evacuations != nil {
		known = r.o.Evacuations.Evacuations()
	}
	fresh := known.ReadAt > 0 && known.Age <= maxEvacuationsAge
	if err := r.writeMarkers(ctx, r.markers.missing(known.Zones, now), true); err != nil {
		return err
	}
	if fresh || r.o.Evacuations == nil {
		surplus := r.markers.surplus(known.Zones, r.zonesWithTargets(), now)
		if err := r.writeMarkers(ctx, surplus, false); err != nil {
			return err
		}
	}
	if r.o.Evacuations == nil {
		return nil
	}
	r.noteFreshness(fresh, known.Age)
	r.view.setEvacuation(evacuation{
		enabled:   true,
		known:     fresh,
		evacuated: known.Zones,
		open:      r.markers.open(known.Zones),
		startBy:   known.ReadAt + r.o.EvacuationBound - min(startMargin, r.o.EvacuationBound/minMarginShare),
	})
	r.o.Scope.Gauge("evacuated_zones").Update(float64(len(known.Zones)))
	return nil
}

// zonesWithTargets returns the zones of the view's targets, or none if the
// deployment has no evacuations.
func (r *term) zonesWithTargets() []string {
	if r.o.Evacuations == nil {
		return nil
	}
	found := map[string]bool{}
	for _, t := range r.view.targets {
		found[t.Zone] = true
	}
	return slices.Collect(maps.Keys(found))
}

// noteFreshness logs when the evacuated zones are no longer known, and when they
// are again.
func (r *term) noteFreshness(fresh bool, age time.Duration) {
	if r.evacuationsUnknown == !fresh {
		return
	}
	r.evacuationsUnknown = !fresh
	event := eventEvacuationsUnknown
	if fresh {
		event = eventEvacuationsKnown
	}
	r.o.Log.Emit(event, sesamelog.Fields{
		"age": age.Milliseconds(),
	})
}

// writeMarkers writes the marker rows of the zones, or removes them. One that the
// store refuses as such is left out for a while. Errors are those of commit.
func (r *term) writeMarkers(ctx context.Context, zones []string, present bool) error {
	var changes changeBatch
	for _, zone := range zones {
		changes.add(r.markerChange(zone, present))
	}
	for _, parts := range changes.transactions {
		if _, err := r.commitParts(ctx, parts...); err != nil {
			return err
		}
	}
	return nil
}

// markerChange returns the write or removal of the zone's marker row.
func (r *term) markerChange(zone string, present bool) change {
	key := sesamework.EvacuationKey(zone)
	changed := sesamerows.Change{
		Removes: []sesamerows.Key{key},
	}
	if present {
		changed = sesamerows.Change{
			Writes: []sesamerows.Write{{
				Key:   key,
				Value: []byte("{}"),
			}},
		}
	}
	return change{
		Change: changed,
		onCommit: []func(){func() {
			r.markers.set(zone, present)
			r.o.Log.Emit(eventMarker, sesamelog.Fields{
				"zone":      zone,
				"evacuated": present,
			})
		}},
		onReject: []func(error){func(err error) {
			r.markers.reject(zone, r.o.Clock.Steady())
			r.logRejected("evacuation", zone, changed, err)
		}},
	}
}

// markEvacuated writes the marker rows of all zones that are evacuated as far as
// this process knows. A process that takes over does so before it reads all rows,
// which may take long.
func (r *term) markEvacuated(ctx context.Context) error {
	if r.o.Evacuations == nil {
		return nil
	}
	known := r.o.Evacuations.Evacuations()
	return r.writeMarkers(ctx, r.markers.missing(known.Zones, r.o.Clock.Steady()), true)
}

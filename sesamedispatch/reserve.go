package sesamedispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamework"
)

// soonest returns where a blocked unit is likely to fit first, and in how long.
func (p *pass) soonest(u *unit) ([]string, time.Duration) {
	usable := p.usable(u)
	groups := [][]*target{usable}
	if u.step.Gang && u.step.SameRack {
		groups = slices.Collect(maps.Values(groupByRack(usable)))
	}
	var best []string
	var shortest time.Duration
	for _, targets := range groups {
		names, wait := p.soonestAmong(u, targets)
		if names != nil && (best == nil || wait < shortest) {
			best = names
			shortest = wait
		}
	}
	return best, shortest
}

// release is room that a run gives back.
type release struct {
	target string
	room   sesamework.Resources
	after  time.Duration
}

// soonestAmong lets the runs end in the order of their estimates until the
// unit fits.
func (p *pass) soonestAmong(u *unit, targets []*target) ([]string, time.Duration) {
	future := &pass{
		book:     p.book,
		room:     map[string]sesamework.Resources{},
		onTarget: p.onTarget,
	}
	byName := make(map[string]*target, len(targets))
	slots := 0
	for _, t := range targets {
		byName[t.name] = t
		future.room[t.name] = p.room[t.name].Minus(p.kept[t.name])
		slots += future.copies(u, t)
	}
	if slots >= u.tasks() {
		return names(future.pack(u, targets)), 0
	}
	for _, r := range p.releases() {
		t, ok := byName[r.target]
		if !ok {
			continue
		}
		slots -= future.copies(u, t)
		future.room[t.name] = future.room[t.name].Plus(r.room)
		slots += future.copies(u, t)
		if slots >= u.tasks() {
			return names(future.pack(u, targets)), r.after
		}
	}
	return nil, 0
}

func names(targets []*target) []string {
	list := make([]string, 0, len(targets))
	for _, t := range targets {
		list = append(list, t.name)
	}
	return list
}

// releases returns the ends to come, the first ones first.
func (p *pass) releases() []release {
	if p.ends != nil {
		return p.ends
	}
	p.ends = []release{}
	for _, u := range p.active {
		after := p.book.remaining(u)
		for _, m := range u.members {
			if m.how != "" {
				continue
			}
			p.ends = append(p.ends, release{
				target: m.Target,
				room:   u.step.Reservation(),
				after:  after,
			})
		}
	}
	slices.SortFunc(p.ends, func(a, b release) int {
		return cmp.Or(cmp.Compare(a.after, b.after), cmp.Compare(a.target, b.target))
	})
	return p.ends
}

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
	room   sesamework.Need
	after  time.Duration
}

// soonestAmong lets the runs end in the order of their estimates until the
// unit fits.
func (p *pass) soonestAmong(u *unit, targets []*target) ([]string, time.Duration) {
	future := &pass{
		book:     p.book,
		room:     map[string]sesamework.Need{},
		onTarget: p.onTarget,
	}
	for _, t := range targets {
		future.room[t.name] = p.room[t.name].Minus(p.kept[t.name])
	}
	var wait time.Duration
	for _, r := range p.releases(future.room) {
		if found := future.pack(u, targets); found != nil {
			return names(found), wait
		}
		future.room[r.target] = future.room[r.target].Plus(r.room)
		wait = r.after
	}
	if found := future.pack(u, targets); found != nil {
		return names(found), wait
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

// releases returns the ends to come on the targets of room, the first ones
// first.
func (p *pass) releases(room map[string]sesamework.Need) []release {
	var all []release
	for _, u := range p.book.units {
		for _, m := range u.members {
			if _, ok := room[m.Target]; !ok || m.how != "" {
				continue
			}
			all = append(all, release{
				target: m.Target,
				room:   u.step.Room(),
				after:  p.book.remaining(u),
			})
		}
	}
	slices.SortFunc(all, func(a, b release) int {
		return cmp.Or(cmp.Compare(a.after, b.after), cmp.Compare(a.target, b.target))
	})
	return all
}

package sesameplanner

import (
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// policy decides about the queued jobs of a planner.
type policy func(p *Planner, now time.Time) []Decision

// sesamePolicy is the planner's own policy, without a limit on decisions.
func sesamePolicy(p *Planner, now time.Time) []Decision {
	return p.Plan(now, 1<<20)
}

// fifo returns a policy that places jobs strictly in the order of submission,
// so that the first job without a place blocks all later ones.
func fifo(find func(*Planner, *demand) []gangPart) policy {
	return func(p *Planner, now time.Time) []Decision {
		var queue []*jobEntry
		for _, t := range p.teams {
			for _, e := range t.queue {
				if !e.dequeued {
					queue = append(queue, e)
				}
			}
		}
		slices.SortFunc(queue, func(a, b *jobEntry) int {
			return a.job.Submitted.Compare(b.job.Submitted)
		})
		r := &round{
			planner: p,
			now:     now,
		}
		for _, e := range queue {
			parts := find(p, p.borrowDemand(e, now))
			if parts == nil {
				break
			}
			r.placeBorrowed(e, parts, &victims{})
		}
		for _, t := range p.teams {
			t.compact()
		}
		return r.decisions
	}
}

// bestFit uses the planner's own search.
func bestFit(p *Planner, d *demand) []gangPart {
	return p.cells.find(d)
}

// firstFit takes the first target with room, or the first rack for jobs whose
// span is a rack, in the order of names.
func firstFit(p *Planner, d *demand) []gangPart {
	for _, z := range p.cells.zones {
		for _, s := range z.cells {
			for _, r := range s.racks {
				for at := r.first; at < r.end; at++ {
					nodes := s.nodesByRack[at : at+1]
					if d.spec.Span == sesamemodel.SpanRack {
						nodes = s.nodesByRack[r.first:r.end]
					}
					parts, total := d.appendFitting(nil, s, nodes)
					if total >= d.spec.Tasks {
						return d.trim(parts)
					}
				}
			}
		}
	}
	return nil
}

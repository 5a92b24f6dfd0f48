package sesamedispatch

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamecontention"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

const (
	// summaryInterval is the least time between two writes of the summary. Entries
	// take one into account for 3 s, so that two may be late.
	summaryInterval = time.Second
	// summaryUnitsShare is the part of the bound on units from which the summary
	// tells entries how many the planner holds. One job may take up the rest.
	summaryUnitsShare = 0.5
)

// summaryState is what a term knows of the summary's row.
type summaryState struct {
	// present says that the row is in the store. rejections of its write keep it
	// from being written.
	present    bool
	rejections rejections
	// checkedAt is when the summary was last made, on the steady clock.
	checkedAt time.Duration
	// checked says that it was made at least once.
	checked bool
}

// noteRead takes in whether the row is among those of the state table.
func (s *summaryState) noteRead(states []sesamerows.Row) {
	s.present = slices.ContainsFunc(states, func(row sesamerows.Row) bool {
		return row.Key == sesamework.SummaryKey()
	})
}

// summaryChange returns the write of the summary, or its removal when there is
// nothing to say any more. It returns false if neither is due.
func (r *term) summaryChange() (change, bool) {
	now := r.o.Clock.Steady()
	s := &r.summary
	if s.checked && now-s.checkedAt < summaryInterval || s.rejections.isInForce(now) {
		return change{}, false
	}
	s.checked = true
	s.checkedAt = now
	content, needed := r.view.summary()
	if !needed && !s.present {
		return change{}, false
	}
	c := change{
		Change: sesamerows.Change{
			Removes: []sesamerows.Key{sesamework.SummaryKey()},
		},
	}
	if needed {
		content.At = r.storeClock.Now().Milliseconds()
		value, err := json.Marshal(content)
		if err != nil {
			return change{}, false
		}
		c.Change = sesamerows.Change{
			Writes: []sesamerows.Write{{
				Key:   sesamework.SummaryKey(),
				Value: value,
			}},
		}
	}
	c.onCommit = []func(){func() { r.recordSummary(content, needed) }}
	c.onReject = []func(error){func(err error) {
		s.rejections.add(now)
		r.logRejected("summary", "", c.Change, err)
	}}
	return c, true
}

// recordSummary logs and counts that the summary was written, or else removed.
func (r *term) recordSummary(content sesamework.Summary, present bool) {
	if present != r.summary.present {
		r.o.Log.Emit(eventSummary, sesamelog.Fields{
			"present": present,
			"queues":  content.Queues,
			"units":   content.Units,
			"bound":   content.Bound,
		})
	}
	r.summary.present = present
	written := 0.0
	if present {
		written = 1
	}
	r.o.Scope.Gauge("summary_present").Update(written)
	for name, load := range content.Queues {
		r.o.Scope.Tagged(map[string]string{
			"queue": name,
		}).Gauge("expected_wait").Update(load.WaitTime().Seconds())
	}
}

// summary returns the load of the planner, without the time, and whether entries
// need it. Waits are told only if the view orders by value, and if a new job of some
// queue could earn nothing.
func (v *View) summary() (sesamework.Summary, bool) {
	s := sesamework.Summary{
		Units: v.Units(),
		Bound: v.maxUnits,
	}
	needed := float64(s.Units) > summaryUnitsShare*float64(s.Bound)
	if !v.byValue || v.policy == nil {
		return s, needed
	}
	queues, hopeless := v.queueLoads()
	if hopeless {
		s.Queues = queues
	}
	return s, needed || hopeless
}

// backlog is the load of the queues whose work runs on the targets of one service.
type backlog struct {
	// room is what serves them, as a number of cores.
	room float64
	// waiting holds the waiting work by priority, in core-seconds.
	waiting map[int]float64
}

// wait returns the expected time until new work of that priority starts.
func (b *backlog) wait(priority int) time.Duration {
	work := 0.0
	for p, amount := range b.waiting {
		if p <= priority {
			work += amount
		}
	}
	if b.room <= 0 {
		// Without targets, when they will be back is not known.
		return 0
	}
	return time.Duration(min(work/b.room, maxWait.Seconds()) * float64(time.Second))
}

// maxWait bounds expected waits, so that they fit into a duration.
const maxWait = 24 * time.Hour

// queueLoads returns the loads of the queues of which the view holds open jobs, and
// whether a new job of some queue could earn nothing.
func (v *View) queueLoads() (map[string]sesamework.QueueLoad, bool) {
	backlogs := v.backlogs()
	durations := map[string][]time.Duration{}
	for _, j := range v.jobs {
		if !j.isOver() && len(j.criticalPaths) > 0 {
			durations[j.Queue] = append(durations[j.Queue], slices.Max(j.criticalPaths))
		}
	}
	loads := map[string]sesamework.QueueLoad{}
	hopeless := false
	for _, q := range v.policy.Queues {
		all := durations[q.Name]
		b, served := backlogs[q.Terms.Service]
		if len(all) == 0 || !served {
			continue
		}
		slices.Sort(all)
		least, wait := all[0], b.wait(q.Terms.Priority)
		loads[q.Name] = sesamework.QueueLoad{
			Wait:  wait.Milliseconds(),
			Least: least.Milliseconds(),
			Usual: all[len(all)/2].Milliseconds(),
		}
		objective := sesamework.Job{
			Terms: q.Terms,
		}.Objective(least)
		hopeless = hopeless || sesamecontention.IsHopeless(objective, least, wait)
	}
	return loads, hopeless
}

// backlogs returns the backlog of each service. Work that is worth nothing any more
// is left out, since new work comes before it, and so is work that runs until
// cancelled, whose room serves nobody else.
func (v *View) backlogs() map[string]*backlog {
	all := map[string]*backlog{}
	of := func(service string) *backlog {
		b, ok := all[service]
		if !ok {
			b = &backlog{
				waiting: map[int]float64{},
			}
			all[service] = b
		}
		return b
	}
	for _, t := range v.targets {
		if v.takesWork(t, t.Service) {
			of(t.Service).room += t.Capacity.CoreEquivalent()
		}
	}
	for _, j := range v.jobs {
		if j.isOver() {
			continue
		}
		b := of(j.Terms.Service)
		for _, steps := range j.occurrences {
			waiting, lasting := v.occurrenceWork(j, steps)
			b.waiting[j.Terms.Priority] += waiting
			b.room -= lasting
		}
	}
	return all
}

// occurrenceWork returns the waiting work of an occurrence in core-seconds, 0 if it
// is worth nothing any more, and as a number of cores what its runs that last until
// cancelled use.
func (v *View) occurrenceWork(j *job, steps []*stepUnits) (waiting, lasting float64) {
	var first *unit
	for i, s := range steps {
		open, active := s.openTasks(), 0
		for _, u := range s.created {
			if !u.done && u.isActive() {
				active += u.taskCount()
			}
		}
		cores := s.step.Reservation().CoreEquivalent()
		if s.step.LongRunning {
			lasting += cores * float64(active)
			continue
		}
		if open > 0 && (first == nil || j.criticalPaths[i] > j.criticalPaths[first.id.Step]) {
			first = &unit{
				id: sesamework.UnitID{
					Occurrence: s.occurrence,
					Step:       i,
				},
				job:  j,
				step: s.step,
			}
		}
		waiting += cores * j.durations[i].Seconds() * float64(open-active)
	}
	if first == nil {
		return 0, lasting
	}
	outlook := sesamecontention.Waiting{
		Outlook: v.outlook(first),
	}
	if outlook.Class() == sesamecontention.Worthless {
		waiting = 0
	}
	return waiting, lasting
}

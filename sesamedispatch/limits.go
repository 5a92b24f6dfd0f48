package sesamedispatch

const (
	// maxTargetTasks is how many tasks one target runs at the most. Its agent takes
	// about 50 MB then.
	maxTargetTasks = 1 << 13
	// maxDecisionUnits is how many units one decision starts at the most, so that it
	// takes bounded memory and time. The next one goes on.
	maxDecisionUnits = 1 << 10
	// createdUnitsShare is the part of View.maxUnits that created units may take, and
	// leastCreatedShare the part that they may take however many jobs there are.
	createdUnitsShare = 0.75
	leastCreatedShare = 0.25
	// membersPerUnit is how many members of a gang take as much memory as a unit.
	membersPerUnit = 3
)

// weightOf returns how many units of one task take as much memory as a unit with that
// many members.
func weightOf(members int) int {
	return 1 + max(0, members-1)/membersPerUnit
}

// maxCreated returns the greatest weight that the created units of the view should
// have.
func (v *View) maxCreated() int {
	jobs := v.Units() - len(v.units)
	return max(int(createdUnitsShare*float64(v.maxUnits))-jobs, int(leastCreatedShare*float64(v.maxUnits)))
}

// hasMemoryFor reports whether the planner can hold another run of the unit. Above half
// of what it can hold, the runs of a job may take no more than what is left to others,
// so that one job of very many small tasks leaves room for all others.
func (p *pass) hasMemoryFor(u *unit) bool {
	if len(p.d.Starts) >= maxDecisionUnits {
		return false
	}
	added := weightOf(u.taskCount())
	if 2*(p.held+added) <= p.maxCreated {
		return true
	}
	return p.running[u.job]+added <= p.maxCreated-p.held
}

// freeSlots returns how many more tasks of the unit the target may run, whatever their
// size. Above half of maxTargetTasks, the tasks of a job may be no more than what is
// left to others.
func (p *pass) freeSlots(u *unit, t *target) int {
	tasks := p.occupants[t.name].tasks
	if 2*tasks < maxTargetTasks {
		return maxTargetTasks - tasks
	}
	return max(0, maxTargetTasks-tasks-p.jobTasksOn(u.job, t))
}

// jobOnTarget identifies the tasks of a job on a target.
type jobOnTarget struct {
	job    *job
	target string
}

// jobTasksOn returns how many tasks of the job are active on the target, or are started
// there by this pass.
func (p *pass) jobTasksOn(j *job, t *target) int {
	if p.present != nil {
		return p.present.jobTasksOn(j, t)
	}
	key := jobOnTarget{
		job:    j,
		target: t.name,
	}
	if n, ok := p.jobTasks[key]; ok {
		return n
	}
	n := 0
	for _, u := range p.activeByTarget[t.name] {
		if u.job == j {
			n += u.activeOn(t.name)
		}
	}
	for _, s := range p.d.Starts {
		if s.unit.job == j {
			for _, m := range s.run.Members {
				if m.Target == t.name {
					n++
				}
			}
		}
	}
	p.jobTasks[key] = n
	return n
}

// activeOn returns how many members of the unit's newest run are active on the target.
func (u *unit) activeOn(target string) int {
	n := 0
	for _, m := range u.members {
		if m.outcome == "" && m.Target == target {
			n++
		}
	}
	return n
}

package sesamedispatch

import "time"

// expectedEnd returns when the unit's run is expected to end, on the steady
// clock: the present time if no member is active.
func (v *View) expectedEnd(u *unit) time.Duration {
	return v.now.Steady + v.remaining(u)
}

// remaining estimates how much longer the run of the unit takes, which is as
// long as its slowest active member; 0 if it has none.
func (v *View) remaining(u *unit) time.Duration {
	var longest time.Duration
	for _, m := range u.members {
		if m.outcome == "" {
			longest = max(longest, v.remainingOf(u, m))
		}
	}
	return longest
}

// remainingOf estimates how much longer an active member takes, from its
// reported progress if there is some, or else from the expected duration.
func (v *View) remainingOf(u *unit, m member) time.Duration {
	if v.speedsDiffer() {
		return v.remainingBySpeed(u, m)
	}
	elapsed := v.now.Steady - u.orderedAt
	t, ok := v.targets[m.Target]
	if ok {
		p, reported := t.progress[u.id.Task(m.Index).String()]
		if reported && p.Run == u.run.Number && p.Percent > 0 {
			return elapsed * time.Duration(100-p.Percent) / time.Duration(p.Percent)
		}
	}
	return overdue(u.expectedDuration(), elapsed)
}

// overdue returns how much longer a task takes that has run for the time elapsed,
// if nothing but its expected duration is known.
func overdue(expected, elapsed time.Duration) time.Duration {
	// A task that takes longer than declared is likely to go on for a while: at
	// least a quarter of the expected duration, and as long as it has exceeded that.
	const leastDivisor = 4
	return max(expected-elapsed, elapsed-expected, expected/leastDivisor)
}

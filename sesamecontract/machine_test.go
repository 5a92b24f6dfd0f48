package sesamecontract

import (
	"context"
	"fmt"
	"maps"
	"testing"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// history is the log of all accepted changes, without faults.
type history struct {
	changes []sesamemodel.Change
}

// newestNumber returns the number of the newest change; 0 before the first.
func (h *history) newestNumber() int {
	return len(h.changes)
}

// weightsAt returns the weights of the contracts in force after the first n
// changes, by team.
func (h *history) weightsAt(n int) map[sesamemodel.TeamID]int {
	weights := map[sesamemodel.TeamID]int{}
	for _, change := range h.changes[:n] {
		if change.Removed {
			delete(weights, change.Team)
			continue
		}
		weights[change.Team] = change.Contract.Weight
	}
	return weights
}

// DownError is an injected failure of a read.
type DownError struct{}

// Error returns a fixed message.
func (e *DownError) Error() string {
	return "store is down"
}

// staleSource is a Source that answers each read from a stale replica of the
// history, which may be older than that of the read before. Reads may also
// fail.
type staleSource struct {
	history *history
	draw    func(label string, most int) int
	fails   func() bool
}

// drawVersion returns the number of changes that a read sees, or a *DownError.
func (c *staleSource) drawVersion(label string) (int, error) {
	if c.fails() {
		return 0, &DownError{}
	}
	return c.draw(label, c.history.newestNumber()), nil
}

// ContractNumber returns the newest number of a stale replica.
func (c *staleSource) ContractNumber(context.Context) (uint64, error) {
	n, err := c.drawVersion("number read at")
	return uint64(n), err
}

// TeamChanges reads the number and the rows from replicas of different ages.
func (c *staleSource) TeamChanges(ctx context.Context) ([]sesamemodel.Change, uint64, error) {
	number, err := c.ContractNumber(ctx)
	if err != nil {
		return nil, 0, err
	}
	n, err := c.drawVersion("rows read at")
	if err != nil {
		return nil, 0, err
	}
	latest := map[sesamemodel.TeamID]sesamemodel.Change{}
	for _, change := range c.history.changes[:n] {
		latest[change.Team] = change
	}
	var changes []sesamemodel.Change
	for _, change := range latest {
		changes = append(changes, change)
	}
	return changes, number, nil
}

// ChangesSince reads the log from a stale replica.
func (c *staleSource) ChangesSince(_ context.Context, number uint64) ([]sesamemodel.Change, error) {
	n, err := c.drawVersion("log read at")
	if err != nil || n < int(number) {
		return nil, err
	}
	return c.history.changes[number:n], nil
}

// process is one process that watches the contracts.
type process struct {
	holder *Holder
	watch  *Watch
	// highestSeen is the highest number that check found held.
	highestSeen uint64
}

// watchMachine is the state machine under test: three processes that watch one
// history.
type watchMachine struct {
	history   *history
	source    *staleSource
	clock     *clockwork.FakeClock
	processes []*process
	// hints are the numbers of all changes, for random delivery.
	hints []uint64
}

// newWatchMachine returns a machine without changes. Half of the reads are
// drawn to be fresh, the others see any number of changes; one in ten fails.
func newWatchMachine(t *rapid.T) *watchMachine {
	s := &watchMachine{
		history: &history{},
		clock:   clockwork.NewFakeClock(),
	}
	s.source = &staleSource{
		history: s.history,
		draw: func(label string, most int) int {
			if rapid.Bool().Draw(t, "fresh") {
				return most
			}
			return rapid.IntRange(0, most).Draw(t, label)
		},
		fails: func() bool {
			return rapid.IntRange(0, 9).Draw(t, "fails") == 0
		},
	}
	for range 3 {
		s.processes = append(s.processes, s.newProcess())
	}
	return s
}

// newProcess returns a process that has not read the contracts.
func (s *watchMachine) newProcess() *process {
	holder := NewHolder()
	return &process{
		holder: holder,
		watch: NewWatch(s.source, holder, WatchOptions{
			Clock: s.clock,
		}),
	}
}

// accept appends a change of one of three teams, or the removal of its
// contract. The contract's weight is the change's number.
func (s *watchMachine) accept(t *rapid.T) {
	team := sesamemodel.TeamID(rapid.SampledFrom([]string{"cork", "mill", "crew"}).Draw(t, "team"))
	change := sesamemodel.Change{
		Number: uint64(s.history.newestNumber() + 1),
		Team:   team,
	}
	_, exists := s.history.weightsAt(s.history.newestNumber())[team]
	change.Removed = exists && rapid.Bool().Draw(t, "remove")
	if !change.Removed {
		change.Contract = sesamemodel.Contract{
			Team:   team,
			Number: change.Number,
			Weight: int(change.Number),
		}
	}
	s.history.changes = append(s.history.changes, change)
	s.hints = append(s.hints, change.Number)
}

// hint delivers the hint of a random earlier change to a random process, so
// that hints arrive in any order and repeatedly.
func (s *watchMachine) hint(t *rapid.T) {
	if len(s.hints) == 0 {
		t.Skip("no change yet")
	}
	s.drawProcess(t).watch.Hint(rapid.SampledFrom(s.hints).Draw(t, "hint"))
}

// drawProcess returns a random process.
func (s *watchMachine) drawProcess(t *rapid.T) *process {
	return s.processes[rapid.IntRange(0, len(s.processes)-1).Draw(t, "process")]
}

// poll has a random process poll after one poll interval.
func (s *watchMachine) poll(t *rapid.T) {
	s.clock.Advance(defaultPollInterval)
	_ = s.drawProcess(t).watch.Poll(context.Background())
}

// replace puts a new process in the place of a random one.
func (s *watchMachine) replace(t *rapid.T) {
	i := rapid.IntRange(0, len(s.processes)-1).Draw(t, "process")
	s.processes[i] = s.newProcess()
}

// checkFreshRead checks that a read without faults brings a random process to
// the newest number.
func (s *watchMachine) checkFreshRead(t *rapid.T) {
	p := s.drawProcess(t)
	watch := NewWatch(&staleSource{
		history: s.history,
		draw: func(_ string, most int) int {
			return most
		},
		fails: func() bool {
			return false
		},
	}, p.holder, WatchOptions{
		Clock: s.clock,
	})
	set, err := watch.Fresh(context.Background())
	if err != nil || set.Number() != uint64(s.history.newestNumber()) {
		t.Fatalf("fresh read returned %v, %v; newest is %d", set, err, s.history.newestNumber())
	}
}

// check holds after every step: a process holds exactly the contracts that were
// in force at its number, and its number never decreases.
func (s *watchMachine) check(t *rapid.T) {
	for _, p := range s.processes {
		set, err := p.holder.Current()
		if err != nil {
			continue
		}
		if set.Number() < p.highestSeen {
			t.Fatalf("number %d after %d", set.Number(), p.highestSeen)
		}
		p.highestSeen = set.Number()
		weights := map[sesamemodel.TeamID]int{}
		for _, c := range set.Contracts() {
			weights[c.Team] = c.Weight
		}
		if want := s.history.weightsAt(int(set.Number())); !maps.Equal(weights, want) {
			t.Fatalf("at number %d: %v, accepted were %v", set.Number(), fmt.Sprint(weights), want)
		}
	}
}

// TestNumberNeverDecreases runs processes under reordered hints, reads from
// stale replicas, failed reads and replaced processes.
func TestNumberNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newWatchMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"accept":  s.accept,
			"hint":    s.hint,
			"poll":    s.poll,
			"replace": s.replace,
			"fresh":   s.checkFreshRead,
			"":        s.check,
		})
	})
}

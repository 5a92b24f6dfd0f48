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

// history is the true sequence of accepted changes.
type history struct {
	changes []sesamemodel.Change
}

func (h *history) newestNumber() int {
	return len(h.changes)
}

// weightsAt returns the weights in force after that many changes.
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

// DownError is a failed reading.
type DownError struct{}

// Error says so.
func (e *DownError) Error() string {
	return "store is down"
}

// staleSource answers each reading from a copy of the history that may be old, and
// older than the one before it.
type staleSource struct {
	history *history
	draw    func(label string, most int) int
	fails   func() bool
}

func (c *staleSource) drawVersion(label string) (int, error) {
	if c.fails() {
		return 0, &DownError{}
	}
	return c.draw(label, c.history.newestNumber()), nil
}

func (c *staleSource) ContractNumber(context.Context) (uint64, error) {
	n, err := c.drawVersion("number read at")
	return uint64(n), err
}

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

func (c *staleSource) ChangesSince(_ context.Context, number uint64) ([]sesamemodel.Change, error) {
	n, err := c.drawVersion("log read at")
	if err != nil || n < int(number) {
		return nil, err
	}
	return c.history.changes[number:n], nil
}

// process is one holder of contracts.
type process struct {
	holder *Holder
	watch  *Watch
	// highestSeen is the highestSeen number that was seen from outside.
	highestSeen uint64
}

// watchMachine is the system under test: processes that follow one history.
type watchMachine struct {
	history   *history
	source    *staleSource
	clock     *clockwork.FakeClock
	processes []*process
	hints     []uint64
}

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

func (s *watchMachine) newProcess() *process {
	holder := NewHolder()
	return &process{
		holder: holder,
		watch: NewWatch(s.source, holder, WatchOptions{
			Clock: s.clock,
		}),
	}
}

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

// hint delivers one of the hints so far, in any order and any number of times.
func (s *watchMachine) hint(t *rapid.T) {
	if len(s.hints) == 0 {
		t.Skip("no change yet")
	}
	s.drawProcess(t).watch.Hint(rapid.SampledFrom(s.hints).Draw(t, "hint"))
}

func (s *watchMachine) drawProcess(t *rapid.T) *process {
	return s.processes[rapid.IntRange(0, len(s.processes)-1).Draw(t, "process")]
}

func (s *watchMachine) poll(t *rapid.T) {
	s.clock.Advance(defaultPollInterval)
	_ = s.drawProcess(t).watch.Poll(context.Background())
}

func (s *watchMachine) replace(t *rapid.T) {
	i := rapid.IntRange(0, len(s.processes)-1).Draw(t, "process")
	s.processes[i] = s.newProcess()
}

// checkFreshRead confirms that a reading without faults brings the newest number.
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
		t.Fatalf("fresh reading gives %v, %v; newest is %d", set, err, s.history.newestNumber())
	}
}

// check holds after every step: a process shows exactly what was in force at
// its number, and never an older number after a newer one.
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

// TestNumberNeverDecreases runs processes under reordered hints, readings from
// old copies, failures and replacement.
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

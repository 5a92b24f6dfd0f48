package sesamesoak_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/platform/emulator"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// Flags that choose the seeds; each seed gives another series of faults and
// jobs.
var (
	firstSeed = flag.Int("soak-first", 1, "first seed that TestSoak runs")
	seedCount = flag.Int("soak-seeds", 1, "seeds that TestSoak runs")
)

// Extent of one seed's run.
const (
	// faultPeriod is the time in which faults are injected and jobs submitted.
	faultPeriod = 12 * time.Second
	// completionTimeout bounds the time after faultPeriod in which all
	// accepted jobs must end. It allows for a lease of 10 s and more to
	// expire, and for the work itself.
	completionTimeout = 45 * time.Second
	// The number of jobs and of faults of one seed.
	soakJobs   = 14
	soakFaults = 7
	// scheduledJobs run scheduledTimes each, so that planners release occurrences of
	// theirs together with tasks of the wide job.
	scheduledJobs  = 40
	scheduledTimes = 6
	// wideTasks is the number of tasks of the wide job.
	wideTasks = 4000
	// maxRunRows is how many rows of runs the store may hold once all jobs have ended.
	// Those of the wide job and of the others are more.
	maxRunRows = 3000
	// zoneEvacuations is how often each zone is evacuated, and maxEvacuationSpan
	// the longest time that it is evacuated or in use between. Some evacuations
	// have to last longer than evacuationBound.
	zoneEvacuations   = 2
	maxEvacuationSpan = 9 * time.Second
)

// TestSoak submits jobs while random, overlapping faults hit the processes and
// their connections. Every accepted job must end, and no promise to callers may
// be broken.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "sesamestack")
	output, err := exec.Command("go", "build", "-o", binary, "..").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSoak(t, binary)
			s.run(rand.New(rand.NewPCG(uint64(seed), 0)))
			s.check()
			if t.Failed() {
				s.printLogs()
			}
		})
	}
}

// run submits jobs, injects faults and has crowds of clients call the entries, at
// random times of faultPeriod, and returns when all of them are over.
func (s *soak) run(r *rand.Rand) {
	time.Sleep(time.Second)
	var group errgroup.Group
	for i := range soakJobs {
		at := time.Duration(r.IntN(int(faultPeriod)))
		h := &submission{
			path:     []string{"/urgent/", "/batch/"}[r.IntN(2)] + fmt.Sprintf("%016x", i+1),
			duration: taskDuration,
			step: sesamework.Step{
				Count:       1 + r.IntN(4),
				Need:        sesamework.Resources{Accelerators: int64(1 << r.IntN(4))},
				Estimate:    taskDuration.Milliseconds(),
				Gang:        r.IntN(3) == 0,
				Checkpoints: r.IntN(2) == 0,
			},
		}
		first := r.IntN(soakEntries)
		group.Go(func() error {
			time.Sleep(at)
			s.submit(h, first)
			return nil
		})
	}
	group.Go(func() error {
		// Planners release those of its tasks that are done while others of it run.
		s.submit(newShortJob(math.MaxInt64, wideTasks), 0)
		return nil
	})
	for i := range scheduledJobs {
		h := newShortJob(int64(soakJobs+i+1), 1)
		h.schedule = emulator.Schedule{
			Times:    scheduledTimes,
			FirstDue: time.Now().UnixMilli(),
			Interval: 1,
		}
		group.Go(func() error {
			s.submit(h, i)
			return nil
		})
	}
	for range soakFaults {
		at := time.Duration(r.IntN(int(faultPeriod)))
		length := 200*time.Millisecond + time.Duration(r.IntN(int(5*time.Second)))
		kind := r.IntN(8)
		p := s.processes[r.IntN(len(s.processes))]
		group.Go(func() error {
			time.Sleep(at)
			p.injectFault(kind, length)
			return nil
		})
	}
	for zone := range soakZones {
		var spans []time.Duration
		for range 2 * zoneEvacuations {
			spans = append(spans, time.Duration(r.IntN(int(maxEvacuationSpan))))
		}
		group.Go(func() error {
			return s.evacuateRepeatedly(zone, spans)
		})
	}
	group.Go(func() error {
		s.crowdEntries(r)
		return nil
	})
	is.New(s.t).NoErr(group.Wait())
}

// newShortJob returns the job with that number, of so many short tasks.
func newShortJob(number int64, tasks int) *submission {
	return &submission{
		path:     fmt.Sprintf("/batch/%016x", number),
		duration: 5 * time.Millisecond,
		step: sesamework.Step{
			Count:    tasks,
			Need:     sesamework.Resources{Cores: 1000},
			Estimate: 5,
		},
	}
}

// injectFault applies one fault to a process and removes it again: kinds 0 to
// 3 are faults of its proxy, 4 to 7 signals. It lasts for the given length
// where the kind has a duration.
func (p *program) injectFault(kind int, length time.Duration) {
	faults := []fault{faultDelay, faultReset, faultSilent, faultOneWay}
	switch kind {
	case 4:
		p.signal(syscall.SIGKILL)
	case 5:
		p.signal(syscall.SIGTERM)
	case 6:
		p.signal(syscall.SIGSTOP)
		time.Sleep(length)
		p.signal(syscall.SIGCONT)
	case 7:
		p.signal(syscall.SIGHUP)
	default:
		p.proxy.setFault(faults[kind])
		time.Sleep(length)
		p.proxy.setFault(faultNone)
	}
}

// submit sends a job to the entries in turn until one accepts it, as clients
// do. A job that every attempt refused must not run; after an unanswered
// attempt it may.
func (s *soak) submit(h *submission, first int) {
	id := h.path[strings.LastIndex(h.path, "/")+1:]
	s.mu.Lock()
	s.jobs[id] = h
	s.mu.Unlock()
	rejected := true
	for try := range 6 {
		entry := s.processes[(first+try)%soakEntries]
		status, _ := s.call(caller.SubmitScheduled(s.t.Context(), "http://"+entry.callerAddress+h.path, specText, h.schedule, h.step))
		rejected = rejected && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
		if status == http.StatusOK {
			s.mu.Lock()
			h.accepted = true
			s.mu.Unlock()
			return
		}
		time.Sleep(700 * time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h.rejected = rejected
}

// check waits until all accepted jobs have ended, and reports those that have
// not and every violation that the fleet recorded.
func (s *soak) check() {
	deadline := time.Now().Add(completionTimeout)
	var open []string
	for time.Now().Before(deadline) {
		if open = s.unfinished(); len(open) == 0 {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	for _, job := range open {
		s.t.Errorf("not completed: %s", job)
	}
	for _, broken := range s.fleet.Violations() {
		s.t.Error(broken)
	}
	if rows := s.countRows(sesamework.RunTable("zone-0")) + s.countRows(sesamework.RunTable("zone-1")); rows > maxRunRows {
		s.t.Errorf("the store holds %d rows of runs, expected at most %d", rows, maxRunRows)
	}
}

// countRows returns how many rows a table of the store has.
func (s *soak) countRows(table string) int {
	parts, err := s.rows.Parts(s.t.Context(), table)
	is.New(s.t).NoErr(err)
	page, err := sesamerows.ReadParts(s.t.Context(), s.rows, table, parts)
	is.New(s.t).NoErr(err)
	return len(page.Rows)
}

// unfinished lists the accepted jobs that an entry does not report as
// completed.
func (s *soak) unfinished() []string {
	var accepted []*submission
	s.mu.Lock()
	for _, h := range s.jobs {
		if h.accepted {
			accepted = append(accepted, h)
		}
	}
	s.mu.Unlock()
	var open []string
	for _, h := range accepted {
		status, body := s.call(caller.State(s.t.Context(), "http://"+s.processes[0].callerAddress+h.path))
		if !emulator.IsCompleted(status, body) {
			open = append(open, fmt.Sprintf("%s: %d %s", h.path, status, body))
		}
	}
	return open
}

// printLogs prints the log of every process.
func (s *soak) printLogs() {
	for _, p := range s.processes {
		p.mu.Lock()
		s.t.Logf("%s:\n%s", p.file, p.output.String())
		p.mu.Unlock()
	}
}

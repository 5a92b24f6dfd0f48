package sesamecommand_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// measurementWindow is how long idle processes are measured.
	measurementWindow = 10 * time.Second
	// ticksPerSecond is the number of ticks a second in which /proc counts
	// processor time.
	ticksPerSecond = 100
	// maxCoreShare (of one core) and maxMemoryKB are what a target leaves to
	// one process for control.
	maxCoreShare = 0.025
	maxMemoryKB  = 128 << 10
)

// processorTicks returns the processor time that the process has used, in user
// and system mode, in ticks.
func (p *process) processorTicks(t *testing.T) int {
	t.Helper()
	is := is.New(t)
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	is.NoErr(err)
	fields := strings.Fields(string(stat[strings.LastIndex(string(stat), ")")+1:]))
	user, err := strconv.Atoi(fields[11])
	is.NoErr(err)
	system, err := strconv.Atoi(fields[12])
	is.NoErr(err)
	return user + system
}

// memoryKB returns the resident memory of the process, in KB.
func (p *process) memoryKB(t *testing.T) int {
	t.Helper()
	is := is.New(t)
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	is.NoErr(err)
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	is.NoErr(err)
	return kilobytes
}

// TestFootprint measures the processor time and memory of idle processes and
// checks them against the share of a target that control processes may use.
func TestFootprint(t *testing.T) {
	c := newFailureCluster(t)
	names := []string{"entry-a", "entry-b", "worker-1", "executor-1"}
	ticks := map[string]int{}
	for _, name := range names {
		ticks[name] = c.processes[name].processorTicks(t)
	}
	before := c.counters(t)
	<-time.After(measurementWindow)
	after := c.counters(t)
	seconds := measurementWindow.Seconds()
	t.Logf("table, all processes: %.1f transactions, %.1f rows written, %.1f reads a second",
		float64(after.Writes-before.Writes)/seconds, float64(after.Rows-before.Rows)/seconds, float64(after.Reads-before.Reads)/seconds)
	for _, name := range names {
		p := c.processes[name]
		part := float64(p.processorTicks(t)-ticks[name]) / ticksPerSecond / seconds
		memory := p.memoryKB(t)
		t.Logf("%s: %.2f%% of a core, %d KB", name, 100*part, memory)
		is.New(t).True(part < maxCoreShare)
		is.New(t).True(memory < maxMemoryKB)
	}
}

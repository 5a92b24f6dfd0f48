// Command standin plays a case of the review: it starts the project's own programs
// against stand-ins of the platform's store, list of machines, executors, operator
// and clients, and judges one rule by what these see.
//
//	standin CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held,
// and 2 if the case could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// verdict is what a case found: what broke the rule, or nothing.
type verdict []string

func (v *verdict) add(format string, args ...any) {
	*v = append(*v, fmt.Sprintf(format, args...))
}

var cases = map[string]func(w *world, trouble bool) verdict{
	"affinity": playAffinity,
	"gang":     playGang,
	"silent":   playSilent,
	"lasting":  playLasting,
	"starve":   playStarve,
	// These three are no cases of the review; its report names them.
	"reclaim":  playReclaim,
	"estimate": playEstimate,
	"deadly":   playDeadly,
}

func init() {
	// Processes are killed with the thread that started them, which is that of main.
	runtime.LockOSThread()
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(couldNotRun)
	}
	log := newRecord(filepath.Join(os.Args[2], "record.txt"))
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-stop
		exit(couldNotRun)
	}()
	time.AfterFunc(110*time.Second, func() {
		log.add("case", "takes longer than 110 s")
		exit(couldNotRun)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	log.add("case", "%s, with the disruption: %v", os.Args[1], trouble)
	found := cases[os.Args[1]](newWorld(log), trouble)
	for _, line := range found {
		log.add("broken", "%s", line)
	}
	if len(found) > 0 {
		exit(broken)
	}
	log.add("case", "the rule held")
	exit(held)
}

// worker is what each executor offers.
var worker = resources{CPU: 128000, Memory: 512000, GPU: 8}

// maxProbes is how many first jobs are tried until each executor has run a task.
const maxProbes = 6

// prepare starts a small deployment and waits until each executor has run a task.
func prepare(w *world, entries, agents int, guaranteed map[string]int) {
	w.configure(3, map[string][]string{"crews": {"key-crews"}, "buyers": {"key-buyers"}}, guaranteed)
	w.begin(entries, agents, worker)
	probe := job{Specification: "probe", Steps: []step{{Count: agents, CPU: 1000, Memory: 100, GPU: 8, Estimate: 200}}}
	c := w.client(w.entries[0], "key-crews")
	for i := 0; i < maxProbes && !w.eachStarted(); i++ {
		id := fmt.Sprintf("%016x", 0xa0+i)
		ready := await(15*time.Second, func() bool {
			return c.state("late", id)[:3] == "410"
		})
		if !ready {
			check(fmt.Errorf("the first entry serves nothing"))
		}
		time.Sleep(time.Second)
		if _, ok := c.submit("late", id, probe); !ok {
			check(fmt.Errorf("a first job was not accepted"))
		}
		done := await(20*time.Second, func() bool {
			return c.state("late", id) == `200 {"state":"completed"}`
		})
		if !done {
			check(fmt.Errorf("a first job did not end"))
		}
	}
	if !w.eachStarted() {
		check(fmt.Errorf("not every executor is in use"))
	}
	w.log.add("case", "each executor has run a task")
}

// eachStarted reports whether each executor has started a task.
func (w *world) eachStarted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	used := map[string]bool{}
	for _, e := range w.events {
		used[e.executor] = true
	}
	return len(used) == len(w.executors)
}

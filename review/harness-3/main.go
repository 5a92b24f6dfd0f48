// Command harness plays the scripted cases of this review. It starts the
// project's own programs as processes, with the commands of the deploy file, and
// plays the platform, the executors, the clients and the operator itself, on
// loopback addresses.
//
// It is run in the repository: harness CASE RECORD. The variable TROUBLE=0 leaves
// the disruption out. The exit code is 1 if the rule was broken, 0 if it held and
// 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseTimeout ends a case that does not end by itself.
const caseTimeout = 115 * time.Second

// A testCase plays a case and returns the breaks of the rule that it has seen.
type testCase func(d *deployment) (breaks []string, err error)

var cases = map[string]testCase{
	"compaction": compaction,
	"late-leave": lateLeave,
	"incomplete": incompleteHeartbeats,
	"quarantine": quarantine,
	"isolation":  isolation,
	"foreign-id": foreignLife,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return 2
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", os.Args[1])
		return 2
	}
	d, err := newDeployment(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	type result struct {
		breaks []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		breaks, err := play(d)
		done <- result{breaks, err}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	var r result
	select {
	case r = <-done:
	case <-stopped:
		r.err = fmt.Errorf("the case was stopped")
	case <-time.After(caseTimeout):
		r.err = fmt.Errorf("the case did not end in time")
	}
	code := 0
	for _, b := range r.breaks {
		d.record("BROKEN: %s", b)
		code = 1
	}
	if r.err != nil {
		d.record("the case could not run: %v", r.err)
		code = 2
	}
	if code == 0 {
		d.record("the rule held")
	}
	d.close()
	return code
}

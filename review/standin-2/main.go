// Command standin2 plays one case of the review: it starts the project's own
// processes and the stand-ins of the platform, writes what was sent, answered and
// run to record.txt in the case's folder, and exits with 1 if the rule was broken, 0
// if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the plays, by the name that run.sh passes.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"unasked":  playUnasked,
	"renamed":  playRenamed,
	"twice":    playTwice,
	"lasting":  playLasting,
	"reserved": playReserved,
	"datarack": playDataRack,
	"avoid":    playAvoid,
	"backfill": playBackfill,
	"large":    playLarge,
	"pending":  playPending,
}

func main() {
	os.Exit(play())
}

// play plays the case named by the first argument in the folder named by the second.
func play() int {
	const couldNotRun = 2
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		return couldNotRun
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer w.end()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		w.end()
		os.Exit(couldNotRun)
	}()
	broken, err := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	if err != nil {
		w.record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	if broken {
		w.record("the rule was broken")
		fmt.Println("broken")
		return 1
	}
	w.record("the rule held")
	fmt.Println("held")
	return 0
}

package sesamework

import "flag"

// init makes rapid draw the same cases each time, so that every run has the same
// result. -rapid.seed on the command line chooses others.
func init() {
	if err := flag.Set("rapid.seed", "20261206"); err != nil {
		panic(err)
	}
}

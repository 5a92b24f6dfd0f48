package sesamedispatch

import "flag"

// init makes rapid draw the same cases each time, so that every run tests the
// same and has the same result, and more of them than by default, since a case
// takes a millisecond. -rapid.seed and -rapid.checks on the command line choose
// others.
func init() {
	for name, value := range map[string]string{
		"rapid.seed":   "20261204",
		"rapid.checks": "2000",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

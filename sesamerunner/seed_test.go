package sesamerunner_test

import "flag"

// init makes rapid draw the same cases each time, so that every run tests the
// same and has the same result. -rapid.seed and -rapid.checks on the command line
// choose others.
func init() {
	for name, value := range map[string]string{
		"rapid.seed":   "20261205",
		"rapid.checks": "100",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

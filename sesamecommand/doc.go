// Package sesamecommand is the command line of sesamestack: the processes, the
// client commands for callers and operators, and the tools that need no
// process.
//
// # Usage
//
//	os.Exit(sesamecommand.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
//
// A command writes its answer to the standard output and one line per fault to
// the standard error. The exit codes are those of the constants ExitOK and
// following; `sesamestack --help` lists them.
package sesamecommand

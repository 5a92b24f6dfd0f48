// Package sesamecommand implements the sesamestack command line: commands that
// run a process (an entry, which serves callers and plans; an agent, which
// runs beside one target), client commands for callers and operators, and
// tools that work without a running process, such as check and token.
//
// # Usage
//
//	os.Exit(sesamecommand.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
//
// A command writes its result to standard output and errors to standard error,
// one line for each. The exit codes are the constants from ExitOK to ExitLater;
// `sesamestack --help` lists them.
package sesamecommand

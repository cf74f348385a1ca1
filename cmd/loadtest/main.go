// Command loadtest starts the built programs as processes on loopback and measures the latency of the request path and the
// resources that idle entry hosts use.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
)

// Exit codes of the command.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// setupFunc adds the flags of a test and returns the function that runs the test once the flags are parsed.
type setupFunc func(flags *flag.FlagSet, options *options) func(out io.Writer) error

// options are the settings that every test has.
type options struct {
	programs string // folder of the built programs
	scratch  string // temporary folder for settings files
}

var tests = map[string]setupFunc{
	"path":     pathTest,
	"capacity": capacityTest,
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 || tests[args[0]] == nil {
		fmt.Fprintln(stderr, "usage: loadtest path|capacity -programs FOLDER [flags]")
		return exitUsage
	}
	var o options
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.StringVar(&o.programs, "programs", "", "folder of the built programs jaybarrow and standin")
	execute := tests[args[0]](flags, &o)
	if err := flags.Parse(args[1:]); err != nil || o.programs == "" {
		return exitUsage
	}
	scratch, err := os.MkdirTemp("", "jaybarrow-loadtest-")
	if err != nil {
		fmt.Fprintln(stderr, "loadtest:", err)
		return exitFailure
	}
	defer os.RemoveAll(scratch)
	o.scratch = scratch
	if err := execute(stdout); err != nil {
		fmt.Fprintln(stderr, "loadtest:", err)
		return exitFailure
	}
	return exitOK
}

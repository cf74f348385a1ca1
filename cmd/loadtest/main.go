// Command loadtest starts the built programs as processes on loopback and measures the request path and the control traffic.
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

// test adds its flags and returns the function that runs it.
type test func(flags *flag.FlagSet, common *common) func(out io.Writer) error

// common are the flags of every test.
type common struct {
	programs string
	scratch  string
}

var tests = map[string]test{
	"path":     pathTest,
	"capacity": capacityTest,
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 || tests[args[0]] == nil {
		fmt.Fprintln(stderr, "usage: loadtest path|capacity -programs FOLDER [flags]")
		return exitUsage
	}
	var c common
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.StringVar(&c.programs, "programs", "", "folder of the built programs jaybarrow and standin")
	execute := tests[args[0]](flags, &c)
	if err := flags.Parse(args[1:]); err != nil || c.programs == "" {
		return exitUsage
	}
	scratch, err := os.MkdirTemp("", "jaybarrow-loadtest-")
	if err != nil {
		fmt.Fprintln(stderr, "loadtest:", err)
		return exitFailure
	}
	defer os.RemoveAll(scratch)
	c.scratch = scratch
	if err := execute(stdout); err != nil {
		fmt.Fprintln(stderr, "loadtest:", err)
		return exitFailure
	}
	return exitOK
}

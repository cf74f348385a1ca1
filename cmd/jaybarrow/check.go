package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/jaybarrow/jaybarrow/internal/settings"
	"github.com/jaybarrow/jaybarrow/platform"
)

func runCheck(_ context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("check", flag.ContinueOnError)
	flags.SetOutput(stderr)
	serveFile := flags.String("settings", "", "settings file of `serve`")
	platformFile := flags.String("platform", "", "settings file of the users' platform, for `join`")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if *serveFile == "" && *platformFile == "" || flags.NArg() > 0 {
		fmt.Fprintln(stderr, "usage: jaybarrow check [-settings FILE] [-platform FILE]")
		return exitUsage
	}
	code := exitOK
	if *serveFile != "" {
		_, faults := settings.Check(*serveFile)
		code = max(code, reportFaults(stdout, stderr, *serveFile, faults))
	}
	if *platformFile != "" {
		_, faults := platform.ReadSettings(*platformFile)
		code = max(code, reportFaults(stdout, stderr, *platformFile, faults))
	}
	return code
}

// reportFaults prints every fault of a file and returns the exit code, exitUsage if there are any.
func reportFaults[T any](stdout, stderr io.Writer, file string, faults []T) int {
	for _, f := range faults {
		fmt.Fprintln(stderr, f)
	}
	if len(faults) > 0 {
		return exitUsage
	}
	fmt.Fprintln(stdout, file, "has no faults")
	return exitOK
}

package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/jaybarrow/jaybarrow/internal/settings"
)

func runCheck(_ context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("check", flag.ContinueOnError)
	flags.SetOutput(stderr)
	file := flags.String("settings", "", "settings file")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if *file == "" || flags.NArg() > 0 {
		fmt.Fprintln(stderr, "usage: jaybarrow check -settings FILE")
		return exitUsage
	}
	_, faults := settings.Check(*file)
	for _, f := range faults {
		fmt.Fprintln(stderr, f)
	}
	if len(faults) > 0 {
		return exitUsage
	}
	fmt.Fprintln(stdout, *file, "has no faults")
	return exitOK
}

// Command experiment measures the decision code with generated events on a virtual clock.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/jaybarrow/jaybarrow/internal/experiment"
)

// Exit codes of the command.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		return usage(stderr)
	}
	for _, e := range experiment.Experiments() {
		if e.Name == args[0] {
			return measure(e, args[1:], stdout, stderr)
		}
	}
	return usage(stderr)
}

func usage(w io.Writer) int {
	fmt.Fprint(w, "usage: experiment NAME [-seed N] [-runs N] [-json], with NAME one of")
	for _, e := range experiment.Experiments() {
		fmt.Fprint(w, " ", e.Name)
	}
	fmt.Fprintln(w)
	return exitUsage
}

// measure runs the experiment with the flags in args and writes its report.
func measure(e experiment.Experiment, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet(e.Name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	seed := flags.Uint64("seed", 1, "seed of the first run; each further run uses the next number")
	runs := flags.Int("runs", 3, "number of runs")
	asJSON := flags.Bool("json", false, "write every run as JSON instead of a table")
	if err := flags.Parse(args); err != nil || *runs < 1 {
		return exitUsage
	}
	var seeds []uint64
	for i := range *runs {
		seeds = append(seeds, *seed+uint64(i))
	}
	report := experiment.Measure(e, seeds)
	write := report.WriteTable
	if *asJSON {
		write = report.WriteJSON
	}
	if err := write(stdout); err != nil {
		fmt.Fprintln(stderr, "experiment:", err)
		return exitFailure
	}
	return exitOK
}

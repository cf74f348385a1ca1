// Command jaybarrow runs an entry host (with its own HTTP API or on the users' platform), checks settings files, runs the demo and
// sends the commands of operators and callers to an entry host.
package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
)

// Exit codes of the command.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// version is set by the linker for releases.
var version = "dev"

// subcommand runs one command with the arguments that follow its name and returns the exit code.
type subcommand func(ctx context.Context, args []string, stdout, stderr io.Writer) int

var subcommands = map[string]subcommand{
	"check":   runCheck,
	"demo":    runDemo,
	"join":    runJoin,
	"serve":   runServe,
	"version": runVersion,

	"team":    operatorCommand("team", teamVerbs),
	"key":     operatorCommand("key", keyVerbs),
	"pool":    operatorCommand("pool", poolVerbs),
	"queue":   operatorCommand("queue", queueVerbs),
	"host":    operatorCommand("host", hostVerbs),
	"drain":   operatorCommand("drain", drainVerbs),
	"wave":    operatorCommand("wave", waveVerbs),
	"limit":   operatorCommand("limit", limitVerbs),
	"share":   operatorCommand("share", shareVerbs),
	"target":  operatorCommand("target", targetVerbs),
	"status":  operatorCommand("status", statusVerbs),
	"explain": operatorCommand("explain", explainVerbs),
	"submit":  operatorCommand("submit", submitVerbs),
	"cancel":  operatorCommand("cancel", cancelVerbs),
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		usage(stderr)
		return exitUsage
	}
	command, ok := subcommands[args[0]]
	if !ok {
		fmt.Fprintf(stderr, "jaybarrow: unknown command %q\n", args[0])
		usage(stderr)
		return exitUsage
	}
	return command(ctx, args[1:], stdout, stderr)
}

func usage(w io.Writer) {
	names := slices.Sorted(maps.Keys(subcommands))
	fmt.Fprintln(w, "usage: jaybarrow", strings.Join(names, "|"))
}

func runVersion(_ context.Context, _ []string, stdout, _ io.Writer) int {
	fmt.Fprintln(stdout, "jaybarrow", version)
	return exitOK
}

// Command standin runs the stand-in for the store of the platform, the stand-in for a worker, or the fault-injecting proxy.
// Each runs as a separate process.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/jaybarrow/jaybarrow"
)

// Exit codes of the command.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// addresses are the listen addresses that a process prints on standard output, as one line of JSON, when it has started.
type addresses struct {
	Listen  jaybarrow.Address `json:"listen"`
	Control jaybarrow.Address `json:"control,omitempty"`
}

// subcommand registers its flags and returns a start function. The start function returns the listen addresses and a
// function that stops the process.
type subcommand func(flags *flag.FlagSet) func() (addresses, func(), error)

var subcommands = map[string]subcommand{
	"store":  store,
	"worker": worker,
	"proxy":  proxy,
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 || subcommands[args[0]] == nil {
		fmt.Fprintln(stderr, "usage: standin store|worker|proxy [flags]")
		return exitUsage
	}
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	flags.SetOutput(stderr)
	start := subcommands[args[0]](flags)
	if err := flags.Parse(args[1:]); err != nil {
		return exitUsage
	}
	listening, stop, err := start()
	if err != nil {
		fmt.Fprintln(stderr, "standin:", err)
		return exitFailure
	}
	defer stop()
	if err := json.NewEncoder(stdout).Encode(listening); err != nil {
		fmt.Fprintln(stderr, "standin:", err)
		return exitFailure
	}
	<-ctx.Done()
	return exitOK
}

// loopback is the address of any free port on the loopback network.
const loopback = "127.0.0.1:0"

// listen opens a listener for each TCP address, or none if one fails.
func listen(listenAddresses ...string) ([]net.Listener, error) {
	var open []net.Listener
	for _, address := range listenAddresses {
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, other := range open {
				_ = other.Close()
			}
			return nil, err
		}
		open = append(open, l)
	}
	return open, nil
}

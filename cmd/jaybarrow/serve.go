package main

import (
	"context"
	"expvar"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/budget"
	"github.com/jaybarrow/jaybarrow/internal/entry"
	"github.com/jaybarrow/jaybarrow/internal/etcd"
	"github.com/jaybarrow/jaybarrow/internal/logging"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
	"github.com/jaybarrow/jaybarrow/internal/settings"
)

func runServe(ctx context.Context, args []string, _, stderr io.Writer) int {
	flags := flag.NewFlagSet("serve", flag.ContinueOnError)
	flags.SetOutput(stderr)
	file := flags.String("settings", "", "settings file")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if *file == "" || flags.NArg() > 0 {
		fmt.Fprintln(stderr, "usage: jaybarrow serve -settings FILE")
		return exitUsage
	}
	s, faults := settings.Check(*file)
	for _, f := range faults {
		fmt.Fprintln(stderr, f)
	}
	if len(faults) > 0 {
		return exitUsage
	}
	log, err := logging.New(stderr, s.Entry.LogLevel)
	if err != nil {
		fmt.Fprintln(stderr, "jaybarrow:", err)
		return exitFailure
	}
	return serve(ctx, s, log)
}

// bodyFraction is the part of the memory that bodies of waiting and running requests may take: one in so many bytes.
const bodyFraction = 4

// serve runs an entry host until ctx ends or a newer process has taken its id.
func serve(ctx context.Context, s settings.Settings, root zerolog.Logger) int {
	log := logging.For(root, "serve")
	callers, peers, err := listenFor(s.Entry)
	if err != nil {
		log.Error().Err(err).Msg("cannot listen; exiting")
		return exitFailure
	}
	counters := new(expvar.Map).Init()
	memory := budget.Bytes(s.Limits.MemoryMB) << 20
	plan := planClientLimits(memory, s.Limits.Descriptors)
	// Bodies are held until their requests are answered, and one of the largest size must find room.
	plan.Bodies = max(memory/bodyFraction, 2*budget.Bytes(s.Queues.MaxBodyBytes))
	limits := newClientLimits(plan, logging.For(root, "limits"), func(name string) { counters.Add(name, 1) })
	callers = limits.http(callers, "callers", limits.limits.Callers)
	// A forwarded request is a call until it is answered, and as many of them may wait as requests of own callers.
	peers = limits.peers(peers, max(limits.limits.Calls, s.Queues.MaxWaiting), true)
	client := etcd.New(entry.PlatformSettings(s, s.Platform.StoreAddress))
	defer client.Close()
	e := entry.New(entry.Deps{
		Clock: jaybarrow.SystemClock{}, Log: root, Platform: client, Settings: s,
		Callers: callers, Peers: peers, Times: entry.DefaultTimes(), ClientLimits: counters,
		OnFault: rungroup.EndProcess(log, func() {}, func() { os.Exit(exitFailure) }), // the log is not queued
	})
	log.Info().Str("callers", callers.Addr().String()).Str("peers", peers.Addr().String()).Msg("serving")
	select {
	case <-ctx.Done():
	case <-e.Fenced():
		// A graceful stop would keep renewing the leases of running tasks, which could exceed team limits, since the newer process
		// takes over the permits.
		log.Error().Msg("a newer process has taken this entry host's id; exiting at once")
		return exitFailure
	}
	closeCtx, cancel := context.WithTimeout(context.Background(), s.Shutdown.Grace)
	defer cancel()
	exitOnSecondSignal(log)
	if err := e.Close(closeCtx); err != nil {
		log.Warn().Err(err).Msg("stopped before all open requests had finished")
		return exitFailure
	}
	log.Info().Msg("stopped")
	return exitOK
}

// exitOnSecondSignal makes the process exit at once when it receives another SIGINT or SIGTERM; it does not block.
func exitOnSecondSignal(log zerolog.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		log.Warn().Msg("second signal to stop received; exiting at once")
		os.Exit(exitFailure)
	}()
}

func listenFor(s settings.Entry) (callers, peers net.Listener, err error) {
	if callers, err = net.Listen("tcp", string(s.CallerAddress)); err != nil {
		return nil, nil, fmt.Errorf("listen for callers: %w", err)
	}
	if peers, err = net.Listen("tcp", string(s.PeerAddress)); err != nil {
		_ = callers.Close()
		return nil, nil, fmt.Errorf("listen for peers: %w", err)
	}
	return callers, peers, nil
}

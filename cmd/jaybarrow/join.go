package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/jobhost"
	"github.com/jaybarrow/jaybarrow/internal/jobmetrics"
	"github.com/jaybarrow/jaybarrow/internal/logging"
	"github.com/jaybarrow/jaybarrow/platform"
)

const (
	// memoryShare is the part of the platform's memory limit that the Go runtime may use; stacks and C memory take the rest.
	memoryShare = 0.75
	// collectPercent makes the runtime collect earlier than by default: memory at its peak is dearer here than processor time.
	collectPercent = 50
	// drainTime is how long open connections are served after the signal to stop: the balancer notices within two of its
	// checks, one a second, and callers of open connections are told to close them.
	drainTime = 2500 * time.Millisecond
	// closeTime is how long the last answers may take after that.
	closeTime = 2 * time.Second
	// staleShare is the part of the platform's own bound after which keys are no longer judged by an old configuration.
	staleShare = 0.7
)

func runJoin(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("join", flag.ContinueOnError)
	flags.SetOutput(stderr)
	file := flags.String("settings", os.Getenv(platform.SettingsVariable), "the platform's settings file")
	port := flags.Uint("metrics", 0, "port of the metrics at path /metrics; 0: none")
	level := flags.String("log", "info", "least level of log lines: debug, info, warn or error")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if *file == "" || flags.NArg() > 0 {
		fmt.Fprintln(stderr, "usage: jaybarrow join [-settings FILE] [-log LEVEL] [-metrics PORT]")
		return exitUsage
	}
	s, faults := platform.ReadSettings(*file)
	for _, f := range faults {
		fmt.Fprintln(stderr, f)
	}
	if len(faults) > 0 {
		return exitUsage
	}
	out := logging.NewBounded(stdout)
	defer out.Close()
	log, err := logging.New(out, *level)
	if err != nil {
		fmt.Fprintln(stderr, "jaybarrow:", err)
		return exitUsage
	}
	metrics := jobmetrics.New()
	metrics.Gauge("log.dropped", out.Dropped)
	if *port > 0 {
		server, err := serveMetrics(net.JoinHostPort(s.IP, strconv.FormatUint(uint64(*port), 10)), metrics)
		if err != nil {
			log.Error().Err(err).Msg("cannot serve the metrics")
			return exitFailure
		}
		defer server.close()
	}
	return join(ctx, *file, s, log, metrics)
}

// join runs an entry host on the platform until ctx ends.
func join(ctx context.Context, file string, s platform.Settings, root zerolog.Logger, metrics *jobmetrics.Metrics) int {
	log := logging.For(root, "join")
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	debug.SetGCPercent(collectPercent)
	listeners, err := listenAll(s.Peers, s.Callers, s.Balancer)
	if err != nil {
		log.Error().Err(err).Msg("cannot listen")
		return exitFailure
	}
	store := platform.NewStore(s.Store)
	defer store.Close()
	fleet := platform.NewFleet(s.Fleet, s.EntryID)
	defer fleet.Close()
	adviser := platform.NewAdviser(s.Adviser)
	defer adviser.Close()
	settings := jobhost.DefaultSettings()
	settings.MaxConfigurationAge = time.Duration(staleShare * float64(s.Bounds.ConfigurationDelay+s.Bounds.OutageDelay))
	settings.Scheduler.Workload.Lease = min(settings.Scheduler.Workload.Lease, s.Bounds.MaxWorkerLease)
	settings.Leader.Capacity = s.Capacity
	settings.Fleet.TakeoverDelay, settings.Fleet.MinOrderDuration = s.Bounds.HostOrderLease, s.Bounds.MinHostOrderTime
	settings.Fleet.Plan.Lookahead = s.Bounds.HostMoveTime + settings.Fleet.Interval
	host := jobhost.New(jobhost.Deps{
		Clock: jaybarrow.SystemClock{}, Log: root, Entry: s.EntryID, Peers: listeners[0], Settings: settings, Metrics: metrics,
		Platform: jobhost.Platform{
			Store: store, Register: platform.NewRegister(logging.For(root, "register"), store),
			Operators: platform.NewOperators(logging.For(root, "operators"), store), Agents: platform.NewAgents(), Fleet: fleet, Adviser: adviser,
		},
	})
	front := platform.NewFront(logging.For(root, "front"), listeners[1], listeners[2], host, metrics)
	log.Info().Str("entry", string(s.EntryID)).Str("callers", string(s.Callers)).Str("version", version).Msg("joined")
	reloadUntil(ctx, file, log)
	log.Info().Msg("stopping")
	exitOnSecondSignal(log)
	host.Leave()
	<-time.After(drainTime)
	stopping, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	err = front.Close(stopping)
	host.Close()
	if err != nil {
		log.Warn().Err(err).Msg("stopped before everything was finished")
		return exitFailure
	}
	log.Info().Msg("stopped")
	return exitOK
}

// reloadUntil checks the settings again at each SIGHUP until ctx ends. What a running process depends on does not change
// without a new start, so a reload only reports what the next start would find.
func reloadUntil(ctx context.Context, file string, log zerolog.Logger) {
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	defer signal.Stop(again)
	for {
		select {
		case <-ctx.Done():
			return
		case <-again:
		}
		_, faults := platform.ReadSettings(file)
		log.Info().Err(errors.Join(faults...)).Msg("settings read again")
	}
}

func listenAll(addresses ...jaybarrow.Address) ([]net.Listener, error) {
	var out []net.Listener
	for _, a := range addresses {
		l, err := net.Listen("tcp", string(a))
		if err != nil {
			for _, open := range out {
				_ = open.Close()
			}
			return nil, fmt.Errorf("listen on %s: %w", a, err)
		}
		out = append(out, l)
	}
	return out, nil
}

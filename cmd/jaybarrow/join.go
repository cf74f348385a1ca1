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
	runtimemetrics "runtime/metrics"
	"strconv"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/budget"
	"github.com/jaybarrow/jaybarrow/internal/jobhost"
	"github.com/jaybarrow/jaybarrow/internal/jobmetrics"
	"github.com/jaybarrow/jaybarrow/internal/logging"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
	"github.com/jaybarrow/jaybarrow/platform"
)

const (
	// memoryLimitFraction is the fraction of the platform's memory limit that the Go runtime may use; the rest is left for memory
	// outside the Go runtime, such as thread stacks and C allocations.
	memoryLimitFraction = 0.75
	// gcPercent makes the garbage collector run earlier than by default, since peak memory costs more here than CPU time.
	gcPercent = 50
	// leaderGCPercent applies while this host leads. The leader's processor is what large fleets lack, and it is one of many hosts; the memory
	// limit still holds.
	leaderGCPercent = 200
	// drainDelay is how long open connections are served after the signal to stop. The load balancer notices within two of its
	// health checks, which it makes every second, and responses on open connections ask the callers to close them.
	drainDelay = 2500 * time.Millisecond
	// valuesInAnswers is for how many of the store's largest values the answers of all servers have room at least.
	valuesInAnswers = 8
	// closeTimeout bounds how long the last responses may take after drainDelay.
	closeTimeout = 2 * time.Second
	// startsPerMegabit is the number of concurrent start orders for each Mbit/s of the host's link. Orders of 1.5 KB then wait a tenth of
	// a second for the link. The other two bound the number of concurrent start orders.
	startsPerMegabit    = 8
	minConcurrentStarts = 40
	// renewalsPerLease is how many renewals of the leader's lease fall into it.
	renewalsPerLease    = 4
	maxConcurrentStarts = 4000
	// configurationAgeFraction is the fraction of the platform's limit on the age of the configuration above which requests are
	// refused with KindStaleConfiguration.
	configurationAgeFraction = 0.7
)

// teamAdmissionVariable is the environment variable that sets the default of -team-admission. A variable can be set in a deploy file that builds
// without the flag run by too, as in a rolling restart; they would end at an unknown flag.
const teamAdmissionVariable = "JAYBARROW_TEAM_ADMISSION"

// flagDefault returns the value of a boolean environment variable; false when it is not set.
func flagDefault(variable string) (bool, error) {
	value := os.Getenv(variable)
	if value == "" {
		return false, nil
	}
	on, err := strconv.ParseBool(value)
	if err != nil {
		return false, fmt.Errorf("%s = %q: want true or false", variable, value)
	}
	return on, nil
}

func runJoin(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("join", flag.ContinueOnError)
	flags.SetOutput(stderr)
	file := flags.String("settings", os.Getenv(platform.SettingsVariable), "the platform's settings file")
	port := flags.Uint("metrics", 0, "port of the metrics at path /metrics; 0: none")
	level := flags.String("log", "info", "least level of log lines: debug, info, warn or error")
	marks := flags.Bool("progress-by-marks", false, "leave out what is done when the progress of jobs is stored; every entry host must run a build with this flag")
	teamsByDefault, err := flagDefault(teamAdmissionVariable)
	if err != nil {
		fmt.Fprintln(stderr, "jaybarrow:", err)
		return exitUsage
	}
	teams := flags.Bool("team-admission", teamsByDefault, "divide congested pools among teams by their shares when new jobs are admitted and waiting ones are ordered; the default is the value of "+teamAdmissionVariable)
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if *file == "" || flags.NArg() > 0 {
		fmt.Fprintln(stderr, "usage: jaybarrow join [-settings FILE] [-log LEVEL] [-metrics PORT] [-progress-by-marks] [-team-admission]")
		return exitUsage
	}
	s, faults := platform.ReadSettings(*file)
	for _, f := range faults {
		fmt.Fprintln(stderr, f)
	}
	if len(faults) > 0 {
		return exitUsage
	}
	out := logging.NewBoundedWriter(stdout)
	defer out.Close()
	log, err := logging.New(out, *level)
	if err != nil {
		fmt.Fprintln(stderr, "jaybarrow:", err)
		return exitUsage
	}
	onFault := rungroup.EndProcess(logging.For(log, "join"), out.Close, func() { os.Exit(exitFailure) })
	metrics := jobmetrics.New()
	metrics.Gauge("log.dropped", out.Dropped)
	plan := planClientLimits(budget.Bytes(s.MemoryBytes), s.MaxDescriptors)
	// An answer holds a value in base64; clientlimit.Answers lets one answer take a quarter.
	plan.Answers = max(plan.Answers, valuesInAnswers*budget.Bytes(s.MaxValueBytes))
	limits := newClientLimits(plan, logging.For(log, "limits"), metrics.Count)
	if *port > 0 {
		server, err := serveMetrics(net.JoinHostPort(s.IP, strconv.FormatUint(uint64(*port), 10)), limits, metrics, logging.For(log, "metrics"), onFault)
		if err != nil {
			log.Error().Err(err).Msg("cannot serve the metrics; exiting")
			return exitFailure
		}
		defer server.close()
	}
	return join(ctx, *file, s, *marks, *teams, limits, log, metrics, onFault)
}

// hostSettings returns the settings of an entry host on the platform, fitted to what its host can carry and to the platform's bounds.
func hostSettings(s platform.Settings, progressByMarks bool) jobhost.Settings {
	settings := jobhost.DefaultSettings()
	settings.MaxForwardedWrites = platform.StoreConnections / 2
	settings.Fleet.MaxConcurrentOrders = platform.OrderConnections
	settings.MaxConfigurationAge = time.Duration(configurationAgeFraction * float64(s.Bounds.ConfigurationDelay+s.Bounds.OutageDelay))
	settings.EvacuationDelay = s.Bounds.EvacuationDelay
	settings.Scheduler.Workload.Lease = min(settings.Scheduler.Workload.Lease, s.Bounds.MaxWorkerLease)
	settings.Scheduler.Workload.MaxValueBytes, settings.Command.MaxValueBytes = s.MaxValueBytes, s.MaxValueBytes
	settings.Scheduler.Workload.ProgressByMarks = progressByMarks
	settings.Scheduler.Workload.MaxLease = s.Bounds.MaxWorkerLease
	settings.Leader.Capacity, settings.Leader.Link, settings.Leader.MemoryMb = s.Capacity, s.Link, s.MemoryBytes>>20
	carrier := budget.Host{Cores: s.Capacity, Link: s.Link, Memory: budget.Bytes(s.MemoryBytes)}
	settings.Scheduler.Host, settings.Fleet.Host = carrier, carrier
	settings.Scheduler.StartTimeout += carrier.CallSlack()
	settings.Scheduler.StopTimeout += carrier.CallSlack()
	settings.Scheduler.HoldSlack += carrier.CallSlack()
	// A write that only queues at the link must not be sent again: each copy takes a share of the link, and the answer to the second one
	// repeats every record that it names.
	settings.Scheduler.Commit.Delay += carrier.CallSlack()
	settings.Scheduler.Commit.Timeout += carrier.CallSlack()
	settings.Scheduler.OverlapAfter += carrier.CallSlack()
	settings.Command.AdmissionTimeout += carrier.CallSlack()
	// A renewal queues at the link behind the pages of the lists that a new leader reads.
	settings.Leader.Lease += carrier.PageTime()
	settings.Leader.CallTimeout += carrier.PageTime()
	settings.Leader.RenewInterval = max(settings.Leader.RenewInterval, settings.Leader.Lease/renewalsPerLease)
	if s.Link > 0 {
		settings.Scheduler.MaxConcurrentStarts = max(minConcurrentStarts, int(min(startsPerMegabit*s.Link, maxConcurrentStarts)))
	}
	settings.Fleet.TakeoverDelay, settings.Fleet.MinOrderDuration = s.Bounds.HostOrderLease, s.Bounds.MinHostOrderTime
	settings.Fleet.Plan.Lookahead = s.Bounds.HostMoveTime + settings.Fleet.Interval
	return settings
}

// join runs an entry host on the platform until ctx ends; onFault handles the failure of one of its background parts.
func join(
	ctx context.Context, file string, s platform.Settings, progressByMarks, teamAdmission bool, limits *clientLimits, root zerolog.Logger,
	metrics *jobmetrics.Metrics, onFault rungroup.Handler,
) int {
	log := logging.For(root, "join")
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
	debug.SetGCPercent(gcPercent)
	listeners, err := listenAll(s.Peers, s.Callers, s.Balancer)
	if err != nil {
		log.Error().Err(err).Msg("cannot listen; exiting")
		return exitFailure
	}
	peers, callers := limits.peers(listeners[0], limits.limits.Calls, false), limits.http(listeners[1], "callers", limits.limits.Callers)
	balancer := limits.http(listeners[2], "balancer", limits.limits.Balancer)
	limits.addGauges(metrics, callers)
	answers := platform.WithAnswers(limits.answers)
	store := platform.NewStore(s.Store, answers)
	defer store.Close()
	fleet := platform.NewFleet(s.Fleet, s.EntryID, answers)
	defer fleet.Close()
	adviser := platform.NewAdviser(s.Adviser, answers)
	defer adviser.Close()
	settings := hostSettings(s, progressByMarks)
	settings.Scheduler.TeamAdmission = teamAdmission
	host := jobhost.New(jobhost.Deps{
		Clock: jaybarrow.SystemClock{}, Log: root, Entry: s.EntryID, Peers: peers, Settings: settings, Metrics: metrics,
		OnFault: onFault, LiveMemory: liveMemory,
		OnLead: func(leads bool) {
			if leads {
				debug.SetGCPercent(leaderGCPercent)
			} else {
				debug.SetGCPercent(gcPercent)
			}
		},
		Platform: jobhost.Platform{
			Store: store, Register: platform.NewRegister(logging.For(root, "register"), store),
			Operators: platform.NewOperators(logging.For(root, "operators"), store), Agents: platform.NewAgents(answers), Fleet: fleet, Adviser: adviser,
		},
	})
	front := platform.NewFront(logging.For(root, "front"), callers, balancer, host, metrics, onFault)
	log.Info().Str("entry", string(s.EntryID)).Str("callers", string(s.Callers)).Str("version", version).Msg("joined")
	recheckOnHangup(ctx, file, log)
	log.Info().Msg("stopping")
	exitOnSecondSignal(log)
	host.Leave()
	<-time.After(drainDelay)
	closeCtx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err = front.Close(closeCtx)
	host.Close()
	if err != nil {
		log.Warn().Err(err).Msg("stopped before all open requests had finished")
		return exitFailure
	}
	log.Info().Msg("stopped")
	return exitOK
}

// recheckOnHangup reads the settings file again at each SIGHUP until ctx ends and logs its faults. A running process keeps the
// settings of its start, so this only reports what the next start would find.
func recheckOnHangup(ctx context.Context, file string, log zerolog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		_, faults := platform.ReadSettings(file)
		log.Info().Err(errors.Join(faults...)).Msg("settings read again")
	}
}

// listenAll listens on all addresses; on an error it leaves no listener open.
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

// liveMemory returns the size of the data that the last garbage collection found in use.
func liveMemory() budget.Bytes {
	sample := []runtimemetrics.Sample{{Name: "/gc/heap/live:bytes"}}
	runtimemetrics.Read(sample)
	if sample[0].Value.Kind() != runtimemetrics.KindUint64 {
		return 0
	}
	return budget.Bytes(sample[0].Value.Uint64())
}

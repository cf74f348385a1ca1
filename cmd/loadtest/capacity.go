package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/launch"
)

// capacityTest sets up a test that measures the resources that idle entry hosts use for control traffic, for each number of entry
// hosts and each scale of the configuration.
func capacityTest(flags *flag.FlagSet, o *options) func(io.Writer) error {
	nodes := flags.String("nodes", "3,9,18,36", "numbers of entry hosts")
	scales := flags.String("scales", "1", "scales of the records; 1 means 16 teams, 5 pools and 58 hosts")
	seconds := flags.Int("seconds", 20, "length of each measurement in seconds")
	settle := flags.Int("settle", 15, "seconds between the configuration and the measurement")
	dataCentres := flags.Int("dataCentres", 3, "number of data centres")
	return func(out io.Writer) error {
		fmt.Fprintln(out, "nodes  scale  core %  resident MB  KB/s  store calls/s  by kind")
		for _, n := range parseNumbers(*nodes) {
			for _, scale := range parseNumbers(*scales) {
				plan := launch.Plan{
					ProgramDir: o.programs, SettingsDir: o.scratch, Log: os.Stderr, DataCentres: *dataCentres, Entries: n,
					Records: 58 * scale, Pools: 5 * scale, Teams: 16 * scale, Limit: 64,
				}
				m, err := measureIdle(plan, time.Duration(*settle)*time.Second, time.Duration(*seconds)*time.Second)
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "%5d  %5d  %6.2f  %11.1f  %4.2f  %13.2f  %s\n", n, scale,
					m.processor*100, m.resident/1e6, m.bytes/1e3, m.calls, m.kinds)
			}
		}
		return nil
	}
}

// parseNumbers parses a comma-separated list such as "3,9" and skips items that are not numbers.
func parseNumbers(list string) []int {
	var all []int
	for _, text := range strings.Split(list, ",") {
		if n, err := strconv.Atoi(text); err == nil {
			all = append(all, n)
		}
	}
	return all
}

// idleUsage is the mean resource usage of an idle entry host.
type idleUsage struct {
	processor float64 // fraction of one core
	resident  float64 // bytes of memory
	bytes     float64 // per second on the loopback interface, headers included, divided by the number of entry hosts
	calls     float64 // store calls per second
	kinds     string  // rate of store calls by kind
}

// measureIdle starts a fleet, waits until it has settled, and measures it for the duration.
func measureIdle(plan launch.Plan, settle, duration time.Duration) (idleUsage, error) {
	fleet, err := launch.New(plan)
	if err != nil {
		return idleUsage{}, err
	}
	defer fleet.Close()
	time.Sleep(settle)
	before, err := readFleetUsage(fleet)
	if err != nil {
		return idleUsage{}, err
	}
	time.Sleep(duration)
	after, err := readFleetUsage(fleet)
	if err != nil {
		return idleUsage{}, err
	}
	ratePerNode := func(x float64) float64 { return x / float64(plan.Entries) / duration.Seconds() }
	m := idleUsage{
		processor: ratePerNode((after.processor - before.processor).Seconds()),
		resident:  float64(after.resident) / float64(plan.Entries),
		bytes:     ratePerNode(float64(after.loopback - before.loopback)),
	}
	for _, kind := range slices.Sorted(maps.Keys(after.calls)) {
		rate := ratePerNode(float64(after.calls[kind] - before.calls[kind]))
		m.calls += rate
		m.kinds += fmt.Sprintf("%s %.2f ", kind, rate)
	}
	return m, nil
}

// fleetUsage is the resource usage of all entry hosts together since their start.
type fleetUsage struct {
	processor time.Duration
	resident  int64            // bytes of memory
	loopback  int64            // bytes sent on the loopback interface
	calls     map[string]int64 // store calls by kind
}

func readFleetUsage(fleet *launch.Fleet) (fleetUsage, error) {
	usage := fleetUsage{}
	for _, e := range fleet.Entries {
		u, err := e.Usage()
		if err != nil {
			return usage, err
		}
		usage.processor += u.CPUTime
		usage.resident += u.ResidentBytes
	}
	var err error
	if usage.calls, err = storeCalls(fleet.Control); err != nil {
		return usage, err
	}
	usage.loopback, err = loopbackBytes()
	return usage, err
}

// storeCalls reads the number of calls of each kind from the store's control address.
func storeCalls(control jaybarrow.Address) (map[string]int64, error) {
	response, err := http.Get("http://" + string(control) + "/control/calls")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	calls := make(map[string]int64)
	return calls, json.NewDecoder(response.Body).Decode(&calls)
}

// loopbackBytes returns the bytes that the loopback interface has sent, headers and acknowledgements included. The counter covers
// every process in the network namespace, so the test must run in a namespace of its own.
func loopbackBytes() (int64, error) {
	data, err := os.ReadFile("/proc/self/net/dev")
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		name, counters, ok := strings.Cut(line, ":")
		fields := strings.Fields(counters)
		const sent = 8
		if ok && strings.TrimSpace(name) == "lo" && len(fields) > sent {
			return strconv.ParseInt(fields[sent], 10, 64)
		}
	}
	return 0, fmt.Errorf("no loopback interface in /proc/self/net/dev")
}

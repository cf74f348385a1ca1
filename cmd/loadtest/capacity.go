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

// capacityTest measures what idle entry hosts spend on control, for each number of nodes and each scale of the records.
func capacityTest(flags *flag.FlagSet, c *common) func(io.Writer) error {
	nodes := flags.String("nodes", "3,9,18,36", "numbers of entry hosts")
	scales := flags.String("scales", "1", "scales of the records; 1 means 16 teams, 5 pools and 58 hosts")
	seconds := flags.Int("seconds", 20, "time of each measurement")
	settle := flags.Int("settle", 15, "seconds between the configuration and the measurement")
	dataCentres := flags.Int("dataCentres", 3, "number of data centres")
	return func(out io.Writer) error {
		fmt.Fprintln(out, "nodes  scale  core %  resident MB  KB/s  store calls/s  by kind")
		for _, n := range numbers(*nodes) {
			for _, scale := range numbers(*scales) {
				plan := launch.Plan{
					ProgramDir: c.programs, SettingsDir: c.scratch, Log: os.Stderr, DataCentres: *dataCentres, Entries: n,
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

// numbers reads a list such as "3,9"; what is no number is left out.
func numbers(list string) []int {
	var all []int
	for _, text := range strings.Split(list, ",") {
		if n, err := strconv.Atoi(text); err == nil {
			all = append(all, n)
		}
	}
	return all
}

// idle is the use of one entry host, on average.
type idle struct {
	processor float64 // of one core
	resident  float64 // bytes
	bytes     float64 // a second, on the loopback interface with all headers, divided by the entry hosts
	calls     float64 // of the store, a second
	kinds     string
}

func measureIdle(plan launch.Plan, settle, duration time.Duration) (idle, error) {
	fleet, err := launch.New(plan)
	if err != nil {
		return idle{}, err
	}
	defer fleet.Close()
	time.Sleep(settle)
	before, err := observe(fleet)
	if err != nil {
		return idle{}, err
	}
	time.Sleep(duration)
	after, err := observe(fleet)
	if err != nil {
		return idle{}, err
	}
	perNode := func(x float64) float64 { return x / float64(plan.Entries) / duration.Seconds() }
	m := idle{
		processor: perNode((after.processor - before.processor).Seconds()),
		resident:  float64(after.resident) / float64(plan.Entries),
		bytes:     perNode(float64(after.loopback - before.loopback)),
	}
	for _, kind := range slices.Sorted(maps.Keys(after.calls)) {
		rate := perNode(float64(after.calls[kind] - before.calls[kind]))
		m.calls += rate
		m.kinds += fmt.Sprintf("%s %.2f ", kind, rate)
	}
	return m, nil
}

// observation is what all entry hosts together have used so far.
type observation struct {
	processor time.Duration
	resident  int64
	loopback  int64
	calls     map[string]int64
}

func observe(fleet *launch.Fleet) (observation, error) {
	o := observation{}
	for _, e := range fleet.Entries {
		u, err := e.Usage()
		if err != nil {
			return o, err
		}
		o.processor += u.CPUTime
		o.resident += u.ResidentBytes
	}
	var err error
	if o.calls, err = storeCalls(fleet.Control); err != nil {
		return o, err
	}
	o.loopback, err = loopbackBytes()
	return o, err
}

func storeCalls(control jaybarrow.Address) (map[string]int64, error) {
	response, err := http.Get("http://" + string(control) + "/control/calls")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	calls := make(map[string]int64)
	return calls, json.NewDecoder(response.Body).Decode(&calls)
}

// loopbackBytes returns what the loopback interface has sent, with all headers and acknowledgements. It counts every process
// of the network namespace, so the test must have one of its own.
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

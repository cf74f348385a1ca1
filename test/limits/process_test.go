package limits_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jaybarrow/jaybarrow/internal/standin/site"
)

// waitTimeout bounds every wait of a test. It is long, so that a test fails only on a condition that never holds, not on a slow
// machine.
const waitTimeout = 60 * time.Second

// programDir is the directory with the built programs.
var programDir string

func TestMain(m *testing.M) {
	code, err := withPrograms(m.Run)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// withPrograms builds the programs into a temporary directory and runs the tests.
func withPrograms(run func() int) (int, error) {
	dir, err := os.MkdirTemp("", "jaybarrow-limits-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	programDir = dir
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../../cmd/jaybarrow", "../../cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		return 0, fmt.Errorf("build the programs: %w\n%s", err, out)
	}
	return run(), nil
}

// process is a program that a test started, with the bounds that it must keep.
type process struct {
	t                 *testing.T
	cmd               *exec.Cmd
	logPath           string
	exited            chan struct{}
	maxResidentMB     int
	maxDescriptors    int
	answersOrdinarily func() error // sends an ordinary request
}

// startCommand starts a command whose output goes to a file; the end of the file is logged when the test fails.
func startCommand(t *testing.T, name string, args ...string) *process {
	t.Helper()
	log, err := os.CreateTemp(t.TempDir(), "*.log")
	assert.NilError(t, err)
	p := &process{t: t, cmd: exec.Command(name, args...), logPath: log.Name(), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	assert.NilError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("end of the log of %s:\n%s", name, p.log())
		}
		_ = p.cmd.Process.Kill()
		<-p.exited
	})
	return p
}

func (p *process) ended() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// log returns the end of the log file.
func (p *process) log() string {
	data, _ := os.ReadFile(p.logPath)
	const maxBytes = 3000
	if len(data) > maxBytes {
		data = data[len(data)-maxBytes:]
	}
	return string(data)
}

// peakResidentMB returns the largest resident memory of the process so far.
func (p *process) peakResidentMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	assert.NilError(p.t, err)
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			assert.NilError(p.t, err)
			return kilobytes >> 10
		}
	}
	p.t.Fatalf("no resident memory in %q", data)
	return 0
}

// descriptors returns the number of open descriptors of the process.
func (p *process) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	assert.NilError(p.t, err)
	return len(entries)
}

// check checks that the process lives, keeps its bounds and answers an ordinary request; when names the moment in messages.
func (p *process) check(when string) {
	p.t.Helper()
	if p.ended() {
		p.t.Fatalf("%s: the process has ended: %s", when, p.cmd.ProcessState)
	}
	descriptors := p.descriptors()
	p.t.Logf("%s: peak of resident memory %d MB, %d descriptors", when, p.peakResidentMB(), descriptors)
	assert.Check(p.t, descriptors <= p.maxDescriptors, "%s: %d descriptors, at most %d are allowed", when, descriptors, p.maxDescriptors)
	p.awaitOrdinaryAnswer(when)
	resident := p.peakResidentMB()
	assert.Check(p.t, resident <= p.maxResidentMB, "%s: %d MB resident, at most %d are allowed", when, resident, p.maxResidentMB)
}

// awaitOrdinaryAnswer waits until an ordinary request is answered.
func (p *process) awaitOrdinaryAnswer(when string) {
	p.t.Helper()
	poll.WaitOn(p.t, func(poll.LogT) poll.Result {
		if p.ended() {
			return poll.Error(fmt.Errorf("%s: the process has ended: %s", when, p.cmd.ProcessState))
		}
		if err := p.answersOrdinarily(); err != nil {
			return poll.Continue("%s: %v", when, err)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(100*time.Millisecond))
}

// The limits that the tests put into the settings of `jaybarrow join`; they are also the bounds of the checks.
const (
	joinMemoryMB = 184
	joinMaxFDs   = 1000
)

// The limits of the configuration that a well-behaved client keeps.
const (
	maxBodyBytes   = 262_144
	maxHeaderBytes = 16_384
)

// joined is an entry host that was started by `jaybarrow join`.
type joined struct {
	*process
	callers, balancer, metrics, peers string // addresses
	site                              *site.Site
	lastJob                           int
}

// platformAddresses are the addresses of the platform that an entry host uses.
type platformAddresses struct{ store, fleet string }

// startJoined starts an entry host against a stand-in for the platform. A nil change leaves the stand-in's addresses as they are.
func startJoined(t *testing.T, change func(*platformAddresses)) *joined {
	t.Helper()
	s := site.New(site.Settings{
		Pools:   map[string]int{"desk": 2},
		Queues:  []site.Queue{{Name: "match", Host: "desk.example", Prefix: "/match/", Pool: "desk", MaxAttempts: 3}},
		Tenants: []site.Tenant{{Name: "trail", Keys: []string{"key-1"}}},
		Limits: map[string]int{
			"max_body_bytes": maxBodyBytes, "max_header_bytes": maxHeaderBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
	t.Cleanup(s.Close)
	addresses := platformAddresses{store: s.StoreAddress(), fleet: s.FleetAddress()}
	if change != nil {
		change(&addresses)
	}
	// A loopback address that no other test process uses.
	ip := fmt.Sprintf("127.101.%d.%d", os.Getpid()/250%250, 1+os.Getpid()%250)
	file := filepath.Join(t.TempDir(), "boot.toml")
	assert.NilError(t, os.WriteFile(file, fmt.Appendf(nil, `
node = "front-1"
ip = %[1]q
zone = "north"
port_range = [7000, 7015]
control_mode = "rpc"
[listen]
front = "%[1]s:8340"
ready = "%[1]s:8343"
[limits]
cpu_share = 1.0
cores = 1
memory_mb = %[4]d
max_fds = %[5]d
[platform]
address = %[2]q
form = "kv"
[cloud]
address = %[3]q
[bounds]
config_ms = 2000
outer_ms = 5000
hold_max_ms = 10000
lease_ms = 1000
`, ip, addresses.store, addresses.fleet, joinMemoryMB, joinMaxFDs), 0o600))
	j := &joined{
		process: startCommand(t, filepath.Join(programDir, "jaybarrow"), "join", "-settings", file, "-log", "warn", "-metrics", "8344"),
		callers: ip + ":8340", balancer: ip + ":8343", metrics: ip + ":8344", peers: ip + ":7000", site: s,
	}
	j.maxResidentMB, j.maxDescriptors = joinMemoryMB, joinMaxFDs
	j.answersOrdinarily = func() error {
		if err := j.submitOrdinary(""); err != nil {
			return err
		}
		for _, url := range []string{j.balancer + "/ready", j.metrics + "/metrics"} {
			if err := getOrdinary("http://" + url); err != nil {
				return err
			}
		}
		return nil
	}
	j.awaitOrdinaryAnswer("at the start")
	return j
}

// ordinaryClient returns an HTTP client that keeps no connections.
func ordinaryClient() *http.Client {
	return &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
}

// submitOrdinary submits a small job under a new id with an extra header of the given value; an error means that it was not accepted.
func (j *joined) submitOrdinary(extra string) error {
	j.lastJob++
	body := strings.NewReader(`{"spec":"1ms","steps":[{"replicas":1,"cpu":100,"estimate_ms":1}]}`)
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/match/%016x", j.callers, j.lastJob), body)
	if err != nil {
		return err
	}
	request.Host = "desk.example"
	request.Header.Set("Jaybarrow-Credential", "key-1")
	if extra != "" {
		request.Header.Set("X-Extra", extra)
	}
	return send(request)
}

func getOrdinary(url string) error {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	return send(request)
}

// send sends the request; an error means that there was no complete answer with status 200.
func send(request *http.Request) error {
	response, err := ordinaryClient().Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", request.URL, response.StatusCode)
	}
	return nil
}

// The bounds of `jaybarrow serve`: the defaults of its settings for a process with this limit on descriptors.
const (
	serveMemoryMB       = 256
	serveMaxDescriptors = 1000
)

// served is an entry host that was started by `jaybarrow serve`.
type served struct {
	*process
	callers, peers string
}

// startServed starts an entry host against the stand-in for the store.
func startServed(t *testing.T) *served {
	t.Helper()
	reader, writer, err := os.Pipe()
	assert.NilError(t, err)
	defer reader.Close()
	store := exec.Command(filepath.Join(programDir, "standin"), "store", "-listen", "127.0.0.1:0", "-lag", "500ms", "-reboot", "1s")
	store.Stdout = writer
	assert.NilError(t, store.Start())
	t.Cleanup(func() {
		_ = store.Process.Kill()
		_ = store.Wait()
	})
	_ = writer.Close()
	line, err := bufio.NewReader(reader).ReadBytes('\n')
	assert.NilError(t, err)
	var addresses struct{ Listen string }
	assert.NilError(t, json.Unmarshal(line, &addresses))
	ip := fmt.Sprintf("127.102.%d.%d", os.Getpid()/250%250, 1+os.Getpid()%250)
	s := &served{callers: ip + ":8080", peers: ip + ":8081"}
	file := filepath.Join(t.TempDir(), "entry.ini")
	assert.NilError(t, os.WriteFile(file, fmt.Appendf(nil,
		"[entry]\nid = entry-1\ndataCentre = north\ncallerAddress = %s\npeerAddress = %s\n[platform]\nstoreAddress = %s\n",
		s.callers, s.peers, addresses.Listen), 0o600))
	// The shell lowers its own limit on descriptors, which the program inherits.
	s.process = startCommand(t, "sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$@"`, serveMaxDescriptors), "sh",
		filepath.Join(programDir, "jaybarrow"), "serve", "-settings", file)
	s.maxResidentMB, s.maxDescriptors = serveMemoryMB, serveMaxDescriptors
	s.answersOrdinarily = func() error { return getOrdinary("http://" + s.callers + "/healthz") }
	s.awaitOrdinaryAnswer("at the start")
	return s
}

// dial connects to the address.
func dial(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, waitTimeout) }

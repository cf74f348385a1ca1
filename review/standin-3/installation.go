package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

const holdMaxMs = 10_000

// installation is a small deployment of the project on a stand-in of the platform.
type installation struct {
	dir     string
	store   *store
	workers []*worker // the first ones, one on each machine
	hosts   []*host
	cloudOf *cloud
	client  *http.Client

	lock   sync.Mutex
	record io.Writer
	since  time.Time
	runs   map[string][]*run // by submission
}

// host is a machine that runs the role of the deploy file.
type host struct {
	site     *installation
	name, ip string
	zone     string
	lock     sync.Mutex
	process  *exec.Cmd
	stopped  bool
	down     time.Duration // before the process is started again
}

// pool is a service and its machines.
type pool struct {
	name     string
	machines int
}

func newInstallation(record io.Writer, hosts int, pools []pool, capacity amounts) (*installation, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &installation{
		dir: dir, record: record, since: time.Now(), runs: make(map[string][]*run),
		client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	if s.store, err = newStore(); err != nil {
		return nil, err
	}
	if s.cloudOf, err = newCloud(s); err != nil {
		return nil, err
	}
	routes, services := []any{}, []any{}
	for _, p := range pools {
		routes = append(routes, map[string]any{
			"name": "to-" + p.name, "host": p.name + ".example", "prefix": "/match/", "service": p.name, "priority": 0, "max_attempts": 3, "stretch": 1.6,
			"slo_ms": 600, "timeout_ms": 3000,
		})
		services = append(services, map[string]any{"name": p.name, "enforces_capacity": true})
	}
	s.store.put("op/config", map[string]any{
		"version":  3,
		"routes":   routes,
		"services": services,
		"limits":   map[string]any{"max_body_bytes": 262144},
		"tenants": []any{map[string]any{
			"name": "trail", "api_keys": []string{"key-1"}, "weight": 100.0, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpu": 0},
		}},
	})
	for _, p := range pools {
		for range p.machines {
			w, err := s.cloudOf.add(p.name, capacity)
			if err != nil {
				return nil, err
			}
			s.workers = append(s.workers, w)
		}
	}
	pid := os.Getpid()
	for n := range hosts {
		s.hosts = append(s.hosts, &host{
			site: s, name: fmt.Sprintf("front-%d", n+1), ip: fmt.Sprintf("127.%d.%d.%d", 100+n, pid/250%250, 1+pid%250), zone: "north", down: time.Second,
		})
	}
	return s, nil
}

// note writes a line to the record.
func (s *installation) note(format string, args ...any) {
	s.lock.Lock()
	defer s.lock.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.since).Seconds(), fmt.Sprintf(format, args...))
}

func (s *installation) begin(r *run) {
	s.lock.Lock()
	defer s.lock.Unlock()
	id, _, _ := strings.Cut(r.task, ".")
	s.runs[id] = append(s.runs[id], r)
}

// begun reports whether a work unit of the submission has begun.
func (s *installation) begun(id string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return len(s.runs[id]) > 0
}

// settings is the settings file of a machine, in the form of the platform's page.
const settings = `node = %[1]q
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = %[2]q
zone = %[3]q
region = "dk-vest"
port_range = [7000,7015]
seeds = ["%[2]s:8345"]
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","upkeep","sharing"]
control_mode = "rpc"
[zones]
north = "dk-vest"
[listen]
front = "%[2]s:8340"
ready = "%[2]s:8343"
control = "%[2]s:8345"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
lost_ms = 200
config_ms = 2000
back_ms = 250
outer_ms = 5000
recover_s = 12
hold_max_ms = 10000
stop_ms = 200
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
far_x = 2
save_s = 1
restore_ms = 100
notice_ms = 4500
move_s = 1.5
upkeep_s = 2
fencing = false
lease_ms = 3000
thaw_ms = 300
pace_ms = 100
harm_ms = 4000
[platform]
address = %[4]q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
[cloud]
address = %[5]q
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
`

// start starts the process and starts it again after it has ended, as the platform does.
func (h *host) start() error {
	file := filepath.Join(h.site.dir, h.name+".toml")
	if err := os.WriteFile(file, []byte(fmt.Sprintf(settings, h.name, h.ip, h.zone, h.site.store.address, h.site.cloudOf.address)), 0o600); err != nil {
		return err
	}
	return h.launch(file)
}

func (h *host) launch(file string) error {
	out, err := os.OpenFile(filepath.Join(h.site.dir, h.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	p := exec.Command("target/jaybarrow", "join", "-metrics", "7001")
	p.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JAYBARROW_BOOT=" + file, "JAYBARROW_TEAM_ADMISSION=true",
	}
	p.Stdout, p.Stderr = out, out
	// The process ends with this program, also when that is killed.
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if started, err := h.startUnlessStopped(p); err != nil || !started {
		_ = out.Close()
		return err
	}
	h.site.note("%s: process started", h.name)
	ended := make(chan struct{})
	go h.limitMemory(p, ended)
	go func() {
		err := p.Wait()
		close(ended)
		_ = out.Close()
		h.site.note("%s: process ended: %v", h.name, err)
		h.lock.Lock()
		stopped, down := h.stopped, h.down
		h.lock.Unlock()
		if stopped {
			return
		}
		time.Sleep(down)
		if err := h.launch(file); err != nil {
			h.site.note("%s: process not started: %v", h.name, err)
		}
	}()
	return nil
}

// startUnlessStopped starts the process unless the installation is being closed; it reports whether it did.
func (h *host) startUnlessStopped(p *exec.Cmd) (started bool, err error) {
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.stopped {
		return false, nil
	}
	result := make(chan error)
	starts <- func() { result <- p.Start() }
	if err := <-result; err != nil {
		return false, err
	}
	h.process = p
	return true, nil
}

// starts are carried out by one thread that lasts as long as the program, since the death signal of a process is that of the thread that started it.
var starts = make(chan func())

func init() {
	go func() {
		runtime.LockOSThread()
		for start := range starts {
			start()
		}
	}()
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.site.note("%s: signal %v", h.name, s)
	_ = h.process.Process.Signal(s)
}

// close ends all processes.
func (s *installation) close() {
	for _, h := range s.hosts {
		h.lock.Lock()
		h.stopped = true
		if h.process != nil {
			_ = h.process.Process.Kill()
		}
		h.lock.Unlock()
	}
	time.Sleep(200 * time.Millisecond)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", s.dir)
	}
}

// ready reports whether the host answers the balancer with 200.
func (h *host) ready() bool {
	r, err := h.site.client.Get("http://" + h.ip + ":8343/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until every host is ready.
func (s *installation) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, h := range s.hosts {
			if h.ready() {
				n++
			}
		}
		if n == len(s.hosts) {
			return nil
		}
	}
	return fmt.Errorf("not all hosts are ready")
}

// call sends a caller's request and returns the status and the body; status 0 stands for no answer.
func (h *host) call(method, path, body string) (status int, answer string) {
	return h.callAt("desk.example", method, path, body)
}

// callAt is call at another host name.
func (h *host) callAt(name, method, path, body string) (status int, answer string) {
	status, answer, _ = h.callAgain(name, method, path, body)
	return status, answer
}

// callAgain is call and returns also when the caller may come again.
func (h *host) callAgain(name, method, path, body string) (status int, answer string, again time.Duration) {
	r, err := http.NewRequest(method, "http://"+h.ip+":8340"+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error(), 0
	}
	r.Host = name
	r.Header.Set("Jaybarrow-Credential", "key-1")
	r.Header.Set("Jaybarrow-Deadline-Ms", "3000")
	out, err := h.site.client.Do(r)
	if err != nil {
		return 0, err.Error(), 0
	}
	defer out.Body.Close()
	data, err := io.ReadAll(out.Body)
	if err != nil {
		return 0, err.Error(), 0
	}
	return out.StatusCode, strings.TrimSpace(string(data)), time.Duration(number(out.Header.Get("Retry-After"))) * time.Second
}

// leader returns the host that wrote the last fence, by the leader's record; nil when there is none. Only the choice of the process to disturb
// depends on it.
func (s *installation) leader() *host {
	value := string(s.store.get("jaybarrow-jobs/leader"))
	for _, h := range s.hosts {
		if strings.Contains(value, `"`+h.name+`"`) {
			return h
		}
	}
	return nil
}

// limitMemory kills the process when it takes more memory than the settings name, as the platform does, and notes how much it took at most.
func (h *host) limitMemory(p *exec.Cmd, ended <-chan struct{}) {
	most := 0
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ended:
			h.site.note("%s: process %d took %d MB at most", h.name, p.Process.Pid, most)
			return
		case <-tick.C:
		}
		mb := residentMB(p.Process.Pid)
		most = max(most, mb)
		if mb > memoryMB {
			h.site.note("%s: process %d takes %d MB, the limit is %d MB; the platform kills it", h.name, p.Process.Pid, mb, memoryMB)
			_ = p.Process.Kill()
			<-ended
			return
		}
	}
}

// memoryMB is memory_mb of the settings.
const memoryMB = 284

// residentMB returns the memory that a process takes, without the program's file.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kb int
		if _, err := fmt.Sscanf(line, "RssAnon: %d kB", &kb); err == nil {
			return kb >> 10
		}
	}
	return 0
}

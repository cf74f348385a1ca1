package e2e

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

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
	dir, err := os.MkdirTemp("", "jaybarrow-e2e-")
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

// process is a program that a test started.
type process struct {
	t       *testing.T
	cmd     *exec.Cmd
	logPath string // file that receives the standard error of the process
	exited  chan struct{}
}

// start starts a program. Its standard error goes to a file; when the test fails and the program has ended before the cleanup,
// the end of the file is logged. stdout may be nil.
func start(t *testing.T, name string, stdout io.Writer, args ...string) *process {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(filepath.Join(programDir, name), args...), exited: make(chan struct{})}
	log, err := os.CreateTemp(t.TempDir(), name+"-*.log")
	assert.NilError(t, err)
	p.logPath = log.Name()
	p.cmd.Stderr, p.cmd.Stdout = log, stdout
	// In the process group of the tests, a paused process would get SIGHUP from the kernel when the shell that started the
	// tests exits.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	assert.NilError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	t.Cleanup(func() {
		if t.Failed() && p.ended() {
			t.Logf("%s %v has ended: %s; end of its log:\n%s", name, args, p.cmd.ProcessState, p.log())
		}
		p.signal(syscall.SIGCONT)
		p.kill()
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

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill sends SIGKILL and waits until the process has ended.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop sends SIGTERM, which starts a graceful shutdown, and returns the exit code. The test fails after the limit.
func (p *process) stop(limit time.Duration) int {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(limit):
		p.t.Fatalf("process did not stop within %s; log:\n%s", limit, p.log())
	}
	return p.cmd.ProcessState.ExitCode()
}

// log returns the end of the log file.
func (p *process) log() string {
	data, _ := os.ReadFile(p.logPath)
	const maxBytes = 8000
	if len(data) > maxBytes {
		data = data[len(data)-maxBytes:]
	}
	return string(data)
}

// standinAddresses is the JSON line that a stand-in prints when it listens.
type standinAddresses struct {
	Listen  jaybarrow.Address `json:"listen"`
	Control jaybarrow.Address `json:"control"`
}

// startStandin starts a stand-in, waits until it listens, and returns its addresses.
func startStandin(t *testing.T, args ...string) (*process, standinAddresses) {
	t.Helper()
	reader, writer, err := os.Pipe()
	assert.NilError(t, err)
	defer reader.Close()
	p := start(t, "standin", writer, args...)
	_ = writer.Close()
	line, err := bufio.NewReader(reader).ReadBytes('\n')
	assert.NilError(t, err, "%s", p.log())
	var l standinAddresses
	assert.NilError(t, json.Unmarshal(line, &l))
	return p, l
}

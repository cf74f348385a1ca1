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

// programs is the folder of the built programs.
var programDir string

func TestMain(m *testing.M) {
	code, err := withPrograms(m.Run)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

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
	logPath string // file with the log lines
	exited  chan struct{}
}

// start runs a program; its stderr goes to a file that is shown when the test fails. stdout may be nil.
func start(t *testing.T, name string, stdout io.Writer, args ...string) *process {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(filepath.Join(programDir, name), args...), exited: make(chan struct{})}
	log, err := os.CreateTemp(t.TempDir(), name+"-*.log")
	assert.NilError(t, err)
	p.logPath = log.Name()
	p.cmd.Stderr, p.cmd.Stdout = log, stdout
	// In the group of the tests, a paused process would get SIGHUP from the kernel when the shell that started the tests ends.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	assert.NilError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	t.Cleanup(func() {
		if t.Failed() && p.ended() {
			t.Logf("%s %v had ended: %s; end of its log:\n%s", name, args, p.cmd.ProcessState, p.log())
		}
		p.signal(syscall.SIGCONT)
		p.kill()
	})
	return p
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop asks for a graceful shutdown and returns the exit code.
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

func (p *process) log() string {
	data, _ := os.ReadFile(p.logPath)
	const maxBytes = 8000
	if len(data) > maxBytes {
		data = data[len(data)-maxBytes:]
	}
	return string(data)
}

// listening is what a stand-in prints when it has started.
type standinAddresses struct {
	Listen  jaybarrow.Address `json:"listen"`
	Control jaybarrow.Address `json:"control"`
}

// startStandin runs a stand-in and returns its addresses.
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

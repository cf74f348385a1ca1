package launch

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Process is a started program.
type Process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// ListenAddresses are the addresses that a stand-in prints when it has started.
type ListenAddresses struct {
	Listen  jaybarrow.Address `json:"listen"`
	Control jaybarrow.Address `json:"control"`
}

// Start starts a program of the directory. Its log lines go to log.
func Start(directory, program string, log io.Writer, args ...string) (*Process, error) {
	return start(directory, program, nil, log, args)
}

func start(directory, program string, stdout, log io.Writer, args []string) (*Process, error) {
	p := &Process{cmd: exec.Command(filepath.Join(directory, program), args...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = stdout, log
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", program, err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// StartStandin starts a stand-in of the directory and returns its addresses. It blocks until the stand-in has printed them
// or has exited.
func StartStandin(directory string, log io.Writer, args ...string) (*Process, ListenAddresses, error) {
	var l ListenAddresses
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, l, err
	}
	defer reader.Close()
	p, err := start(directory, "standin", writer, log, args)
	_ = writer.Close()
	if err != nil {
		return nil, l, err
	}
	line, err := bufio.NewReader(reader).ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, &l)
	}
	if err != nil {
		p.Kill()
		return nil, l, fmt.Errorf("read the addresses of standin %s: %w", args[0], err)
	}
	return p, l, nil
}

// Kill sends SIGKILL to the process and blocks until it has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
}

// Usage is the resource usage of a process.
type Usage struct {
	CPUTime       time.Duration // since the start of the process
	ResidentBytes int64
}

// ticksPerSecond is the resolution of CPU times in /proc, which Linux fixes at 100 for user space.
const ticksPerSecond = 100

// Usage reads the resource usage of the process from /proc.
func (p *Process) Usage() (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return Usage{}, err
	}
	// The second field is the program name in parentheses, which may contain spaces.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	const user, system, resident = 11, 12, 21
	if len(fields) <= resident {
		return Usage{}, fmt.Errorf("/proc stat of process %d has too few fields", p.cmd.Process.Pid)
	}
	var ticks, pages int64
	for _, i := range []int{user, system} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return Usage{}, err
		}
		ticks += n
	}
	if pages, err = strconv.ParseInt(fields[resident], 10, 64); err != nil {
		return Usage{}, err
	}
	return Usage{CPUTime: time.Duration(ticks) * time.Second / ticksPerSecond, ResidentBytes: pages * int64(os.Getpagesize())}, nil
}

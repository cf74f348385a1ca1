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

// ListenAddresses is what a stand-in prints when it has started.
type ListenAddresses struct {
	Listen  jaybarrow.Address `json:"listen"`
	Control jaybarrow.Address `json:"control"`
}

// Start runs a program of the folder; its log lines go to log.
func Start(folder, program string, log io.Writer, args ...string) (*Process, error) {
	return start(folder, program, nil, log, args)
}

func start(folder, program string, stdout, log io.Writer, args []string) (*Process, error) {
	p := &Process{cmd: exec.Command(filepath.Join(folder, program), args...), exited: make(chan struct{})}
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

// StartStandin runs a stand-in and returns its addresses.
func StartStandin(folder string, log io.Writer, args ...string) (*Process, ListenAddresses, error) {
	var l ListenAddresses
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, l, err
	}
	defer reader.Close()
	p, err := start(folder, "standin", writer, log, args)
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

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
}

// Usage is a process's use of the machine since its start.
type Usage struct {
	CPUTime       time.Duration
	ResidentBytes int64 // bytes
}

// ticksPerSecond is the unit of processor time in /proc; Linux fixes it at 100 for user space.
const ticksPerSecond = 100

// Usage reads the process's use from /proc.
func (p *Process) Usage() (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return Usage{}, err
	}
	// The second field is the name in brackets and may contain blanks.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	const user, system, resident = 11, 12, 21
	if len(fields) <= resident {
		return Usage{}, fmt.Errorf("short /proc stat of %d", p.cmd.Process.Pid)
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

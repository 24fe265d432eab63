package crowd

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Limits are the limits of a process, as its settings state them.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// LeastLimits are the smallest limits that the pages of the platform name.
var LeastLimits = Limits{Cores: 0.25, MemoryMB: 80, Sockets: 1024}

const (
	// quotaPeriod is the period in which a process may use its share of a core, as a scheduler's quota has it.
	quotaPeriod = 100 * time.Millisecond
	// quotaInterval is the time between two checks of the CPU time that a process has used.
	quotaInterval = time.Millisecond
	// memoryInterval is the time between two checks of the memory that a process uses.
	memoryInterval = 20 * time.Millisecond
)

// Process is a node process whose limits are enforced: its descriptors by the kernel, its CPU time by stopping it for
// the rest of a period, and its memory by a kill as soon as it is over the limit.
type Process struct {
	*exec.Cmd
	Limits Limits
	Log    Log

	ended      chan struct{} // closed when the process has ended
	waitErr    error         // how it ended; valid once ended is closed
	overMemory atomic.Bool   // it was killed because of its memory
	peakKB     atomic.Int64  // the highest resident set seen, in KiB
}

// Log collects the output of a process. It is safe for concurrent use.
type Log struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *Log) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// String returns the output so far.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Start starts a program as the platform does, with the path of its configuration and a directory of its own. The
// process is killed when the test ends.
func Start(t testing.TB, program, configFile, directory string, limits Limits) *Process {
	t.Helper()
	return StartInheriting(t, program, configFile, directory, limits, nil)
}

// StartInheriting is like Start. The process inherits the clients' listening socket, unless that is nil.
func StartInheriting(
	t testing.TB, program, configFile, directory string, limits Limits, listener *os.File,
) *Process {
	t.Helper()
	p := &Process{Limits: limits, ended: make(chan struct{})}
	p.Cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; trap '' HUP; exec %s", limits.Sockets, program))
	p.Env = append(os.Environ(), "PROXY_CONFIG="+configFile, "TMPDIR="+directory)
	if listener != nil {
		p.ExtraFiles = []*os.File{listener}
		p.Env = append(p.Env, "PROXY_SOCKET_FD=3")
	}
	p.Stderr = &p.Log
	require.NoError(t, p.Cmd.Start())
	go func() {
		p.waitErr = p.Wait()
		close(p.ended)
	}()
	go p.enforceQuota()
	go p.enforceMemory()
	t.Cleanup(p.Kill)
	return p
}

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// ExitError returns how the process ended. It must be called only once the process has ended.
func (p *Process) ExitError() error { return p.waitErr }

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	_ = p.Process.Kill() // it may have ended
	<-p.ended
}

// OverMemory reports whether the process was killed because it used more memory than its limit.
func (p *Process) OverMemory() bool { return p.overMemory.Load() }

// PeakMB returns the highest resident set of the process so far, in MiB.
func (p *Process) PeakMB() int { return int(p.peakKB.Load() >> 10) }

// isRunning reports whether the process has not ended.
func (p *Process) isRunning() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// enforceQuota stops the process for the rest of each period in which it has used its share of a core.
func (p *Process) enforceQuota() {
	quota := time.Duration(p.Limits.Cores * float64(quotaPeriod))
	for p.isRunning() {
		periodEnd := time.Now().Add(quotaPeriod)
		begin := cpuTime(p.Process.Pid)
		for time.Now().Before(periodEnd) && cpuTime(p.Process.Pid)-begin < quota {
			time.Sleep(quotaInterval)
		}
		if rest := time.Until(periodEnd); rest > 0 && p.isRunning() {
			_ = p.Process.Signal(unix.SIGSTOP) // fails only if the process has ended
			time.Sleep(rest)
			_ = p.Process.Signal(unix.SIGCONT)
		}
	}
}

// cpuTime returns the CPU time that a process has used; 0 if it has ended.
func cpuTime(pid int) time.Duration {
	const cpuClock = 2 // the kernel's clock of the time that the scheduler has given to a process
	var used unix.Timespec
	if unix.ClockGettime(int32(^pid<<3|cpuClock), &used) != nil {
		return 0
	}
	return time.Duration(used.Nano())
}

// enforceMemory records the highest resident set, and kills the process once that is over its limit.
func (p *Process) enforceMemory() {
	for p.isRunning() {
		peak := peakResidentKB(p.Process.Pid)
		if peak > p.peakKB.Load() {
			p.peakKB.Store(peak)
		}
		if peak > int64(p.Limits.MemoryMB)<<10 {
			p.overMemory.Store(true)
			_ = p.Process.Kill()
			return
		}
		time.Sleep(memoryInterval)
	}
}

// peakResidentKB returns the highest resident set of a process since its start, in KiB; 0 if it has ended.
func peakResidentKB(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			peak, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return peak
		}
	}
	return 0
}

// AwaitReady waits until the process reports that it is healthy.
func (p *Process) AwaitReady(t testing.TB, address string, within time.Duration) {
	t.Helper()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	require.Eventually(t, func() bool {
		response, err := client.Get("http://" + address + "/_health")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, within, 10*time.Millisecond, &p.Log)
}

package upgrade

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer"
	"standpoint/internal/testpeer/crowd"
)

// Limits are those of the processes of the reported upgrades.
var Limits = crowd.Limits{Cores: 0.25, MemoryMB: 96, Sockets: 768}

const (
	// EarliestKill is the earliest time from SIGTERM to SIGKILL: the longest deadline, 3 s at most, and 0.7 s.
	EarliestKill = 3700 * time.Millisecond
	// readyTimeout is the time in which a process has to be ready.
	readyTimeout = 6 * time.Second
)

// Node is a node on the platform: the listening socket for its clients, and what each of its processes is started with.
type Node struct {
	Address string

	t         testing.TB
	listener  *net.TCPListener
	directory string
	config    map[string]any
}

// Process is one process of a node, whose limits are enforced.
type Process struct {
	*crowd.Process
	console string
}

// NewNode returns a node with these backends and additional settings. It has no process yet.
func NewNode(t testing.TB, settings map[string]any, backends ...string) *Node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	n := &Node{
		Address:   listener.Addr().String(),
		t:         t,
		listener:  listener.(*net.TCPListener),
		directory: t.TempDir(),
	}
	list := endpointList(backends)
	discovery := testpeer.StartBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") == "1" {
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, list)
	})
	n.config = testpeer.PlatformConfig(n.Address, discovery, map[string]any{
		"limits": Limits, "known": json.RawMessage(list)})
	maps.Copy(n.config["settings"].(map[string]any), settings)
	return n
}

// endpointList returns the list of these backends as discovery answers it.
func endpointList(backends []string) string {
	var hosts []string
	for i, address := range backends {
		hosts = append(hosts, fmt.Sprintf(
			`{"host":"s%d","dial":%q,"site":"a","class":"m","health":"ready","share":1}`, i, address))
	}
	return fmt.Sprintf(`{"seq":1,"whole":true,"hosts":[%s]}`, strings.Join(hosts, ","))
}

// BlockListener makes the clients' listening socket a blocking one for all processes that have it, as the start of a
// process does that inherits it. A process that starts makes it a non-blocking one again.
func (n *Node) BlockListener() {
	n.t.Helper()
	socket, err := n.listener.File()
	require.NoError(n.t, err)
	_ = socket.Fd() // os.File.Fd has this effect
	require.NoError(n.t, socket.Close())
}

// Start starts a process of the node and waits until it is ready.
func (n *Node) Start(program string) *Process {
	n.t.Helper()
	p := &Process{console: testpeer.FreeAddress(n.t)}
	n.config["console"] = p.console
	raw, err := json.Marshal(n.config)
	require.NoError(n.t, err)
	file := filepath.Join(n.t.TempDir(), "config.json")
	require.NoError(n.t, os.WriteFile(file, raw, 0o600))
	socket, err := n.listener.File()
	require.NoError(n.t, err)
	defer func() { _ = socket.Close() }()
	p.Process = crowd.StartInheriting(n.t, program, file, n.directory, Limits, socket)
	require.Eventually(n.t, p.isReady, readyTimeout, 5*time.Millisecond, &p.Log)
	return p
}

// isReady reports whether the console of the process says so.
func (p *Process) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + p.console + "/ops/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitKill kills the process after a time, unless it ends before, and returns when it has ended.
func (p *Process) AwaitKill(after time.Duration) {
	select {
	case <-p.Ended():
	case <-time.After(after):
		p.Kill()
	}
}

// HoldUp stops the process for a time, as a machine that has no time for it.
func (p *Process) HoldUp(duration time.Duration) {
	_ = p.Process.Process.Signal(syscall.SIGSTOP) // fails only if the process has ended
	time.Sleep(duration)
	_ = p.Process.Process.Signal(syscall.SIGCONT) // as above
}

// LogLines returns the lines of the process's output that contain a text.
func (p *Process) LogLines(text string) []string {
	var lines []string
	for line := range strings.Lines(p.Log.String()) {
		if strings.Contains(line, text) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

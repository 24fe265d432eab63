package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer"
	"standpoint/internal/testpeer/drain"
)

const (
	drainGrace   = 500 * time.Millisecond // maximum time from a notification until the last request to the backend
	socketsSlack = 50 * time.Millisecond  // added to every time limit, as the test runs on real sockets
)

// drainFleet is a fleet of node processes with emulated discovery servers, backends and clients.
type drainFleet struct {
	t             *testing.T
	program       string
	mode          string // the discovery mode of the nodes: on_request or pushed
	rng           *rand.Rand
	record        *drain.Record
	hosts         []drain.Host
	first, second *drain.Discovery
	nodes         []*drainNode
	clients       sync.WaitGroup
	stop          chan struct{}
}

// drainNode is one node. It may run as several processes, one after another.
type drainNode struct {
	name, listen, file, dir string
	first, second           string // addresses at which it calls the two discovery servers
	process                 *exec.Cmd
	output                  *processLog
}

// newDrainFleet returns a fleet of nodes that are not started yet. port is the port of every node's listener.
func newDrainFleet(t *testing.T, program, mode string, port int, seed uint64, nodes, backends int) *drainFleet {
	f := &drainFleet{t: t, program: program, mode: mode, rng: rand.New(rand.NewPCG(seed, 34)),
		stop: make(chan struct{})}
	f.record = drain.NewRecord(f.stop)
	for i := range backends {
		name := fmt.Sprint("s", i)
		f.hosts = append(f.hosts, drain.Host{Host: name, Dial: drain.StartBackend(t, name, f.record), Site: "a",
			Class: "m", Health: "ready", Share: 1})
	}
	f.first = drain.NewDiscovery(t, f.record, 41, f.hosts)
	f.second = drain.NewDiscovery(t, f.record, 7, f.hosts) // its versions are independent of the first's, and lower
	for i := range nodes {
		n := &drainNode{name: fmt.Sprint("n", i), listen: processAddress(i, port), dir: t.TempDir(), output: &processLog{}}
		n.file = filepath.Join(n.dir, "config.json")
		n.first, n.second = f.first.Listen(n.name), f.second.Listen(n.name)
		f.nodes = append(f.nodes, n)
	}
	return f
}

// processAddress returns a listen address for a node that is unique to this test process. On an address that is merely
// free at the moment, a node of another test run with the same name might listen, and its requests would be counted as
// this one's.
func processAddress(node, port int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>8&63, pid&255, 1+node, port)
}

// configure writes a node's configuration, with the first list as its initial one.
func (f *drainFleet) configure(n *drainNode, discovery string) {
	known, err := json.Marshal(map[string]any{"seq": 41, "whole": true, "hosts": f.hosts})
	require.NoError(f.t, err)
	config := platformConfig(n.listen, discovery, map[string]any{"known": json.RawMessage(known)})
	config["settings"].(map[string]any)["balancers"] = len(f.nodes)
	config["settings"].(map[string]any)["discovery"] = f.mode
	raw, err := json.Marshal(config)
	require.NoError(f.t, err)
	require.NoError(f.t, os.WriteFile(n.file+".new", raw, 0o600))
	require.NoError(f.t, os.Rename(n.file+".new", n.file))
}

// start starts a process of node n.
func (f *drainFleet) start(n *drainNode) {
	n.process = exec.Command("/bin/sh", "-c", "trap '' HUP; exec "+f.program)
	n.process.Env = append(os.Environ(), "PROXY_CONFIG="+n.file, "TMPDIR="+n.dir)
	n.process.Stderr = n.output
	f.record.Started(n.name, time.Now())
	require.NoError(f.t, n.process.Start())
}

// kill kills the process of node n.
func (f *drainFleet) kill(n *drainNode) {
	_ = n.process.Process.Kill()
	_ = n.process.Wait()
}

// run starts all nodes, and for each a client that sends one request after another until the test ends.
func (f *drainFleet) run() {
	for _, n := range f.nodes {
		f.configure(n, n.first)
		f.first.Attach(n.name, time.Now())
		f.start(n)
	}
	f.t.Cleanup(func() {
		for _, n := range f.nodes {
			f.kill(n)
		}
	})
	for _, n := range f.nodes {
		f.clients.Go(func() { f.client(n) })
	}
}

// client sends requests to node n, 60 ms apart, until the test ends.
func (f *drainFleet) client(n *drainNode) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for number := 0; ; number++ {
		select {
		case <-f.stop:
			return
		case <-time.After(60 * time.Millisecond):
		}
		response, err := client.Do(testpeer.ChatRequest(f.t, n.listen, drain.TraceID(n.name, number), "1500m"))
		if err != nil {
			continue // the node has not started yet, or was killed
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
}

// reload switches the nodes to the second discovery server by SIGHUP, one after another in random order, in the time
// over.
func (f *drainFleet) reload(over time.Duration) {
	for _, i := range f.rng.Perm(len(f.nodes)) {
		n := f.nodes[i]
		f.configure(n, n.second)
		f.first.Detach(n.name, time.Now())
		f.second.Attach(n.name, time.Now())
		_ = n.process.Process.Signal(syscall.SIGHUP)
		time.Sleep(over / time.Duration(len(f.nodes)))
	}
}

// pause stops the process of node n for span, as if it got no processor time.
func (f *drainFleet) pause(n *drainNode, span time.Duration) {
	_ = n.process.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(span, func() { _ = n.process.Process.Signal(syscall.SIGCONT) })
}

// finish stops the clients, and returns the requests that were sent to a backend too late after the notification of its
// departure.
func (f *drainFleet) finish() []drain.Violation {
	close(f.stop)
	f.clients.Wait()
	violations := f.record.Violations(
		append(f.first.LatestNotifications(), f.second.LatestNotifications()...),
		drainGrace+socketsSlack,
	)
	f.t.Logf("%d sends checked, %d violations, latest after %v; discovery calls %v and %v", len(f.record.Sends()),
		len(violations), f.record.MaximumLag(), f.first.Outcomes(), f.second.Outcomes())
	return violations
}

// TestNothingIsSentToBackendsThatLeave checks that no node sends a request to a backend later than drainGrace after the
// notification of its drain or removal, whatever fault hides the notification. A backend departs during each fault:
// watches that never respond, respond in pieces, with the full list or late; discovery down, and back with a queue
// that rejects callers; a SIGHUP that switches to a server behind the first; processes killed and restarted with an
// outdated list; processes without processor time.
func TestNothingIsSentToBackendsThatLeave(t *testing.T) {
	t.Parallel()
	program := build(t)
	drainPort := 8443
	for _, mode := range []string{"on_request", "pushed"} {
		for _, seed := range drainSeeds() {
			port := drainPort
			drainPort++
			t.Run(fmt.Sprintf("%s, seed %d", mode, seed), func(t *testing.T) {
				t.Parallel()
				f := newDrainFleet(t, program, mode, port, seed, 24+int(seed%13), 12)
				f.first.Fault, f.second.Fault = f.faults(), f.faults()
				f.run()
				f.runScenario()
				violations := f.finish()
				for i, v := range violations {
					if i == 10 {
						t.Logf("and %d more", len(violations)-i)
						break
					}
					t.Log(v)
				}
				if len(violations) > 0 {
					f.logContext(violations[0])
				}
				require.Empty(t, violations)
				require.Greater(t, len(f.record.Sends()), 1000)
			})
		}
	}
}

// logContext logs the times of a violation, and the lines about discovery that its node logged.
func (f *drainFleet) logContext(v drain.Violation) {
	for _, n := range f.nodes {
		if n.name != v.Send.Node {
			continue
		}
		for line := range strings.Lines(n.output.String()) {
			if strings.Contains(line, "discover") || strings.Contains(line, "serving") {
				f.t.Log(strings.TrimSpace(line))
			}
		}
	}
	f.t.Logf("notified at %s, sent at %s", v.Notification.At.UTC().Format(time.RFC3339Nano),
		v.Send.At.UTC().Format(time.RFC3339Nano))
}

// drainSeeds returns the seeds of the test's scenarios: 1, or the range "first-last" of DRAIN_SEEDS.
func drainSeeds() []uint64 {
	first, last := uint64(1), uint64(1)
	_, _ = fmt.Sscanf(os.Getenv("DRAIN_SEEDS"), "%d-%d", &first, &last)
	var all []uint64
	for seed := first; seed <= last; seed++ {
		all = append(all, seed)
	}
	return all
}

// faults returns a function that draws the fault of a node's call to discovery at random.
func (f *drainFleet) faults() func(node string, call int) drain.Fault {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(f.rng.Uint64(), 0))
	return func(_ string, call int) drain.Fault {
		mu.Lock()
		defer mu.Unlock()
		fault := drain.Fault{Full: rng.Float64() < 0.2, Indented: rng.Float64() < 0.2}
		if rng.Float64() < 0.2 {
			fault.PieceInterval = time.Duration(20+rng.IntN(80)) * time.Millisecond
		}
		if rng.Float64() < 0.1 {
			fault.Delay = time.Duration(rng.IntN(300)) * time.Millisecond
		}
		switch draw := rng.Float64(); {
		case call < 2 && draw < 0.3, draw < 0.02:
			fault.Silent = true
		case draw < 0.35 && call < 2, draw < 0.03:
			fault.Truncated = true
		case draw < 0.05:
			fault.ResetAfter = time.Duration(1+rng.IntN(500)) * time.Millisecond
		case draw > 0.97:
			fault.Stale = true
		}
		return fault
	}
}

// runScenario runs the faults and departures one after another, in 19.5 s. Seven of the twelve backends depart.
func (f *drainFleet) runScenario() {
	start := time.Now()
	until := func(ms int) { time.Sleep(time.Until(start.Add(time.Duration(ms) * time.Millisecond))) }
	setBoth := func(server, health string) { f.first.SetHealth(server, health); f.second.SetHealth(server, health) }
	until(1500)
	setBoth("s0", "draining") // while some watches never respond
	until(3000)
	setBoth("s1", "gone")
	until(4500)
	f.first.SetDown(true)
	until(5500)
	setBoth("s2", "draining")
	until(6000)
	f.first.SetQueue(
		drain.Queue{ServiceTime: 100 * time.Millisecond, RejectionTime: 10 * time.Millisecond, Maximum: 15},
	)
	f.first.SetDown(false) // all nodes call at once
	until(6500)
	setBoth("s3", "draining")
	for _, n := range f.nodes {
		if f.rng.Float64() < 0.3 {
			f.pause(n, time.Duration(100+f.rng.IntN(300))*time.Millisecond)
		}
	}
	until(11000)
	go func() {
		time.Sleep(150 * time.Millisecond)
		f.first.SetHealth("s4", "draining") // while the nodes switch; the second discovery is updated 1.5 s later
		time.Sleep(1500 * time.Millisecond)
		f.second.SetHealth("s4", "draining")
	}()
	f.reload(300 * time.Millisecond)
	until(12000)
	f.second.SetHealth("s5", "draining")
	until(13500)
	for _, n := range f.nodes {
		if f.rng.Float64() < 0.25 {
			f.kill(n)
			f.second.Detach(n.name, time.Now())
			// The new process has 6 s of its own to learn of changes, except those that are sent to it.
			f.second.Attach(n.name, time.Now())
			f.start(n)
		}
	}
	until(14500)
	f.second.SetHealth("s6", "gone")
	until(19500)
}

// TestAnOldListIsNotServedFrom checks that a process that starts with an outdated list does not serve from it while
// its call is queued at discovery: it accepts no client before the response, and sends nothing to the backend that
// started to drain in the meantime.
func TestAnOldListIsNotServedFrom(t *testing.T) {
	t.Parallel()
	const queueWait = 800 * time.Millisecond
	record := drain.NewRecord(t.Context().Done())
	var hosts []drain.Host
	for _, name := range []string{"leaves", "stays"} {
		hosts = append(hosts, drain.Host{Host: name, Dial: drain.StartBackend(t, name, record), Site: "a",
			Class: "m", Health: "ready", Share: 1})
	}
	d := drain.NewDiscovery(t, record, 41, hosts)
	d.SetHealth("leaves", "draining")
	d.SetQueue(drain.Queue{ServiceTime: queueWait, Maximum: 10})
	node := &standaloneNode{listen: testpeer.FreeAddress(t), file: filepath.Join(t.TempDir(), "config.json"),
		output: &processLog{}}
	known, err := json.Marshal(map[string]any{"seq": 41, "whole": true, "hosts": hosts})
	require.NoError(t, err)
	raw, err := json.Marshal(platformConfig(node.listen, d.Listen("n"), map[string]any{"known": json.RawMessage(known)}))
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(node.file, raw, 0o600))
	node.Cmd = exec.Command(build(t))
	node.Env = append(os.Environ(), "PROXY_CONFIG="+node.file, "TMPDIR="+t.TempDir())
	node.Stderr = node.output
	started := time.Now()
	require.NoError(t, node.Start())
	t.Cleanup(func() {
		_ = node.Process.Kill()
		_ = node.Wait()
	})
	for !node.ready() {
		c, err := net.Dial("tcp", node.listen)
		if err == nil {
			c.Close()
			require.GreaterOrEqual(t, time.Since(started), queueWait,
				"a client that connects before would wait for its response")
		}
		require.Less(t, time.Since(started), 10*time.Second)
	}
	require.GreaterOrEqual(t, time.Since(started), queueWait)
	for number := range 20 {
		response, err := http.DefaultClient.Do(testpeer.ChatRequest(t, node.listen, drain.TraceID("n", number), "1500m"))
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		response.Body.Close()
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	sends := record.Sends()
	require.Len(t, sends, 20)
	for _, s := range sends {
		require.Equal(t, "stays", s.Backend)
	}
}

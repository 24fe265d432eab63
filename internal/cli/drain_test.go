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
	drainGrace   = 500 * time.Millisecond
	socketsSlack = 50 * time.Millisecond // every time limit on sockets is so much longer
)

// drainFleet is a fleet of real processes before stand-in discoveries and servers.
type drainFleet struct {
	t             *testing.T
	program       string
	mode          string // how discovery tells
	rng           *rand.Rand
	record        *drain.Record
	hosts         []drain.Host
	first, second *drain.Discovery
	nodes         []*drainNode
	clients       sync.WaitGroup
	stop          chan struct{}
}

// drainNode is one node, which may be several processes one after the other.
type drainNode struct {
	name, listen, file, dir string
	first, second           string // its addresses of the discoveries
	process                 *exec.Cmd
	said                    *log
}

// newDrainFleet puts a fleet together: nothing runs yet.
func newDrainFleet(t *testing.T, program, mode string, port int, seed uint64, nodes, servers int) *drainFleet {
	f := &drainFleet{t: t, program: program, mode: mode, rng: rand.New(rand.NewPCG(seed, 34)),
		stop: make(chan struct{})}
	f.record = drain.NewRecord(f.stop)
	for i := range servers {
		name := fmt.Sprint("s", i)
		f.hosts = append(f.hosts, drain.Host{Host: name, Dial: drain.StartBackend(t, name, f.record), Site: "a",
			Class: "m", Health: "ready", Share: 1})
	}
	f.first = drain.NewDiscovery(t, f.record, 41, f.hosts)
	f.second = drain.NewDiscovery(t, f.record, 7, f.hosts) // versions of its own, lower ones
	for i := range nodes {
		n := &drainNode{name: fmt.Sprint("n", i), listen: ownAddress(i, port), dir: t.TempDir(), said: &log{}}
		n.file = filepath.Join(n.dir, "config.json")
		n.first, n.second = f.first.Listen(n.name), f.second.Listen(n.name)
		f.nodes = append(f.nodes, n)
	}
	return f
}

// ownAddress is a node's of this process alone: on an address that was free a moment ago another run's node, of the
// same name, might listen by now, and its sends be taken for this one's.
func ownAddress(node, port int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>8&63, pid&255, 1+node, port)
}

// configure writes a node's configuration; what it last knew is the first list.
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

// start starts a process of a node.
func (f *drainFleet) start(n *drainNode) {
	n.process = exec.Command("/bin/sh", "-c", "trap '' HUP; exec "+f.program)
	n.process.Env = append(os.Environ(), "PROXY_CONFIG="+n.file, "TMPDIR="+n.dir)
	n.process.Stderr = n.said
	f.record.Started(n.name, time.Now())
	require.NoError(f.t, n.process.Start())
}

// kill ends a node's process at once.
func (f *drainFleet) kill(n *drainNode) {
	_ = n.process.Process.Kill()
	_ = n.process.Wait()
}

// run starts all nodes, and a client before each that sends one request after another until the test ends.
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
			continue // it has not started, or was killed
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
}

// reload has all nodes move to the second discovery, one after the other.
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

// pause stops a node's process, as one whose processor others take.
func (f *drainFleet) pause(n *drainNode, span time.Duration) {
	_ = n.process.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(span, func() { _ = n.process.Process.Signal(syscall.SIGCONT) })
}

// end stops the clients and gives the violations.
func (f *drainFleet) end() []drain.Violation {
	close(f.stop)
	f.clients.Wait()
	found := f.record.Violations(
		append(f.first.LatestNotifications(), f.second.LatestNotifications()...),
		drainGrace+socketsSlack,
	)
	f.t.Logf("%d sends judged, %d violations, %v late at most; calls %v and %v", len(f.record.Sends()), len(found),
		f.record.MaximumLag(),
		f.first.Outcomes(), f.second.Outcomes())
	return found
}

// Faults of a few dozen real processes' discovery, one behind the other, and a server that leaves in each: watches
// that fall silent, come in pieces, whole or late; discovery down, and back with a queue that turns callers away;
// SIGHUP to another discovery that is behind the first; processes killed and started anew with an old list; processes
// that get no processor time for a while.
func TestNothingIsSentToServersThatLeave(t *testing.T) {
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
				f.play()
				found := f.end()
				for i, v := range found {
					if i == 10 {
						t.Logf("and %d more", len(found)-i)
						break
					}
					t.Log(v)
				}
				if len(found) > 0 {
					f.tell(found[0])
				}
				require.Empty(t, found)
				require.Greater(t, len(f.record.Sends()), 1000)
			})
		}
	}
}

// tell logs what the node of a violation said around it.
func (f *drainFleet) tell(v drain.Violation) {
	for _, n := range f.nodes {
		if n.name != v.Send.Node {
			continue
		}
		for line := range strings.Lines(n.said.String()) {
			if strings.Contains(line, "discover") || strings.Contains(line, "serving") {
				f.t.Log(strings.TrimSpace(line))
			}
		}
	}
	f.t.Logf("told at %s, sent at %s", v.Notification.At.UTC().Format(time.RFC3339Nano),
		v.Send.At.UTC().Format(time.RFC3339Nano))
}

// drainSeeds are the plays of the test, or what DRAIN_SEEDS says: "first-last".
func drainSeeds() []uint64 {
	first, last := uint64(1), uint64(1)
	_, _ = fmt.Sscanf(os.Getenv("DRAIN_SEEDS"), "%d-%d", &first, &last)
	var all []uint64
	for seed := first; seed <= last; seed++ {
		all = append(all, seed)
	}
	return all
}

// faults draws what becomes of each node's calls.
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

// play is the day: twelve servers, of which some leave.
func (f *drainFleet) play() {
	began := time.Now()
	until := func(ms int) { time.Sleep(time.Until(began.Add(time.Duration(ms) * time.Millisecond))) }
	both := func(server, health string) { f.first.SetHealth(server, health); f.second.SetHealth(server, health) }
	until(1500)
	both("s0", "draining") // behind watches that have fallen silent
	until(3000)
	both("s1", "gone")
	until(4500)
	f.first.SetDown(true)
	until(5500)
	both("s2", "draining")
	until(6000)
	f.first.SetQueue(
		drain.Queue{ServiceTime: 100 * time.Millisecond, RejectionTime: 10 * time.Millisecond, Maximum: 15},
	)
	f.first.SetDown(false) // and all call at once
	until(6500)
	both("s3", "draining")
	for _, n := range f.nodes {
		if f.rng.Float64() < 0.3 {
			f.pause(n, time.Duration(100+f.rng.IntN(300))*time.Millisecond)
		}
	}
	until(11000)
	go func() {
		time.Sleep(150 * time.Millisecond)
		f.first.SetHealth("s4", "draining") // as the nodes move; the second discovery hears of it later
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
			f.second.Attach(n.name, time.Now()) // this process has 6 s of its own, but for what is written to it
			f.start(n)
		}
	}
	until(14500)
	f.second.SetHealth("s6", "gone")
	until(19500)
}

// A process that starts with an old list serves nobody before it has heard discovery, as long as its call stands in
// the line there: the server that was told to drain meanwhile gets nothing.
func TestAnOldListIsNotServedFrom(t *testing.T) {
	t.Parallel()
	const inLine = 800 * time.Millisecond
	record := drain.NewRecord(t.Context().Done())
	var hosts []drain.Host
	for _, name := range []string{"leaves", "stays"} {
		hosts = append(hosts, drain.Host{Host: name, Dial: drain.StartBackend(t, name, record), Site: "a",
			Class: "m", Health: "ready", Share: 1})
	}
	d := drain.NewDiscovery(t, record, 41, hosts)
	d.SetHealth("leaves", "draining")
	d.SetQueue(drain.Queue{ServiceTime: inLine, Maximum: 10})
	l := &lone{listen: testpeer.FreeAddress(t), file: filepath.Join(t.TempDir(), "config.json"), said: &log{}}
	known, err := json.Marshal(map[string]any{"seq": 41, "whole": true, "hosts": hosts})
	require.NoError(t, err)
	raw, err := json.Marshal(platformConfig(l.listen, d.Listen("n"), map[string]any{"known": json.RawMessage(known)}))
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(l.file, raw, 0o600))
	l.Cmd = exec.Command(build(t))
	l.Env = append(os.Environ(), "PROXY_CONFIG="+l.file, "TMPDIR="+t.TempDir())
	l.Stderr = l.said
	began := time.Now()
	require.NoError(t, l.Start())
	t.Cleanup(func() {
		_ = l.Process.Kill()
		_ = l.Wait()
	})
	for !l.ready() {
		c, err := net.Dial("tcp", l.listen)
		if err == nil {
			c.Close()
			require.GreaterOrEqual(t, time.Since(began), inLine,
				"a client that connects before would wait for its answer")
		}
		require.Less(t, time.Since(began), 10*time.Second)
	}
	require.GreaterOrEqual(t, time.Since(began), inLine)
	for number := range 20 {
		response, err := http.DefaultClient.Do(testpeer.ChatRequest(t, l.listen, drain.TraceID("n", number), "1500m"))
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

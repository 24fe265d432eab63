package cli

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint/internal/daemon"
	"standpoint/internal/lab/responder"
	"standpoint/internal/testpeer"
)

// yard is boxes that note what they get; a flow whose id begins with "hold" or "queue" is kept until release, the
// first after its first event.
type yard struct {
	mu      sync.Mutex
	last    map[string]time.Time
	count   map[string]int
	begun   chan string
	release chan struct{}
}

func (y *yard) box(t *testing.T, name string) netip.AddrPort {
	return netip.MustParseAddrPort(testpeer.Server(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		y.mu.Lock()
		y.last[name] = time.Now()
		y.count[name]++
		y.mu.Unlock()
		id := r.Header.Get("X-Trace-Id")
		if strings.HasPrefix(id, "hold") {
			testpeer.Event(w, name)
		}
		if strings.HasPrefix(id, "hold") || strings.HasPrefix(id, "queue") {
			y.begun <- name
			<-y.release
		}
		testpeer.Event(w, name)
		testpeer.Finish(w)
	}))
}

func (y *yard) seen(name string) (time.Time, int) {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.last[name], y.count[name]
}

func responding(t *testing.T, domain string) *responder.Server {
	s, err := responder.Start(responder.NewZone(domain, 7), "127.0.0.1:0", nil)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, s.Close()) })
	return s
}

// Boxes by DNS-SD on the whole daemon, under load: a box is withdrawn with a stream and a waiting flow on it, which
// both run to their end while nothing new comes; SIGHUP changes the domains; the nodes are counted.
func TestDiscovery(t *testing.T) {
	y := &yard{last: map[string]time.Time{}, count: map[string]int{}, begun: make(chan string, 100), release: make(chan struct{})}
	a, b := responding(t, "hall-a.test"), responding(t, "hall-b.test")
	boxes := map[string]responder.Box{}
	publish := func(to *responder.Server, label string, service string, at netip.AddrPort) {
		boxes[label] = responder.Box{Label: label, Service: service, Address: at, TTL: 60}
		require.NoError(t, to.Zone.Publish(boxes[label]))
	}
	for _, label := range []string{"a-1", "a-2", "a-3"} {
		publish(a, label, "_engine._tcp", y.box(t, label))
	}
	publish(b, "b-1", "_engine._tcp", y.box(t, "b-1"))
	publish(b, "b-2", "_engine._tcp", y.box(t, "b-2"))
	listen, metrics := testpeer.FreeAddress(t), testpeer.FreeAddress(t)
	path := filepath.Join(t.TempDir(), "operator.toml")
	write := func(browse string) {
		require.NoError(t, os.WriteFile(path, []byte(fmt.Sprintf(`name = "node-1"
listen = %q
[control]
listen = "unix:c.sock"
[metrics]
listen = %q
[nodes]
server = %q
domain = "hall-a.test"
publish = true
hold = "100ms"
[[class]]
name = "chat"
first_token = "2s"
give_up = "30s"
worth = 1.0
[entries]
source = "dns-sd"
poll = "50ms"
%s`, listen, metrics, a.Address, browse)), 0o600))
	}
	one := func(s *responder.Server) string {
		return fmt.Sprintf("[[entries.browse]]\nserver = %q\nservice = \"_engine._tcp\"\ndomain = %q\npush = %q\n", s.Address, s.Zone.Domain, s.Address)
	}
	write(one(a))
	ended := make(chan error, 1)
	go func() { ended <- daemon.Run(daemon.Options{ConfigFile: path, Log: zap.NewNop()}) }()
	command := func(args ...string) string {
		var out, errs bytes.Buffer
		Main(t.Context(), append(args, "--config", path), Streams{Out: &out, Err: &errs})
		return out.String() + errs.String()
	}
	shows := func(want string, args ...string) {
		t.Helper()
		require.Eventually(t, func() bool { return strings.Contains(command(args...), want) }, 30*time.Second, 20*time.Millisecond, want)
	}
	shows("a-3", "entries", "list")
	shows("push", "entries", "list")

	ask := func(id string) (string, error) {
		r, err := http.NewRequest("POST", "http://"+listen+"/v1/chat/completions", strings.NewReader(`{"messages":[]}`))
		if err != nil {
			return "", err
		}
		for k, v := range map[string]string{"X-Trace-Id": id, "X-Qos": "chat", "X-Expires-In": "30000m"} {
			r.Header.Set(k, v)
		}
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			return "", err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		return string(body), err
	}
	ctx, cancel := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	var asked, served atomic.Int64
	for c := range 6 {
		clients.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				asked.Add(1)
				if body, err := ask(fmt.Sprintf("c%d-%d", c, i)); err == nil && strings.Contains(body, "[DONE]") {
					served.Add(1)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	// Flows that stay: streams that have begun, and flows whose box has said nothing yet.
	var held sync.WaitGroup
	var whole atomic.Int64
	for i := range 6 {
		held.Go(func() {
			kind := []string{"hold", "queue"}[i%2]
			if body, err := ask(fmt.Sprintf("%s-%d", kind, i)); err == nil && strings.Contains(body, "[DONE]") {
				whole.Add(1)
			}
		})
	}
	for range 6 {
		<-y.begun
	}
	best := time.Hour
	for _, label := range []string{"a-1", "a-2", "a-3"} {
		require.NoError(t, a.Zone.Withdraw(boxes[label]))
		ended := time.Now()
		require.Eventually(t, func() bool { return !strings.Contains(command("entries", "list"), label+" ") }, 30*time.Second, 5*time.Millisecond)
		time.Sleep(200 * time.Millisecond) // what was on its way
		last, n := y.seen(label)
		best = min(best, last.Sub(ended))
		time.Sleep(300 * time.Millisecond)
		_, later := y.seen(label)
		require.Equal(t, n, later, "nothing new after its withdrawal was told")
		require.NoError(t, a.Zone.Publish(boxes[label]))
		shows(label+" ", "entries", "list")
	}
	require.Less(t, best, 500*time.Millisecond)
	require.Zero(t, whole.Load())
	close(y.release)
	held.Wait()
	require.EqualValues(t, 6, whole.Load(), "work in flight goes on to its end")

	// Another hall, under load: first beside, then in place of the first.
	write(one(a) + one(b))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	shows("b-2@hall-b.test", "entries", "list")
	shows("a-1@hall-a.test", "entries", "list")
	write(one(b))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	require.Eventually(t, func() bool { return !strings.Contains(command("entries", "list"), "a-1") }, 30*time.Second, 20*time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	_, was := y.seen("a-1")
	hallB := func() int { // which of its boxes is taken is the module's matter: the one that has just appeared may come first
		_, one := y.seen("b-1")
		_, two := y.seen("b-2")
		return one + two
	}
	wasB := hallB()
	require.Eventually(t, func() bool { return hallB() >= wasB+3 }, 10*time.Second, 10*time.Millisecond)
	_, is := y.seen("a-1")
	require.Equal(t, was, is)
	// A file that is faulty changes nothing.
	write(strings.Replace(one(b), "_engine._tcp", "engine", 1))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	time.Sleep(200 * time.Millisecond)
	require.Contains(t, command("check", path), "entries.browse[0].service:")
	write(one(b))
	shows("b-1", "entries", "list")

	shows("node-1", "nodes")
	shows("divided by 1", "nodes")
	publish(a, "node-2", "_standpoint._tcp", netip.MustParseAddrPort("127.0.0.1:2"))
	shows("divided by 2", "nodes")
	require.NoError(t, a.Zone.Withdraw(boxes["node-2"]))
	shows("divided by 1", "nodes")
	shows("_engine._tcp.hall-a.test.", "entries", "services", "hall-a.test", "--server", a.Address)
	response, err := http.Get("http://" + metrics + "/metrics")
	require.NoError(t, err)
	text, err := io.ReadAll(response.Body)
	response.Body.Close()
	require.NoError(t, err)
	require.Contains(t, string(text), `standpoint_discovery_lookups_total{domain="hall-b.test.",service="_engine._tcp"}`)
	require.Contains(t, string(text), "standpoint_nodes 1")
	require.Regexp(t, `standpoint_requests_total\{class="chat",end="success"\} [1-9]`, string(text))
	cancel()
	clients.Wait()
	require.Equal(t, asked.Load(), served.Load())
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	require.NoError(t, <-ended)
	require.NotContains(t, fmt.Sprint(a.Zone.Labels("_standpoint._tcp")), "node-1", "a node that ends takes its record back")
}

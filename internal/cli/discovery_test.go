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

// recordingBackends records the requests of several backends. The response to a request whose id begins with "hold" or
// "queue" ends only after release is closed; for "hold" its first event is sent at once.
type recordingBackends struct {
	pending chan string // the backend of each request whose response waits for release
	release chan struct{}

	mu    sync.Mutex           // guards the maps
	last  map[string]time.Time // when each backend got its last request
	count map[string]int       // of requests, by backend
}

// start starts a backend and returns its address.
func (b *recordingBackends) start(t *testing.T, name string) netip.AddrPort {
	t.Helper()
	return netip.MustParseAddrPort(testpeer.StartBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		b.mu.Lock()
		b.last[name] = time.Now()
		b.count[name]++
		b.mu.Unlock()
		id := r.Header.Get("X-Trace-Id")
		if strings.HasPrefix(id, "hold") {
			testpeer.WriteEvent(w, name)
		}
		if strings.HasPrefix(id, "hold") || strings.HasPrefix(id, "queue") {
			b.pending <- name
			<-b.release
		}
		testpeer.WriteEvent(w, name)
		testpeer.WriteStreamEnd(w)
	}))
}

// requests returns when a backend got its last request, and the number of its requests.
func (b *recordingBackends) requests(name string) (time.Time, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last[name], b.count[name]
}

func startResponder(t *testing.T, domain string) *responder.Server {
	t.Helper()
	s, err := responder.Start(responder.NewZone(domain, 7), "127.0.0.1:0", nil)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, s.Close()) })
	return s
}

const discoveryTestFile = `name = "node-1"
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
%s`

// discoveryTest is a daemon that discovers its backends by DNS-SD, in the domains hall-a.test and hall-b.test. It
// starts with hall-a.test alone.
type discoveryTest struct {
	t        *testing.T
	listen   string
	metrics  string
	path     string // the operator's file
	exit     chan error
	backends *recordingBackends
	hallA    *responder.Server
	hallB    *responder.Server
	records  map[string]responder.Instance
}

func startDiscoveryTest(t *testing.T) *discoveryTest {
	t.Helper()
	d := &discoveryTest{
		t:       t,
		listen:  testpeer.FreeAddress(t),
		metrics: testpeer.FreeAddress(t),
		path:    filepath.Join(t.TempDir(), "operator.toml"),
		exit:    make(chan error, 1),
		backends: &recordingBackends{
			pending: make(chan string, 100),
			release: make(chan struct{}),
			last:    map[string]time.Time{},
			count:   map[string]int{},
		},
		hallA:   startResponder(t, "hall-a.test"),
		hallB:   startResponder(t, "hall-b.test"),
		records: map[string]responder.Instance{},
	}
	for _, label := range []string{"a-1", "a-2", "a-3"} {
		d.publish(d.hallA, label, "_engine._tcp", d.backends.start(t, label))
	}
	for _, label := range []string{"b-1", "b-2"} {
		d.publish(d.hallB, label, "_engine._tcp", d.backends.start(t, label))
	}
	d.write(browseSection(d.hallA))
	go func() { d.exit <- daemon.Run(daemon.Options{ConfigFile: d.path, Log: zap.NewNop()}) }()
	d.eventuallyShows("a-3", "entries", "list")
	d.eventuallyShows("push", "entries", "list")
	return d
}

// browseSection returns the section of the operator's file that browses the responder's domain.
func browseSection(s *responder.Server) string {
	return fmt.Sprintf("[[entries.browse]]\nserver = %q\nservice = \"_engine._tcp\"\ndomain = %q\npush = %q\n",
		s.Address, s.Zone.Domain, s.Address)
}

func (d *discoveryTest) publish(to *responder.Server, label, service string, at netip.AddrPort) {
	d.t.Helper()
	d.records[label] = responder.Instance{Label: label, Service: service, Address: at, TTL: 60}
	require.NoError(d.t, to.Zone.Publish(d.records[label]))
}

// write writes the operator's file with these browse sections.
func (d *discoveryTest) write(browse string) {
	d.t.Helper()
	text := fmt.Sprintf(discoveryTestFile, d.listen, d.metrics, d.hallA.Address, browse)
	require.NoError(d.t, os.WriteFile(d.path, []byte(text), 0o600))
}

func (d *discoveryTest) reload(browse string) {
	d.t.Helper()
	d.write(browse)
	require.NoError(d.t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
}

// command runs a command line and returns its output and errors.
func (d *discoveryTest) command(args ...string) string {
	var out, errs bytes.Buffer
	Main(d.t.Context(), append(args, "--config", d.path), Streams{Out: &out, Err: &errs})
	return out.String() + errs.String()
}

func (d *discoveryTest) eventuallyShows(text string, args ...string) {
	d.t.Helper()
	require.Eventually(d.t, func() bool { return strings.Contains(d.command(args...), text) },
		30*time.Second, 20*time.Millisecond, text)
}

func (d *discoveryTest) eventuallyUnlisted(text string, interval time.Duration) {
	d.t.Helper()
	require.Eventually(d.t, func() bool { return !strings.Contains(d.command("entries", "list"), text) },
		30*time.Second, interval)
}

// request sends a request and reports whether its response was complete.
func (d *discoveryTest) request(id string) bool {
	r, err := http.NewRequest("POST", "http://"+d.listen+"/v1/chat/completions", strings.NewReader(`{"messages":[]}`))
	if err != nil {
		return false
	}
	r.Header.Set("X-Trace-Id", id)
	r.Header.Set("X-Qos", "chat")
	r.Header.Set("X-Expires-In", "30000m")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return err == nil && strings.Contains(string(body), "[DONE]")
}

// requestsInFlight is a group of requests whose responses wait for the release of the backends: half of them are
// streams that have started, and for the other half the backend has sent nothing.
type requestsInFlight struct {
	running  sync.WaitGroup
	answered atomic.Int64
}

func (d *discoveryTest) startUnansweredRequests(count int) *requestsInFlight {
	requests := &requestsInFlight{}
	for i := range count {
		requests.running.Go(func() {
			kind := []string{"hold", "queue"}[i%2]
			if d.request(fmt.Sprintf("%s-%d", kind, i)) {
				requests.answered.Add(1)
			}
		})
	}
	for range count {
		<-d.backends.pending
	}
	return requests
}

// withdrawEach withdraws each backend of hall-a.test in turn. A backend gets no new request after its withdrawal is
// known, and requests in flight complete.
func (d *discoveryTest) withdrawEach() {
	const inFlight = 6
	requests := d.startUnansweredRequests(inFlight)
	best := time.Hour
	for _, label := range []string{"a-1", "a-2", "a-3"} {
		best = min(best, d.withdraw(label))
	}
	require.Less(d.t, best, 500*time.Millisecond)
	require.Zero(d.t, requests.answered.Load())
	close(d.backends.release)
	requests.running.Wait()
	require.EqualValues(d.t, inFlight, requests.answered.Load(), "requests in flight complete")
}

// withdraw withdraws a backend and returns how long after that it got its last request. It publishes the backend again.
func (d *discoveryTest) withdraw(label string) time.Duration {
	d.t.Helper()
	require.NoError(d.t, d.hallA.Zone.Withdraw(d.records[label]))
	withdrawn := time.Now()
	d.eventuallyUnlisted(label+" ", 5*time.Millisecond)
	time.Sleep(200 * time.Millisecond) // for requests sent before the withdrawal was known
	last, count := d.backends.requests(label)
	time.Sleep(300 * time.Millisecond)
	_, later := d.backends.requests(label)
	require.Equal(d.t, count, later, "no new request after the withdrawal is known")
	require.NoError(d.t, d.hallA.Zone.Publish(d.records[label]))
	d.eventuallyShows(label+" ", "entries", "list")
	return last.Sub(withdrawn)
}

// requestsInHallB counts the requests of both backends in hall-b.test together, as the decision module chooses between
// them.
func (d *discoveryTest) requestsInHallB() int {
	_, first := d.backends.requests("b-1")
	_, second := d.backends.requests("b-2")
	return first + second
}

// changeDomains adds hall-b.test under load, then removes hall-a.test. A reload of an invalid file changes nothing.
func (d *discoveryTest) changeDomains() {
	d.reload(browseSection(d.hallA) + browseSection(d.hallB))
	d.eventuallyShows("b-2@hall-b.test", "entries", "list")
	d.eventuallyShows("a-1@hall-a.test", "entries", "list")
	d.reload(browseSection(d.hallB))
	d.eventuallyUnlisted("a-1", 20*time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	_, before := d.backends.requests("a-1")
	beforeInHallB := d.requestsInHallB()
	require.Eventually(d.t, func() bool { return d.requestsInHallB() >= beforeInHallB+3 },
		10*time.Second, 10*time.Millisecond)
	_, after := d.backends.requests("a-1")
	require.Equal(d.t, before, after)

	d.reload(strings.Replace(browseSection(d.hallB), "_engine._tcp", "engine", 1))
	time.Sleep(200 * time.Millisecond)
	require.Contains(d.t, d.command("check", d.path), "entries.browse[0].service:")
	d.write(browseSection(d.hallB))
	d.eventuallyShows("b-1", "entries", "list")
}

// countNodes checks that the node registers itself, and counts the nodes that are registered.
func (d *discoveryTest) countNodes() {
	d.eventuallyShows("node-1", "nodes")
	d.eventuallyShows("divided by 1", "nodes")
	d.publish(d.hallA, "node-2", "_standpoint._tcp", netip.MustParseAddrPort("127.0.0.1:2"))
	d.eventuallyShows("divided by 2", "nodes")
	require.NoError(d.t, d.hallA.Zone.Withdraw(d.records["node-2"]))
	d.eventuallyShows("divided by 1", "nodes")
	d.eventuallyShows("_engine._tcp.hall-a.test.", "entries", "services", "hall-a.test", "--server", d.hallA.Address)
}

func (d *discoveryTest) readMetrics() string {
	d.t.Helper()
	response, err := http.Get("http://" + d.metrics + "/metrics")
	require.NoError(d.t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(d.t, response.Body.Close())
	require.NoError(d.t, err)
	return string(text)
}

// TestDiscovery covers discovery by DNS-SD with a complete daemon under load: withdrawn backends get no new requests,
// a reload changes the domains, nodes are counted and metrics report it. No request is lost.
func TestDiscovery(t *testing.T) {
	d := startDiscoveryTest(t)
	ctx, cancel := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	var sent, served atomic.Int64
	for c := range 6 {
		clients.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				sent.Add(1)
				if d.request(fmt.Sprintf("c%d-%d", c, i)) {
					served.Add(1)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	d.withdrawEach()
	d.changeDomains()
	d.countNodes()
	text := d.readMetrics()
	require.Contains(t, text, `standpoint_discovery_lookups_total{domain="hall-b.test.",service="_engine._tcp"}`)
	require.Contains(t, text, "standpoint_nodes 1")
	require.Regexp(t, `standpoint_requests_total\{class="chat",end="success"\} [1-9]`, text)
	cancel()
	clients.Wait()
	require.Equal(t, sent.Load(), served.Load())
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	require.NoError(t, <-d.exit)
	labels := fmt.Sprint(d.hallA.Zone.Labels("_standpoint._tcp"))
	require.NotContains(t, labels, "node-1", "a node that exits withdraws its record")
}

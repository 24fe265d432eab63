package batch_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint/internal/batch"
	"standpoint/internal/node"
	"standpoint/internal/store"
	"standpoint/internal/testpeer"
)

// takeoverLines is the number of lines of the batches in the tests below.
const takeoverLines = 4

var errKilled = errors.New("the member's process was killed")

// processGate makes the parts of one member in this process behave as a process that is stalled or killed: what they
// send, receive and store goes through it.
type processGate struct {
	mu      sync.Mutex
	changed *sync.Cond
	stalled bool
	killed  bool
	open    []net.Conn
}

func newProcessGate() *processGate {
	g := &processGate{}
	g.changed = sync.NewCond(&g.mu)
	return g
}

// pass blocks while the process is stalled, and returns an error once it is killed.
func (g *processGate) pass() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.stalled && !g.killed {
		g.changed.Wait()
	}
	if g.killed {
		return errKilled
	}
	return nil
}

func (g *processGate) setStalled(stalled bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stalled = stalled
	g.changed.Broadcast()
}

func (g *processGate) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.killed = true
	g.changed.Broadcast()
	for _, conn := range g.open {
		_ = conn.Close()
	}
}

// dial opens a connection of the process.
func (g *processGate) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := g.pass(); err != nil {
		return nil, err
	}
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = append(g.open, conn)
	return gatedConn{conn, g}, nil
}

type gatedConn struct {
	net.Conn
	gate *processGate
}

func (c gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if gateErr := c.gate.pass(); gateErr != nil {
		return 0, gateErr
	}
	return n, err
}

func (c gatedConn) Write(b []byte) (int, error) {
	if err := c.gate.pass(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// cluster is a replicated store whose leader the test elects.
type cluster struct {
	store.Memory
	mu     sync.Mutex // guards the fields below, and serializes writes with elections
	leader int        // member that leads; 0 if none does
	term   uint64

	submissionWrites atomic.Int64 // writes to the records of files
}

func newCluster() *cluster { return &cluster{Memory: store.NewMemory(), leader: 1, term: 1} }

func (c *cluster) elect(member int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = member
	c.term++
}

// memberStore is the store of one member of a cluster.
type memberStore struct {
	*cluster
	member int
	gate   *processGate
}

func (s *memberStore) Leadership() (uint64, bool) {
	if s.gate.pass() != nil {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term, s.leader == s.member
}

func (s *memberStore) Write(ctx context.Context, ops ...store.Op) (uint64, error) {
	if err := errors.Join(s.gate.pass(), ctx.Err()); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader != s.member {
		return 0, store.ErrNotLeader
	}
	if strings.HasPrefix(ops[0].Key, "submission/") {
		s.submissionWrites.Add(1)
	}
	return s.Memory.Write(ctx, ops...)
}

// member is one member of a cluster, with a node and a batch service of its own.
type member struct {
	*client
	number int
	gate   *processGate
	node   *testpeer.Node
	stop   func() // ends the service as SIGTERM does, and waits until it has ended
}

// startMember starts a member whose lines have the given timeout.
func startMember(
	t *testing.T, c *cluster, number int, lineTimeout time.Duration, endpoints ...node.Endpoint,
) *member {
	t.Helper()
	return startMemberWith(t, c, number, func(o *batch.Options) { o.LineTimeout = lineTimeout }, endpoints...)
}

// startMemberWith starts a member with edited options.
func startMemberWith(
	t *testing.T, c *cluster, number int, edit func(*batch.Options), endpoints ...node.Endpoint,
) *member {
	t.Helper()
	m := &member{number: number, gate: newProcessGate()}
	settings := testpeer.Settings()
	settings.Cancel = false
	m.node = testpeer.StartDialing(t, zap.NewNop(), settings, m.gate.dial, endpoints...)
	service, api := serve(t, m.node, &memberStore{cluster: c, member: number, gate: m.gate}, edit)
	m.client = api
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { service.Run(ctx) })
	m.stop = func() {
		cancel()
		running.Wait()
	}
	t.Cleanup(func() {
		m.gate.setStalled(false)
		m.stop()
	})
	return m
}

// departure is a way in which a leader ends its leadership; another member leads afterwards.
type departure struct {
	name string
	// depart ends the leadership of member 1 and elects the next leader.
	depart func(t *testing.T, c *cluster, first *member)
	// recover is called a second later. It may be nil.
	recover func(first *member)
	// returns is true if the same member leads again.
	returns bool
}

var departures = []departure{
	{name: "killed", depart: func(_ *testing.T, c *cluster, first *member) {
		first.gate.kill()
		c.elect(2)
	}},
	{name: "stopped", depart: func(t *testing.T, c *cluster, first *member) {
		stopped := time.Now()
		first.stop()
		assert.Less(t, time.Since(stopped), 2*time.Second, "the service must not wait for a server")
		c.elect(2)
	}},
	{name: "stalled", depart: func(_ *testing.T, c *cluster, first *member) {
		first.gate.setStalled(true)
		c.elect(2)
	}, recover: func(first *member) { first.gate.setStalled(false) }},
	{name: "cut off", depart: func(_ *testing.T, c *cluster, _ *member) { c.elect(2) }},
	{name: "elected again", returns: true, depart: func(_ *testing.T, c *cluster, _ *member) {
		c.elect(0)
		time.Sleep(100 * time.Millisecond)
		c.elect(1)
	}},
}

// moments are the calls during which a leader departs: before, while and after a server takes a file.
var moments = map[string]func(*http.Request) bool{
	"before": func(r *http.Request) bool { return r.URL.Path == "/v1/files" },
	"while":  isCreation,
	"after":  func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/v1/batches/") },
}

// takeover runs a batch whose leader departs during the first call that moment selects. Afterwards faults decides what
// goes wrong with calls. listed edits the endpoint list of the second member. It returns the ended batch, and its
// client.
func takeover(
	t *testing.T, lines int, lineTimeout time.Duration, d departure, moment func(*http.Request) bool,
	servers []*testpeer.BatchBackend, listed func([]node.Endpoint) []node.Endpoint,
	faults func(*http.Request) testpeer.CallFault,
) (batch.Batch, *client, *cluster) {
	t.Helper()
	var endpoints []node.Endpoint
	for i, server := range servers {
		endpoints = append(endpoints, batchEndpoint(fmt.Sprintf("b%d", i+1), server))
	}
	c := newCluster()
	first := startMember(t, c, 1, lineTimeout, endpoints...)
	second := startMember(t, c, 2, lineTimeout, listed(endpoints)...)
	var once sync.Once
	var departed atomic.Bool
	departing := make(chan struct{})
	for _, server := range servers {
		server.SetFault(func(r *http.Request) testpeer.CallFault {
			if departed.Load() {
				return faults(r)
			}
			if moment(r) {
				once.Do(func() { // the call gets no response before the leader has departed
					d.depart(t, c, first)
					departed.Store(true)
					close(departing)
				})
			}
			return testpeer.NoFault
		})
	}
	id := first.submit(inputLines(lines), "1h").ID
	<-departing
	if d.recover != nil {
		time.AfterFunc(time.Second, func() { d.recover(first) })
	}
	leader := second
	if d.returns {
		leader = first
	}
	return leader.wait(id, 20*time.Second), leader.client, c
}

// requireTakenOver requires that each line has a response, and that no line had two attempts in flight.
func requireTakenOver(t *testing.T, b batch.Batch, counter *testpeer.AttemptCounter) {
	t.Helper()
	require.Equal(t, batch.RequestCounts{Total: takeoverLines, Completed: takeoverLines}, b.RequestCounts)
	require.Equal(t, 1, counter.MaximumInFlight(), "no line may have two attempts in flight")
}

func allListed(endpoints []node.Endpoint) []node.Endpoint     { return endpoints }
func firstUnlisted(endpoints []node.Endpoint) []node.Endpoint { return endpoints[1:] }
func noFaults(*http.Request) testpeer.CallFault               { return testpeer.NoFault }

// Guards against lines that are sent again while a file of an earlier leader stands at a server, and against results
// that are not used: whenever and however a leader departs, each line runs once, and its result is used.
func TestNextLeaderTakesOverFiles(t *testing.T) {
	t.Parallel()
	for _, d := range departures {
		for momentName, moment := range moments {
			for serverName, listed := range map[string]func([]node.Endpoint) []node.Endpoint{
				"listed": allListed, "unlisted": firstUnlisted,
			} {
				t.Run(d.name+" "+momentName+" "+serverName, func(t *testing.T) {
					t.Parallel()
					counter := testpeer.NewAttemptCounter()
					var servers []*testpeer.BatchBackend
					for range 2 {
						servers = append(servers, testpeer.NewBatchBackend(t, counter, func(string, int) int {
							time.Sleep(50 * time.Millisecond)
							return http.StatusOK
						}))
					}
					b, _, c := takeover(t, takeoverLines, 3*time.Second, d, moment, servers, listed, noFaults)
					requireTakenOver(t, b, counter)
					for line, attempts := range counter.Attempts() {
						require.Equal(t, 1, attempts, line)
					}
					require.Eventually(t, func() bool { return len(c.List("submission/")) == 0 },
						5*time.Second, 10*time.Millisecond, "the records of files must be deleted")
				})
			}
		}
	}
}

// Guards against lines that run at a server twice at once because it begins them later than the timeout of a line: the
// next leader cancels their batch there, and sends them again once that is confirmed. What had begun is used.
func TestNextLeaderCancelsLateFiles(t *testing.T) {
	t.Parallel()
	for _, d := range departures {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			counter := testpeer.NewAttemptCounter()
			var begun atomic.Int32
			server := testpeer.NewBatchBackend(t, counter, func(string, int) int {
				if begun.Add(1) == 1 {
					time.Sleep(2500 * time.Millisecond) // longer than the timeout of a line
				}
				return http.StatusOK
			})
			servers := []*testpeer.BatchBackend{server}
			b, _, _ := takeover(t, takeoverLines, time.Second, d, moments["after"], servers, allListed, noFaults)
			requireTakenOver(t, b, counter)
			executed, _ := server.Lines()
			require.Equal(t, takeoverLines, executed, "a line that has run must not run again")
		})
	}
}

// Guards against a batch that hangs, and lines that are sent again, because a server is silent when the next leader
// looks for a file there: after the time after which it counts as lost, the lines get an error.
func TestNextLeaderGivesUpSilentServers(t *testing.T) {
	t.Parallel()
	for _, d := range departures {
		for _, momentName := range []string{"while", "after"} {
			t.Run(d.name+" "+momentName, func(t *testing.T) {
				t.Parallel()
				counter := testpeer.NewAttemptCounter()
				server := testpeer.NewBatchBackend(t, counter, func(string, int) int {
					time.Sleep(50 * time.Millisecond)
					return http.StatusOK
				})
				silent := func(*http.Request) testpeer.CallFault { return testpeer.Hang }
				servers := []*testpeer.BatchBackend{server}
				b, c, _ := takeover(t, 1, 2*time.Second, d, moments[momentName], servers, allListed, silent)
				counts := batch.RequestCounts{Total: 1, Failed: 1}
				require.Equal(t, counts, b.RequestCounts)
				failed, _ := c.results(b.ErrorFileID)
				for id, result := range failed {
					require.Contains(t, result.Error.Message, "may have been executed", id)
				}
				for line, attempts := range counter.Attempts() {
					require.Equal(t, 1, attempts, line)
				}
			})
		}
	}
}

// Guards against results that are lost at servers that cannot list their batches: the next leader knows the ID of a
// batch whose creation was confirmed. If it was not, nobody can know, and the line gets an error at once. With one line
// there is one file.
func TestNextLeaderAtServersWithoutList(t *testing.T) {
	t.Parallel()
	withoutList := func(r *http.Request) testpeer.CallFault {
		if isListing(r) {
			return testpeer.Unsupported
		}
		return testpeer.NoFault
	}
	for _, d := range departures {
		for momentName, counts := range map[string]batch.RequestCounts{
			"while": {Total: 1, Failed: 1},
			"after": {Total: 1, Completed: 1},
		} {
			t.Run(d.name+" "+momentName, func(t *testing.T) {
				t.Parallel()
				counter := testpeer.NewAttemptCounter()
				server := testpeer.NewBatchBackend(t, counter, succeed)
				servers := []*testpeer.BatchBackend{server}
				b, _, _ := takeover(t, 1, 2*time.Second, d, moments[momentName], servers, allListed, withoutList)
				require.Equal(t, counts, b.RequestCounts)
				for line, attempts := range counter.Attempts() {
					require.Equal(t, 1, attempts, line)
				}
			})
		}
	}
}

// Guards against lines that are given up although their server answers: the process was stalled for longer than the time
// after which a server counts as lost, and the first call after that fails.
func TestStalledProcessKeepsItsServers(t *testing.T) {
	t.Parallel()
	for name, isFirstFault := range map[string]func(*http.Request) bool{
		"polls":    func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/v1/batches/") },
		"results":  func(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "/content") },
		"creation": isListing,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			counter := testpeer.NewAttemptCounter()
			server := testpeer.NewBatchBackend(t, counter, succeed)
			c := newCluster()
			m := startMember(t, c, 1, 10*time.Second, batchEndpoint("b", server))
			creationFails := firstCreation()
			var calls atomic.Int32
			server.SetFault(func(r *http.Request) testpeer.CallFault {
				switch {
				case name == "creation" && creationFails(r):
					return testpeer.LostAnswer
				case !isFirstFault(r):
					return testpeer.NoFault
				}
				switch calls.Add(1) {
				case 1:
					m.gate.setStalled(true)
					time.AfterFunc(800*time.Millisecond, func() { m.gate.setStalled(false) })
					return testpeer.LostCall
				case 2: // the transport repeats a call that fails on a reused connection
					if name != "creation" {
						return testpeer.LostCall
					}
				}
				return testpeer.NoFault
			})
			b := m.wait(m.submit(inputLines(takeoverLines), "1h").ID, 20*time.Second)
			require.Positive(t, calls.Load())
			counts := batch.RequestCounts{Total: takeoverLines, Completed: takeoverLines}
			require.Equal(t, counts, b.RequestCounts)
			for line, attempts := range counter.Attempts() {
				require.Equal(t, 1, attempts, line)
			}
		})
	}
}

// Guards against lines that are given up, or wait for their time in vain, because their server ends while the next
// leader awaits a file there: they are sent to another server.
func TestNextLeaderLeavesGoneServers(t *testing.T) {
	t.Parallel()
	for _, d := range departures {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			counter := testpeer.NewAttemptCounter()
			servers := map[string]*testpeer.BatchBackend{}
			var all []*testpeer.BatchBackend
			for range 2 {
				server := testpeer.NewBatchBackend(t, counter, func(string, int) int {
					time.Sleep(200 * time.Millisecond)
					return http.StatusOK
				})
				servers[server.Address] = server
				all = append(all, server)
			}
			var once sync.Once
			gone := func(r *http.Request) testpeer.CallFault {
				once.Do(func() { go servers[r.Host].Stop() })
				return testpeer.NoFault
			}
			b, _, _ := takeover(t, takeoverLines, 2*time.Second, d, moments["after"], all, allListed, gone)
			requireTakenOver(t, b, counter)
		})
	}
}

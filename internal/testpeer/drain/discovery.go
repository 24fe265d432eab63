package drain

import (
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// NotificationTimeout is the time after which a change counts as notified to whoever could reach discovery.
const NotificationTimeout = 6 * time.Second

// The health of a host that the checks look for; any other than ready drains.
const (
	healthReady = "ready"
	healthGone  = "gone"
)

// Host is one entry of the list, in the platform's form.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// hostList is the answer to a call.
type hostList struct {
	Seq   int    `json:"seq"`
	Full  bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// change is a change of the list.
type change struct {
	at   time.Time
	host Host
}

// span is from when to when a node polls this discovery; a zero until stands for the end of the test.
type span struct {
	from  time.Time
	until time.Time
}

// Queue is how calls that do not continue a watch are handled: one after the other.
type Queue struct {
	ServiceTime   time.Duration // that one takes; 0: all are handled at once
	RejectionTime time.Duration // that it takes to reject one; whoever is served next waits for it
	Maximum       int           // that wait; further ones are rejected at once
}

// Discovery is a discovery service that handles calls in turn, and knows when each node counts as notified. It is safe
// for concurrent use.
type Discovery struct {
	// Fault returns the fault of a node's call; the calls of each node are numbered from 0. It is set before the first
	// call; nil: there are none.
	Fault func(node string, call int) Fault

	t       testing.TB
	record  *Record
	serving chan struct{} // holds a token while a call is served in turn

	mu           sync.Mutex // guards all below
	queue        Queue
	waiting      int                  // calls in queue
	debt         time.Duration        // that rejections have taken; whoever is served next waits for it
	answered     map[string]time.Time // the last answer to each node
	firstVersion int
	firstHosts   []Host
	changes      []change      // the n-th makes version firstVersion+n+1
	changed      chan struct{} // closed at the next change
	down         bool
	upTimes      []time.Time // when it came up, each time
	downTimes    []time.Time // when it went down, each time
	forgotten    int         // how often all open watches were forgotten
	calls        map[string]int
	attached     map[string][]span
	counts       map[string]int
}

// NewDiscovery creates a discovery that holds a list, with a version.
func NewDiscovery(t testing.TB, record *Record, version int, hosts []Host) *Discovery {
	return &Discovery{
		t:            t,
		record:       record,
		serving:      make(chan struct{}, 1),
		answered:     map[string]time.Time{},
		firstVersion: version,
		firstHosts:   hosts,
		changed:      make(chan struct{}),
		upTimes:      []time.Time{time.Now()},
		calls:        map[string]int{},
		attached:     map[string][]span{},
		counts:       map[string]int{},
	}
}

// Listen has discovery answer one node, at the address that is returned.
func (d *Discovery) Listen(node string) string {
	d.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(d.t, err)
	d.t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.handle(node, conn) // ends with its connection
		}
	}()
	return listener.Addr().String()
}

// Attach tells from when on a node is to poll this discovery.
func (d *Discovery) Attach(node string, from time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.attached[node] = append(d.attached[node], span{from: from})
}

// Detach tells until when a node was to poll this discovery.
func (d *Discovery) Detach(node string, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if spans := d.attached[node]; len(spans) > 0 {
		spans[len(spans)-1].until = until
	}
}

// SetHealth changes the health of a backend, and wakes the watches.
func (d *Discovery) SetHealth(backend, health string) {
	d.t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	hosts := d.hostsAfter(len(d.changes))
	at := slices.IndexFunc(hosts, func(h Host) bool { return h.Host == backend })
	require.GreaterOrEqual(d.t, at, 0, "%s is not listed", backend)
	host := hosts[at]
	host.Health = health
	d.changes = append(d.changes, change{time.Now(), host})
	d.wake()
}

// SetDown has discovery reset all calls, or come back.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	if down {
		d.downTimes = append(d.downTimes, time.Now())
	} else {
		d.upTimes = append(d.upTimes, time.Now())
	}
	d.wake()
}

// SilenceWatches has all watches that are open fall silent.
func (d *Discovery) SilenceWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forgotten++
	d.wake()
}

// SetQueue sets how calls are handled.
func (d *Discovery) SetQueue(queue Queue) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue = queue
	d.debt = 0
}

// Outcomes returns the number of calls by what became of them.
func (d *Discovery) Outcomes() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.counts)
}

// LatestNotifications returns when each node counts as notified at the latest, whatever became of its calls.
func (d *Discovery) LatestNotifications() []Notification {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []Notification
	for _, change := range d.changes {
		if change.host.Health == healthReady {
			continue
		}
		for node, spans := range d.attached {
			for _, attached := range spans {
				due := d.reachableFrom(later(change.at, attached.from)).Add(NotificationTimeout)
				if attached.until.IsZero() || due.Before(attached.until) {
					all = append(all, Notification{Node: node, Backend: change.host.Host, At: due, By: byDue})
				}
			}
		}
	}
	return all
}

// reachableFrom returns the first moment, from at on, at which discovery is up for as long as a change needs to count
// as notified. The caller holds the lock.
func (d *Discovery) reachableFrom(at time.Time) time.Time {
	for i, down := range d.downTimes {
		if !down.Before(at.Add(NotificationTimeout)) {
			break
		}
		if i+1 < len(d.upTimes) {
			at = later(at, d.upTimes[i+1])
		} else {
			at = at.Add(time.Hour) // down to the end of the test
		}
	}
	return at
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// wake wakes the watches. The caller holds the lock.
func (d *Discovery) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// hostsAfter returns the list after a number of changes. The caller holds the lock.
func (d *Discovery) hostsAfter(changes int) []Host {
	hosts := slices.Clone(d.firstHosts)
	for _, change := range d.changes[:changes] {
		at := slices.IndexFunc(hosts, func(h Host) bool { return h.Host == change.host.Host })
		hosts[at] = change.host
	}
	return hosts
}

// changesSince returns what is newer than a version, or the full list, and the backends that it tells to drain.
func (d *Discovery) changesSince(version int, fault Fault) (list hostList, draining []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := len(d.changes)
	full := fault.Full
	if fault.Stale && n > 0 {
		n--
		full = true
	}
	list = hostList{Seq: d.firstVersion + n, Full: full, Hosts: []Host{}}
	var hosts []Host
	if full {
		hosts = d.hostsAfter(n)
	} else {
		for _, change := range d.changes[max(0, min(n, version-d.firstVersion)):n] {
			hosts = append(hosts, change.host)
		}
	}
	for _, host := range hosts {
		if host.Health != healthReady {
			draining = append(draining, host.Host)
		}
		if !full || host.Health != healthGone { // a full list leaves out what is gone
			list.Hosts = append(list.Hosts, host)
		}
	}
	return list, draining
}

// count counts what became of a call.
func (d *Discovery) count(outcome string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[outcome]++
}

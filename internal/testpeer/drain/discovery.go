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

// NotificationTimeout is the time after which a change counts as notified to every node that could reach discovery
// throughout.
const NotificationTimeout = 6 * time.Second

// The values of Host.Health that discovery distinguishes; a host with any value but healthReady drains.
const (
	healthReady   = "ready"
	healthRemoved = "gone"
)

// Host is one entry of the host list, in the platform's format.
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

// hostList is the body of the answer to a call.
type hostList struct {
	Seq   int    `json:"seq"`
	Full  bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// change is the change of one host of the list.
type change struct {
	at   time.Time
	host Host
}

// attachment is the period in which a node polls this discovery. A zero until stands for the end of the test.
type attachment struct {
	from  time.Time
	until time.Time
}

// Queue determines how calls that do not continue a watch are handled: one after the other.
type Queue struct {
	ServiceTime   time.Duration // the time to serve a call; 0: calls are not queued
	RejectionTime time.Duration // the time to reject a call, by which the next call that is served is delayed
	Maximum       int           // the number of calls that may wait; further calls are rejected immediately
}

// Discovery is a discovery service that handles calls one after the other and knows when each node counts as notified.
// It is safe for concurrent use.
type Discovery struct {
	// Fault returns the fault of a node's call; the calls of each node are numbered from 0. It must be set before the
	// first call. If it is nil, there are no faults.
	Fault func(node string, call int) Fault

	t       testing.TB
	record  *Record
	serving chan struct{} // a semaphore: it holds a value while a queued call is served

	mu             sync.Mutex // guards all below
	queue          Queue
	waiting        int                  // the number of queued calls
	rejectionDelay time.Duration        // the total RejectionTime of the rejections that the next served call waits for
	lastAnswers    map[string]time.Time // when each node was last answered
	initialVersion int
	initialHosts   []Host
	changes        []change      // the n-th, from 0, makes version initialVersion+n+1
	changed        chan struct{} // closed and replaced whenever watches must wake up
	down           bool
	upTimes        []time.Time // each time at which it came up, the creation included
	downTimes      []time.Time // each time at which it went down
	silencedCount  int         // the number of SilenceWatches calls
	calls          map[string]int
	attachments    map[string][]attachment
	outcomes       map[string]int
}

// NewDiscovery creates a discovery with an initial host list and its version.
func NewDiscovery(t testing.TB, record *Record, version int, hosts []Host) *Discovery {
	return &Discovery{
		t:              t,
		record:         record,
		serving:        make(chan struct{}, 1),
		lastAnswers:    map[string]time.Time{},
		initialVersion: version,
		initialHosts:   hosts,
		changed:        make(chan struct{}),
		upTimes:        []time.Time{time.Now()},
		calls:          map[string]int{},
		attachments:    map[string][]attachment{},
		outcomes:       map[string]int{},
	}
}

// Listen starts to answer calls of one node, at the address that it returns.
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
			go d.handle(node, conn) // returns when its connection ends
		}
	}()
	return listener.Addr().String()
}

// Attach records from when a node is to poll this discovery.
func (d *Discovery) Attach(node string, from time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.attachments[node] = append(d.attachments[node], attachment{from: from})
}

// Detach records until when a node was to poll this discovery.
func (d *Discovery) Detach(node string, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if periods := d.attachments[node]; len(periods) > 0 {
		periods[len(periods)-1].until = until
	}
}

// SetHealth changes the health of a backend and wakes the watches.
func (d *Discovery) SetHealth(backend, health string) {
	d.t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	hosts := d.hostsAfter(len(d.changes))
	index := slices.IndexFunc(hosts, func(h Host) bool { return h.Host == backend })
	require.GreaterOrEqual(d.t, index, 0, "%s is not listed", backend)
	host := hosts[index]
	host.Health = health
	d.changes = append(d.changes, change{time.Now(), host})
	d.wake()
}

// SetDown makes discovery go down, so that it resets all calls, or come up again.
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

// SilenceWatches makes discovery never respond to the watches that are open now.
func (d *Discovery) SilenceWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silencedCount++
	d.wake()
}

// SetQueue sets how calls are handled from now on.
func (d *Discovery) SetQueue(queue Queue) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue = queue
	d.rejectionDelay = 0
}

// Outcomes returns the number of calls by outcome.
func (d *Discovery) Outcomes() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.outcomes)
}

// LatestNotifications returns the time at which each node counts as notified at the latest, whatever the outcome of its
// calls.
func (d *Discovery) LatestNotifications() []Notification {
	d.mu.Lock()
	defer d.mu.Unlock()
	var notifications []Notification
	for _, change := range d.changes {
		if change.host.Health == healthReady {
			continue
		}
		for node, periods := range d.attachments {
			for _, period := range periods {
				due := d.reachableFrom(later(change.at, period.from)).Add(NotificationTimeout)
				if period.until.IsZero() || due.Before(period.until) {
					notifications = append(notifications,
						Notification{Node: node, Backend: change.host.Host, At: due, By: notifiedByDeadline})
				}
			}
		}
	}
	return notifications
}

// reachableFrom returns the first time, not before moment, from which discovery is up without interruption for
// NotificationTimeout. The caller holds d.mu.
func (d *Discovery) reachableFrom(moment time.Time) time.Time {
	for i, down := range d.downTimes {
		if !down.Before(moment.Add(NotificationTimeout)) {
			break
		}
		if i+1 < len(d.upTimes) {
			moment = later(moment, d.upTimes[i+1])
		} else {
			moment = moment.Add(time.Hour) // it stays down to the end of the test
		}
	}
	return moment
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// wake wakes the watches. The caller holds d.mu.
func (d *Discovery) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// hostsAfter returns the full list after the given number of changes. The caller holds d.mu.
func (d *Discovery) hostsAfter(changes int) []Host {
	hosts := slices.Clone(d.initialHosts)
	for _, change := range d.changes[:changes] {
		index := slices.IndexFunc(hosts, func(h Host) bool { return h.Host == change.host.Host })
		hosts[index] = change.host
	}
	return hosts
}

// changesSince returns the hosts that changed after a version, or the full list if the fault requires it, and the names
// of the backends that drain according to the returned list, including removed ones that a full list omits.
func (d *Discovery) changesSince(version int, fault Fault) (list hostList, draining []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := len(d.changes)
	full := fault.Full
	if fault.Stale && n > 0 {
		n--
		full = true
	}
	list = hostList{Seq: d.initialVersion + n, Full: full, Hosts: []Host{}}
	var hosts []Host
	if full {
		hosts = d.hostsAfter(n)
	} else {
		for _, change := range d.changes[max(0, min(n, version-d.initialVersion)):n] {
			hosts = append(hosts, change.host)
		}
	}
	for _, host := range hosts {
		if host.Health != healthReady {
			draining = append(draining, host.Host)
		}
		if !full || host.Health != healthRemoved { // a full list omits removed hosts
			list.Hosts = append(list.Hosts, host)
		}
	}
	return list, draining
}

// countOutcome counts a call's outcome.
func (d *Discovery) countOutcome(outcome string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outcomes[outcome]++
}

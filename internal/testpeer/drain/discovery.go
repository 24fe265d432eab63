package drain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Due is the time after which a change counts as told to whoever could reach discovery.
const Due = 6 * time.Second

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

type hostList struct {
	Seq   int    `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Fault is what becomes of one call.
type Fault struct {
	Silent   bool          // never answered: discovery has forgotten it
	Half     bool          // half of an answer, and silence
	Reset    time.Duration // reset so long after it came; 0: not
	Late     time.Duration // the answer is written so much later than it is made
	Pieces   time.Duration // the answer comes in six pieces, with this between them
	Whole    bool          // the whole list in place of changes
	Older    bool          // the whole list as it was before the last change, with that version, at once
	Indented bool
}

type change struct {
	at   time.Time
	host Host
}

// Discovery is a stand-in that handles calls in turn, and knows when each node counts as told.
type Discovery struct {
	// Fault, set before the first call, says what becomes of a node's call, which are numbered from 0; nil: nothing.
	Fault   func(node string, call int) Fault
	t       testing.TB
	record  *Record
	serving chan struct{}

	mu           sync.Mutex
	line         Line
	waiting      int                  // that stand in line
	debt         time.Duration        // for those that were turned away
	answered     map[string]time.Time // the last answer to each node: a call right behind it goes on with its watch
	changes      []change             // the n-th makes version base+n+1
	firstVersion int                  // the version of the first list
	firstHosts   []Host               // that list
	changed      chan struct{}        // closed at the next change, and as it goes down
	down         bool
	forgotten    int         // how often all open watches were
	upTimes      []time.Time // when it came up, each time
	downTimes    []time.Time // when it went down
	calls        map[string]int
	attached     map[string][]span
	counts       map[string]int
}

// span is from when to when a node asks this discovery; a zero until: to the end.
type span struct{ from, until time.Time }

// NewDiscovery makes one that holds a list, with a version.
func NewDiscovery(t testing.TB, record *Record, version int, hosts []Host) *Discovery {
	return &Discovery{t: t, record: record, serving: make(chan struct{}, 1), firstVersion: version, firstHosts: hosts, changed: make(chan struct{}),
		upTimes: []time.Time{time.Now()}, calls: map[string]int{}, attached: map[string][]span{}, counts: map[string]int{}, answered: map[string]time.Time{}}
}

// Listen has discovery answer one node, at the address that is returned.
func (d *Discovery) Listen(node string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(d.t, err)
	d.t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.handle(node, c)
		}
	}()
	return l.Addr().String()
}

// Attach notes from when on a node is to ask this discovery.
func (d *Discovery) Attach(node string, from time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.attached[node] = append(d.attached[node], span{from: from})
}

// Detach notes until when a node was to ask this discovery.
func (d *Discovery) Detach(node string, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if all := d.attached[node]; len(all) > 0 {
		all[len(all)-1].until = until
	}
}

// Set changes the health of a server, and wakes the watches.
func (d *Discovery) Set(server, health string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	hosts := d.hostsAfter(len(d.changes))
	at := slices.IndexFunc(hosts, func(h Host) bool { return h.Host == server })
	require.GreaterOrEqual(d.t, at, 0, "%s is not listed", server)
	host := hosts[at]
	host.Health = health
	d.changes = append(d.changes, change{time.Now(), host})
	d.wake()
}

// SetDown has discovery reset whatever calls, or come back.
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

// Forget has all watches that are open fall silent.
func (d *Discovery) Forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forgotten++
	d.wake()
}

// Line is how calls that do not go on with a watch are handled: one after the other.
type Line struct {
	Each    time.Duration // that one takes
	Refused time.Duration // that it takes to turn one away; whoever is served next waits for it
	Most    int           // that stand in line; further ones are turned away at once
}

// Handle sets how calls are handled; the zero Line: all at once.
func (d *Discovery) Handle(l Line) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.line, d.debt = l, 0
}

// Counts are the calls by what became of them.
func (d *Discovery) Counts() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := map[string]int{}
	for what, n := range d.counts {
		all[what] = n
	}
	return all
}

// DueNotifications is when each node counts as told at the latest, whatever became of its calls.
func (d *Discovery) DueNotifications() []Notification {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []Notification
	for _, c := range d.changes {
		if c.host.Health == "ready" {
			continue
		}
		for node, spans := range d.attached {
			for _, r := range spans {
				from := d.reachableFrom(later(c.at, r.from))
				if r.until.IsZero() || from.Add(Due).Before(r.until) {
					all = append(all, Notification{node, c.host.Host, from.Add(Due), "due"})
				}
			}
		}
	}
	return all
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// reachableFrom is the first moment, from at on, at which discovery is up for as long as what it has needs to count as told.
func (d *Discovery) reachableFrom(at time.Time) time.Time {
	for i, down := range d.downTimes {
		if !down.Before(at.Add(Due)) {
			break
		}
		if i+1 < len(d.upTimes) {
			at = later(at, d.upTimes[i+1])
		} else {
			at = at.Add(time.Hour) // down to the end
		}
	}
	return at
}

func (d *Discovery) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// hostsAfter is the list after so many changes.
func (d *Discovery) hostsAfter(changes int) []Host {
	all := slices.Clone(d.firstHosts)
	for _, c := range d.changes[:changes] {
		at := slices.IndexFunc(all, func(h Host) bool { return h.Host == c.host.Host })
		all[at] = c.host
	}
	return all
}

// changesSince is what is newer than a version, or all, and the servers whose departure it tells.
func (d *Discovery) changesSince(after int, f Fault) (l hostList, leaving []string) {
	n := len(d.changes)
	if f.Older && n > 0 {
		n--
		f.Whole = true
	}
	l = hostList{Seq: d.firstVersion + n, Whole: f.Whole, Hosts: []Host{}}
	if f.Whole {
		for _, h := range d.hostsAfter(n) {
			if h.Health != "ready" {
				leaving = append(leaving, h.Host)
			}
			if h.Health != "gone" {
				l.Hosts = append(l.Hosts, h)
			}
		}
		return l, leaving
	}
	for _, c := range d.changes[max(0, min(n, after-d.firstVersion)):n] {
		l.Hosts = append(l.Hosts, c.host)
		if c.host.Health != "ready" {
			leaving = append(leaving, c.host.Host)
		}
	}
	return l, leaving
}

func (d *Discovery) count(what string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[what]++
}

// handle serves the one call of a connection.
func (d *Discovery) handle(node string, c net.Conn) {
	defer c.Close()
	if d.isDown() {
		d.reset(c)
		return
	}
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	left := make(chan struct{}) // closed once the node has closed the call
	go func() {
		_, _ = io.Copy(io.Discard, c)
		close(left)
	}()
	d.mu.Lock()
	number := d.calls[node]
	d.calls[node]++
	d.mu.Unlock()
	var f Fault
	if d.Fault != nil {
		f = d.Fault(node, number)
	}
	if !d.takeTurn(node, left) {
		d.count("turned away")
		_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	}
	switch {
	case f.Silent:
		d.count("silent")
		<-left
		return
	case f.Half:
		d.count("half")
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"seq\":")
		<-left
		return
	}
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms")) // none: 0
	f.Whole = f.Whole || err != nil
	if err == nil && !f.Older {
		switch d.await(after, time.Duration(wait)*time.Millisecond, f.Reset, left) {
		case waitBroken:
			d.count("reset")
			d.reset(c)
			return
		case waitForgotten:
			d.count("silent")
			<-left
			return
		}
	}
	d.write(node, c, after, f, left)
}

func (d *Discovery) isDown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down
}

func (d *Discovery) reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
}

// watchContinuation is within what time of an answer the next call goes on with the watch.
const watchContinuation = 200 * time.Millisecond

// takeTurn has the call handled behind those that came before it. False: too many did.
func (d *Discovery) takeTurn(node string, left <-chan struct{}) bool {
	d.mu.Lock()
	line := d.line
	if line.Each == 0 || time.Since(d.answered[node]) < watchContinuation {
		d.mu.Unlock()
		return true
	}
	if d.waiting >= line.Most {
		d.debt += line.Refused
		d.mu.Unlock()
		return false
	}
	d.waiting++
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		d.waiting--
		d.mu.Unlock()
	}()
	select {
	case d.serving <- struct{}{}:
	case <-left:
		return true
	}
	d.mu.Lock()
	debt := d.debt
	d.debt = 0
	d.mu.Unlock()
	time.Sleep(line.Each + debt)
	<-d.serving
	return true
}

// waitResult is how the wait of a watch ends.
type waitResult int

const (
	waitAnswered  waitResult = iota
	waitBroken               // discovery went down, or resets the call
	waitForgotten            // it is never answered
)

// await waits for something newer than a version, and for the wait's end at most.
func (d *Discovery) await(after int, wait, reset time.Duration, left <-chan struct{}) waitResult {
	end := time.NewTimer(wait)
	defer end.Stop()
	var breaks <-chan time.Time
	if reset > 0 {
		breaks = time.After(reset)
	}
	d.mu.Lock()
	times := d.forgotten
	d.mu.Unlock()
	for {
		d.mu.Lock()
		down, gone, newest, changed := d.down, d.forgotten > times, d.firstVersion+len(d.changes), d.changed
		d.mu.Unlock()
		switch {
		case down:
			return waitBroken
		case gone:
			return waitForgotten
		case newest > after, newest < after: // versions that are not this discovery's
			return waitAnswered
		}
		select {
		case <-changed:
		case <-end.C:
			return waitAnswered
		case <-breaks:
			return waitBroken
		case <-left:
			return waitAnswered
		}
	}
}

// write answers the call. Whom it tells of a departure counts as told once the last byte is written, unless the node had closed
// the call before.
func (d *Discovery) write(node string, c net.Conn, after int, f Fault, left <-chan struct{}) {
	d.mu.Lock()
	l, leaving := d.changesSince(after, f)
	d.mu.Unlock()
	time.Sleep(f.Late)
	body, err := json.Marshal(l)
	if f.Indented {
		body, err = json.MarshalIndent(l, "", "  ")
	}
	if err != nil {
		d.t.Error(err)
		return
	}
	raw := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(body), body)
	if f.Pieces > 0 {
		for size := (len(raw) + 5) / 6; len(raw) > size; raw = raw[size:] {
			_, _ = c.Write(raw[:size])
			time.Sleep(f.Pieces)
		}
	}
	select {
	case <-left:
		d.count("given up")
		return
	default:
	}
	at := time.Now()
	if _, err := c.Write(raw); err != nil {
		return
	}
	d.count("answered")
	d.mu.Lock()
	d.answered[node] = at
	d.mu.Unlock()
	for _, server := range leaving {
		d.record.addNotification(Notification{node, server, at, "written"})
	}
	select { // what is closed at once would be reset if the node had sent more
	case <-left:
	case <-time.After(time.Second):
	}
}

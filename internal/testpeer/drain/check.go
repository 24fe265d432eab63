// Package drain has what a test of the drain rule needs: a stand-in discovery that knows when each node counts as told that a server
// leaves, stand-in servers that note the moment of each request's first byte, and the check of one against the other. It is used by
// tests alone.
package drain

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Notification is the moment from which a node counts as told that a server leaves.
type Notification struct {
	Node, Backend string
	At            time.Time
	By            string // what told it: "written" or "due"
}

// Send is a request as a server saw it. Lag is how late this process was around that moment, by which At may be too late.
type Send struct {
	Node, Backend, TraceID string
	At                     time.Time
	Lag                    time.Duration
}

// Violation is a send to a server that its node had been told to leave alone.
type Violation struct {
	Send         Send
	Notification Notification
}

// String implements fmt.Stringer.
func (v Violation) String() string {
	return fmt.Sprintf("%s sent %s to %s %v after it was told (%s)", v.Send.Node, v.Send.TraceID, v.Send.Backend,
		v.Send.At.Sub(v.Notification.At).Round(time.Millisecond), v.Notification.By)
}

// ProcessStarts are the moments in which a node's processes started, in order. What was told to one process is not held against the next.
type ProcessStarts map[string][]time.Time

// process is the number of the process that a node has at a moment.
func (l ProcessStarts) process(node string, at time.Time) int {
	n := 0
	for _, start := range l[node] {
		if !start.After(at) {
			n++
		}
	}
	return n
}

// Check finds the sends that came more than grace after the earliest moment at which their node's process counts as told.
func Check(told []Notification, sends []Send, lives ProcessStarts, grace time.Duration) []Violation {
	type key struct {
		node, server string
		life         int
	}
	first := map[key]Notification{}
	for _, t := range told {
		k := key{t.Node, t.Backend, lives.process(t.Node, t.At)}
		if earlier, known := first[k]; !known || t.At.Before(earlier.At) {
			first[k] = t
		}
	}
	var found []Violation
	for _, s := range sends {
		t, known := first[key{s.Node, s.Backend, lives.process(s.Node, s.At)}]
		if known && s.At.Add(-s.Lag).After(t.At.Add(grace)) {
			found = append(found, Violation{s, t})
		}
	}
	slices.SortFunc(found, func(a, b Violation) int { return cmp.Compare(a.Send.At.UnixNano(), b.Send.At.UnixNano()) })
	return found
}

// Record collects what stand-ins saw.
type Record struct {
	mu            sync.Mutex
	notifications []Notification
	sends         []Send
	starts        ProcessStarts
	lag           lag
}

// NewRecord starts a record; its own lateness is watched until stop is closed.
func NewRecord(stop <-chan struct{}) *Record {
	r := &Record{starts: ProcessStarts{}}
	go r.lag.watch(stop)
	return r
}

func (r *Record) addNotification(t Notification) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notifications = append(r.notifications, t)
}

func (r *Record) addSend(s Send) {
	s.Lag = r.lag.present()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sends = append(r.sends, s)
}

// Started notes that a process of a node starts.
func (r *Record) Started(node string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[node] = append(r.starts[node], at)
}

// Sends are all sends so far.
func (r *Record) Sends() []Send {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.sends)
}

// Violations checks what was recorded, and what is due.
func (r *Record) Violations(due []Notification, grace time.Duration) []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Check(append(slices.Clone(r.notifications), due...), r.sends, r.starts, grace)
}

// MaximumLag is the longest by which this process was late.
func (r *Record) MaximumLag() time.Duration { return r.lag.longest() }

const (
	lagInterval = 5 * time.Millisecond
	lagMemory   = 500 * time.Millisecond
)

// lag measures by how much a goroutine of this process is woken too late.
type lag struct {
	mu            sync.Mutex
	recentMaximum time.Duration // the largest that was seen within lagFor
	recentAt      time.Time     // when
	maximum       time.Duration
}

func (l *lag) watch(stop <-chan struct{}) {
	for last := time.Now(); ; last = time.Now() {
		select {
		case <-stop:
			return
		case <-time.After(lagInterval):
		}
		late := time.Since(last) - lagInterval
		l.mu.Lock()
		if late > l.recentMaximum || time.Since(l.recentAt) > lagMemory {
			l.recentMaximum, l.recentAt = late, time.Now()
		}
		l.maximum = max(l.maximum, late)
		l.mu.Unlock()
	}
}

func (l *lag) present() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.recentMaximum)
}

func (l *lag) longest() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maximum
}

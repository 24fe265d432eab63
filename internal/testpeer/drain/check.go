// Package drain checks the drain rule in tests: a discovery that knows from when on each node counts as notified that a
// backend drains, backends that record the moment of each request's first byte, and the check of one against the other.
// Only tests use it.
package drain

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// The ways in which a node comes to count as notified.
const (
	byWritten = "written" // discovery wrote it to the node
	byDue     = "due"     // the time to learn of it is over
)

// Notification is the moment from which a node counts as notified that a backend drains.
type Notification struct {
	Node    string
	Backend string
	At      time.Time
	By      string // "written" or "due"
}

// Send is a request as a backend received it.
type Send struct {
	Node    string
	Backend string
	TraceID string
	At      time.Time
	// Lag is how late this process was around that moment: At may be too late by it.
	Lag time.Duration
}

// Violation is a request to a backend that its node was notified to drain.
type Violation struct {
	Send         Send
	Notification Notification
}

// String implements fmt.Stringer.
func (v Violation) String() string {
	late := v.Send.At.Sub(v.Notification.At).Round(time.Millisecond)
	return fmt.Sprintf("%s sent %s to %s %v after it was told (%s)", v.Send.Node, v.Send.TraceID, v.Send.Backend, late,
		v.Notification.By)
}

// ProcessStarts holds the moments at which each node's processes started, in order. What one process was notified of is
// not held against the next.
type ProcessStarts map[string][]time.Time

// process returns the number of the process that a node has at a moment, from 1 on; 0 before the first start.
func (s ProcessStarts) process(node string, at time.Time) int {
	n := 0
	for _, start := range s[node] {
		if !start.After(at) {
			n++
		}
	}
	return n
}

// Check returns the sends that came more than grace after the earliest moment at which their node's process counts as
// notified, in the order of time.
func Check(notifications []Notification, sends []Send, starts ProcessStarts, grace time.Duration) []Violation {
	type key struct {
		node, backend string
		process       int
	}
	earliest := map[key]Notification{}
	for _, notification := range notifications {
		process := starts.process(notification.Node, notification.At)
		k := key{notification.Node, notification.Backend, process}
		if known, ok := earliest[k]; !ok || notification.At.Before(known.At) {
			earliest[k] = notification
		}
	}
	var found []Violation
	for _, send := range sends {
		notification, ok := earliest[key{send.Node, send.Backend, starts.process(send.Node, send.At)}]
		if ok && send.At.Add(-send.Lag).After(notification.At.Add(grace)) {
			found = append(found, Violation{send, notification})
		}
	}
	slices.SortFunc(found, func(a, b Violation) int { return cmp.Compare(a.Send.At.UnixNano(), b.Send.At.UnixNano()) })
	return found
}

// Record collects what the discovery and the backends of a test saw. It is safe for concurrent use.
type Record struct {
	lag lagMeter

	mu            sync.Mutex // guards all below
	notifications []Notification
	sends         []Send
	starts        ProcessStarts
}

// NewRecord creates an empty record, which measures this process's lag until stop is closed.
func NewRecord(stop <-chan struct{}) *Record {
	r := &Record{starts: ProcessStarts{}}
	go r.lag.measure(stop)
	return r
}

func (r *Record) addNotification(notification Notification) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notifications = append(r.notifications, notification)
}

func (r *Record) addSend(send Send) {
	send.Lag = r.lag.present()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sends = append(r.sends, send)
}

// Started records that a process of a node starts.
func (r *Record) Started(node string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[node] = append(r.starts[node], at)
}

// Sends returns all sends so far.
func (r *Record) Sends() []Send {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.sends)
}

// Violations checks what was recorded, and the notifications that are due.
func (r *Record) Violations(due []Notification, grace time.Duration) []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Check(append(slices.Clone(r.notifications), due...), r.sends, r.starts, grace)
}

// MaximumLag returns the longest by which this process was late.
func (r *Record) MaximumLag() time.Duration { return r.lag.longest() }

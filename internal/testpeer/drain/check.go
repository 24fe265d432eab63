// Package drain checks in tests that nodes stop sending requests to a draining backend in time. It provides a discovery
// service that knows from when each node counts as notified that a backend drains, backends that record when the first
// byte of each request arrives, and the check that compares the two. Only tests use it.
package drain

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// The values of Notification.By: why a node counts as notified.
const (
	notifiedByWrite    = "written" // discovery has written the change to the node
	notifiedByDeadline = "due"     // the time within which the node must learn of the change is over
)

// Notification is the time from which a node counts as notified that a backend drains.
type Notification struct {
	Node    string
	Backend string
	At      time.Time
	By      string // the reason: "written" or "due"
}

// Send is a request as a backend received it.
type Send struct {
	Node    string
	Backend string
	TraceID string
	At      time.Time // when its first byte arrived
	// Lag is the lag of this process at that time: At may be too late by as much.
	Lag time.Duration
}

// Violation is a request that a node sent to a backend after it had been notified that the backend drains.
type Violation struct {
	Send         Send
	Notification Notification
}

// String implements fmt.Stringer.
func (v Violation) String() string {
	delay := v.Send.At.Sub(v.Notification.At).Round(time.Millisecond)
	return fmt.Sprintf("%s sent %s to %s %v after its notification (%s)",
		v.Send.Node, v.Send.TraceID, v.Send.Backend, delay, v.Notification.By)
}

// ProcessStarts holds the start times of each node's processes, by node and in order. A notification of one process of
// a node does not count for the next.
type ProcessStarts map[string][]time.Time

// process returns the number, from 1, of the process that a node runs at a moment; 0 before the first start.
func (s ProcessStarts) process(node string, moment time.Time) int {
	count := 0
	for _, start := range s[node] {
		if !start.After(moment) {
			count++
		}
	}
	return count
}

// Check returns the sends that arrived more than grace after the time at which their node's process first counted as
// notified, ordered by arrival. A send's lag is subtracted from its arrival time.
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

// Record collects the notifications of a test's discovery, the sends to its backends and the starts of its nodes. It is
// safe for concurrent use.
type Record struct {
	lag lagMeter

	mu            sync.Mutex // guards all below
	notifications []Notification
	sends         []Send
	starts        ProcessStarts
}

// NewRecord creates an empty record, which measures the lag of this process until stop is closed.
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
	send.Lag = r.lag.recent()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sends = append(r.sends, send)
}

// Started records that a process of a node started at the given time.
func (r *Record) Started(node string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[node] = append(r.starts[node], at)
}

// Sends returns all sends recorded so far.
func (r *Record) Sends() []Send {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.sends)
}

// Violations returns the result of Check for the recorded notifications, those given as due, and the recorded sends.
func (r *Record) Violations(due []Notification, grace time.Duration) []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Check(append(slices.Clone(r.notifications), due...), r.sends, r.starts, grace)
}

// MaximumLag returns the longest lag of this process that was measured.
func (r *Record) MaximumLag() time.Duration { return r.lag.longest() }

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

// Told is the moment from which a node counts as told that a server leaves.
type Told struct {
	Node, Server string
	At           time.Time
	By           string // what told it: "written" or "due"
}

// Send is a request as a server saw it. Lag is how late this process was around that moment, by which At may be too late.
type Send struct {
	Node, Server, Trace string
	At                  time.Time
	Lag                 time.Duration
}

// Violation is a send to a server that its node had been told to leave alone.
type Violation struct {
	Send Send
	Told Told
}

// String implements fmt.Stringer.
func (v Violation) String() string {
	return fmt.Sprintf("%s sent %s to %s %v after it was told (%s)", v.Send.Node, v.Send.Trace, v.Send.Server,
		v.Send.At.Sub(v.Told.At).Round(time.Millisecond), v.Told.By)
}

// Lives are the moments in which a node's processes started, in order. What was told to one process is not held against the next.
type Lives map[string][]time.Time

// at is the number of the process that a node has at a moment.
func (l Lives) at(node string, at time.Time) int {
	n := 0
	for _, start := range l[node] {
		if !start.After(at) {
			n++
		}
	}
	return n
}

// Check finds the sends that came more than grace after the earliest moment at which their node's process counts as told.
func Check(told []Told, sends []Send, lives Lives, grace time.Duration) []Violation {
	type key struct {
		node, server string
		life         int
	}
	first := map[key]Told{}
	for _, t := range told {
		k := key{t.Node, t.Server, lives.at(t.Node, t.At)}
		if earlier, known := first[k]; !known || t.At.Before(earlier.At) {
			first[k] = t
		}
	}
	var found []Violation
	for _, s := range sends {
		t, known := first[key{s.Node, s.Server, lives.at(s.Node, s.At)}]
		if known && s.At.Add(-s.Lag).After(t.At.Add(grace)) {
			found = append(found, Violation{s, t})
		}
	}
	slices.SortFunc(found, func(a, b Violation) int { return cmp.Compare(a.Send.At.UnixNano(), b.Send.At.UnixNano()) })
	return found
}

// Record collects what stand-ins saw.
type Record struct {
	mu    sync.Mutex
	told  []Told
	sends []Send
	lives Lives
	lag   lag
}

// NewRecord starts a record; its own lateness is watched until stop is closed.
func NewRecord(stop <-chan struct{}) *Record {
	r := &Record{lives: Lives{}}
	go r.lag.watch(stop)
	return r
}

func (r *Record) addTold(t Told) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told = append(r.told, t)
}

func (r *Record) addSend(s Send) {
	s.Lag = r.lag.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sends = append(r.sends, s)
}

// Started notes that a process of a node starts.
func (r *Record) Started(node string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lives[node] = append(r.lives[node], at)
}

// Sends are all sends so far.
func (r *Record) Sends() []Send {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.sends)
}

// Violations checks what was recorded, and what is due.
func (r *Record) Violations(due []Told, grace time.Duration) []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Check(append(slices.Clone(r.told), due...), r.sends, r.lives, grace)
}

// MostLag is the longest by which this process was late.
func (r *Record) MostLag() time.Duration { return r.lag.most() }

const (
	lagEvery = 5 * time.Millisecond
	lagFor   = 500 * time.Millisecond
)

// lag measures by how much a goroutine of this process is woken too late.
type lag struct {
	mu     sync.Mutex
	recent time.Duration // the largest that was seen within lagFor
	seen   time.Time     // when
	all    time.Duration
}

func (l *lag) watch(stop <-chan struct{}) {
	for last := time.Now(); ; last = time.Now() {
		select {
		case <-stop:
			return
		case <-time.After(lagEvery):
		}
		late := time.Since(last) - lagEvery
		l.mu.Lock()
		if late > l.recent || time.Since(l.seen) > lagFor {
			l.recent, l.seen = late, time.Now()
		}
		l.all = max(l.all, late)
		l.mu.Unlock()
	}
}

func (l *lag) now() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.recent)
}

func (l *lag) most() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all
}

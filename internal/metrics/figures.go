// Package metrics owns the counters that a node shows to its operators. Each counter is written in one place, where the event
// itself happens, and read by the console and by the Prometheus endpoint. No call blocks.
package metrics

import (
	"bytes"
	"fmt"
	"slices"
	"sync/atomic"
)

// Outcome is how a request ended for its client.
type Outcome int

// The outcomes of a request, in the order of OutcomeNames.
const (
	Succeeded Outcome = iota // served whole
	Rejected                 // refused; coming again is harmless
	Failed                   // failed, or broken off
	outcomeCount
)

// OutcomeNames are the names of the ends.
var OutcomeNames = [outcomeCount]string{"success", "busy", "failure"}

// UnsentCause is why a request was answered as failed though nothing of it was sent on.
type UnsentCause int

// Why nothing of a request was forwarded.
const (
	Malformed   UnsentCause = iota // it says what nobody can mean
	DuplicateID                    // its id is that of another request
	SlowBody                       // it did not come whole in time
	Abandoned                      // by the module, before any attempt
	unsentCauseCount
)

// UnsentCauseNames are their names.
var UnsentCauseNames = [unsentCauseCount]string{"malformed", "repeated", "slow_body", "given_up"}

// SilentCloseCause is why a client's connection on which nothing was ever written was closed by this node.
type SilentCloseCause int

// Why a silent client connection was closed.
const (
	NoCapacity SilentCloseCause = iota // it rested, or said nothing, while places were short
	SlowHeader                         // no whole request came in time
	Stopping                           // the node stops, or is drained
	Unreadable                         // what came was no request that may be answered
	silentCloseCauseCount
)

// SilentCloseCauseNames are their names.
var SilentCloseCauseNames = [silentCloseCauseCount]string{"no_room", "slow_head", "stopping", "unread"}

// maxClasses bounds the classes that are counted: configurations that are read again may bring new ones for ever.
const maxClasses = 256

// Class is what is counted of one class of requests.
type Class struct {
	Name   string
	counts [outcomeCount]atomic.Uint64
}

// Count is how many of its requests ended so.
func (c *Class) Count(e Outcome) uint64 { return c.counts[e].Load() }

// Counters are the counts. A nil one counts nothing.
type Counters struct {
	// OpenRequests says how many requests are taken and not ended.
	OpenRequests func() int

	classes         atomic.Pointer[[]*Class] // by the module's indexes
	allClasses      atomic.Pointer[[]*Class] // those of earlier configurations too
	attempts        atomic.Uint64
	listed, avoided atomic.Int64
	unsent          [unsentCauseCount]atomic.Uint64
	silentClose     [silentCloseCauseCount]atomic.Uint64
}

// New makes figures of these classes, which all stand at 0. open says how many requests are taken and not ended.
func New(classes []string, open func() int) *Counters {
	f := &Counters{OpenRequests: open}
	f.allClasses.Store(&[]*Class{})
	f.SetClasses(classes)
	return f
}

// SetClasses takes on the classes of a new configuration. What was counted stays with its name.
func (f *Counters) SetClasses(names []string) {
	every := slices.Clone(*f.allClasses.Load())
	var classes []*Class
	for _, name := range names {
		i := slices.IndexFunc(every, func(c *Class) bool { return c.Name == name })
		if i < 0 && len(every) < maxClasses {
			i = len(every)
			every = append(every, &Class{Name: name})
		}
		if i < 0 {
			classes = append(classes, &Class{Name: name})
			continue
		}
		classes = append(classes, every[i])
	}
	f.classes.Store(&classes)
	f.allClasses.Store(&every)
}

// CountRequest counts the end of a request.
func (f *Counters) CountRequest(class int, e Outcome) {
	if f == nil {
		return
	}
	if classes := *f.classes.Load(); class >= 0 && class < len(classes) {
		classes[class].counts[e].Add(1)
	}
}

// CountAttempt counts an attempt that is written whole to a backend.
func (f *Counters) CountAttempt() {
	if f != nil {
		f.attempts.Add(1)
	}
}

// CountFailedUnsent counts a request that is answered as failed and was never sent on.
func (f *Counters) CountFailedUnsent(why UnsentCause) {
	if f != nil {
		f.unsent[why].Add(1)
	}
}

// CountSilentClose counts a client's connection that this node closed without an answer.
func (f *Counters) CountSilentClose(why SilentCloseCause) {
	if f != nil {
		f.silentClose[why].Add(1)
	}
}

// FailedUnsentCount is how many requests were answered as failed, and never sent on, for this cause.
func (f *Counters) FailedUnsentCount(why UnsentCause) uint64 { return f.unsent[why].Load() }

// SilentCloseCount is how many connections were closed without an answer for this cause.
func (f *Counters) SilentCloseCount(why SilentCloseCause) uint64 { return f.silentClose[why].Load() }

// SetBackends notes how many backends are listed, and how many of them the module avoids.
func (f *Counters) SetBackends(listed, avoided int) {
	if f != nil {
		f.listed.Store(int64(listed))
		f.avoided.Store(int64(avoided))
	}
}

// RequestTotal is how many requests have ended, of all classes.
func (f *Counters) RequestTotal() uint64 {
	n := uint64(0)
	for _, c := range f.Classes() {
		for e := range outcomeCount {
			n += c.Count(e)
		}
	}
	return n
}

// Classes are all classes that are counted.
func (f *Counters) Classes() []*Class { return *f.allClasses.Load() }

// Attempts is how many attempts were written whole to backends.
func (f *Counters) Attempts() uint64 { return f.attempts.Load() }

// Listed and Avoided are what Servers noted last.
func (f *Counters) Listed() int64 { return f.listed.Load() }

// Avoided is how many of the listed backends the module avoids.
func (f *Counters) Avoided() int64 { return f.avoided.Load() }

// Text is all figures, a line each.
func (f *Counters) Text() []byte {
	var b bytes.Buffer
	for _, c := range f.Classes() {
		for e, word := range OutcomeNames {
			fmt.Fprintf(&b, "app.calls.%s.%s=%d\n", c.Name, word, c.Count(Outcome(e)))
		}
	}
	fmt.Fprintf(&b, "app.backend_calls=%d\napp.inflight=%d\napp.hosts_listed=%d\napp.hosts_down=%d\n",
		f.Attempts(), f.OpenRequests(), f.Listed(), f.Avoided())
	for i, word := range UnsentCauseNames {
		fmt.Fprintf(&b, "app.failed_unsent.%s=%d\n", word, f.FailedUnsentCount(UnsentCause(i)))
	}
	for i, word := range SilentCloseCauseNames {
		fmt.Fprintf(&b, "app.closed_unheard.%s=%d\n", word, f.SilentCloseCount(SilentCloseCause(i)))
	}
	return b.Bytes()
}

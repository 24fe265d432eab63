// Package figures owns what the node counts for its staff. Each figure is written in one place, where the thing itself
// happens, and read by whoever shows it: the console, the metrics. Nothing here waits.
package figures

import (
	"bytes"
	"fmt"
	"slices"
	"sync/atomic"
)

// End is how a request ended for its client.
type End int

const (
	Success End = iota // served whole
	Busy               // refused; coming again is harmless
	Failure            // failed, or broken off
	ends
)

// Words are the names of the ends.
var Words = [ends]string{"success", "busy", "failure"}

// Unsent is why a request was answered as failed though nothing of it was sent on.
type Unsent int

const (
	Malformed Unsent = iota // it says what nobody can mean
	Repeated                // its id is that of another request
	SlowBody                // it did not come whole in time
	GivenUp                 // by the module, before any attempt
	unsents
)

// UnsentWords are their names.
var UnsentWords = [unsents]string{"malformed", "repeated", "slow_body", "given_up"}

// Unheard is why a client's connection on which nothing was ever written was closed by this node.
type Unheard int

const (
	NoRoom   Unheard = iota // it rested, or said nothing, while places were short
	SlowHead                // no whole request came in time
	Stopping                // the node stops, or is drained
	Unread                  // what came was no request that may be answered
	unheards
)

// UnheardWords are their names.
var UnheardWords = [unheards]string{"no_room", "slow_head", "stopping", "unread"}

// classesMost bounds the classes that are counted: configurations that are read again may bring new ones for ever.
const classesMost = 256

// Class is what is counted of one class of requests.
type Class struct {
	Name   string
	counts [ends]atomic.Uint64
}

// Count is how many of its requests ended so.
func (c *Class) Count(e End) uint64 { return c.counts[e].Load() }

// Figures are the counts. A nil one counts nothing.
type Figures struct {
	// Open says how many requests are taken and not ended.
	Open func() int

	classes        atomic.Pointer[[]*Class] // by the module's indexes
	every          atomic.Pointer[[]*Class] // those of earlier configurations too
	attempts       atomic.Uint64
	listed, avoids atomic.Int64
	unsent         [unsents]atomic.Uint64
	unheard        [unheards]atomic.Uint64
}

// New makes figures of these classes, which all stand at 0. open says how many requests are taken and not ended.
func New(classes []string, open func() int) *Figures {
	f := &Figures{Open: open}
	f.every.Store(&[]*Class{})
	f.Rename(classes)
	return f
}

// Rename takes on the classes of a new configuration. What was counted stays with its name.
func (f *Figures) Rename(names []string) {
	every := slices.Clone(*f.every.Load())
	var classes []*Class
	for _, name := range names {
		i := slices.IndexFunc(every, func(c *Class) bool { return c.Name == name })
		if i < 0 && len(every) < classesMost {
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
	f.every.Store(&every)
}

// Ended counts the end of a request.
func (f *Figures) Ended(class int, e End) {
	if f == nil {
		return
	}
	if classes := *f.classes.Load(); class >= 0 && class < len(classes) {
		classes[class].counts[e].Add(1)
	}
}

// Wrote counts an attempt that is written whole to a backend.
func (f *Figures) Wrote() {
	if f != nil {
		f.attempts.Add(1)
	}
}

// FailedUnsent counts a request that is answered as failed and was never sent on.
func (f *Figures) FailedUnsent(why Unsent) {
	if f != nil {
		f.unsent[why].Add(1)
	}
}

// ClosedUnheard counts a client's connection that this node closed without an answer.
func (f *Figures) ClosedUnheard(why Unheard) {
	if f != nil {
		f.unheard[why].Add(1)
	}
}

// Unsents is how many requests were answered as failed, and never sent on, for this cause.
func (f *Figures) Unsents(why Unsent) uint64 { return f.unsent[why].Load() }

// Unheards is how many connections were closed without an answer for this cause.
func (f *Figures) Unheards(why Unheard) uint64 { return f.unheard[why].Load() }

// Servers notes how many backends are listed, and how many of them the module avoids.
func (f *Figures) Servers(listed, avoided int) {
	if f != nil {
		f.listed.Store(int64(listed))
		f.avoids.Store(int64(avoided))
	}
}

// Total is how many requests have ended, of all classes.
func (f *Figures) Total() uint64 {
	n := uint64(0)
	for _, c := range f.Classes() {
		for e := range ends {
			n += c.Count(e)
		}
	}
	return n
}

// Classes are all classes that are counted.
func (f *Figures) Classes() []*Class { return *f.every.Load() }

// Attempts is how many attempts were written whole to backends.
func (f *Figures) Attempts() uint64 { return f.attempts.Load() }

// Listed and Avoided are what Servers noted last.
func (f *Figures) Listed() int64 { return f.listed.Load() }

// Avoided is how many of the listed backends the module avoids.
func (f *Figures) Avoided() int64 { return f.avoids.Load() }

// Text is all figures, a line each.
func (f *Figures) Text() []byte {
	var b bytes.Buffer
	for _, c := range f.Classes() {
		for e, word := range Words {
			fmt.Fprintf(&b, "app.calls.%s.%s=%d\n", c.Name, word, c.Count(End(e)))
		}
	}
	fmt.Fprintf(&b, "app.backend_calls=%d\napp.inflight=%d\napp.hosts_listed=%d\napp.hosts_down=%d\n",
		f.Attempts(), f.Open(), f.Listed(), f.Avoided())
	for i, word := range UnsentWords {
		fmt.Fprintf(&b, "app.failed_unsent.%s=%d\n", word, f.Unsents(Unsent(i)))
	}
	for i, word := range UnheardWords {
		fmt.Fprintf(&b, "app.closed_unheard.%s=%d\n", word, f.Unheards(Unheard(i)))
	}
	return b.Bytes()
}

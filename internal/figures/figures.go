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

// Wrote counts an attempt that is written whole to a real server.
func (f *Figures) Wrote() {
	if f != nil {
		f.attempts.Add(1)
	}
}

// Servers notes how many real servers are listed, and how many of them the module avoids.
func (f *Figures) Servers(listed, avoided int) {
	if f != nil {
		f.listed.Store(int64(listed))
		f.avoids.Store(int64(avoided))
	}
}

// Classes are all classes that are counted.
func (f *Figures) Classes() []*Class { return *f.every.Load() }

// Attempts is how many attempts were written whole to real servers.
func (f *Figures) Attempts() uint64 { return f.attempts.Load() }

// Listed and Avoided are what Servers noted last.
func (f *Figures) Listed() int64 { return f.listed.Load() }

// Avoided is how many of the listed real servers the module avoids.
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
	return b.Bytes()
}

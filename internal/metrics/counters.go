// Package metrics holds the counters that a node exposes to its operators. Each counter is incremented in one place,
// where the counted event happens, and read by the console and the Prometheus endpoint. No call blocks.
package metrics

import (
	"slices"
	"sync/atomic"
)

// maxClasses bounds the number of classes that are exposed, since each configuration reload may add new ones.
const maxClasses = 256

// Class holds the request counters of one class.
type Class struct {
	Name   string // as configured
	counts [outcomeCount]atomic.Uint64
}

// Count returns the number of requests of the class that ended with this outcome.
func (c *Class) Count(o Outcome) uint64 { return c.counts[o].Load() }

// Counters holds the counters of a node. All methods may be called concurrently, but SetClasses not with itself. The
// methods that record an event, and SetBackends, do nothing on a nil *Counters.
type Counters struct {
	// OpenRequests returns the number of requests that were accepted and have not ended. It must not block.
	OpenRequests func() int

	classes     atomic.Pointer[[]*Class] // classes of the configuration in force, by the decision module's index
	allClasses  atomic.Pointer[[]*Class] // these classes, and those of earlier configurations
	attempts    atomic.Uint64            // attempts written in full to backends
	listed      atomic.Int64             // backends in the endpoint list
	avoided     atomic.Int64             // listed backends that the decision module avoids
	unsent      [unsentCauseCount]atomic.Uint64
	silentClose [silentCloseCauseCount]atomic.Uint64
}

// New returns counters that are 0, for these classes. openRequests is stored as OpenRequests.
func New(classes []string, openRequests func() int) *Counters {
	c := &Counters{OpenRequests: openRequests}
	c.allClasses.Store(&[]*Class{})
	c.SetClasses(classes)
	return c
}

// SetClasses applies the classes of a new configuration. A class with a known name keeps its counts. It must not be
// called concurrently with itself.
func (c *Counters) SetClasses(names []string) {
	all := slices.Clone(*c.allClasses.Load())
	var classes []*Class
	for _, name := range names {
		i := slices.IndexFunc(all, func(class *Class) bool { return class.Name == name })
		if i >= 0 {
			classes = append(classes, all[i])
			continue
		}
		class := &Class{Name: name}
		classes = append(classes, class)
		if len(all) < maxClasses { // beyond that, a class is counted but not exposed
			all = append(all, class)
		}
	}
	c.classes.Store(&classes)
	c.allClasses.Store(&all)
}

// CountRequest counts a request that has ended. It ignores indexes that are not classes.
func (c *Counters) CountRequest(class int, outcome Outcome) {
	if c == nil {
		return
	}
	if classes := *c.classes.Load(); class >= 0 && class < len(classes) {
		classes[class].counts[outcome].Add(1)
	}
}

// CountAttempt counts an attempt that has been written in full to a backend.
func (c *Counters) CountAttempt() {
	if c != nil {
		c.attempts.Add(1)
	}
}

// CountFailedUnsent counts a request that failed without an attempt.
func (c *Counters) CountFailedUnsent(cause UnsentCause) {
	if c != nil {
		c.unsent[cause].Add(1)
	}
}

// CountSilentClose counts a client connection that this node closed without writing anything to it.
func (c *Counters) CountSilentClose(cause SilentCloseCause) {
	if c != nil {
		c.silentClose[cause].Add(1)
	}
}

// SetBackends sets the number of listed backends, and the number of those that the decision module avoids.
func (c *Counters) SetBackends(listed, avoided int) {
	if c != nil {
		c.listed.Store(int64(listed))
		c.avoided.Store(int64(avoided))
	}
}

// Classes returns all classes that are exposed, including those of earlier configurations.
func (c *Counters) Classes() []*Class { return *c.allClasses.Load() }

// RequestTotal returns the number of requests that have ended, over all Classes.
func (c *Counters) RequestTotal() uint64 {
	total := uint64(0)
	for _, class := range c.Classes() {
		for outcome := range outcomeCount {
			total += class.Count(outcome)
		}
	}
	return total
}

// Attempts returns the number of attempts that were written in full to backends.
func (c *Counters) Attempts() uint64 { return c.attempts.Load() }

// Listed returns the number of backends in the endpoint list.
func (c *Counters) Listed() int64 { return c.listed.Load() }

// Avoided returns the number of listed backends that the decision module avoids.
func (c *Counters) Avoided() int64 { return c.avoided.Load() }

// FailedUnsentCount returns the number of requests that failed without an attempt for this cause.
func (c *Counters) FailedUnsentCount(cause UnsentCause) uint64 { return c.unsent[cause].Load() }

// SilentCloseCount returns the number of connections that were closed silently for this cause.
func (c *Counters) SilentCloseCount(cause SilentCloseCause) uint64 {
	return c.silentClose[cause].Load()
}

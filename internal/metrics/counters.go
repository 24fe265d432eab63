// Package metrics owns the counters that a node shows to its operators. Each counter is written in one place, where the
// event itself happens, and read by the console and by the Prometheus endpoint. No call blocks.
package metrics

import (
	"slices"
	"sync/atomic"
)

// maxClasses bounds the classes that are counted: configurations that are reloaded may bring new ones without end.
const maxClasses = 256

// Class counts the requests of one class.
type Class struct {
	Name   string
	counts [outcomeCount]atomic.Uint64
}

// Count is how many of its requests had this outcome.
func (c *Class) Count(o Outcome) uint64 { return c.counts[o].Load() }

// Counters are the counters of a node. All methods may be called concurrently. Those that count do nothing on a nil
// *Counters.
type Counters struct {
	// OpenRequests returns how many requests are accepted and not ended. It must not block.
	OpenRequests func() int

	classes     atomic.Pointer[[]*Class] // of the configuration in force, by the decision module's indexes
	allClasses  atomic.Pointer[[]*Class] // of earlier configurations too
	attempts    atomic.Uint64
	listed      atomic.Int64
	avoided     atomic.Int64
	unsent      [unsentCauseCount]atomic.Uint64
	silentClose [silentCloseCauseCount]atomic.Uint64
}

// New returns counters that are all 0. openRequests becomes OpenRequests.
func New(classes []string, openRequests func() int) *Counters {
	c := &Counters{OpenRequests: openRequests}
	c.allClasses.Store(&[]*Class{})
	c.SetClasses(classes)
	return c
}

// SetClasses applies the classes of a new configuration. A class of the same name goes on with its counts. It must not
// be called concurrently with itself.
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
		if len(all) < maxClasses { // else it is counted, but not shown
			all = append(all, class)
		}
	}
	c.classes.Store(&classes)
	c.allClasses.Store(&all)
}

// CountRequest counts the end of a request. An index that is no class is ignored.
func (c *Counters) CountRequest(class int, outcome Outcome) {
	if c == nil {
		return
	}
	if classes := *c.classes.Load(); class >= 0 && class < len(classes) {
		classes[class].counts[outcome].Add(1)
	}
}

// CountAttempt counts an attempt that is written in full to a backend.
func (c *Counters) CountAttempt() {
	if c != nil {
		c.attempts.Add(1)
	}
}

// CountFailedUnsent counts a request that is answered as failed and was never sent.
func (c *Counters) CountFailedUnsent(cause UnsentCause) {
	if c != nil {
		c.unsent[cause].Add(1)
	}
}

// CountSilentClose counts a client's connection that this node closed without an answer.
func (c *Counters) CountSilentClose(cause SilentCloseCause) {
	if c != nil {
		c.silentClose[cause].Add(1)
	}
}

// SetBackends notes how many backends are listed, and how many of them the decision module avoids.
func (c *Counters) SetBackends(listed, avoided int) {
	if c != nil {
		c.listed.Store(int64(listed))
		c.avoided.Store(int64(avoided))
	}
}

// Classes are all classes that are counted and shown.
func (c *Counters) Classes() []*Class { return *c.allClasses.Load() }

// RequestTotal is how many requests have ended, over Classes.
func (c *Counters) RequestTotal() uint64 {
	total := uint64(0)
	for _, class := range c.Classes() {
		for outcome := range outcomeCount {
			total += class.Count(outcome)
		}
	}
	return total
}

// Attempts is how many attempts were written in full to backends.
func (c *Counters) Attempts() uint64 { return c.attempts.Load() }

// Listed is how many backends are listed.
func (c *Counters) Listed() int64 { return c.listed.Load() }

// Avoided is how many of the listed backends the decision module avoids.
func (c *Counters) Avoided() int64 { return c.avoided.Load() }

// FailedUnsentCount is how many requests failed unsent for this cause.
func (c *Counters) FailedUnsentCount(cause UnsentCause) uint64 { return c.unsent[cause].Load() }

// SilentCloseCount is how many connections were closed silently for this cause.
func (c *Counters) SilentCloseCount(cause SilentCloseCause) uint64 {
	return c.silentClose[cause].Load()
}

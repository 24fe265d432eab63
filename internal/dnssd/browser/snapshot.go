package browser

import (
	"time"

	"standpoint/internal/dnssd/record"
)

// republishInterval is how often an unchanged snapshot is published again, so that the receiver sees its age.
const republishInterval = 5 * time.Second

// minRetainedLabels is how many labels are kept before those of instances that have gone are dropped.
const minRetainedLabels = 64

// Snapshot is what is known of a service's instances at one time.
type Snapshot struct {
	Instances  []record.Instance // sorted by name
	Serial     *uint32           // the zone's; nil if the server reports none
	Mechanism  Mechanism         // by which the snapshot was obtained; never Auto
	ObservedAt time.Time         // the latest time at which it was known to be true
	Omitted    int               // instances beyond record.MaxInstances, which are listed but left out
}

// newSnapshot adds the instances in cache to s. labels has the instances' labels by canonical name, in the letters that
// the server sent; most of those that are no longer listed are dropped from it.
func newSnapshot(cache *record.Cache, service record.Service, labels map[string]string, s Snapshot) Snapshot {
	var names []string
	names, s.Omitted = cache.Instances(service)
	for _, name := range names {
		s.Instances = append(s.Instances, cache.Assemble(name, labels[name]))
	}
	for name := range labels {
		if len(labels) > 2*len(names)+minRetainedLabels && cache.Get(name, record.SRV) == nil {
			delete(labels, name)
		}
	}
	return s
}

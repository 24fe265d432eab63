package browser

import (
	"time"

	"standpoint/internal/dnssd/record"
)

// republishInterval is how often an unchanged snapshot is published again, so that the receiver can tell its age.
const republishInterval = 5 * time.Second

// minRetainedLabels is the number of labels that are retained in addition to two per listed instance. Only if there are
// more are those of withdrawn instances deleted.
const minRetainedLabels = 64

// Snapshot is the state of a service's instances at one time.
type Snapshot struct {
	Instances  []record.Instance // instances sorted by name
	Serial     *uint32           // serial of the zone; nil if the server reports none
	Mechanism  Mechanism         // mechanism by which the snapshot was obtained; never Auto
	ObservedAt time.Time         // latest time at which the snapshot was confirmed
	Omitted    int               // number of listed instances beyond record.MaxInstances, which are left out
}

// newSnapshot returns s with the instances in cache added. labels maps canonical names to instance labels, in the case
// that the server sent. Once it has grown well beyond the listed instances, labels without SRV records are deleted from
// it.
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

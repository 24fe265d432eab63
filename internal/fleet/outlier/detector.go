package outlier

import (
	"cmp"
	"slices"

	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/quota"
)

// Limits configure a Detector. Durations are in nanoseconds, shares are from 0 to 1.
type Limits struct {
	MinSources       int   // number of other nodes that must find a backend at fault before it is ejected
	EvidenceLifetime int64 // time after which evidence expires
	// OwnEvidenceLifetime is the time for which a node's own observation that a backend is healthy outweighs the
	// evidence of other nodes.
	OwnEvidenceLifetime int64
	MaxEjectedShare     float64 // maximum share of a zone's backends that is ejected
	// IsolationShare is a share of all backends. A node that finds more of them at fault is taken to be isolated
	// itself.
	IsolationShare float64
	ClockError     int64 // maximum difference between the clocks of two nodes
}

// Limits of the evidence that a node stores and publishes.
const (
	MaxBackends          = 4096 // maximum number of backends; further ones are ignored
	MaxSourcesPerBackend = 16   // maximum number of other nodes' evidence on a backend; the oldest is replaced
	MaxEvidencePerNode   = 8    // maximum number of backends on which a node publishes evidence at once
	minBackendsForShare  = 4    // with fewer backends, IsolationShare is not applied
)

// Backend is a backend in the endpoint list.
type Backend struct {
	Hash      uint64 // hash of its name
	Zone      int
	StartedAt int64 // start time of its process, Unix nanoseconds
}

// Detector collects the evidence of this node and of the others. It is not safe for concurrent use.
type Detector struct {
	Limits
	Owner      quota.Owner
	Invariants *invariant.Monitor

	backends map[uint64]Backend            // backends by hash
	own      map[uint64]Evidence           // this node's evidence by backend hash
	received map[uint64][]receivedEvidence // other nodes' evidence by backend hash, at most one of each slot
}

// New returns the detector of a node that has observed nothing.
func New(limits Limits, owner quota.Owner, monitor *invariant.Monitor) *Detector {
	return &Detector{
		Limits:     limits,
		Owner:      owner,
		Invariants: monitor,
		backends:   map[uint64]Backend{},
		own:        map[uint64]Evidence{},
		received:   map[uint64][]receivedEvidence{},
	}
}

// SetBackends replaces the list of ready backends. Evidence on other backends, and on earlier processes of these, is
// dropped.
func (d *Detector) SetBackends(backends []Backend) {
	clear(d.backends)
	for _, backend := range backends[:min(len(backends), MaxBackends)] {
		d.backends[backend.Hash] = backend
	}
	for hash, evidence := range d.own {
		if d.obsolete(evidence) {
			delete(d.own, hash)
		}
	}
	for hash, reports := range d.received {
		reports = slices.DeleteFunc(reports, func(r receivedEvidence) bool { return d.obsolete(r.Evidence) })
		if len(reports) == 0 {
			delete(d.received, hash)
		} else {
			d.received[hash] = reports
		}
	}
}

// obsolete reports whether evidence is on a backend or a process that is not listed.
func (d *Detector) obsolete(evidence Evidence) bool {
	backend, listed := d.backends[evidence.BackendHash]
	return !listed || backend.StartedAt != evidence.StartedAt
}

// Observe records an observation of this node. It replaces any earlier one of the same backend.
func (d *Detector) Observe(evidence Evidence) {
	known, ok := d.own[evidence.BackendHash]
	if d.obsolete(evidence) || ok && known.ObservedAt > evidence.ObservedAt {
		return
	}
	d.own[evidence.BackendHash] = evidence
}

// Receive records the evidence of another node. Evidence that is malformed, obsolete, expired or from the future is
// ignored.
func (d *Detector) Receive(owner quota.Owner, zone int, evidence Evidence, now int64) {
	if owner.Slot == d.Owner.Slot || d.obsolete(evidence) || evidence.Kind > Unreachable {
		return
	}
	if evidence.ObservedAt > now+d.ClockError || now-evidence.ObservedAt > d.EvidenceLifetime+d.ClockError {
		return
	}
	reports := d.received[evidence.BackendHash]
	report := receivedEvidence{owner: owner, zone: zone, Evidence: evidence}
	known := slices.IndexFunc(reports, func(r receivedEvidence) bool { return r.owner.Slot == owner.Slot })
	switch {
	case known >= 0:
		if report.isNewerThan(reports[known]) {
			reports[known] = report
		}
	case len(reports) < MaxSourcesPerBackend:
		d.received[evidence.BackendHash] = append(reports, report)
	default:
		if oldest := oldestReport(reports); reports[oldest].ObservedAt < evidence.ObservedAt {
			reports[oldest] = report
		}
	}
}

// oldestReport returns the index of the oldest evidence, or of the first of several that are equally old.
func oldestReport(reports []receivedEvidence) int {
	oldest := 0
	for i := range reports {
		if reports[i].ObservedAt < reports[oldest].ObservedAt {
			oldest = i
		}
	}
	return oldest
}

// EvidenceToPublish returns the evidence to send to other nodes, up to MaxEvidencePerNode: faults before healthy
// backends, and the latest observations first among each. A node that is isolated itself publishes none.
func (d *Detector) EvidenceToPublish(now int64) []Evidence {
	if d.isolated(now) {
		return nil
	}
	var current []Evidence
	for _, evidence := range d.own {
		if d.current(evidence, now) {
			current = append(current, evidence)
		}
	}
	slices.SortFunc(current, func(a, b Evidence) int {
		return cmp.Or(
			cmp.Compare(min(b.Kind, 1), min(a.Kind, 1)),
			cmp.Compare(b.ObservedAt, a.ObservedAt),
			cmp.Compare(a.BackendHash, b.BackendHash),
		)
	})
	return current[:min(len(current), MaxEvidencePerNode)]
}

// current reports whether evidence has not expired.
func (d *Detector) current(evidence Evidence, now int64) bool {
	return now-evidence.ObservedAt <= d.EvidenceLifetime
}

// isolated reports whether this node finds so many backends at fault that it is more likely isolated itself.
func (d *Detector) isolated(now int64) bool {
	faults := 0
	for _, evidence := range d.own {
		if evidence.Kind != Healthy && d.current(evidence, now) {
			faults++
		}
	}
	return d.exceedsIsolationShare(faults)
}

// exceedsIsolationShare reports whether a number of faulty backends exceeds IsolationShare of all backends.
func (d *Detector) exceedsIsolationShare(faults int) bool {
	backends := len(d.backends)
	return backends >= minBackendsForShare && float64(faults) > d.IsolationShare*float64(backends)
}

package outlier

import (
	"cmp"
	"slices"

	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/quota"
)

// Limits configure a Detector. Spans are nanoseconds, shares lie from 0 to 1.
type Limits struct {
	MinSources       int   // other nodes that must agree before a backend is ejected
	EvidenceLifetime int64 // for which evidence counts
	// OwnEvidenceLifetime is for how long a node's own observation that a backend is healthy outweighs those of others.
	OwnEvidenceLifetime int64
	MaxEjectedShare     float64 // of a zone's backends
	// IsolationShare is a share of all backends. A node that finds more than that at fault is taken to be isolated
	// itself.
	IsolationShare float64
	ClockError     int64 // by which two clocks may differ
}

// Bounds of what is kept.
const (
	MaxBackends          = 4096
	MaxSourcesPerBackend = 16 // the latest are kept
	MaxEvidencePerNode   = 8  // that a node publishes at once
	minBackendsForShare  = 4  // with fewer backends a share of them says nothing
)

// Backend is a backend as the endpoint list has it.
type Backend struct {
	Hash      uint64 // of its name
	Zone      int
	StartedAt int64
}

// Detector collects one node's evidence and that of the others. It is not safe for concurrent use.
type Detector struct {
	Limits
	Owner      quota.Owner
	Invariants *invariant.Monitor

	backends map[uint64]Backend
	own      map[uint64]Evidence
	received map[uint64][]receivedEvidence // by backend, one for each slot
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

// SetBackends replaces the backends that may be used. Evidence on others, and on earlier processes of these, is
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

// obsolete reports that evidence is about no process that is listed.
func (d *Detector) obsolete(evidence Evidence) bool {
	backend, listed := d.backends[evidence.BackendHash]
	return !listed || backend.StartedAt != evidence.StartedAt
}

// Observe takes in what this node has observed itself. It replaces any earlier observation of the backend.
func (d *Detector) Observe(evidence Evidence) {
	known, ok := d.own[evidence.BackendHash]
	if d.obsolete(evidence) || ok && known.ObservedAt > evidence.ObservedAt {
		return
	}
	d.own[evidence.BackendHash] = evidence
}

// Receive takes in what another node has observed. Evidence that is malformed, void, expired or from the future is
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

// oldestReport is the position of the oldest of some evidence, the first where there are several.
func oldestReport(reports []receivedEvidence) int {
	oldest := 0
	for i := range reports {
		if reports[i].ObservedAt < reports[oldest].ObservedAt {
			oldest = i
		}
	}
	return oldest
}

// EvidenceToPublish returns the evidence that this node sends to others: the latest, faults first. A node that is
// isolated itself sends none.
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

// isolated reports that this node finds so many backends at fault that it is more likely isolated itself.
func (d *Detector) isolated(now int64) bool {
	faults := 0
	for _, evidence := range d.own {
		if evidence.Kind != Healthy && d.current(evidence, now) {
			faults++
		}
	}
	return d.exceedsIsolationShare(faults)
}

func (d *Detector) exceedsIsolationShare(faults int) bool {
	backends := len(d.backends)
	return backends >= minBackendsForShare && float64(faults) > d.IsolationShare*float64(backends)
}

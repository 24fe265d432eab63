package outlier

import (
	"cmp"
	"fmt"
	"slices"

	"standpoint/internal/fleet/invariant"
)

// Ejection is the advice to send a backend nothing but trial requests, by the evidence of other nodes. A success on
// this node that is later than LatestEvidence takes precedence over it.
type Ejection struct {
	Backend         Backend
	LatestEvidence  int64 // time of the latest evidence, Unix nanoseconds by its source's clock
	Sources         int   // number of other nodes that find the backend at fault
	UnreachableOnly bool  // whether all evidence against it is Unreachable, so that the network may be at fault
}

// Ejections returns the backends to eject by the evidence of other nodes, sorted by hash. There are none while this
// node is isolated itself, since it cannot tell which side of the network is at fault.
func (d *Detector) Ejections(now int64) []Ejection {
	if d.isolated(now) {
		return nil
	}
	faultsBySlot := d.faultsBySlot(now)
	var candidates []Ejection
	for hash, backend := range d.backends {
		if candidate, ok := d.evaluate(backend, d.received[hash], faultsBySlot, now); ok {
			candidates = append(candidates, candidate)
		}
	}
	ejections := d.limitByZone(candidates)
	slices.SortFunc(ejections, func(a, b Ejection) int { return cmp.Compare(a.Backend.Hash, b.Backend.Hash) })
	return ejections
}

// faultsBySlot returns the number of backends that each other node finds at fault. A node that finds too many is
// taken to be isolated itself, and its evidence is ignored.
func (d *Detector) faultsBySlot(now int64) map[int]int {
	faults := map[int]int{}
	for _, reports := range d.received {
		for _, report := range reports {
			if d.current(report.Evidence, now) && report.Kind != Healthy {
				faults[report.owner.Slot]++
			}
		}
	}
	return faults
}

// evaluate evaluates the evidence on a backend. It returns false if the backend is not to be ejected.
func (d *Detector) evaluate(
	backend Backend, reports []receivedEvidence, faultsBySlot map[int]int, now int64,
) (Ejection, bool) {
	ejection := Ejection{Backend: backend, UnreachableOnly: true}
	own, observed := d.own[backend.Hash]
	if observed && own.Kind == Healthy && now-own.ObservedAt <= d.OwnEvidenceLifetime {
		return ejection, false
	}
	healthy := 0
	zones := map[int]bool{} // zones with nodes that find it at fault
	for _, report := range reports {
		if !d.current(report.Evidence, now) || d.exceedsIsolationShare(faultsBySlot[report.owner.Slot]) {
			continue
		}
		if report.Kind == Healthy {
			healthy++
			continue
		}
		ejection.addSource(report.Evidence)
		zones[report.zone] = true
	}
	if observed && own.Kind != Healthy && d.current(own, now) {
		ejection.addFault(own)
		zones[ownZone] = true
	}
	// If a backend is unreachable from a single zone but healthy for other nodes, the network is more likely at fault.
	if ejection.UnreachableOnly && len(zones) < 2 && healthy > 0 {
		return ejection, false
	}
	return ejection, ejection.Sources >= d.MinSources && ejection.Sources > 2*healthy
}

// addSource adds the evidence of another node against the backend.
func (e *Ejection) addSource(evidence Evidence) {
	e.Sources++
	e.LatestEvidence = max(e.LatestEvidence, evidence.ObservedAt)
	e.addFault(evidence)
}

// addFault updates UnreachableOnly by evidence against the backend, of this node or another.
func (e *Ejection) addFault(evidence Evidence) {
	e.UnreachableOnly = e.UnreachableOnly && evidence.Kind == Unreachable
}

// ownZone represents this node's zone. This node's evidence counts as that of a further zone.
const ownZone = -1

// limitByZone limits the candidates to the maximum for each zone. Those with the most sources take precedence.
func (d *Detector) limitByZone(candidates []Ejection) []Ejection {
	slices.SortFunc(candidates, func(a, b Ejection) int {
		return cmp.Or(
			cmp.Compare(b.Sources, a.Sources),
			cmp.Compare(b.LatestEvidence, a.LatestEvidence),
			cmp.Compare(a.Backend.Hash, b.Backend.Hash),
		)
	})
	backends := map[int]int{} // number of backends by zone
	for _, backend := range d.backends {
		backends[backend.Zone]++
	}
	ranked := map[int]int{} // number of candidates looked at so far, by zone
	ejections := slices.DeleteFunc(candidates, func(e Ejection) bool {
		ranked[e.Backend.Zone]++
		return ranked[e.Backend.Zone] > d.maxEjected(backends[e.Backend.Zone])
	})
	d.checkShares(ejections, backends)
	return ejections
}

// checkShares reports a violation for each zone with more ejections than the maximum.
func (d *Detector) checkShares(ejections []Ejection, backends map[int]int) {
	ejected := map[int]int{} // number of ejections by zone
	for _, ejection := range ejections {
		ejected[ejection.Backend.Zone]++
	}
	for zone, count := range ejected {
		if count > d.maxEjected(backends[zone]) {
			detail := fmt.Sprintf("zone %d: %d of %d backends ejected", zone, count, backends[zone])
			d.Invariants.RecordViolation(invariant.EjectionLimit, detail)
		}
	}
}

// maxEjected returns the maximum number of ejected backends of a zone with a number of backends.
func (d *Detector) maxEjected(backends int) int { return int(d.MaxEjectedShare * float64(backends)) }

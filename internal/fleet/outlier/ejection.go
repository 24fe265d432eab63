package outlier

import (
	"cmp"
	"fmt"
	"slices"

	"standpoint/internal/fleet/invariant"
)

// Ejection says that a backend should get nothing but trials, by the evidence of other nodes. Whoever applies it
// gives precedence to a success of its own that is later than LatestEvidence.
type Ejection struct {
	Backend         Backend
	LatestEvidence  int64 // Unix nanoseconds, by its source's clock
	Sources         int
	UnreachableOnly bool // all evidence against it may be the network's fault
}

// Ejections returns the backends that the evidence of other nodes speaks against, by their hash. There are none
// while this node is isolated itself: it does not know which side of the network is at fault.
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

// faultsBySlot counts the backends that each other node finds at fault. One that finds too many is isolated itself,
// and its evidence does not count.
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

// evaluate weighs the evidence on a backend. False: it is not ejected.
func (d *Detector) evaluate(
	backend Backend, reports []receivedEvidence, faultsBySlot map[int]int, now int64,
) (Ejection, bool) {
	ejection := Ejection{Backend: backend, UnreachableOnly: true}
	own, observed := d.own[backend.Hash]
	if observed && own.Kind == Healthy && now-own.ObservedAt <= d.OwnEvidenceLifetime {
		return ejection, false
	}
	healthy := 0
	zones := map[int]bool{} // from which it is found at fault
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
	// That a backend is not reached from one zone alone says more of the network than of the backend, unless nobody
	// reaches it.
	if ejection.UnreachableOnly && len(zones) < 2 && healthy > 0 {
		return ejection, false
	}
	return ejection, ejection.Sources >= d.MinSources && ejection.Sources > 2*healthy
}

// addSource takes in the evidence of another node against the backend.
func (e *Ejection) addSource(evidence Evidence) {
	e.Sources++
	e.LatestEvidence = max(e.LatestEvidence, evidence.ObservedAt)
	e.addFault(evidence)
}

// addFault takes in what evidence against the backend, this node's own included, says of its kind.
func (e *Ejection) addFault(evidence Evidence) {
	e.UnreachableOnly = e.UnreachableOnly && evidence.Kind == Unreachable
}

// ownZone stands for the place of this node, which counts as a zone of its own.
const ownZone = -1

// limitByZone keeps as many candidates as may be ejected of each zone, those with the most evidence first.
func (d *Detector) limitByZone(candidates []Ejection) []Ejection {
	slices.SortFunc(candidates, func(a, b Ejection) int {
		return cmp.Or(
			cmp.Compare(b.Sources, a.Sources),
			cmp.Compare(b.LatestEvidence, a.LatestEvidence),
			cmp.Compare(a.Backend.Hash, b.Backend.Hash),
		)
	})
	backends := map[int]int{} // by zone
	for _, backend := range d.backends {
		backends[backend.Zone]++
	}
	ranked := map[int]int{} // by zone
	ejections := slices.DeleteFunc(candidates, func(e Ejection) bool {
		ranked[e.Backend.Zone]++
		return ranked[e.Backend.Zone] > d.maxEjected(backends[e.Backend.Zone])
	})
	d.checkShares(ejections, backends)
	return ejections
}

// checkShares reports zones of which more is ejected than may be.
func (d *Detector) checkShares(ejections []Ejection, backends map[int]int) {
	ejected := map[int]int{} // by zone
	for _, ejection := range ejections {
		ejected[ejection.Backend.Zone]++
	}
	for zone, count := range ejected {
		if count > d.maxEjected(backends[zone]) {
			detail := fmt.Sprintf("zone %d: %d of %d", zone, count, backends[zone])
			d.Invariants.Violated(invariant.EjectionLimit, detail)
		}
	}
}

// maxEjected is how many of a zone's backends may be ejected.
func (d *Detector) maxEjected(backends int) int { return int(d.MaxEjectedShare * float64(backends)) }

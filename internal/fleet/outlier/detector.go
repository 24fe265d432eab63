// Package judge joins what the nodes of a fleet have seen of its real servers to judgements that each of them can weigh. It is
// pure: time is passed in.
//
// Evidence has its source, the source's vantage (its zone), its age and its kind. A node's own evidence outweighs hearsay; of
// others' it takes several independent sources; a node that finds most servers bad is taken to be cut off itself; of a zone at
// most a stated share is left out; all of it expires, and a server's new start voids it. What discovery, bans and the rules say
// goes before: a judgement never brings a server in.
package outlier

import (
	"cmp"
	"fmt"
	"slices"

	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/quota"
)

// Kind is what evidence speaks of.
type Kind uint8

const (
	Healthy      Kind = iota // it answers
	BackendFault             // it errs, or is silent, though it is reached: the server's fault
	Unreachable              // it is not reached from there: the server's fault, or the path's
)

// Evidence is what one node has seen of one server in its latest time.
type Evidence struct {
	BackendHash uint64 `cbor:"1,keyasint"` // a hash of its name
	StartedAt   int64  `cbor:"2,keyasint"` // of the process that it is about
	Kind        Kind   `cbor:"3,keyasint"`
	ObservedAt  int64  `cbor:"4,keyasint"` // Unix nanoseconds, by the source's clock
}

// Limits are the figures of the judgements.
type Limits struct {
	MinSources          int     // other nodes that must agree
	EvidenceLifetime    int64   // nanoseconds for which evidence counts
	OwnEvidenceLifetime int64   // and for which own evidence outweighs others'
	MaxEjectedShare     float64 // share of a zone's servers that may be left out
	IsolationShare      float64 // share of the servers that a node judges bad from which on it is taken to be cut off itself
	ClockError          int64   // of clocks
}

// Bounds of what is kept.
const (
	MaxBackends          = 4096
	MaxSourcesPerBackend = 16 // sources that are kept of a server: the latest
	MaxEvidencePerNode   = 8  // pieces of evidence that a node passes on at once
	minBackendsForShare  = 4  // servers from which on a share of them says something
)

type receivedEvidence struct {
	owner quota.Owner
	zone  int
	Evidence
}

// Backend is a real server as the list has it.
type Backend struct {
	Hash      uint64
	Zone      int
	StartedAt int64
}

// Detector is one node's judgements.
type Detector struct {
	Limits
	Owner      quota.Owner
	Invariants *invariant.Monitor

	backends map[uint64]Backend
	own      map[uint64]Evidence
	received map[uint64][]receivedEvidence
}

// New makes the judgements of a node that has seen nothing.
func New(l Limits, own quota.Owner, g *invariant.Monitor) *Detector {
	return &Detector{Limits: l, Owner: own, Invariants: g, backends: map[uint64]Backend{}, own: map[uint64]Evidence{}, received: map[uint64][]receivedEvidence{}}
}

// SetBackends takes in the servers that may be used. What is known of others, and of processes before, is forgotten.
func (b *Detector) SetBackends(all []Backend) {
	clear(b.backends)
	for _, s := range all[:min(len(all), MaxBackends)] {
		b.backends[s.Hash] = s
	}
	for name, e := range b.own {
		if b.obsolete(e) {
			delete(b.own, name)
		}
	}
	for name, some := range b.received {
		if some = slices.DeleteFunc(some, func(s receivedEvidence) bool { return b.obsolete(s.Evidence) }); len(some) == 0 {
			delete(b.received, name)
		} else {
			b.received[name] = some
		}
	}
}

// obsolete tells that evidence is about no process that is listed.
func (b *Detector) obsolete(e Evidence) bool {
	s, listed := b.backends[e.BackendHash]
	return !listed || s.StartedAt != e.StartedAt
}

// Observe takes in what this node has seen itself. A sign of life goes before anything seen until then.
func (b *Detector) Observe(e Evidence) {
	if was, ok := b.own[e.BackendHash]; b.obsolete(e) || ok && was.ObservedAt > e.ObservedAt {
		return
	}
	b.own[e.BackendHash] = e
}

// Receive takes in what another node has seen.
func (b *Detector) Receive(who quota.Owner, zone int, e Evidence, now int64) {
	if who.Slot == b.Owner.Slot || b.obsolete(e) || e.Kind > Unreachable || e.ObservedAt > now+b.ClockError || now-e.ObservedAt > b.EvidenceLifetime+b.ClockError {
		return
	}
	some := b.received[e.BackendHash]
	i := slices.IndexFunc(some, func(s receivedEvidence) bool { return s.owner.Slot == who.Slot })
	switch {
	case i >= 0 && (some[i].owner.Incarnation > who.Incarnation || some[i].owner.Incarnation == who.Incarnation && some[i].ObservedAt >= e.ObservedAt):
		return
	case i >= 0:
		some[i] = receivedEvidence{who, zone, e}
	case len(some) < MaxSourcesPerBackend:
		some = append(some, receivedEvidence{who, zone, e})
	default:
		oldest := 0
		for k := range some {
			if some[k].ObservedAt < some[oldest].ObservedAt {
				oldest = k
			}
		}
		if some[oldest].ObservedAt >= e.ObservedAt {
			return
		}
		some[oldest] = receivedEvidence{who, zone, e}
	}
	b.received[e.BackendHash] = some
}

// EvidenceToPublish is the evidence that this node passes on: the latest, what speaks against servers first. A node that is cut off itself
// passes nothing on.
func (b *Detector) EvidenceToPublish(now int64) []Evidence {
	if b.isolated(now) {
		return nil
	}
	var all []Evidence
	for _, e := range b.own {
		if now-e.ObservedAt <= b.EvidenceLifetime {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, c Evidence) int {
		return cmp.Or(cmp.Compare(min(c.Kind, 1), min(a.Kind, 1)), cmp.Compare(c.ObservedAt, a.ObservedAt), cmp.Compare(a.BackendHash, c.BackendHash))
	})
	return all[:min(len(all), MaxEvidencePerNode)]
}

// isolated tells that this node finds so many servers bad that it is more likely cut off itself.
func (b *Detector) isolated(now int64) bool {
	bad := 0
	for _, e := range b.own {
		if e.Kind != Healthy && now-e.ObservedAt <= b.EvidenceLifetime {
			bad++
		}
	}
	return b.exceedsIsolationShare(bad, len(b.backends))
}

func (b *Detector) exceedsIsolationShare(bad, of int) bool {
	return of >= minBackendsForShare && float64(bad) > b.IsolationShare*float64(of)
}

// Ejection is that a server should get nothing but trials, as the others have it. At is the latest evidence for it: a sign of
// life that the node itself has had since outweighs it.
type Ejection struct {
	Backend         Backend
	LatestEvidence  int64
	Sources         int
	UnreachableOnly bool // all that speaks against it may be the path's fault
}

// Ejections are the servers that others' evidence speaks against, in the order of their names.
func (b *Detector) Ejections(now int64) []Ejection {
	if b.isolated(now) {
		return nil // whatever others say: this node does not know which path is at fault
	}
	// Who finds most servers bad is cut off itself, and no witness.
	badBy := map[int]int{}
	for _, some := range b.received {
		for _, s := range some {
			if b.current(s, now) && s.Kind != Healthy {
				badBy[s.owner.Slot]++
			}
		}
	}
	zones := map[int]int{}
	for _, s := range b.backends {
		zones[s.Zone]++
	}
	var all []Ejection
	for name, server := range b.backends {
		if j, ok := b.evaluate(server, b.received[name], badBy, now); ok {
			all = append(all, j)
		}
	}
	// Of a zone the most certain go first; the rest stay in.
	slices.SortFunc(all, func(a, c Ejection) int {
		return cmp.Or(cmp.Compare(c.Sources, a.Sources), cmp.Compare(c.LatestEvidence, a.LatestEvidence), cmp.Compare(a.Backend.Hash, c.Backend.Hash))
	})
	out := map[int]int{}
	all = slices.DeleteFunc(all, func(j Ejection) bool {
		out[j.Backend.Zone]++
		return out[j.Backend.Zone] > b.maxEjected(zones[j.Backend.Zone])
	})
	for zone := range zones {
		n := 0
		for _, j := range all {
			if j.Backend.Zone == zone {
				n++
			}
		}
		if n > b.maxEjected(zones[zone]) {
			b.Invariants.Violated(invariant.EjectionLimit, fmt.Sprintf("zone %d: %d of %d", zone, n, zones[zone]))
		}
	}
	slices.SortFunc(all, func(a, c Ejection) int { return cmp.Compare(a.Backend.Hash, c.Backend.Hash) })
	return all
}

func (b *Detector) maxEjected(servers int) int { return int(b.MaxEjectedShare * float64(servers)) }

func (b *Detector) current(s receivedEvidence, now int64) bool {
	return now-s.ObservedAt <= b.EvidenceLifetime
}

func (b *Detector) evaluate(server Backend, some []receivedEvidence, badBy map[int]int, now int64) (Ejection, bool) {
	j := Ejection{Backend: server, UnreachableOnly: true}
	own, seen := b.own[server.Hash]
	if seen && own.Kind == Healthy && now-own.ObservedAt <= b.OwnEvidenceLifetime {
		return j, false
	}
	well := 0
	zones := map[int]bool{}
	for _, s := range some {
		switch {
		case !b.current(s, now) || b.exceedsIsolationShare(badBy[s.owner.Slot], len(b.backends)):
		case s.Kind == Healthy:
			well++
		default:
			j.Sources++
			j.LatestEvidence = max(j.LatestEvidence, s.ObservedAt)
			zones[s.zone] = true
			j.UnreachableOnly = j.UnreachableOnly && s.Kind == Unreachable
		}
	}
	if seen && own.Kind != Healthy && now-own.ObservedAt <= b.EvidenceLifetime {
		j.UnreachableOnly = j.UnreachableOnly && own.Kind == Unreachable
		zones[-1] = true // this node's own vantage
	}
	// Not reached from one zone alone says more of the path than of the server, unless nobody reaches it.
	if j.UnreachableOnly && len(zones) < 2 && well > 0 {
		return j, false
	}
	return j, j.Sources >= b.MinSources && j.Sources > 2*well
}

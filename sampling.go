package standpoint

// Which engines of a large fleet are looked at for a request.

import (
	"sort"
)

const (
	sampleByKey    = 32 // engines of a larger one, by the request's key
	sampleByPrefix = 8  // and by the key of its shared beginning
)

// sampleEngines is the engines among which a request is weighed. Of a large fleet these follow its keys on
// the rings of its pool, the same ones at every gateway; a session at home looks in its own zone first.
func (r *Router) sampleEngines(q *request) []*engine {
	if len(r.ready) <= maxFullScan {
		return r.ready
	}
	r.sampleNumber++
	r.sampled = r.sampled[:0]
	r.addFromRing(ringKey{q.Pool, r.prefersOwnZone(q)}, q.key(), sampleByKey)
	r.addFromRing(ringKey{q.Pool, false}, q.key(), sampleByPrefix)
	if q.Prefix != 0 {
		r.addFromRing(ringKey{q.Pool, false}, q.Prefix, sampleByPrefix)
	}
	return r.sampled
}

// ringKey is where engines are looked for: a pool, 0 for all; in the own zone alone, or everywhere.
type ringKey struct {
	pool    int
	ownZone bool
}

// rebuildRings puts the engines of a fleet that is not gone over whole on rings, by their hashes: one for
// each pool and for all, everywhere and in the own zone.
func (r *Router) rebuildRings() {
	r.rings = map[ringKey][]*engine{}
	var own, all float64
	for _, e := range r.ready {
		all += e.Size
		if r.isInOwnZone(e) {
			own += e.Size
		}
	}
	r.ownZoneFraction = 0
	r.meanSize = all / max(1, float64(len(r.ready)))
	if all > 0 {
		r.ownZoneFraction = own / all
	}
	if len(r.ready) <= maxFullScan {
		return
	}
	add := func(at ringKey, e *engine) { r.rings[at] = append(r.rings[at], e) }
	for _, e := range r.ready {
		add(ringKey{}, e)
		if e.Pool != 0 {
			add(ringKey{pool: e.Pool}, e)
		}
		if r.isInOwnZone(e) {
			add(ringKey{ownZone: true}, e)
			if e.Pool != 0 {
				add(ringKey{e.Pool, true}, e)
			}
		}
	}
	for _, ring := range r.rings {
		sort.Slice(ring, func(i, j int) bool { return ring[i].hash < ring[j].hash })
	}
}

// addFromRing adds to what is looked at the n engines of a ring that follow a key, but for those that are
// there already.
func (r *Router) addFromRing(at ringKey, key uint64, n int) {
	ring := r.rings[at]
	if len(ring) == 0 {
		return
	}
	key = mix(key, ringSalt)
	from := sort.Search(len(ring), func(i int) bool { return ring[i].hash >= key })
	for i := range min(n, len(ring)) {
		e := ring[(from+i)%len(ring)]
		if e.sampleNumber != r.sampleNumber {
			e.sampleNumber = r.sampleNumber
			r.sampled = append(r.sampled, e)
		}
	}
}

const ringSalt = 0x165667b19e3779f9

package standpoint

// The sample of a large fleet's engines that is considered for a request.

import (
	"sort"
)

const (
	// keySampleSize is the maximum number of engines taken by the request's affinity key from the ring of its
	// preferred zone, or of all zones if it prefers none.
	keySampleSize = 32
	// prefixSampleSize is the maximum number of engines taken from the ring of all zones by the affinity key,
	// and as many again by the shared prefix.
	prefixSampleSize = 8
)

// sampleEngines returns the engines that are considered for a request. In a fleet of more than maxFullScan
// engines these are the ones that follow the request's keys on the rings of its pool. They are the same at
// every gateway, except that most are of the gateway's own zone if the request prefers that.
func (r *Router) sampleEngines(q *request) []*engine {
	if len(r.ready) <= maxFullScan {
		return r.ready
	}
	r.sampleGeneration++
	r.sampled = r.sampled[:0]
	r.addFromRing(ringKey{q.Pool, r.prefersOwnZone(q)}, q.affinityKey(), keySampleSize)
	r.addFromRing(ringKey{q.Pool, false}, q.affinityKey(), prefixSampleSize)
	if q.Prefix != 0 {
		r.addFromRing(ringKey{q.Pool, false}, q.Prefix, prefixSampleSize)
	}
	return r.sampled
}

// ringKey identifies a ring.
type ringKey struct {
	pool    int  // 0: all pools
	ownZone bool // only the gateway's own zone, otherwise all zones
}

// rebuildRings updates the mean engine size and the own zone's fraction of the fleet's size. The engines of a
// fleet of more than maxFullScan are put on rings, ordered by their hashes: one for each pool and one for all
// pools, each for all zones and for the own zone.
func (r *Router) rebuildRings() {
	r.rings = map[ringKey][]*engine{}
	var ownZoneSize, totalSize float64
	for _, e := range r.ready {
		totalSize += e.Size
		if r.isInOwnZone(e) {
			ownZoneSize += e.Size
		}
	}
	r.ownZoneFraction = 0
	r.meanSize = totalSize / max(1, float64(len(r.ready)))
	if totalSize > 0 {
		r.ownZoneFraction = ownZoneSize / totalSize
	}
	if len(r.ready) <= maxFullScan {
		return
	}
	addToRing := func(key ringKey, e *engine) { r.rings[key] = append(r.rings[key], e) }
	for _, e := range r.ready {
		addToRing(ringKey{}, e)
		if e.Pool != 0 {
			addToRing(ringKey{pool: e.Pool}, e)
		}
		if r.isInOwnZone(e) {
			addToRing(ringKey{ownZone: true}, e)
			if e.Pool != 0 {
				addToRing(ringKey{e.Pool, true}, e)
			}
		}
	}
	for _, ring := range r.rings {
		sort.Slice(ring, func(i, j int) bool { return ring[i].hash < ring[j].hash })
	}
}

// addFromRing adds to the sample the n engines of a ring that follow a key, except those that are in it
// already.
func (r *Router) addFromRing(ring ringKey, key uint64, n int) {
	engines := r.rings[ring]
	if len(engines) == 0 {
		return
	}
	key = mix(key, ringSalt)
	first := sort.Search(len(engines), func(i int) bool { return engines[i].hash >= key })
	for i := range min(n, len(engines)) {
		e := engines[(first+i)%len(engines)]
		if e.sampleGeneration != r.sampleGeneration {
			e.sampleGeneration = r.sampleGeneration
			r.sampled = append(r.sampled, e)
		}
	}
}

// ringSalt makes a key's place on the rings independent of its other hashes.
const ringSalt = 0x165667b19e3779f9

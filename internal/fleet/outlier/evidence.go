// Package outlier detects backends that are outliers, from what all nodes of a fleet have observed of them. It is
// pure: the time is an argument.
//
// Evidence has a source, the source's zone, an age and a kind. A node's own evidence outweighs that of others; of
// others' it takes several independent sources. A node that finds a large share of the backends at fault is taken
// to be isolated itself. Of each zone a limited share is ejected. All evidence expires, and that on a backend is
// void once the backend has restarted. What discovery, operators and the rules say takes precedence: nothing here
// brings a backend back that they have taken out.
package outlier

import "standpoint/internal/fleet/quota"

// Kind says what evidence shows.
type Kind uint8

// The kinds, as they are sent to other nodes.
const (
	Healthy      Kind = iota // the backend answers
	BackendFault             // it is reached, and fails or stays silent: its own fault
	Unreachable              // it is not reached from there: its own fault, or the network's
)

// Evidence is the latest that one node has observed of one backend.
type Evidence struct {
	BackendHash uint64 `cbor:"1,keyasint"` // of the backend's name
	StartedAt   int64  `cbor:"2,keyasint"` // when the process that it is about was started, as the endpoint list has it
	Kind        Kind   `cbor:"3,keyasint"`
	ObservedAt  int64  `cbor:"4,keyasint"` // Unix nanoseconds, by the source's clock
}

// receivedEvidence is evidence from another node.
type receivedEvidence struct {
	owner quota.Owner
	zone  int
	Evidence
}

// isNewerThan reports whether evidence replaces other evidence of the same source.
func (r receivedEvidence) isNewerThan(known receivedEvidence) bool {
	if r.owner.Incarnation != known.owner.Incarnation {
		return r.owner.Incarnation > known.owner.Incarnation
	}
	return r.ObservedAt > known.ObservedAt
}

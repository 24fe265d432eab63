// Package outlier implements outlier detection: it finds faulty backends from the observations of all nodes of a fleet.
// It is pure: the time is an argument.
//
// Evidence has a source, the source's zone, an age and a kind. A node's own evidence outweighs that of other nodes, of
// which several independent sources must agree. A node that finds a large share of the backends at fault is taken to
// be isolated itself. A limited share of the backends of each zone is ejected. All evidence expires, and evidence on
// a backend is void once the backend has restarted. Discovery, operators and the rules take precedence: this package
// does not return a backend to service that they have removed.
package outlier

import "standpoint/internal/fleet/quota"

// Kind is the kind of evidence.
type Kind uint8

// The kinds of evidence. Their values are sent to other nodes.
const (
	Healthy      Kind = iota // the backend has served a request
	BackendFault             // the backend was reached, but failed or did not respond: its own fault
	Unreachable              // no connection to the backend: its own fault or that of the network
)

// Evidence is the latest observation of a backend by one node.
type Evidence struct {
	BackendHash uint64 `cbor:"1,keyasint"` // hash of the backend's name
	StartedAt   int64  `cbor:"2,keyasint"` // start time of the observed process in the endpoint list
	Kind        Kind   `cbor:"3,keyasint"`
	ObservedAt  int64  `cbor:"4,keyasint"` // Unix nanoseconds, by the source's clock
}

// receivedEvidence is evidence from another node.
type receivedEvidence struct {
	owner quota.Owner // the source
	zone  int         // the source's zone
	Evidence
}

// isNewerThan reports whether evidence replaces earlier evidence of the same source.
func (r receivedEvidence) isNewerThan(known receivedEvidence) bool {
	if r.owner.Incarnation != known.owner.Incarnation {
		return r.owner.Incarnation > known.owner.Incarnation
	}
	return r.ObservedAt > known.ObservedAt
}

package endpoints

import (
	"time"

	"standpoint/internal/node"
)

// MechanismStore is the Mechanism of an endpoint that is in the persisted list, but not confirmed by its source.
const MechanismStore = "store"

// Origin describes the source and the state of an endpoint, or why a service instance is not used as an endpoint.
type Origin struct {
	Name      string    `json:"name"`
	Instance  string    `json:"instance,omitempty"` // full instance name; empty for an endpoint of the operator's file
	Server    string    `json:"server,omitempty"`   // the DNS server that was queried
	Mechanism string    `json:"news,omitempty"`     // how it was discovered: poll, push, mdns or MechanismStore
	Address   string    `json:"address,omitempty"`  // host:port
	State     string    `json:"state,omitempty"`    // ready, draining or gone
	StartedAt time.Time `json:"started,omitzero"`   // zero if unknown
	TTL       uint32    `json:"ttl_s,omitempty"`    // TTL of its records in seconds
	ExpiresAt time.Time `json:"until,omitzero"`     // when its records expire
	ChangedAt time.Time `json:"changed,omitzero"`   // when the endpoint or its fault last changed
	CheckedAt time.Time `json:"looked,omitzero"`    // when the list was last confirmed
	Stale     bool      `json:"stale,omitempty"`    // in the persisted list only, with expired records
	Fault     string    `json:"fault,omitempty"`    // why it is not used; empty if it is used
}

// Describe returns the origin of an endpoint, with the fields that the endpoint itself provides.
func Describe(endpoint node.Endpoint) Origin {
	origin := Origin{
		Name:    endpoint.Name,
		Address: endpoint.Address,
		Stale:   endpoint.Stale,
		State:   nameAt(healthNames, int(endpoint.State)),
	}
	if endpoint.StartedAt > 0 {
		origin.StartedAt = time.Unix(0, endpoint.StartedAt)
	}
	return origin
}

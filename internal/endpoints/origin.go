package endpoints

import (
	"time"

	"standpoint/internal/node"
)

// MechanismStore is the mechanism of an endpoint that only the persisted list has.
const MechanismStore = "store"

// Origin describes where an endpoint comes from, or why a service instance is not used as one.
type Origin struct {
	Name      string    `json:"name"`
	Instance  string    `json:"instance,omitempty"` // its full name; empty if the operator's file lists the endpoint
	Server    string    `json:"server,omitempty"`   // that was asked for it
	Mechanism string    `json:"news,omitempty"`     // by which it was found: poll, push, mdns or MechanismStore
	Address   string    `json:"address,omitempty"`  // host:port
	State     string    `json:"state,omitempty"`    // ready, draining or gone
	StartedAt time.Time `json:"started,omitzero"`   // zero if that is not known
	TTL       uint32    `json:"ttl_s,omitempty"`    // of its records, in seconds
	ExpiresAt time.Time `json:"until,omitzero"`     // when its records expire
	ChangedAt time.Time `json:"changed,omitzero"`   // when it was last found to differ
	CheckedAt time.Time `json:"looked,omitzero"`    // when the list was last confirmed
	Stale     bool      `json:"stale,omitempty"`    // from the persisted list, expired and not confirmed since
	Fault     string    `json:"fault,omitempty"`    // why it is not used; empty if it is
}

// Describe returns the origin of an endpoint, as far as the endpoint itself has it.
func Describe(endpoint node.Endpoint) Origin {
	origin := Origin{
		Name:    endpoint.Name,
		Address: endpoint.Address,
		Stale:   endpoint.Stale,
		State:   nameAt(healthNames, int(endpoint.State)),
	}
	if endpoint.ReadyAt > 0 {
		origin.StartedAt = time.Unix(0, endpoint.ReadyAt)
	}
	return origin
}

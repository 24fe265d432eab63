package endpoints

import (
	"errors"
	"slices"
	"time"

	"standpoint"
	"standpoint/internal/node"
)

// errInvalidEntry reports an entry of the persisted list whose name, size or start is invalid.
var errInvalidEntry = errors.New("host missing, or share or born_ms out of range")

// storedEndpoint is the persisted form of an endpoint. Its fields up to BornMS are those of a catalogEntry. Zone and
// kind are stored by name, since their indexes may differ in the configuration of the next process.
type storedEndpoint struct {
	Host   string            `json:"host"`
	Dial   string            `json:"dial"`
	Site   string            `json:"site,omitempty"`
	Class  string            `json:"class,omitempty"`
	Block  int               `json:"block,omitempty"`
	Health string            `json:"health"`
	Share  float64           `json:"share"`
	BornMS int64             `json:"born_ms,omitempty"`
	Mode   string            `json:"mode,omitempty"` // modeBatch or empty
	Labels map[string]string `json:"labels,omitempty"`
	Source string            `json:"source,omitempty"`
	Until  time.Time         `json:"until,omitzero"` // when its records expire; absent if unknown
}

// encodeEndpoint returns the persisted form of an endpoint. expiresAt is when its records expire; zero if unknown.
func encodeEndpoint(endpoint node.Endpoint, names Names, expiresAt time.Time) storedEndpoint {
	stored := storedEndpoint{
		Host:   endpoint.Name,
		Dial:   endpoint.Address,
		Site:   nameAt(names.Zones, endpoint.Zone),
		Class:  nameAt(names.Kinds, endpoint.Kind),
		Block:  endpoint.Cell,
		Health: nameAt(healthNames, int(endpoint.State)),
		Share:  endpoint.Size,
		BornMS: endpoint.StartedAt / int64(time.Millisecond),
		Labels: endpoint.Labels,
		Source: endpoint.Source,
		Until:  expiresAt,
	}
	if endpoint.Batch {
		stored.Mode = modeBatch
	}
	if endpoint.Stale {
		stored.Until = time.Unix(1, 0) // in the past, so that the endpoint is stale whenever it is loaded
	}
	return stored
}

// decode returns the endpoint, marked as stale if its records have expired.
func (s storedEndpoint) decode(names Names, now time.Time) (node.Endpoint, error) {
	endpoint := node.Endpoint{
		Address: s.Dial,
		Batch:   s.Mode == modeBatch,
		Labels:  s.Labels,
		Source:  s.Source,
		Engine: standpoint.Engine{
			Name:      s.Host,
			Zone:      slices.Index(names.Zones, s.Site),
			Kind:      slices.Index(names.Kinds, s.Class),
			Cell:      s.Block,
			Size:      s.Share,
			StartedAt: s.BornMS * int64(time.Millisecond),
			Stale:     !s.Until.IsZero() && now.After(s.Until),
		},
	}
	state, err := parseHealth(s.Health)
	endpoint.State = state
	if err == nil && !s.valid() {
		err = errInvalidEntry
	}
	return endpoint, err
}

// valid reports whether the name is present, and the size and the start are within their bounds.
func (s storedEndpoint) valid() bool {
	return s.Host != "" &&
		s.Share >= 0 && s.Share <= maxSize && // false for NaN
		s.BornMS >= 0 && s.BornMS <= maxBornMS
}

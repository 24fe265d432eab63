package endpoints

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"standpoint"
	"standpoint/internal/node"
)

// catalog is the platform's form of an endpoint list.
type catalog struct {
	Version int64             `json:"seq"`
	Full    bool              `json:"whole"`
	Entries []json.RawMessage `json:"hosts"` // decoded one by one, since an invalid one must not cost the others
}

// catalogEntry is the platform's form of an endpoint.
type catalogEntry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// EntryError reports an entry of a list that cannot be used as it stands.
type EntryError struct {
	Endpoint string // the name; "" if the entry has none
	Err      error
}

// Error implements error.
func (e *EntryError) Error() string {
	if e.Endpoint == "" {
		return e.Err.Error()
	}
	return fmt.Sprintf("endpoint %q: %v", e.Endpoint, e.Err)
}

// Unwrap implements errors.Unwrap.
func (e *EntryError) Unwrap() error { return e.Err }

// errNoName reports an entry without a name.
var errNoName = errors.New("an endpoint without a name")

// Decode decodes the platform's form of an endpoint list, and returns its version. An invalid entry affects no other:
// faults has an *EntryError for it, and, if it has a name, its endpoint is listed as draining, since the rest of the
// list, above all that other backends drain, must not wait for it. If err is not nil, nothing was decoded.
func Decode(raw []byte, names Names) (version int64, list node.EndpointList, faults []error, err error) {
	var decoded catalog
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return 0, node.EndpointList{}, nil, fmt.Errorf("list of endpoints: %w", err)
	}
	list.Kind = standpoint.ListDelta
	if decoded.Full {
		list.Kind = standpoint.ListFull
	}
	positions := map[string]int{}
	for _, text := range decoded.Entries {
		endpoint, err := decodeEntry(text, names)
		if err != nil {
			faults = append(faults, err)
		}
		if endpoint.Name == "" {
			continue
		}
		if i, listed := positions[endpoint.Name]; listed {
			faults = append(faults, &EntryError{Endpoint: endpoint.Name, Err: errors.New("listed twice")})
			list.Endpoints[i].State = max(list.Endpoints[i].State, endpoint.State) // the one that departs counts
			continue
		}
		positions[endpoint.Name] = len(list.Endpoints)
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return decoded.Version, list, faults, nil
}

// decodeEntry decodes one entry. If it is invalid, the endpoint has no name, or is draining.
func decodeEntry(text json.RawMessage, names Names) (node.Endpoint, error) {
	var entry catalogEntry
	unreadable := json.Unmarshal(text, &entry) // the fields that can be decoded are set all the same
	if entry.Host == "" {
		return node.Endpoint{}, &EntryError{Err: errors.Join(errNoName, unreadable)}
	}
	endpoint := node.Endpoint{
		Address: entry.Dial,
		Engine: standpoint.Engine{
			Name:    entry.Host,
			Cell:    entry.Block,
			Zone:    slices.Index(names.Zones, entry.Site),
			Kind:    slices.Index(names.Kinds, entry.Class),
			Size:    entry.Share,
			ReadyAt: entry.BornMS * int64(time.Millisecond),
		},
	}
	state, err := parseHealth(entry.Health)
	endpoint.State = state
	switch {
	case unreadable != nil:
		err = unreadable
	case err == nil && state != standpoint.Gone: // of one that is gone the rest does not matter
		err = entry.validate()
	}
	if err != nil {
		endpoint.State = standpoint.Draining
		endpoint.ReadyAt = 0
		endpoint.Size = 0
		return endpoint, &EntryError{Endpoint: entry.Host, Err: err}
	}
	return endpoint, nil
}

// validate checks the fields that the decision module or a dial relies on.
func (e *catalogEntry) validate() error {
	switch {
	case e.BornMS < 0 || e.BornMS > maxBornMS:
		return fmt.Errorf("born_ms: %d is no time", e.BornMS)
	case !(e.Share >= 0 && e.Share <= maxSize): // NaN is neither
		return fmt.Errorf("share: %g is no size", e.Share)
	case e.Dial == "":
		return errors.New("dial: missing")
	}
	return nil
}

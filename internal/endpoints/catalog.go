package endpoints

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"standpoint"
	"standpoint/internal/node"
)

const (
	// maxEntries is the maximum number of entries in a response. The largest fleets have a fifth of it.
	maxEntries = 16384
	// maxReportedFaults is the maximum number of invalid entries that are reported one by one.
	maxReportedFaults = 20
)

// errTooManyEntries reports a response with more than maxEntries entries. It is not used, since the entries that are left
// out might report drains.
var errTooManyEntries = fmt.Errorf("decode endpoint list: more than %d entries", maxEntries)

// catalog is the JSON form of an endpoint list in the platform's discovery.
type catalog struct {
	Version int64          `json:"seq"`
	Full    bool           `json:"whole"`
	Entries catalogEntries `json:"hosts"`
}

// catalogEntries are the entries of a catalog. They are decoded one by one, so that an invalid entry affects no other.
type catalogEntries []json.RawMessage

// UnmarshalJSON implements json.Unmarshaler. It stops at maxEntries: each small entry takes many times its size in
// memory.
func (e *catalogEntries) UnmarshalJSON(raw []byte) error {
	if string(raw) == "null" {
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if start, err := decoder.Token(); err != nil || start != json.Delim('[') {
		return errors.Join(errors.New("hosts: not a list"), err)
	}
	for decoder.More() {
		if len(*e) == maxEntries {
			return errTooManyEntries
		}
		var entry json.RawMessage
		if err := decoder.Decode(&entry); err != nil {
			return err
		}
		*e = append(*e, entry)
	}
	return nil
}

// catalogEntry is the JSON form of an endpoint in a catalog.
type catalogEntry struct {
	Host   string  `json:"host"`    // name of the endpoint
	Dial   string  `json:"dial"`    // host:port
	Site   string  `json:"site"`    // name of the zone
	Class  string  `json:"class"`   // name of the kind
	Block  int     `json:"block"`   // cell
	Health string  `json:"health"`  // one of healthNames
	Share  float64 `json:"share"`   // size, in the list's unit of capacity
	BornMS int64   `json:"born_ms"` // start of the backend's process, as a Unix time in milliseconds
}

// EntryError reports an invalid entry of an endpoint list.
type EntryError struct {
	Endpoint string // the endpoint's name; empty if the entry has none
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

// errMissingName reports an entry without a name.
var errMissingName = errors.New("host: missing")

// Decode decodes a catalog of the platform's discovery, and returns the list and its version. An invalid entry affects
// no other: faults contains an *EntryError for it, and, if it has a name, its endpoint is listed as draining. The list
// is not rejected as a whole, since the drains of other backends that it reports must not be delayed. If err is not
// nil, nothing was decoded.
func Decode(raw []byte, names Names) (version int64, list node.EndpointList, faults []error, err error) {
	var decoded catalog
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return 0, node.EndpointList{}, nil, fmt.Errorf("decode endpoint list: %w", err)
	}
	list.Kind = standpoint.ListDelta
	if decoded.Full {
		list.Kind = standpoint.ListFull
	}
	positions := map[string]int{}
	for _, rawEntry := range decoded.Entries {
		endpoint, err := decodeEntry(rawEntry, names)
		if err != nil && len(faults) < maxReportedFaults {
			faults = append(faults, err)
		}
		if endpoint.Name == "" {
			continue
		}
		if i, listed := positions[endpoint.Name]; listed {
			faults = append(faults, &EntryError{Endpoint: endpoint.Name, Err: errors.New("listed twice")})
			list.Endpoints[i].State = max(list.Endpoints[i].State, endpoint.State) // draining or removed overrides ready
			continue
		}
		positions[endpoint.Name] = len(list.Endpoints)
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return decoded.Version, list, faults, nil
}

// decodeEntry decodes one entry. If the entry is invalid, the returned endpoint has no name or is draining.
func decodeEntry(rawEntry json.RawMessage, names Names) (node.Endpoint, error) {
	var entry catalogEntry
	decodeErr := json.Unmarshal(rawEntry, &entry) // the valid fields are set despite an error
	if entry.Host == "" {
		return node.Endpoint{}, &EntryError{Err: errors.Join(errMissingName, decodeErr)}
	}
	endpoint := node.Endpoint{
		Address: entry.Dial,
		Engine: standpoint.Engine{
			Name:      entry.Host,
			Cell:      entry.Block,
			Zone:      slices.Index(names.Zones, entry.Site),
			Kind:      slices.Index(names.Kinds, entry.Class),
			Size:      entry.Share,
			StartedAt: entry.BornMS * int64(time.Millisecond),
		},
	}
	state, err := parseHealth(entry.Health)
	endpoint.State = state
	switch {
	case decodeErr != nil:
		err = decodeErr
	case err == nil && state != standpoint.Removed: // the other fields of a removed endpoint are not used
		err = entry.validate()
	}
	if err != nil {
		endpoint.State = standpoint.Draining
		endpoint.StartedAt = 0
		endpoint.Size = 0
		return endpoint, &EntryError{Endpoint: entry.Host, Err: err}
	}
	return endpoint, nil
}

// validate checks the fields that the decision module uses, and that there is an address to connect to.
func (e *catalogEntry) validate() error {
	switch {
	case e.BornMS < 0 || e.BornMS > maxBornMS:
		return fmt.Errorf("born_ms: %d is out of range", e.BornMS)
	case !(e.Share >= 0 && e.Share <= maxSize): // also true for NaN
		return fmt.Errorf("share: %g is out of range", e.Share)
	case e.Dial == "":
		return errors.New("dial: missing")
	}
	return nil
}

package endpoints

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"standpoint"
	"standpoint/internal/node"
)

const (
	maxSize   = 1e6 // of a box, in the list's own unit
	maxBornMS = math.MaxInt64 / int64(time.Millisecond)
)

// Names turns the list's words into the module's indexes.
type Names struct{ Zones, Kinds []string }

type catalog struct {
	Seq   int64             `json:"seq"`
	Whole bool              `json:"whole"`
	Hosts []json.RawMessage `json:"hosts"`
}

type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// Decode reads discovery's form of the list. An entry that says what nobody can mean costs itself alone: faults name it,
// and it is taken to drain, for what else is told, other boxes' drains above all, must not wait for it.
func Decode(raw []byte, names Names) (seq int64, l node.EndpointList, faults []error, err error) {
	var w catalog
	if err := json.Unmarshal(raw, &w); err != nil {
		return 0, node.EndpointList{}, nil, fmt.Errorf("list of endpoints: %w", err)
	}
	l = node.EndpointList{Kind: standpoint.ListDelta}
	if w.Whole {
		l.Kind = standpoint.ListFull
	}
	at := map[string]int{}
	for _, text := range w.Hosts {
		e, err := decodeHost(text, names)
		if err != nil {
			faults = append(faults, err)
		}
		if e.Name == "" {
			continue
		}
		if i, twice := at[e.Name]; twice {
			faults = append(faults, fmt.Errorf("endpoint %q: listed twice", e.Name))
			l.Endpoints[i].State = max(l.Endpoints[i].State, e.State)
			continue
		}
		at[e.Name] = len(l.Endpoints)
		l.Endpoints = append(l.Endpoints, e)
	}
	return w.Seq, l, faults, nil
}

// decodeHost reads one entry; one with a fault has no name, or drains.
func decodeHost(text json.RawMessage, names Names) (node.Endpoint, error) {
	var h host
	unreadable := json.Unmarshal(text, &h) // what can be read of it is
	if h.Host == "" {
		return node.Endpoint{}, errors.Join(errors.New("an endpoint without a name"), unreadable)
	}
	e := node.Endpoint{Address: h.Dial, Engine: standpoint.Engine{Name: h.Host, Cell: h.Block,
		Zone: index(names.Zones, h.Site), Kind: index(names.Kinds, h.Class), Size: h.Share,
		ReadyAt: h.BornMS * int64(time.Millisecond)}}
	var err error
	e.State, err = state(h.Health)
	switch {
	case unreadable != nil:
		err = unreadable
	case err != nil || e.State == standpoint.Gone:
	case h.BornMS < 0 || h.BornMS > maxBornMS:
		err = fmt.Errorf("born_ms: %d is no time", h.BornMS)
	case !(h.Share >= 0 && h.Share <= maxSize):
		err = fmt.Errorf("share: %g is no size", h.Share)
	case h.Dial == "":
		err = errors.New("dial: missing")
	}
	if err != nil {
		e.State, e.ReadyAt, e.Size = standpoint.Draining, 0, 0
		return e, fmt.Errorf("endpoint %q: %w", h.Host, err)
	}
	return e, nil
}

// healthNames are the words for the module's states.
var healthNames = []string{standpoint.Ready: "ready", standpoint.Draining: "draining", standpoint.Gone: "gone"}

func state(health string) (standpoint.State, error) {
	if i := index(healthNames, health); i >= 0 {
		return standpoint.State(i), nil
	}
	return standpoint.Gone, fmt.Errorf("unknown health %q", health)
}

func index(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return -1
}

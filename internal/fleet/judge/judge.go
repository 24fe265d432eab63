// Package judge joins what the nodes of a fleet have seen of its real servers to judgements that each of them can weigh. It is
// pure: time is passed in.
//
// Evidence has its source, the source's vantage (its zone), its age and its kind. A node's own evidence outweighs hearsay; of
// others' it takes several independent sources; a node that finds most servers bad is taken to be cut off itself; of a zone at
// most a stated share is left out; all of it expires, and a server's new start voids it. What discovery, bans and the rules say
// goes before: a judgement never brings a server in.
package judge

import (
	"cmp"
	"fmt"
	"slices"

	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/rights"
)

// Kind is what evidence speaks of.
type Kind uint8

const (
	Well  Kind = iota // it answers
	Fault             // it errs, or is silent, though it is reached: the server's fault
	Path              // it is not reached from there: the server's fault, or the path's
)

// Evidence is what one node has seen of one server in its latest time.
type Evidence struct {
	Server uint64 `cbor:"1,keyasint"` // a hash of its name
	Start  int64  `cbor:"2,keyasint"` // of the process that it is about
	Kind   Kind   `cbor:"3,keyasint"`
	At     int64  `cbor:"4,keyasint"` // Unix nanoseconds, by the source's clock
}

// Limits are the figures of the judgements.
type Limits struct {
	Sources int     // other nodes that must agree
	Lasts   int64   // nanoseconds for which evidence counts
	Own     int64   // and for which own evidence outweighs others'
	Most    float64 // share of a zone's servers that may be left out
	Many    float64 // share of the servers that a node judges bad from which on it is taken to be cut off itself
	Error   int64   // of clocks
}

// Bounds of what is kept.
const (
	ServersMost  = 4096
	PerServer    = 16 // sources that are kept of a server: the latest
	PerNode      = 8  // pieces of evidence that a node passes on at once
	fewestServer = 4  // servers from which on a share of them says something
)

type source struct {
	who  rights.Owner
	zone int
	Evidence
}

// Server is a real server as the list has it.
type Server struct {
	Name  uint64
	Zone  int
	Start int64
}

// Bench is one node's judgements.
type Bench struct {
	Limits
	Who   rights.Owner
	Guard *invariant.Guard

	servers map[uint64]Server
	own     map[uint64]Evidence
	heard   map[uint64][]source
}

// New makes the judgements of a node that has seen nothing.
func New(l Limits, own rights.Owner, g *invariant.Guard) *Bench {
	return &Bench{Limits: l, Who: own, Guard: g, servers: map[uint64]Server{}, own: map[uint64]Evidence{}, heard: map[uint64][]source{}}
}

// Listed takes in the servers that may be used. What is known of others, and of processes before, is forgotten.
func (b *Bench) Listed(all []Server) {
	clear(b.servers)
	for _, s := range all[:min(len(all), ServersMost)] {
		b.servers[s.Name] = s
	}
	for name, e := range b.own {
		if b.void(e) {
			delete(b.own, name)
		}
	}
	for name, some := range b.heard {
		if some = slices.DeleteFunc(some, func(s source) bool { return b.void(s.Evidence) }); len(some) == 0 {
			delete(b.heard, name)
		} else {
			b.heard[name] = some
		}
	}
}

// void tells that evidence is about no process that is listed.
func (b *Bench) void(e Evidence) bool {
	s, listed := b.servers[e.Server]
	return !listed || s.Start != e.Start
}

// Saw takes in what this node has seen itself. A sign of life goes before anything seen until then.
func (b *Bench) Saw(e Evidence) {
	if was, ok := b.own[e.Server]; b.void(e) || ok && was.At > e.At {
		return
	}
	b.own[e.Server] = e
}

// Hear takes in what another node has seen.
func (b *Bench) Hear(who rights.Owner, zone int, e Evidence, now int64) {
	if who.Seat == b.Who.Seat || b.void(e) || e.Kind > Path || e.At > now+b.Error || now-e.At > b.Lasts+b.Error {
		return
	}
	some := b.heard[e.Server]
	i := slices.IndexFunc(some, func(s source) bool { return s.who.Seat == who.Seat })
	switch {
	case i >= 0 && (some[i].who.Inc > who.Inc || some[i].who.Inc == who.Inc && some[i].At >= e.At):
		return
	case i >= 0:
		some[i] = source{who, zone, e}
	case len(some) < PerServer:
		some = append(some, source{who, zone, e})
	default:
		oldest := 0
		for k := range some {
			if some[k].At < some[oldest].At {
				oldest = k
			}
		}
		if some[oldest].At >= e.At {
			return
		}
		some[oldest] = source{who, zone, e}
	}
	b.heard[e.Server] = some
}

// Tell is the evidence that this node passes on: the latest, what speaks against servers first. A node that is cut off itself
// passes nothing on.
func (b *Bench) Tell(now int64) []Evidence {
	if b.cutOff(now) {
		return nil
	}
	var all []Evidence
	for _, e := range b.own {
		if now-e.At <= b.Lasts {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, c Evidence) int {
		return cmp.Or(cmp.Compare(min(c.Kind, 1), min(a.Kind, 1)), cmp.Compare(c.At, a.At), cmp.Compare(a.Server, c.Server))
	})
	return all[:min(len(all), PerNode)]
}

// cutOff tells that this node finds so many servers bad that it is more likely cut off itself.
func (b *Bench) cutOff(now int64) bool {
	bad := 0
	for _, e := range b.own {
		if e.Kind != Well && now-e.At <= b.Lasts {
			bad++
		}
	}
	return b.many(bad, len(b.servers))
}

func (b *Bench) many(bad, of int) bool {
	return of >= fewestServer && float64(bad) > b.Many*float64(of)
}

// Judgement is that a server should get nothing but trials, as the others have it. At is the latest evidence for it: a sign of
// life that the node itself has had since outweighs it.
type Judgement struct {
	Server  Server
	At      int64
	Sources int
	Path    bool // all that speaks against it may be the path's fault
}

// Judge are the servers that others' evidence speaks against, in the order of their names.
func (b *Bench) Judge(now int64) []Judgement {
	if b.cutOff(now) {
		return nil // whatever others say: this node does not know which path is at fault
	}
	// Who finds most servers bad is cut off itself, and no witness.
	badBy := map[int]int{}
	for _, some := range b.heard {
		for _, s := range some {
			if b.counts(s, now) && s.Kind != Well {
				badBy[s.who.Seat]++
			}
		}
	}
	zones := map[int]int{}
	for _, s := range b.servers {
		zones[s.Zone]++
	}
	var all []Judgement
	for name, server := range b.servers {
		if j, ok := b.judge(server, b.heard[name], badBy, now); ok {
			all = append(all, j)
		}
	}
	// Of a zone the most certain go first; the rest stay in.
	slices.SortFunc(all, func(a, c Judgement) int {
		return cmp.Or(cmp.Compare(c.Sources, a.Sources), cmp.Compare(c.At, a.At), cmp.Compare(a.Server.Name, c.Server.Name))
	})
	out := map[int]int{}
	all = slices.DeleteFunc(all, func(j Judgement) bool {
		out[j.Server.Zone]++
		return out[j.Server.Zone] > b.most(zones[j.Server.Zone])
	})
	for zone := range zones {
		n := 0
		for _, j := range all {
			if j.Server.Zone == zone {
				n++
			}
		}
		if n > b.most(zones[zone]) {
			b.Guard.Broken(invariant.LeftOutShare, fmt.Sprintf("zone %d: %d of %d", zone, n, zones[zone]))
		}
	}
	slices.SortFunc(all, func(a, c Judgement) int { return cmp.Compare(a.Server.Name, c.Server.Name) })
	return all
}

func (b *Bench) most(servers int) int { return int(b.Most * float64(servers)) }

func (b *Bench) counts(s source, now int64) bool { return now-s.At <= b.Lasts }

func (b *Bench) judge(server Server, some []source, badBy map[int]int, now int64) (Judgement, bool) {
	j := Judgement{Server: server, Path: true}
	own, seen := b.own[server.Name]
	if seen && own.Kind == Well && now-own.At <= b.Own {
		return j, false
	}
	well := 0
	zones := map[int]bool{}
	for _, s := range some {
		switch {
		case !b.counts(s, now) || b.many(badBy[s.who.Seat], len(b.servers)):
		case s.Kind == Well:
			well++
		default:
			j.Sources++
			j.At = max(j.At, s.At)
			zones[s.zone] = true
			j.Path = j.Path && s.Kind == Path
		}
	}
	if seen && own.Kind != Well && now-own.At <= b.Lasts {
		j.Path = j.Path && own.Kind == Path
		zones[-1] = true // this node's own vantage
	}
	// Not reached from one zone alone says more of the path than of the server, unless nobody reaches it.
	if j.Path && len(zones) < 2 && well > 0 {
		return j, false
	}
	return j, j.Sources >= b.Sources && j.Sources > 2*well
}

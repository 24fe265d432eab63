package endpoints

import (
	"context"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/clock"
	"standpoint/internal/dnssd/browser"
	"standpoint/internal/dnssd/record"
	"standpoint/internal/node"
)

// Browser is the actor of endpoints that are published as DNS-SD records (RFC 6763): it turns what a finder has
// found into the list that the core is told. TXT keys are those of the platform's list: site, class, block, health,
// share, born_ms; and mode, stream or batch; all others are labels.
//
// A look-up that fails changes nothing that is known, and a bad record costs its own instance alone.
type Browser struct {
	FinderOptions browser.Options // Tell is the browser's own
	Key           string          // names the source among others, in the store too
	Config        string          // all that it was told; another means other settings
	Site          string          // of instances that do not tell theirs; "" for the first
	Suffix        string          // behind the instances' names, to tell several services' apart
	Guard         record.Guard
	Damper        record.Damper
	Names         Names
	Notify        func(node.EndpointList)
	Log           *zap.Logger

	snapshots chan browser.Snapshot // the newest that is not looked at yet
	finder    *browser.Browser

	// The actor's alone.
	last        *browser.Snapshot
	unpublished bool                     // nothing was told yet
	published   []node.Endpoint          // what the core was last told, by name
	endpoints   map[string]node.Endpoint // by full instance name; those that are in use
	listed      map[string]bool
	faults      map[string]string // why the others are not
	serial      *uint32
	proved      time.Time                   // when the list that is in use was last told
	changed     map[string]time.Time        // of an instance's entry, or of what is wrong with it
	observed    map[string]observedInstance // of instances that tell no start
	origins     atomic.Pointer[[]Origin]
}

// observedInstance is when an instance that tells no start was first seen, and when last.
type observedInstance struct {
	startedAt int64 // 0: it was there before this node
	lastSeen  time.Time
	address   string
}

const (
	sightingsMost = 2 * record.InstancesMost
	// sameStart is how long an instance that tells no start may be away and still count as the one that went: longer
	// than a lost message, shorter than a box takes to start.
	sameStart = 2 * time.Second
)

// Origin says where an endpoint comes from, or why an instance is none.
type Origin struct {
	Name      string    `json:"name"`
	Instance  string    `json:"instance,omitempty"` // its full name; "" for one that the operator's file lists
	Server    string    `json:"server,omitempty"`
	Mechanism string    `json:"news,omitempty"` // by which way: poll, push or mdns
	Address   string    `json:"address,omitempty"`
	State     string    `json:"state,omitempty"`
	StartedAt time.Time `json:"started,omitzero"`
	TTL       uint32    `json:"ttl_s,omitempty"`
	ExpiresAt time.Time `json:"until,omitzero"`   // the end of its records' time
	ChangedAt time.Time `json:"changed,omitzero"` // when this was last found different
	CheckedAt time.Time `json:"looked,omitzero"`  // when the list was last told
	Stale     bool      `json:"stale,omitempty"`  // from the store, past its time and not told anew
	Fault     string    `json:"fault,omitempty"`  // why it is left out
}

// Describe says where an entry comes from, as far as the entry itself tells.
func Describe(e node.Endpoint) Origin {
	o := Origin{Name: e.Name, Address: e.Address, Stale: e.Stale, State: word(healthNames, int(e.State))}
	if e.ReadyAt > 0 {
		o.StartedAt = time.Unix(0, e.ReadyAt)
	}
	return o
}

// Origins are all instances as last found, those that are left out too. It may be called from anywhere.
func (b *Browser) Origins() []Origin {
	if all := b.origins.Load(); all != nil {
		return *all
	}
	return nil
}

// Run finds and tells until ctx ends. It may be run once.
func (b *Browser) Run(ctx context.Context) {
	b.start()
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.finder.Run(ctx)
	}()
	timer := time.NewTimer(math.MaxInt64)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			<-done
			return
		case s := <-b.snapshots:
			b.last = &s
		case <-timer.C:
		}
		if b.last == nil {
			continue
		}
		again := b.evaluate(*b.last, time.Now())
		if again > 0 {
			timer.Reset(again)
		}
	}
}

func (b *Browser) start() {
	b.snapshots, b.unpublished = make(chan browser.Snapshot, 1), true
	b.observed = map[string]observedInstance{}
	b.FinderOptions.Tell = func(s browser.Snapshot) {
		select { // the newest alone counts
		case <-b.snapshots:
		default:
		}
		b.snapshots <- s
	}
	b.finder = browser.New(b.FinderOptions)
}

// evaluate takes in a sight, and tells the core if the list has changed. It says when the same sight is to be judged again,
// 0 for never: what the guard or the damper holds back may be due then.
func (b *Browser) evaluate(s browser.Snapshot, now time.Time) (again time.Duration) {
	if s.Over > 0 && b.FinderOptions.Log != nil {
		b.Log.Warn("more instances than are taken", zap.Int("over", s.Over), zap.Int("most", record.InstancesMost))
	}
	still := 0
	for _, in := range s.Instances {
		if b.listed[in.Name] {
			still++
		}
	}
	newer := s.Serial != nil && b.serial != nil && record.Newer(*s.Serial, *b.serial)
	if b.Guard.Check(len(b.listed), still, newer, clock.Of(now)) == record.Hold {
		return 100 * time.Millisecond
	}
	entries, faults := map[string]node.Endpoint{}, map[string]string{}
	listed := make(map[string]bool, len(s.Instances))
	earliest := int64(math.MaxInt64)
	for _, in := range s.Instances {
		listed[in.Name] = true
		was, known := b.endpoints[in.Name]
		if in.Pending && known { // not told now: what was known holds
			entries[in.Name] = was
			continue
		}
		e, err := b.entry(in, now)
		if err == nil && !known && !b.unpublished {
			if until := b.Damper.Until(in.Name, clock.Of(now)); until > clock.Of(now) {
				earliest = min(earliest, until)
				err = fmt.Errorf("held back until %s: it came and went too often", time.Unix(0, until).UTC().Format(time.TimeOnly))
			}
		}
		if err == nil {
			entries[in.Name] = e
			continue
		}
		faults[in.Name] = err.Error()
		if b.faults[in.Name] != faults[in.Name] && !in.Pending {
			b.Log.Warn("an endpoint is left out", zap.String("instance", in.Name), zap.Error(err))
		}
	}
	for name := range b.endpoints {
		if _, stays := entries[name]; !stays {
			b.Damper.Removed(name, clock.Of(now))
			b.FinderOptions.Metrics.Removed(now.Sub(b.proved))
		}
	}
	b.note(s, entries, faults)
	b.endpoints, b.faults, b.listed, b.serial, b.proved = entries, faults, listed, s.Serial, s.At
	list := make([]node.Endpoint, 0, len(entries))
	for _, e := range entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(x, y node.Endpoint) int { return strings.Compare(x.Name, y.Name) })
	if b.unpublished || !reflect.DeepEqual(list, b.published) {
		b.unpublished = false
		b.published = list
		b.Notify(node.EndpointList{Kind: standpoint.ListFull, Endpoints: slices.Clone(list)})
	}
	if earliest < math.MaxInt64 {
		return time.Duration(earliest-clock.Of(now)) + time.Millisecond
	}
	return 0
}

// note keeps the origins of what was found.
func (b *Browser) note(s browser.Snapshot, entries map[string]node.Endpoint, faults map[string]string) {
	changed := map[string]time.Time{}
	all := make([]Origin, 0, len(s.Instances))
	for _, in := range s.Instances {
		e, used := entries[in.Name]
		o := Origin{Name: in.Label + b.Suffix, Fault: faults[in.Name]}
		same := b.faults[in.Name] == o.Fault
		if used {
			o = Describe(e)
			same = reflect.DeepEqual(e, b.endpoints[in.Name])
		}
		if o.ChangedAt = b.changed[in.Name]; o.ChangedAt.IsZero() || !same {
			o.ChangedAt = s.At
		}
		changed[in.Name] = o.ChangedAt
		o.Instance, o.Server, o.Mechanism, o.CheckedAt = in.Name, b.FinderOptions.Server, string(s.Way), s.At
		if !in.Pending && in.Until < math.MaxInt64 {
			o.TTL, o.ExpiresAt = in.TTL, clock.Time(in.Until)
		}
		all = append(all, o)
	}
	slices.SortFunc(all, func(x, y Origin) int { return strings.Compare(x.Name, y.Name) })
	b.changed = changed
	b.origins.Store(&all)
}

// entry reads an instance as an endpoint.
func (b *Browser) entry(in record.Instance, now time.Time) (node.Endpoint, error) {
	e := node.Endpoint{Engine: standpoint.Engine{Name: in.Label + b.Suffix, Size: 1}, Source: b.Key}
	if in.Fault != nil {
		return e, in.Fault
	}
	if b.Site != "" {
		e.Zone = index(b.Names.Zones, b.Site)
	}
	e.Address = in.Address.String()
	for key, a := range in.Attributes {
		if err := b.attribute(&e, key, a.Value); err != nil {
			return e, fmt.Errorf("TXT %s: %w", key, err)
		}
	}
	if e.ReadyAt == 0 {
		e.ReadyAt = b.since(in.Name, e.Address, now)
	}
	return e, nil
}

// since is the start of an instance that tells none. One that was there when this node came may have run for long; one
// that appears later, comes back, or is at another address has just started as far as anyone can tell, and is cold.
func (b *Browser) since(name, address string, now time.Time) int64 {
	was, known := b.observed[name]
	switch {
	case known && was.address != address:
		was.startedAt = clock.Of(now)
	case known && now.Sub(was.lastSeen) < sameStart || known && b.listed[name]:
	case b.unpublished:
		was.startedAt = 0
	default:
		was.startedAt = clock.Of(now)
	}
	if !known && len(b.observed) >= sightingsMost {
		for other, s := range b.observed {
			if !b.listed[other] && now.Sub(s.lastSeen) >= sameStart {
				delete(b.observed, other)
			}
		}
	}
	was.lastSeen, was.address = now, address
	b.observed[name] = was
	return was.startedAt
}

// attribute takes in one key of a TXT record. Those that mean nothing here become labels.
func (b *Browser) attribute(e *node.Endpoint, key, value string) (err error) {
	switch key {
	case "site":
		e.Zone = index(b.Names.Zones, value)
	case "class":
		e.Kind = index(b.Names.Kinds, value)
	case "block":
		e.Cell, err = strconv.Atoi(value)
	case "share":
		e.Size, err = strconv.ParseFloat(value, 64)
		if err == nil && !(e.Size > 0 && e.Size <= 1e6) {
			err = fmt.Errorf("%q is no size", value)
		}
	case "born_ms":
		var born int64
		born, err = strconv.ParseInt(value, 10, 64)
		if err == nil && (born < 0 || born > math.MaxInt64/int64(time.Millisecond)) {
			err = fmt.Errorf("%q is no time", value)
		}
		e.ReadyAt = born * int64(time.Millisecond)
	case "mode":
		e.Batch = value == "batch"
	case "health":
		e.State, err = state(value)
	default:
		if e.Labels == nil {
			e.Labels = map[string]string{}
		}
		e.Labels[key] = value
	}
	return err
}

package endpoints

import (
	"context"
	"fmt"
	"math"
	"reflect"
	"slices"
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

// guardRecheckInterval is when a list that the guard holds back is evaluated again.
const guardRecheckInterval = 100 * time.Millisecond

// Browser is a source of endpoints that are published as DNS-SD service instances (RFC 6763): it turns what a finder
// has found into an endpoint list. The keys of TXT records are those of the platform's list, and mode; all others are
// labels.
//
// A look-up that fails changes nothing, and an invalid record affects its own instance alone. The exported fields are
// set before Run, and not changed afterwards.
type Browser struct {
	FinderOptions browser.Options // Publish is set by Run
	Key           string          // identifies the source among others, also in the persisted list
	Config        string          // the configuration that it was made from: two that differ differ in it
	Site          string          // of instances that publish none; empty for the first zone
	Suffix        string          // appended to the instances' names, to tell several services' apart
	Guard         record.Guard    // holds back a list that has lost many instances at once
	Damper        record.Damper   // holds back instances that come and go too often
	Names         Names
	Notify        func(node.EndpointList) // called by Run's goroutine, with full lists
	Log           *zap.Logger

	snapshots chan browser.Snapshot // of capacity 1: the latest that is not evaluated yet
	finder    *browser.Browser
	origins   atomic.Pointer[[]Origin] // by name

	// Below is Run's goroutine's alone. Maps have the instances' full names as keys.

	lastSnapshot *browser.Snapshot
	unpublished  bool                        // Notify has not been called yet
	published    []node.Endpoint             // the list that it was last called with, by name
	endpoints    map[string]node.Endpoint    // that are in use
	faults       map[string]string           // why the others are not
	listed       map[string]bool             // all instances of the last list
	serial       *uint32                     // of the zone, in the last list
	confirmedAt  time.Time                   // when the list that is in use was last found
	changedAt    map[string]time.Time        // when an instance's endpoint, or its fault, last changed
	observed     map[string]observedInstance // that publish no start
}

// Origins returns all instances as last found, unused ones included. It is safe for concurrent use.
func (b *Browser) Origins() []Origin {
	if all := b.origins.Load(); all != nil {
		return *all
	}
	return nil
}

// Run browses until ctx ends, and waits for the finder. It may be called once.
func (b *Browser) Run(ctx context.Context) {
	b.prepare()
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
		case snapshot := <-b.snapshots:
			b.lastSnapshot = &snapshot
		case <-timer.C:
		}
		if b.lastSnapshot == nil {
			continue
		}
		recheckAfter := b.evaluate(*b.lastSnapshot, time.Now())
		if recheckAfter > 0 {
			timer.Reset(recheckAfter)
		}
	}
}

func (b *Browser) prepare() {
	b.snapshots = make(chan browser.Snapshot, 1)
	b.unpublished = true
	b.observed = map[string]observedInstance{}
	b.FinderOptions.Publish = func(snapshot browser.Snapshot) {
		select { // the latest replaces one that is not evaluated yet
		case <-b.snapshots:
		default:
		}
		b.snapshots <- snapshot
	}
	b.finder = browser.New(b.FinderOptions)
}

// evaluation is what a snapshot means. Maps have the instances' full names as keys.
type evaluation struct {
	endpoints    map[string]node.Endpoint
	faults       map[string]string
	listed       map[string]bool
	dampedBefore int64 // the instant at which the first damped instance may be used; math.MaxInt64 if there is none
}

// evaluate handles a snapshot, and notifies if the list has changed. It returns after how long the same snapshot is
// to be evaluated again, since the guard or the damper may let something through then; 0 if not at all.
func (b *Browser) evaluate(snapshot browser.Snapshot, now time.Time) (recheckAfter time.Duration) {
	if snapshot.Omitted > 0 && b.FinderOptions.Log != nil {
		b.Log.Warn("instances beyond the maximum ignored",
			zap.Int("ignored", snapshot.Omitted), zap.Int("maximum", record.MaxInstances))
	}
	if b.guardHolds(snapshot, now) {
		return guardRecheckInterval
	}
	next := b.interpret(snapshot, now)
	b.recordRemovals(next.endpoints, now)
	b.recordOrigins(snapshot, next)
	b.endpoints = next.endpoints
	b.faults = next.faults
	b.listed = next.listed
	b.serial = snapshot.Serial
	b.confirmedAt = snapshot.ObservedAt
	b.publish()
	if next.dampedBefore < math.MaxInt64 {
		return time.Duration(next.dampedBefore-clock.Of(now)) + time.Millisecond
	}
	return 0
}

// guardHolds reports whether the guard holds a snapshot back, for the instances that it has lost.
func (b *Browser) guardHolds(snapshot browser.Snapshot, now time.Time) bool {
	remaining := 0
	for _, instance := range snapshot.Instances {
		if b.listed[instance.Name] {
			remaining++
		}
	}
	newer := snapshot.Serial != nil && b.serial != nil && record.Newer(*snapshot.Serial, *b.serial)
	return b.Guard.Check(len(b.listed), remaining, newer, clock.Of(now)) == record.Hold
}

// interpret finds the endpoint of each instance, or why it has none.
func (b *Browser) interpret(snapshot browser.Snapshot, now time.Time) evaluation {
	next := evaluation{
		endpoints:    map[string]node.Endpoint{},
		faults:       map[string]string{},
		listed:       make(map[string]bool, len(snapshot.Instances)),
		dampedBefore: math.MaxInt64,
	}
	for _, instance := range snapshot.Instances {
		next.listed[instance.Name] = true
		present, used := b.endpoints[instance.Name]
		if instance.Pending && used { // its records are not known for now: what is in use stays
			next.endpoints[instance.Name] = present
			continue
		}
		endpoint, err := b.endpoint(instance, now)
		if err == nil && !used && !b.unpublished {
			if until := b.Damper.HeldUntil(instance.Name, clock.Of(now)); until > clock.Of(now) {
				next.dampedBefore = min(next.dampedBefore, until)
				err = &dampedError{until: until}
			}
		}
		if err == nil {
			next.endpoints[instance.Name] = endpoint
			continue
		}
		fault := err.Error()
		next.faults[instance.Name] = fault
		if b.faults[instance.Name] != fault && !instance.Pending {
			b.Log.Warn("service instance not used", zap.String("instance", instance.Name), zap.Error(err))
		}
	}
	return next
}

// dampedError reports an instance that came and went too often.
type dampedError struct{ until int64 }

// Error implements error.
func (e *dampedError) Error() string {
	until := time.Unix(0, e.until).UTC().Format(time.TimeOnly)
	return fmt.Sprintf("held back until %s: it came and went too often", until)
}

// recordRemovals notifies the damper and the metrics of the endpoints that are no longer used.
func (b *Browser) recordRemovals(next map[string]node.Endpoint, now time.Time) {
	for name := range b.endpoints {
		if _, used := next[name]; !used {
			b.Damper.RecordWithdrawal(name, clock.Of(now))
			b.FinderOptions.Metrics.ObserveWithdrawal(now.Sub(b.confirmedAt))
		}
	}
}

// recordOrigins replaces what Origins returns.
func (b *Browser) recordOrigins(snapshot browser.Snapshot, next evaluation) {
	changedAt := map[string]time.Time{}
	all := make([]Origin, 0, len(snapshot.Instances))
	for _, instance := range snapshot.Instances {
		origin := Origin{Name: instance.Label + b.Suffix, Fault: next.faults[instance.Name]}
		unchanged := b.faults[instance.Name] == origin.Fault
		if endpoint, used := next.endpoints[instance.Name]; used {
			origin = Describe(endpoint)
			unchanged = reflect.DeepEqual(endpoint, b.endpoints[instance.Name])
		}
		origin.ChangedAt = b.changedAt[instance.Name]
		if origin.ChangedAt.IsZero() || !unchanged {
			origin.ChangedAt = snapshot.ObservedAt
		}
		changedAt[instance.Name] = origin.ChangedAt
		origin.Instance = instance.Name
		origin.Server = b.FinderOptions.Server
		origin.Mechanism = string(snapshot.Mechanism)
		origin.CheckedAt = snapshot.ObservedAt
		if !instance.Pending && instance.ExpiresAt < math.MaxInt64 {
			origin.TTL = instance.TTL
			origin.ExpiresAt = clock.Time(instance.ExpiresAt)
		}
		all = append(all, origin)
	}
	slices.SortFunc(all, func(x, y Origin) int { return strings.Compare(x.Name, y.Name) })
	b.changedAt = changedAt
	b.origins.Store(&all)
}

// publish notifies of the list in use if it has changed, and of the first in any case.
func (b *Browser) publish() {
	list := make([]node.Endpoint, 0, len(b.endpoints))
	for _, endpoint := range b.endpoints {
		list = append(list, endpoint)
	}
	slices.SortFunc(list, func(x, y node.Endpoint) int { return strings.Compare(x.Name, y.Name) })
	if !b.unpublished && reflect.DeepEqual(list, b.published) {
		return
	}
	b.unpublished = false
	b.published = list
	b.Notify(node.EndpointList{Kind: standpoint.ListFull, Endpoints: slices.Clone(list)})
}

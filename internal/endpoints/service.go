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

// guardRecheckInterval is the interval at which a snapshot that the guard holds back is evaluated again.
const guardRecheckInterval = 100 * time.Millisecond

// ServiceSource is a source of endpoints that are published as DNS-SD service instances (RFC 6763). It converts the
// snapshots of a browser into endpoint lists. The keys of TXT records are those of the platform's list, and mode; all
// other keys become labels.
//
// A failed look-up changes nothing, and an invalid record affects only its own instance. The exported fields must be
// set before Run, and not changed afterwards.
type ServiceSource struct {
	BrowserOptions browser.Options // Publish is set by Run
	Key            string          // identifies the source among others, also in the persisted list
	Config         string          // the source's configuration as text; equal texts mean an equal configuration
	Site           string          // the site of instances that publish none; if empty, they are in the first zone
	Suffix         string          // appended to the instances' names, to distinguish those of several services
	Guard          record.Guard    // holds back a list that has lost many instances at once
	Damper         record.Damper   // holds back instances that appear and disappear too often
	Names          Names
	Notify         func(node.EndpointList) // called with full lists, by the goroutine of Run
	Log            *zap.Logger

	snapshots chan browser.Snapshot // the latest snapshot that is not evaluated yet; its capacity is 1
	browser   *browser.Browser
	origins   atomic.Pointer[[]Origin] // sorted by name

	// The fields below are used only by the goroutine of Run. The keys of the maps are the instances' full names.

	lastSnapshot *browser.Snapshot
	unpublished  bool                        // Notify has not been called yet
	published    []node.Endpoint             // the list of the last call of Notify, sorted by name
	endpoints    map[string]node.Endpoint    // the endpoints in use
	faults       map[string]string           // why the other instances are not used
	listed       map[string]bool             // all instances of the last accepted snapshot
	serial       *uint32                     // the zone's serial in the last accepted snapshot
	confirmedAt  time.Time                   // when the list in use was last confirmed
	changedAt    map[string]time.Time        // when an instance's endpoint or fault last changed
	observed     map[string]observedInstance // instances that publish no start
}

// Origins returns all instances of the last accepted snapshot, including unused ones. It is safe for concurrent use.
func (s *ServiceSource) Origins() []Origin {
	if all := s.origins.Load(); all != nil {
		return *all
	}
	return nil
}

// Run browses the service until ctx ends, and then waits for the browser to stop. It may be called once.
func (s *ServiceSource) Run(ctx context.Context) {
	s.prepare()
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.browser.Run(ctx)
	}()
	timer := time.NewTimer(math.MaxInt64)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			<-done
			return
		case snapshot := <-s.snapshots:
			s.lastSnapshot = &snapshot
		case <-timer.C:
		}
		if s.lastSnapshot == nil {
			continue
		}
		recheckAfter := s.evaluate(*s.lastSnapshot, time.Now())
		if recheckAfter > 0 {
			timer.Reset(recheckAfter)
		}
	}
}

// prepare initializes the fields that Run needs.
func (s *ServiceSource) prepare() {
	s.snapshots = make(chan browser.Snapshot, 1)
	s.unpublished = true
	s.observed = map[string]observedInstance{}
	s.BrowserOptions.Publish = func(snapshot browser.Snapshot) {
		select { // a newer snapshot replaces one that is not evaluated yet
		case <-s.snapshots:
		default:
		}
		s.snapshots <- snapshot
	}
	s.browser = browser.New(s.BrowserOptions)
}

// evaluation is the result of interpreting a snapshot. The keys of the maps are the instances' full names.
type evaluation struct {
	endpoints map[string]node.Endpoint
	faults    map[string]string
	listed    map[string]bool
	releaseAt int64 // the earliest instant at which a damped instance may be used again; math.MaxInt64 if none is damped
}

// evaluate handles a snapshot, and calls Notify if the list has changed. It returns the time after which the same
// snapshot must be evaluated again, since the guard or the damper may release something then; 0 if that is not needed.
func (s *ServiceSource) evaluate(snapshot browser.Snapshot, now time.Time) (recheckAfter time.Duration) {
	if snapshot.Omitted > 0 && s.BrowserOptions.Log != nil {
		s.Log.Warn("instances beyond the maximum ignored",
			zap.Int("ignored", snapshot.Omitted), zap.Int("maximum", record.MaxInstances))
	}
	if s.guardHolds(snapshot, now) {
		return guardRecheckInterval
	}
	next := s.interpret(snapshot, now)
	s.recordRemovals(next.endpoints, now)
	s.recordOrigins(snapshot, next)
	s.endpoints = next.endpoints
	s.faults = next.faults
	s.listed = next.listed
	s.serial = snapshot.Serial
	s.confirmedAt = snapshot.ObservedAt
	s.publish()
	if next.releaseAt < math.MaxInt64 {
		return time.Duration(next.releaseAt-clock.Of(now)) + time.Millisecond
	}
	return 0
}

// guardHolds reports whether the guard holds a snapshot back because too many instances are missing in it.
func (s *ServiceSource) guardHolds(snapshot browser.Snapshot, now time.Time) bool {
	remaining := 0
	for _, instance := range snapshot.Instances {
		if s.listed[instance.Name] {
			remaining++
		}
	}
	newer := snapshot.Serial != nil && s.serial != nil && record.SerialNewer(*snapshot.Serial, *s.serial)
	return s.Guard.Check(len(s.listed), remaining, newer, clock.Of(now)) == record.Hold
}

// interpret determines each instance's endpoint, or why it is not used.
func (s *ServiceSource) interpret(snapshot browser.Snapshot, now time.Time) evaluation {
	next := evaluation{
		endpoints: map[string]node.Endpoint{},
		faults:    map[string]string{},
		listed:    make(map[string]bool, len(snapshot.Instances)),
		releaseAt: math.MaxInt64,
	}
	for _, instance := range snapshot.Instances {
		next.listed[instance.Name] = true
		present, used := s.endpoints[instance.Name]
		if instance.Pending && used { // while its records are unknown, the endpoint in use stays
			next.endpoints[instance.Name] = present
			continue
		}
		endpoint, err := s.endpoint(instance, now)
		if err == nil && !used && !s.unpublished {
			if until := s.Damper.SuppressedUntil(instance.Name, clock.Of(now)); until > clock.Of(now) {
				next.releaseAt = min(next.releaseAt, until)
				err = &dampedError{until: until}
			}
		}
		if err == nil {
			next.endpoints[instance.Name] = endpoint
			continue
		}
		fault := err.Error()
		next.faults[instance.Name] = fault
		if s.faults[instance.Name] != fault && !instance.Pending {
			s.Log.Warn("service instance not used", zap.String("instance", instance.Name), zap.Error(err))
		}
	}
	return next
}

// dampedError reports an instance that appeared and disappeared too often.
type dampedError struct{ until int64 }

// Error implements error.
func (e *dampedError) Error() string {
	until := time.Unix(0, e.until).UTC().Format(time.TimeOnly)
	return fmt.Sprintf("held back until %s: it came and went too often", until)
}

// recordRemovals records the endpoints that are no longer used in the damper and the metrics.
func (s *ServiceSource) recordRemovals(next map[string]node.Endpoint, now time.Time) {
	for name := range s.endpoints {
		if _, used := next[name]; !used {
			s.Damper.RecordWithdrawal(name, clock.Of(now))
			s.BrowserOptions.Metrics.ObserveWithdrawal(now.Sub(s.confirmedAt))
		}
	}
}

// recordOrigins replaces the result of Origins.
func (s *ServiceSource) recordOrigins(snapshot browser.Snapshot, next evaluation) {
	changedAt := map[string]time.Time{}
	all := make([]Origin, 0, len(snapshot.Instances))
	for _, instance := range snapshot.Instances {
		origin := Origin{Name: instance.Label + s.Suffix, Fault: next.faults[instance.Name]}
		unchanged := s.faults[instance.Name] == origin.Fault
		if endpoint, used := next.endpoints[instance.Name]; used {
			origin = Describe(endpoint)
			unchanged = reflect.DeepEqual(endpoint, s.endpoints[instance.Name])
		}
		origin.ChangedAt = s.changedAt[instance.Name]
		if origin.ChangedAt.IsZero() || !unchanged {
			origin.ChangedAt = snapshot.ObservedAt
		}
		changedAt[instance.Name] = origin.ChangedAt
		origin.Instance = instance.Name
		origin.Server = s.BrowserOptions.Server
		origin.Mechanism = string(snapshot.Mechanism)
		origin.CheckedAt = snapshot.ObservedAt
		if !instance.Pending && instance.ExpiresAt < math.MaxInt64 {
			origin.TTL = instance.TTL
			origin.ExpiresAt = clock.Time(instance.ExpiresAt)
		}
		all = append(all, origin)
	}
	slices.SortFunc(all, func(x, y Origin) int { return strings.Compare(x.Name, y.Name) })
	s.changedAt = changedAt
	s.origins.Store(&all)
}

// publish calls Notify with the list in use if it has changed, and with the first list even if it is empty.
func (s *ServiceSource) publish() {
	list := make([]node.Endpoint, 0, len(s.endpoints))
	for _, endpoint := range s.endpoints {
		list = append(list, endpoint)
	}
	slices.SortFunc(list, func(x, y node.Endpoint) int { return strings.Compare(x.Name, y.Name) })
	if !s.unpublished && reflect.DeepEqual(list, s.published) {
		return
	}
	s.unpublished = false
	s.published = list
	s.Notify(node.EndpointList{Kind: standpoint.ListFull, Endpoints: slices.Clone(list)})
}

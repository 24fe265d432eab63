package fleet

import (
	"github.com/cespare/xxhash/v2"

	"standpoint"
	"standpoint/internal/fleet/outlier"
	"standpoint/internal/node"
)

// minConsecutiveErrors is the number of consecutive errors from which on each error counts as evidence against a
// backend. A single one may be the fault of the request.
const minConsecutiveErrors = 2

// UpdateEndpoints applies a change of the endpoint list, and ignores one of kind ListFailed. Evidence is collected on
// the backends that are ready.
func (f *Fleet) UpdateEndpoints(list node.EndpointList) {
	if list.Kind == standpoint.ListFailed {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if list.Kind == standpoint.ListFull {
		clear(f.backendStarts)
		clear(f.backendNames)
		clear(f.backendZones)
	}
	for _, endpoint := range list.Endpoints {
		if endpoint.State == standpoint.Ready {
			f.addBackend(endpoint)
		} else {
			f.removeBackend(endpoint.Name)
		}
	}
	for name := range f.consecutiveErrors {
		if _, listed := f.backendStarts[name]; !listed {
			delete(f.consecutiveErrors, name)
		}
	}
	f.member.Detector.SetBackends(f.backends())
}

func (f *Fleet) addBackend(endpoint node.Endpoint) {
	f.backendStarts[endpoint.Name] = endpoint.StartedAt
	f.backendNames[xxhash.Sum64String(endpoint.Name)] = endpoint.Name
	f.backendZones[endpoint.Name] = endpoint.Zone
}

func (f *Fleet) removeBackend(name string) {
	delete(f.backendStarts, name)
	delete(f.backendNames, xxhash.Sum64String(name))
	delete(f.backendZones, name)
}

// backends returns the ready backends for the detector. The caller holds f.mu.
func (f *Fleet) backends() []outlier.Backend {
	var backends []outlier.Backend
	for name, startedAt := range f.backendStarts {
		backends = append(backends, outlier.Backend{
			Hash:      xxhash.Sum64String(name),
			Zone:      f.backendZones[name],
			StartedAt: startedAt,
		})
	}
	return backends
}

// BackendStart returns the start time of a backend's process according to the endpoint list, in Unix nanoseconds, or 0
// if the backend is not listed as ready.
func (f *Fleet) BackendStart(backend string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.backendStarts[backend]
}

// RecordFinished records the result of an attempt as evidence on its backend. It ignores attempts at backends that are
// not ready, inconclusive ones and those whose response had an invalid status.
func (f *Fleet) RecordFinished(observation node.Observation) {
	name := observation.Backend
	f.mu.Lock()
	defer f.mu.Unlock()
	startedAt, listed := f.backendStarts[name]
	if !listed || observation.Inconclusive || observation.Result.InvalidStatus != 0 {
		return
	}
	kind, ok := f.evidenceKind(name, observation.Result.Code)
	if !ok {
		return
	}
	f.member.Detector.Observe(outlier.Evidence{
		BackendHash: xxhash.Sum64String(name),
		StartedAt:   startedAt,
		Kind:        kind,
		ObservedAt:  f.Now(),
	})
}

// evidenceKind returns the kind of evidence that the result of an attempt gives on its backend, or false if it gives
// none. It also updates the count of consecutive errors. The caller holds f.mu.
func (f *Fleet) evidenceKind(backend string, code standpoint.OutcomeCode) (outlier.Kind, bool) {
	switch code {
	case standpoint.Served:
		f.consecutiveErrors[backend] = 0
		return outlier.Healthy, true
	case standpoint.NoConnection:
		return outlier.Unreachable, true
	case standpoint.ServerError, standpoint.ConnectionLost, standpoint.NoAnswer:
		f.consecutiveErrors[backend]++
		return outlier.BackendFault, f.consecutiveErrors[backend] >= minConsecutiveErrors
	}
	return 0, false
}

// outlierAdvice returns the backends that are outliers by the evidence of other nodes, as advice to the decision
// module. The caller holds f.mu.
func (f *Fleet) outlierAdvice() *standpoint.Advice {
	advice := &standpoint.Advice{}
	for _, ejection := range f.member.Detector.Ejections(f.Now()) {
		if name, ok := f.backendNames[ejection.Backend.Hash]; ok {
			advice.Suspicions = append(advice.Suspicions, standpoint.Suspicion{
				Engine:    name,
				StartedAt: ejection.Backend.StartedAt,
				At:        ejection.LatestEvidence - int64(f.ClockOffset),
			})
		}
	}
	return advice
}

package fleet

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"standpoint"
	"standpoint/internal/fleet/outlier"
	"standpoint/internal/fleet/quota"
	"standpoint/internal/node"
)

// Faults of a backend that other nodes observed become advice to the decision module. A success on this node, or a
// restart of the backend, overrides them.
func TestAdviceFromOthers(t *testing.T) {
	f := newTestFleet(t, 1, 0, true)
	list := node.EndpointList{Kind: standpoint.ListFull}
	for _, name := range []string{"p", "q", "r", "s"} {
		list.Endpoints = append(list.Endpoints, node.Endpoint{Engine: standpoint.Engine{Name: name, StartedAt: 7}})
	}
	f.UpdateEndpoints(list)
	for slot := 1; slot < 3; slot++ {
		f.member.Detector.Receive(quota.Owner{Slot: slot, Incarnation: 1}, 0, outlier.Evidence{
			BackendHash: xxhash.Sum64String("p"),
			StartedAt:   7,
			Kind:        outlier.BackendFault,
			ObservedAt:  f.Now(),
		}, f.Now())
	}
	suspicions := f.outlierAdvice().Suspicions
	require.Len(t, suspicions, 1)
	require.Equal(t, "p", suspicions[0].Engine)
	f.RecordFinished(node.Observation{Backend: "p", Result: node.Result{Code: standpoint.Served}})
	require.Empty(t, f.outlierAdvice().Suspicions)
	f.RecordFinished(node.Observation{Backend: "q", Result: node.Result{Code: standpoint.ServerError}})
	require.Empty(t, f.member.Detector.EvidenceToPublish(f.Now())[1:], "a single error may be the fault of the request")
	list.Endpoints[0].StartedAt = 8
	f.UpdateEndpoints(list)
	require.Empty(t, f.outlierAdvice().Suspicions)
}

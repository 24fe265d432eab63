package controller

import (
	"encoding/json"
	"testing"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/control"
	"standpoint/internal/migration"
	"standpoint/internal/store"
)

// Whatever comes by the control interface as a wish or as reports, it is refused, or the move and its figures stay
// whole.
func FuzzCalls(f *testing.F) {
	f.Add(
		[]byte(
			`{"to":"new","steps":[0.1,1],"hold":"1s","warm":"1s","trickle":0.05,"samples":30,"floor":0.9,"on_worse":"undo","by":"kim"}`,
		),
	)
	f.Add([]byte(`{"to":"new","steps":[],"hold":"-1s"}`))
	f.Add([]byte(`{"to":"new","steps":[1e308,-1],"floor":-1e308}`))
	f.Add(
		[]byte(`[{"node":"b","move":"m","version":1,"digest":1,"from":{"Flows":-9,"Samples":[{"Class":-1}]},"to":{}}]`),
	)
	f.Add([]byte(`[{"node":"b"},{"node":"b"}] x`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		a, m := begun(t)
		var wish StartRequest
		if control.Decode(raw, &wish) == nil {
			if m, err := a.newMachine(wish, a.record.Shares); err == nil {
				_, _ = json.Marshal(m.Record())
			}
		}
		var reports []Report
		if control.Decode(raw, &reports) == nil {
			for _, r := range reports {
				r.Migration, r.Version, r.Digest = a.record.ID, a.record.Version, a.options.Tracker.Digest()
				a.addReport(r)
			}
			m.Observe(time.Unix(2000, 0), a.mergeWindow(time.Now()))
			if len(a.reports) > maxNodes {
				t.Fatal("more nodes than may report")
			}
		}
	})
}

// Whatever stands in the store as the move's record, it is passed over or followed.
func FuzzRecord(f *testing.F) {
	_, m := begun(f)
	raw, err := json.Marshal(m.Record())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add(
		[]byte(
			`{"id":"m","state":"holding","step":99,"plan":{"From":"old","To":"new","Steps":[]},"shares":{"Share":-1}}`,
		),
	)
	f.Add([]byte(`{"id":"m","state":"stepping","step":-7}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		a, _ := begun(t)
		if _, err := a.options.Store.Write(t.Context(), store.Op{Key: currentKey, Data: raw, ExpectedVersion: store.AnyVersion}); err != nil {
			t.Fatal(err)
		}
		a.follow()
		if pool := a.options.Tracker.Assign(&standpoint.Request{Session: 1}); pool < 0 || pool > 2 {
			t.Fatalf("pool %d", pool)
		}
		if a.takeLead() && a.machine != nil {
			a.machine.Observe(time.Unix(2000, 0), migration.Window{Nodes: 1})
		}
	})
}

// begun is an actor with a move that has just begun.
func begun(t testing.TB) (*Controller, *migration.Machine) {
	tr := NewTracker(file(t, nil), zap.NewNop())
	updateEndpoints(tr, endpoint("box-1", "v1"), endpoint("box-2", "v2"))
	a := New(
		Options{
			Name:    "n",
			Tracker: tr,
			Store:   store.NewMemory(),
			Plan:    func() migration.Plan { return migration.Default() },
			Log:     zap.NewNop(),
		},
	)
	m, err := a.newMachine(StartRequest{To: "new"}, a.record.Shares)
	if err != nil {
		t.Fatal(err)
	}
	return a, m
}

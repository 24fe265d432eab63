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

// Arbitrary bodies of commands and reports must be rejected or leave a valid migration; nothing may panic, and the
// number of reporting nodes stays bounded.
func FuzzCalls(f *testing.F) {
	f.Add(
		[]byte(
			`{"to":"new","steps":[0.1,1],"hold":"1s","warm":"1s","trickle":0.05,` +
				`"samples":30,"floor":0.9,"on_worse":"undo","by":"kim"}`,
		),
	)
	f.Add([]byte(`{"to":"new","steps":[],"hold":"-1s"}`))
	f.Add([]byte(`{"to":"new","steps":[1e308,-1],"floor":-1e308}`))
	f.Add(
		[]byte(`[{"node":"b","move":"m","version":1,"digest":1,"from":{"Flows":-9,"Samples":[{"Class":-1}]},"to":{}}]`),
	)
	f.Add([]byte(`[{"node":"b"},{"node":"b"}] x`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		controller, m := newPlannedMigration(t)
		var start StartRequest
		if control.Decode(raw, &start) == nil {
			if m, err := controller.newMachine(start, controller.record.Shares); err == nil {
				_, _ = json.Marshal(m.Record())
			}
		}
		var reports []Report
		if control.Decode(raw, &reports) == nil {
			for _, r := range reports {
				r.Migration, r.Version, r.Digest =
					controller.record.ID, controller.record.Version, controller.options.Tracker.Digest()
				controller.addReport(r)
			}
			m.Observe(time.Unix(2000, 0), controller.mergeWindow(time.Now()))
			if len(controller.reports) > maxNodes {
				t.Fatal("reports of more than maxNodes nodes accepted")
			}
		}
	})
}

// An arbitrary stored record must be ignored or followed, without a panic or an assignment to a pool that does not
// exist.
func FuzzRecord(f *testing.F) {
	_, m := newPlannedMigration(f)
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
		controller, _ := newPlannedMigration(t)
		if _, err := controller.options.Store.Write(
			t.Context(),
			store.Op{Key: currentKey, Data: raw, ExpectedVersion: store.AnyVersion},
		); err != nil {
			t.Fatal(err)
		}
		controller.follow()
		if pool := controller.options.Tracker.Assign(&standpoint.Request{Session: 1}); pool < 0 || pool > 2 {
			t.Fatalf("pool %d", pool)
		}
		if controller.checkLeadership() && controller.machine != nil {
			controller.machine.Observe(time.Unix(2000, 0), migration.Window{Nodes: 1})
		}
	})
}

// newPlannedMigration returns a controller with the machine of a migration that has just been planned.
func newPlannedMigration(t testing.TB) (*Controller, *migration.Machine) {
	tracker := NewTracker(newOperatorFile(t, nil), zap.NewNop())
	updateEndpoints(tracker, endpoint("backend-1", "v1"), endpoint("backend-2", "v2"))
	controller := New(
		Options{
			Name:    "n",
			Tracker: tracker,
			Store:   store.NewMemory(),
			Plan:    func() migration.Plan { return migration.Default() },
			Log:     zap.NewNop(),
		},
	)
	m, err := controller.newMachine(StartRequest{To: "new"}, controller.record.Shares)
	if err != nil {
		t.Fatal(err)
	}
	return controller, m
}

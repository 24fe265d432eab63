package controller

import (
	"encoding/json"
	"testing"
	"time"

	"standpoint/internal/migration"
	"standpoint/internal/pool"
	"standpoint/internal/testpeer/golden"
)

func encodeJSON[T any](value T) ([]byte, error) { return json.MarshalIndent(value, "", "  ") }

func decodeJSON[T any](raw []byte) (value T, err error) {
	err = json.Unmarshal(raw, &value)
	return value, err
}

var goldenHealth = migration.Health{Backends: 5, Ready: 4, Capacity: 3.5, WarmCapacity: 2.25}

var goldenWindow = migration.PoolWindow{
	Requests:      30,
	OfferedWeight: 28.5,
	OnTimeWeight:  27.25,
	Rejected:      3,
	Overflowed:    2,
	Attempts:      33,
	Errors:        1,
	Samples: []migration.Sample{
		{Class: 1, Kind: 2, UncachedTokens: 300, Load: 0.5, FirstToken: 0.25, TokenGap: 0.02},
	},
	Health: goldenHealth,
}

// The encoding of a node's report to the leader.
func TestGoldenReport(t *testing.T) {
	other := goldenWindow
	other.Requests = 31
	golden.RoundTrip(
		t,
		"report.json",
		Report{Node: "n1", Migration: "m-7", Version: 9, Digest: 77, From: goldenWindow, To: other},
		encodeJSON[Report],
		decodeJSON[Report],
	)
}

// The encoding of an operator's start command.
func TestGoldenStart(t *testing.T) {
	golden.RoundTrip(t, "start.json", StartRequest{
		From:        "old",
		To:          "new",
		Steps:       []float64{0.25, 1},
		Hold:        "20s",
		Warm:        "10s",
		Trickle:     0.02,
		Samples:     30,
		Floor:       0.9,
		OnWorse:     "stay",
		ReturnEvery: "2s",
		By:          "staff",
		Note:        "a release",
	}, encodeJSON[StartRequest], decodeJSON[StartRequest])
}

// The encoding of a migration's status.
func TestGoldenStatus(t *testing.T) {
	record := migration.Record{
		ID:     "m-7",
		State:  migration.Holding,
		Shares: pool.Shares{From: "old", To: "new", Share: 0.25},
	}
	value := Status{
		Node:      "n1",
		Leads:     true,
		Leader:    "n2",
		Version:   9,
		Migration: &record,
		Evidence:  0.5,
		Nodes:     []NodeStatus{{Name: "n3", Version: 8, Age: 1.5, Lagging: true}},
	}
	raw, err := encodeJSON(value)
	if err != nil {
		t.Fatal(err)
	}
	golden.Bytes(t, "status.json", raw)
}

// The record of a migration, as stored under move/current and move/history/.
func TestGoldenRecord(t *testing.T) {
	at := time.Date(2026, 11, 1, 10, 0, 0, 500, time.UTC)
	machine, err := migration.Start(
		"m-7",
		goldenPlan(),
		pool.Shares{Moved: map[string]string{"a": "b"}},
		goldenHealth,
		goldenHealth,
		at,
	)
	if err != nil {
		t.Fatal(err)
	}
	machine.SetAuthor("staff", "a release")
	for i := range 30 {
		machine.Observe(
			at.Add(time.Duration(i)*time.Second),
			migration.Window{From: goldenWindow, To: goldenWindow, Nodes: 3},
		)
	}
	record := machine.Record()
	record.Paused = true
	record.Reason = "paused"
	record.Cause = "the new pool is worse"
	record.ReturnFromShare = 0.75
	raw, err := encodeJSON(record)
	if err != nil {
		t.Fatal(err)
	}
	stored := golden.Read(t, "record.json", func() []byte { return raw })
	decoded, err := decodeJSON[migration.Record](stored)
	if err != nil {
		t.Fatal(err)
	}
	// A machine that is resumed from the stored record has the same state.
	again, err := encodeJSON(migration.Resume(decoded).Record())
	if err != nil {
		t.Fatal(err)
	}
	golden.Bytes(t, "record.json", again)
	golden.Bytes(t, "record.json", raw)
}

func goldenPlan() migration.Plan {
	plan := migration.Default()
	plan.From = "old"
	plan.To = "new"
	return plan
}

// The keys of the store.
func TestGoldenKeys(t *testing.T) {
	golden.Bytes(t, "keys.txt", []byte(currentKey+"\n"+historyPrefix+"\n"))
}

package migration

import (
	"encoding/json"
	"testing"
	"time"

	"standpoint/internal/pool"
	"standpoint/internal/testpeer/golden"
)

// A record with every field set. The encoded names of the evidence and of the window summaries must not change, since
// records are stored.
func TestGoldenRecordFields(t *testing.T) {
	at := time.Date(2026, 11, 1, 10, 0, 0, 0, time.UTC)
	plan := Default()
	plan.From = "old"
	plan.To = "new"
	record := Record{
		ID:              "m-7",
		Plan:            plan,
		By:              "staff",
		Note:            "a release",
		State:           Holding,
		Paused:          true,
		Reason:          "paused",
		Step:            1,
		Shares:          pool.Shares{Moved: map[string]string{"a": "b"}, From: "old", To: "new", Share: 0.25},
		Version:         7,
		Started:         at,
		Changed:         at.Add(time.Minute),
		Events:          []Event{{At: at, State: Warming, Share: 0.02, Text: "a trickle"}},
		BaseMoved:       map[string]string{"c": "d"},
		FromCapacity:    4.5,
		StateWindows:    11,
		ShareWindows:    12,
		StepRequests:    [2]int{13, 14},
		StepWeight:      [2]float64{15.5, 14.5},
		ReturnFromShare: 0.75,
		Cause:           "worse",
	}
	for criterion := range record.Evidence {
		for bet := range record.Evidence[criterion] {
			record.Evidence[criterion][bet] = float64(criterion) + 0.1*float64(bet+1)
		}
	}
	for i := range record.LongTerm {
		record.LongTerm[i] = ratio{Bad: 1 + float64(i), Total: 10 + float64(i)}
	}
	for i := range record.Recent {
		n := 100 * (i + 1)
		record.Recent[i] = windowSummary{From: goldenPoolSummary(n), To: goldenPoolSummary(n + 50)}
	}
	golden.RoundTrip(t, "record.json", record,
		func(r Record) ([]byte, error) { return json.MarshalIndent(r, "", "  ") },
		func(raw []byte) (r Record, err error) { err = json.Unmarshal(raw, &r); return r, err })
}

func goldenPoolSummary(n int) poolSummary {
	return poolSummary{
		Requests:      n + 1,
		LateWindows:   n + 2,
		OfferedWeight: float64(n) + 3.5,
		OnTimeWeight:  float64(n) + 4.5,
		Attempted:     n + 5,
		Failed:        n + 6,
		Ready:         n + 7,
		Assigned:      n + 8,
	}
}

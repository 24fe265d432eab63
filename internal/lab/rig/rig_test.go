package rig

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer/release"
)

// buildProgram builds the current program and returns the path of the executable.
func buildProgram(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "standpoint")
	out, err := exec.Command("go", "build", "-o", path, "standpoint/cmd/standpoint").CombinedOutput()
	require.NoError(t, err, string(out))
	return path
}

// TestBudgetsOnRealProcesses lets three processes share the budgets of two tenants under partitions, packet loss,
// kills, suspensions and clock offsets. No window may be overspent and no invariant violated, and after the end of the
// faults the nodes must be together again and serve requests.
func TestBudgetsOnRealProcesses(t *testing.T) {
	path := buildProgram(t)
	for seed := range uint64(2) {
		result, err := RunBudgets(
			t.Context(),
			Options{
				Program:        path,
				Dir:            t.TempDir(),
				Nodes:          3,
				Backends:       3,
				Seed:           seed + 1,
				BudgetWindow:   400 * time.Millisecond,
				MaxClockOffset: 150 * time.Millisecond,
				TokenInterval:  time.Millisecond,
				Tenants: []Tenant{
					{Name: "acme", Amount: 1500},
					{Name: "free"},
					{Name: "bolt", Amount: 600},
				},
				Log: t.Logf,
			},
			8*time.Second,
			60,
		)
		require.NoError(t, err)
		t.Logf("seed %d: %+v", seed+1, result)
	}
}

// TestSessionsOnRealProcesses runs conversations that call tools through any node, without faults and under partitions,
// packet loss, kills and suspensions. No session may be decoded twice at the same time, each resume key must give one
// response, and the prompt of each turn must be the state of its session.
func TestSessionsOnRealProcesses(t *testing.T) {
	path := buildProgram(t)
	options := Options{
		Program:        path,
		Nodes:          3,
		Backends:       3,
		Seed:           1,
		BudgetWindow:   time.Second,
		MaxClockOffset: 100 * time.Millisecond,
		TokenInterval:  time.Millisecond,
		Tenants:        []Tenant{{Name: "acme"}},
		Log:            t.Logf,
	}
	for _, withFaults := range []bool{false, true} {
		options.Dir = t.TempDir()
		result, err := RunSessions(t.Context(), options, 6*time.Second, 10, 3, withFaults)
		require.NoError(t, err)
		t.Logf(
			"faults %v: %d started, %d completed, %d failed, %d unfinished; %d resumes, %d rejected, %d used keys, "+
				"%d without a key; response time of resumes: median %v, 99th percentile %v",
			withFaults,
			result.Started,
			result.Completed,
			result.Failed,
			result.Unfinished,
			result.Resumes,
			result.Rejected,
			result.UsedKeys,
			result.WithoutKey,
			result.ResponseTimeQuantile(0.5),
			result.ResponseTimeQuantile(0.99),
		)
	}
}

// TestLedgersOnRealProcesses lets a site whose connection is blocked serve requests from its own quota and into its
// overdraft. Once the connection is back all ledgers must converge to the totals recorded by the backends, to the
// token, whatever messages were lost or duplicated.
func TestLedgersOnRealProcesses(t *testing.T) {
	result, err := RunLedgers(
		t.Context(),
		Options{
			Program:        buildProgram(t),
			Dir:            t.TempDir(),
			Nodes:          4,
			Backends:       3,
			Seed:           1,
			BudgetWindow:   400 * time.Millisecond,
			MaxClockOffset: 100 * time.Millisecond,
			TokenInterval:  time.Millisecond,
			Tenants:        []Tenant{{Name: "acme", Amount: 1600, Overdraft: 400}, {Name: "free"}},
			Log:            t.Logf,
		},
		4*time.Second,
		60,
	)
	require.NoError(t, err)
	t.Logf("%+v", result)
}

// TestFleetOfTwoVersions runs a fleet in which the last node runs the earlier version of the program, with the faults
// and checks of the tests above. Every invariant of a fleet of one version must hold.
func TestFleetOfTwoVersions(t *testing.T) {
	options := Options{
		Program:         buildProgram(t),
		PreviousProgram: release.Program(t),
		PreviousNodes:   1,
		Nodes:           3,
		Backends:        3,
		Seed:            1,
		MaxClockOffset:  100 * time.Millisecond,
		TokenInterval:   time.Millisecond,
		Log:             t.Logf,
	}
	t.Run("budgets", func(t *testing.T) {
		scenario := options
		scenario.Dir = t.TempDir()
		scenario.BudgetWindow = 400 * time.Millisecond
		scenario.Tenants = []Tenant{{Name: "acme", Amount: 1500}, {Name: "free"}, {Name: "bolt", Amount: 600}}
		result, err := RunBudgets(t.Context(), scenario, 5*time.Second, 60)
		require.NoError(t, err)
		t.Logf("%+v", result)
	})
	t.Run("sessions", func(t *testing.T) {
		scenario := options
		scenario.Dir = t.TempDir()
		scenario.BudgetWindow = time.Second
		scenario.Tenants = []Tenant{{Name: "acme"}}
		result, err := RunSessions(t.Context(), scenario, 5*time.Second, 10, 3, true)
		require.NoError(t, err)
		require.Positive(t, result.Resumes)
		t.Logf("%+v", result)
	})
	t.Run("ledgers", func(t *testing.T) {
		scenario := options
		scenario.Dir = t.TempDir()
		scenario.Nodes = 4 // the last, a site, runs the earlier version
		scenario.BudgetWindow = 400 * time.Millisecond
		scenario.Tenants = []Tenant{{Name: "acme", Amount: 1600, Overdraft: 400}, {Name: "free"}}
		result, err := RunLedgers(t.Context(), scenario, 3*time.Second, 60)
		require.NoError(t, err)
		t.Logf("%+v", result)
	})
}

package rig

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer/release"
)

func program(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "standpoint")
	out, err := exec.Command("go", "build", "-o", path, "standpoint/cmd/standpoint").CombinedOutput()
	require.NoError(t, err, string(out))
	return path
}

// Three processes share two tenants' budgets while they are cut off, lossy, killed and stalled, with clocks that are
// off: no window is overspent, no invariant breaks, and once all is healed they agree and serve.
func TestBudgetsOnRealProcesses(t *testing.T) {
	path := program(t)
	for seed := range uint64(2) {
		v, err := RunBudgets(
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
		t.Logf("seed %d: %+v", seed+1, v)
	}
}

// Conversations that call tools, held through any node while nodes are cut off, lossy, killed and stalled: no session
// is decoded twice at once, each key gives one answer, and what each part is built on is what the session had come
// to.
func TestSessionsOnRealProcesses(t *testing.T) {
	path := program(t)
	o := Options{
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
	for _, trouble := range []bool{false, true} {
		o.Dir = t.TempDir()
		v, err := PlaySessions(t.Context(), o, 6*time.Second, 10, 3, trouble)
		require.NoError(t, err)
		t.Logf(
			"trouble %v: %d begun, %d whole, %d lost, %d open; %d resumes, %d refused, %d used, %d without a key; first token after a result %v, 99th %v",
			trouble,
			v.Begun,
			v.Whole,
			v.Lost,
			v.Open,
			v.Resumes,
			v.Refused,
			v.Used,
			v.Unkept,
			v.First(0.5),
			v.First(0.99),
		)
	}
}

// A site whose line is cut serves alone, by the rights that it holds and into its overdraft; once the line is back
// all ledgers come to the same sums, those of the boxes to the token, whatever was lost or doubled on the way.
func TestLedgersOnRealProcesses(t *testing.T) {
	a, err := PlayLedgers(
		t.Context(),
		Options{
			Program:        program(t),
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
	t.Logf("%+v", a)
}

// Of three processes one is of the earlier program: they share budgets and sessions while they are cut off, lossy,
// killed and stalled, and every invariant of a fleet of one version holds.
func TestFleetOfTwoVersions(t *testing.T) {
	options := Options{
		Program:        program(t),
		Previous:       release.Program(t),
		Older:          1,
		Nodes:          3,
		Backends:       3,
		Seed:           1,
		MaxClockOffset: 100 * time.Millisecond,
		TokenInterval:  time.Millisecond,
		Log:            t.Logf,
	}
	t.Run("budgets", func(t *testing.T) {
		o := options
		o.Dir = t.TempDir()
		o.BudgetWindow = 400 * time.Millisecond
		o.Tenants = []Tenant{{Name: "acme", Amount: 1500}, {Name: "free"}, {Name: "bolt", Amount: 600}}
		verdict, err := RunBudgets(t.Context(), o, 5*time.Second, 60)
		require.NoError(t, err)
		t.Logf("%+v", verdict)
	})
	t.Run("sessions", func(t *testing.T) {
		o := options
		o.Dir = t.TempDir()
		o.BudgetWindow = time.Second
		o.Tenants = []Tenant{{Name: "acme"}}
		verdict, err := PlaySessions(t.Context(), o, 5*time.Second, 10, 3, true)
		require.NoError(t, err)
		require.Positive(t, verdict.Resumes)
		t.Logf("%+v", verdict)
	})
	t.Run("ledgers", func(t *testing.T) {
		o := options
		o.Dir = t.TempDir()
		o.Nodes = 4 // the last, a site, is the earlier program
		o.BudgetWindow = 400 * time.Millisecond
		o.Tenants = []Tenant{{Name: "acme", Amount: 1600, Overdraft: 400}, {Name: "free"}}
		account, err := PlayLedgers(t.Context(), o, 3*time.Second, 60)
		require.NoError(t, err)
		t.Logf("%+v", account)
	})
}

package lease

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer/golden"
)

func TestGoldenRecord(t *testing.T) {
	record := Record{Incarnation: 1, FencingToken: 2, ValidFrom: 3, ExpiresAt: 4, Successor: true}
	golden.RoundTrip(t, "record.json", record,
		func(v Record) ([]byte, error) { return json.Marshal(v) },
		func(b []byte) (v Record, err error) { return v, json.Unmarshal(b, &v) })
}

func TestGoldenClaim(t *testing.T) {
	claim := Claim{
		Slot:         "a",
		Incarnation:  9,
		Predecessors: []uint64{7, 8},
		Duration:     10 * time.Second,
		ClaimantTime: 11,
	}
	golden.RoundTrip(t, "claim.json", claim,
		func(v Claim) ([]byte, error) { return json.Marshal(v) },
		func(b []byte) (v Claim, err error) { return v, json.Unmarshal(b, &v) })
}

// The file in the node's own folder names the lives that may have claimed the seat.
func TestGoldenSeatFile(t *testing.T) {
	dir := t.TempDir()
	f, _, _, err := Open(dir, 50)
	require.NoError(t, err)
	require.NoError(t, f.Close())
	f, _, _, err = Open(dir, 70)
	require.NoError(t, err)
	raw, err := os.ReadFile(filepath.Join(dir, "seat.json"))
	require.NoError(t, err)
	golden.Bytes(t, "seat.json", raw)
	require.NoError(t, f.ConfirmGrant(70))
	require.NoError(t, f.Close())
	raw, err = os.ReadFile(filepath.Join(dir, "seat.json"))
	require.NoError(t, err)
	golden.Bytes(t, "seat-given.json", raw)
	require.FileExists(t, filepath.Join(dir, "lock"))

	// A folder as the build before left it.
	dir = t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "seat.json"), golden.Read(t, "seat.json", nil), 0o600))
	f, inc, before, err := Open(dir, 60)
	require.NoError(t, err)
	require.Equal(t, []uint64{50, 70}, before)
	require.EqualValues(t, 71, inc)
	require.NoError(t, f.Close())
}

func TestGoldenErrors(t *testing.T) {
	var text strings.Builder
	say := func(err error) {
		t.Helper()
		require.Error(t, err)
		fmt.Fprintln(&text, err)
	}
	record := Record{Incarnation: 5, FencingToken: 1, ValidFrom: 100 * second, ExpiresAt: 110 * second}
	claim := Claim{Slot: "a", Incarnation: 9, Duration: 10 * time.Second}
	for _, edit := range []func(*Claim){
		func(c *Claim) { c.Incarnation = 0 },
		func(c *Claim) { c.Duration = 0 },
		func(c *Claim) { c.Incarnation = 4 },
		func(*Claim) {},
	} {
		c := claim
		edit(&c)
		_, err := Decide(record, c, 105*second, time.Second)
		say(err)
	}
	say(ErrHeld)
	dir := filepath.Join(t.TempDir(), "fleet")
	sayAt := func(err error) {
		t.Helper()
		require.Error(t, err)
		fmt.Fprintln(&text, strings.ReplaceAll(err.Error(), dir, "DIR"))
	}
	f, _, _, err := Open(dir, 50)
	require.NoError(t, err)
	_, _, _, err = Open(dir, 60)
	sayAt(err)
	require.NoError(t, f.Close())
	require.NoError(t, os.WriteFile(filepath.Join(dir, "seat.json"), []byte(`{"lives":[1`), 0o600))
	_, _, _, err = Open(dir, 10)
	sayAt(err)
	golden.Bytes(t, "errors.txt", []byte(text.String()))
}

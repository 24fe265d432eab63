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

// The state file lists the incarnations that may have claimed the slot, and the file of an earlier build is decoded.
func TestGoldenStateFile(t *testing.T) {
	dir := t.TempDir()
	directory, _, _, err := Open(dir, 50)
	require.NoError(t, err)
	require.NoError(t, directory.Close())
	directory, _, _, err = Open(dir, 70)
	require.NoError(t, err)
	raw, err := os.ReadFile(filepath.Join(dir, "seat.json"))
	require.NoError(t, err)
	golden.Bytes(t, "seat.json", raw)
	require.NoError(t, directory.ConfirmGrant(70))
	require.NoError(t, directory.Close())
	raw, err = os.ReadFile(filepath.Join(dir, "seat.json"))
	require.NoError(t, err)
	golden.Bytes(t, "seat-given.json", raw)
	require.FileExists(t, filepath.Join(dir, "lock"))

	// A directory written by an earlier build.
	dir = t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "seat.json"), golden.Read(t, "seat.json", nil), 0o600))
	directory, incarnation, predecessors, err := Open(dir, 60)
	require.NoError(t, err)
	require.Equal(t, []uint64{50, 70}, predecessors)
	require.EqualValues(t, 71, incarnation)
	require.NoError(t, directory.Close())
}

func TestGoldenErrors(t *testing.T) {
	var text strings.Builder
	writeError := func(err error) {
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
		writeError(err)
	}
	writeError(ErrSlotHeld)
	dir := filepath.Join(t.TempDir(), "fleet")
	writeDirError := func(err error) {
		t.Helper()
		require.Error(t, err)
		fmt.Fprintln(&text, strings.ReplaceAll(err.Error(), dir, "DIR"))
	}
	directory, _, _, err := Open(dir, 50)
	require.NoError(t, err)
	_, _, _, err = Open(dir, 60)
	writeDirError(err)
	require.NoError(t, directory.Close())
	require.NoError(t, os.WriteFile(filepath.Join(dir, "seat.json"), []byte(`{"lives":[1`), 0o600))
	_, _, _, err = Open(dir, 10)
	writeDirError(err)
	golden.Bytes(t, "errors.txt", []byte(text.String()))
}

package fleet

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint/internal/fleet/counter"
	"standpoint/internal/fleet/lease"
	"standpoint/internal/fleet/member"
	"standpoint/internal/fleet/outlier"
	"standpoint/internal/fleet/quota"
	"standpoint/internal/store"
	"standpoint/internal/testpeer/golden"
)

// encodeFrame returns a function that encodes a message as nodes send it: a byte with its kind, and CBOR.
func encodeFrame[T any](kind byte) func(T) ([]byte, error) {
	return func(v T) ([]byte, error) {
		raw, err := cbor.Marshal(v)
		return append([]byte{kind}, raw...), err
	}
}

// decodeFrame returns a function that decodes a message of a kind.
func decodeFrame[T any](kind byte) func([]byte) (T, error) {
	return func(b []byte) (v T, err error) {
		if b[0] != kind {
			return v, fmt.Errorf("message has kind %d, want %d", b[0], kind)
		}
		return v, decoding.Unmarshal(b[1:], &v)
	}
}

func TestGoldenRequest(t *testing.T) {
	request := rpcRequest{ID: 1, From: 2, Method: "seat", Body: []byte(`{"name":"a"}`)}
	golden.RoundTrip(t, "call.bin", request, encodeFrame[rpcRequest](kindRequest), decodeFrame[rpcRequest](kindRequest))
}

func TestGoldenResponse(t *testing.T) {
	response := rpcResponse{ID: 1, Body: []byte("{}"), Error: "no", NotLeader: true, Leader: "b"}
	golden.RoundTrip(t, "answer.bin", response,
		encodeFrame[rpcResponse](kindResponse), decodeFrame[rpcResponse](kindResponse))
}

// A packet sent by an earlier build is decoded and handled.
func TestGoldenPacket(t *testing.T) {
	packet := member.Packet{
		From:          quota.Owner{Slot: 1, Incarnation: 2},
		AgeUnit:       int64(10 * time.Millisecond),
		FirstSlot:     1,
		HeartbeatAges: []byte{3, 1, 2},
		Updates: []member.Update{{
			Counters: counter.Snapshot{
				Owner:  quota.Owner{Slot: 2, Incarnation: 4},
				At:     5,
				Counts: []int64{6, 7, 8, 9},
			},
			Surpluses: []member.Surplus{{Budget: 1, Amount: 10}},
			Evidence:  []outlier.Evidence{{BackendHash: 11, StartedAt: 12, Kind: outlier.Unreachable, ObservedAt: 13}},
		}},
		QuotaMessages: []member.QuotaMessage{{
			Kind:        member.GrantTransfer,
			BudgetHash:  14,
			To:          quota.Owner{Slot: 3, Incarnation: 15},
			Number:      16,
			Amount:      17,
			FirstWindow: 18,
			LastWindow:  19,
		}},
	}
	golden.RoundTrip(t, "packet.bin", packet,
		encodeFrame[member.Packet](kindPacket), decodeFrame[member.Packet](kindPacket))
	f := newTestFleet(t, 1, 0, true)
	f.handleMessage(t.Context(), golden.Read(t, "packet.bin", nil))
	require.Equal(t, 2, f.member.LivePeers())
	snapshot, ok := f.member.Counters.Latest(2)
	require.True(t, ok)
	require.Equal(t, packet.Updates[0].Counters, snapshot)
}

// The leader decodes a lease record that an earlier build wrote, and bases its decision on the next claim on it.
func TestGoldenLeaseRecordInStore(t *testing.T) {
	f := newTestFleet(t, 1, 0, true)
	f.Store = store.NewMemory()
	record := golden.Read(t, "seat-record.json", func() []byte {
		raw, err := json.Marshal(lease.Record{
			Incarnation:  5,
			FencingToken: 7,
			ValidFrom:    11,
			ExpiresAt:    13,
			Successor:    true,
		})
		require.NoError(t, err)
		return raw
	})
	_, err := f.Store.Write(t.Context(), store.Op{Key: "fleet/seat/b", Data: record})
	require.NoError(t, err)
	claim := golden.Read(t, "seat-claim.json", func() []byte {
		raw, err := json.Marshal(lease.Claim{
			Slot:         "b",
			Incarnation:  9,
			Predecessors: []uint64{4, 5},
			Duration:     time.Minute,
			ClaimantTime: 1,
		})
		require.NoError(t, err)
		return raw
	})
	raw, err := f.handleLeaseClaim(t.Context(), claim)
	require.NoError(t, err)
	require.Equal(t, string(raw), string(f.Store.Get("fleet/seat/b").Data))
	var granted lease.Record
	require.NoError(t, json.Unmarshal(raw, &granted))
	require.EqualValues(t, 9, granted.Incarnation)
	require.EqualValues(t, 8, granted.FencingToken)
	require.True(t, granted.Successor)
}

func TestGoldenStatus(t *testing.T) {
	reading := counter.Reading{Lower: 1, Upper: 2, Age: 3, Reported: 4, Unreported: 5}
	status := Status{
		Slot:           "a",
		Incarnation:    6,
		State:          "together",
		SiteState:      "connected",
		StateAge:       7.5,
		RateFactor:     0.5,
		LeaseRemaining: 8.5,
		FencingToken:   9,
		Peers: []PeerStatus{{
			Slot:        "b",
			Listed:      true,
			Alive:       true,
			ReportAge:   10.5,
			Incarnation: 11,
			Tokens:      12,
		}},
		Budgets: []quota.Usage{{
			Budget:            "tokens/acme",
			Window:            13,
			Quota:             14,
			Spent:             15,
			BaseQuota:         16,
			Lent:              17,
			Borrowed:          18,
			Demand:            19.5,
			Debt:              20,
			LentTransfers:     21,
			BorrowedTransfers: 22,
			FencingToken:      23,
			LeaseValidFrom:    24,
			LeaseExpiresAt:    25,
		}},
		Leader:           "c",
		Counters:         map[string]counter.Reading{"requests": reading},
		LiveMembers:      counter.Reading{Lower: 26, Upper: 27, Age: 28, Reported: 29, Unreported: 30},
		SuspectBackends:  []string{"x:1"},
		RejectedRequests: 31,
		SentBytes:        32,
		DroppedMessages:  33,
		Violations:       map[string]uint64{"mode_table": 34},
	}
	golden.RoundTrip(t, "status.json", status,
		func(v Status) ([]byte, error) { return json.MarshalIndent(v, "", "  ") },
		func(b []byte) (v Status, err error) { return v, json.Unmarshal(b, &v) })
}

// jsonKeys returns the paths of all keys of a JSON value, sorted. A list is represented by its first element.
func jsonKeys(value any, path string) []string {
	switch value := value.(type) {
	case map[string]any:
		var keys []string
		for key, v := range value {
			keys = append(keys, jsonKeys(v, path+"."+key)...)
		}
		slices.Sort(keys)
		return keys
	case []any:
		if len(value) > 0 {
			return jsonKeys(value[0], path+"[]")
		}
		return []string{path + "[]"}
	}
	return []string{path}
}

// The status of a running node has the expected keys, including those of maps.
func TestGoldenStatusKeys(t *testing.T) {
	raw, err := json.Marshal(startNode(t, "a", freeSlots(t, "a", "b")).Status())
	require.NoError(t, err)
	var value any
	require.NoError(t, json.Unmarshal(raw, &value))
	golden.Bytes(t, "status-keys.txt", []byte(strings.Join(jsonKeys(value, ""), "\n")+"\n"))
}

func TestGoldenErrors(t *testing.T) {
	var text strings.Builder
	writeError := func(err error) {
		t.Helper()
		require.Error(t, err)
		fmt.Fprintln(&text, err)
	}
	writeError(ErrNoLeader)

	slots := freeSlots(t, "a", "b", "c")
	a, b := startNode(t, "a", slots), startNode(t, "b", slots)
	var result string
	writeError(a.CallMember(t.Context(), "nobody", "x", 1, &result))
	writeError(a.CallMember(t.Context(), "a", "x", 1, &result))
	writeError(a.CallMember(t.Context(), "b", "nothing", 1, &result))
	HandleOnAnyMember(b, "fails", func(int) (string, error) { return "", fmt.Errorf("it does not") })
	writeError(a.CallMember(t.Context(), "b", "fails", 1, &result))
	err := a.CallMember(t.Context(), "c", "x", 1, &result)
	require.ErrorIs(t, err, ErrNoLeader)
	require.True(t, strings.HasPrefix(err.Error(), ErrNoLeader.Error()+": "), err)

	f := newTestFleet(t, 1, 0, true)
	f.Store = store.NewMemory()
	_, err = f.handleLeaseClaim(t.Context(), []byte(`{"name":"nobody"}`))
	writeError(err)
	_, err = f.Store.Write(t.Context(), store.Op{Key: "fleet/seat/b", Data: []byte("{")})
	require.NoError(t, err)
	_, err = f.handleLeaseClaim(t.Context(), []byte(`{"name":"b"}`))
	writeError(err)
	f.CoreSlots, f.SlotName = []string{"b"}, "elsewhere"
	f.Slots[1].Name = "other"
	writeError(f.CallLeader(t.Context(), "seat", 1, nil))

	_, err = Open(Options{MemberConfig: a.MemberConfig, Dir: a.Dir, Slots: slots, SlotName: "a", Log: zap.NewNop()})
	require.Error(t, err)
	writeError(fmt.Errorf("%s", strings.ReplaceAll(err.Error(), a.Dir, "DIR")))
	options := a.Options
	options.Dir = filepath.Join(t.TempDir(), "fleet")
	options.Listen = "127.0.0.1"
	_, err = Open(options)
	writeError(err)
	options.Listen = "127.0.0.1:port"
	_, err = Open(options)
	writeError(err)
	options.Listen = slots[1].Address
	_, err = Open(options)
	require.ErrorContains(t, err, "fleet.listen: ")
	golden.Bytes(t, "errors.txt", []byte(text.String()))
	_, err = os.Stat(filepath.Join(options.Dir, "seat.json"))
	require.NoError(t, err)
}

// The kinds of messages, the name of the method that grants leases, and the store key of a lease do not change.
func TestGoldenMessageKindsAndLeaseKey(t *testing.T) {
	a := startNode(t, "a", freeSlots(t, "a"))
	require.Contains(t, a.handlers, "seat")
	leased := func() bool { return a.Store.Get("fleet/seat/a").Version != 0 }
	require.Eventually(t, leased, 10*time.Second, 10*time.Millisecond)
	names := fmt.Appendf(nil, "packet %d\ncall %d\nanswer %d\n", kindPacket, kindRequest, kindResponse)
	names = fmt.Appendf(names, "key %s\n", leaseKeyPrefix)
	golden.Bytes(t, "names.txt", names)
}

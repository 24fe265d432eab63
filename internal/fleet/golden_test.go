package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/judge"
	"standpoint/internal/fleet/member"
	"standpoint/internal/fleet/mode"
	"standpoint/internal/fleet/rights"
	"standpoint/internal/fleet/seat"
	"standpoint/internal/fleet/tally"
	"standpoint/internal/store"
	"standpoint/internal/testpeer/golden"
)

// encodeFrame encodes a message as it goes between nodes: a byte that says what it is, and CBOR.
func encodeFrame[T any](kind byte) func(T) ([]byte, error) {
	return func(v T) ([]byte, error) {
		raw, err := cbor.Marshal(v)
		return append([]byte{kind}, raw...), err
	}
}

func decodeFrame[T any](kind byte) func([]byte) (T, error) {
	return func(b []byte) (v T, err error) {
		if b[0] != kind {
			return v, fmt.Errorf("a message of kind %d, not %d", b[0], kind)
		}
		return v, decoding.Unmarshal(b[1:], &v)
	}
}

func TestGoldenCall(t *testing.T) {
	golden.RoundTrip(t, "call.bin", call{ID: 1, From: 2, What: "seat", Body: []byte(`{"name":"a"}`)}, encodeFrame[call](kindCall), decodeFrame[call](kindCall))
}

func TestGoldenAnswer(t *testing.T) {
	golden.RoundTrip(t, "answer.bin", answer{ID: 1, Body: []byte("{}"), Fault: "no", Elsewhere: true, Leader: "b"}, encodeFrame[answer](kindAnswer), decodeFrame[answer](kindAnswer))
}

// A packet of the build before is read as it comes from the network.
func TestGoldenPacket(t *testing.T) {
	packet := member.Packet{
		From:  rights.Owner{Seat: 1, Inc: 2},
		Unit:  int64(10 * time.Millisecond),
		First: 1,
		Beats: []byte{3, 1, 2},
		News: []member.News{{
			Row:    tally.Row{Owner: rights.Owner{Seat: 2, Inc: 4}, At: 5, Counts: []int64{6, 7, 8, 9}},
			Spares: []member.Spare{{Budget: 1, Amount: 10}},
			Seen:   []judge.Evidence{{Server: 11, Start: 12, Kind: judge.Path, At: 13}},
		}},
		Orders: []member.Order{{Kind: member.Lend, Budget: 14, To: rights.Owner{Seat: 3, Inc: 15}, Number: 16, Amount: 17, First: 18, Last: 19}},
	}
	golden.RoundTrip(t, "packet.bin", packet, encodeFrame[member.Packet](kindPacket), decodeFrame[member.Packet](kindPacket))
	f := inside(t, 1, 0, true)
	f.read(t.Context(), golden.Read(t, "packet.bin", nil))
	require.Equal(t, 2, f.m.Heard())
	row, ok := f.m.Counts.Newest(2)
	require.True(t, ok)
	require.Equal(t, packet.News[0].Row, row)
}

// A record of a seat that an earlier build wrote is read by the leader, and the next claim goes by it.
func TestGoldenSeatInTheStore(t *testing.T) {
	f := inside(t, 1, 0, true)
	f.Keys = store.NewMemory()
	record := golden.Read(t, "seat-record.json", func() []byte {
		raw, err := json.Marshal(seat.Record{Inc: 5, Epoch: 7, First: 11, Until: 13, Heir: true})
		require.NoError(t, err)
		return raw
	})
	_, err := f.Keys.Write(t.Context(), store.Op{Key: "fleet/seat/b", Data: record})
	require.NoError(t, err)
	claim := golden.Read(t, "seat-claim.json", func() []byte {
		raw, err := json.Marshal(seat.Claim{Name: "b", Inc: 9, Before: []uint64{4, 5}, For: time.Minute, Clock: 1})
		require.NoError(t, err)
		return raw
	})
	raw, err := f.claimed(t.Context(), claim)
	require.NoError(t, err)
	require.Equal(t, string(raw), string(f.Keys.Get("fleet/seat/b").Data))
	var given seat.Record
	require.NoError(t, json.Unmarshal(raw, &given))
	require.EqualValues(t, 9, given.Inc)
	require.EqualValues(t, 8, given.Epoch)
	require.True(t, given.Heir)
}

func TestGoldenStatus(t *testing.T) {
	reading := tally.Reading{Lower: 1, Upper: 2, Age: 3, Heard: 4, Silent: 5}
	status := Status{
		Seat:  "a",
		Life:  6,
		Mode:  "together",
		Site:  "connected",
		Since: 7.5,
		Pace:  0.5,
		Lease: 8.5,
		Epoch: 9,
		Peers: []Peer{{Seat: "b", There: true, Heard: true, Age: 10.5, Life: 11, Tokens: 12}},
		Budgets: []rights.Use{{Budget: "tokens/acme", Window: 13, Rights: 14, Spent: 15, Share: 16, Lent: 17, Held: 18, Wanted: 19.5, Debt: 20,
			LoansOut: 21, LoansIn: 22, LeaseEpoch: 23, LeaseFirst: 24, LeaseEnd: 25}},
		Leader:   "c",
		Counts:   map[string]tally.Reading{"requests": reading},
		Live:     tally.Reading{Lower: 26, Upper: 27, Age: 28, Heard: 29, Silent: 30},
		Doubted:  []string{"x:1"},
		Refused:  31,
		Sent:     32,
		Dropped:  33,
		Breaches: map[string]uint64{"mode_table": 34},
	}
	golden.RoundTrip(t, "status.json", status,
		func(v Status) ([]byte, error) { return json.MarshalIndent(v, "", "  ") },
		func(b []byte) (v Status, err error) { return v, json.Unmarshal(b, &v) })
}

// start opens and runs the seat called name, of seats at free addresses.
func start(t *testing.T, name string, seats []Reach) *Fleet {
	t.Helper()
	b := &rights.Budget{Name: "tokens/acme", Amount: 100, Window: time.Second, Loan: 2, Weights: make([]int64, len(seats))}
	for i := range seats {
		b.Weights[i] = 1
	}
	require.NoError(t, b.Complete())
	f, err := Open(Options{
		Member: member.Config{Seats: make([]member.Seat, len(seats)), Budgets: []*rights.Budget{b}, Most: []int64{10, 10, 10}, Tick: 50 * time.Millisecond, Peers: 2,
			Silence: time.Second, Mode: mode.Limits{Join: time.Second, Settle: time.Second, Heal: time.Second}, Error: 100 * time.Millisecond, Ask: time.Second,
			Judge: judge.Limits{Sources: 2, Lasts: int64(5 * time.Second), Own: int64(time.Second), Most: 0.5, Many: 0.6}},
		Name:    name,
		Listen:  seats[slices.IndexFunc(seats, func(s Reach) bool { return s.Name == name })].Address,
		Dir:     filepath.Join(t.TempDir(), "fleet"),
		Seats:   seats,
		Lease:   time.Minute,
		Further: -1,
		Keys:    store.NewMemory(),
		Guard:   &invariant.Guard{},
		Log:     zap.NewNop(),
	})
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
		_ = f.Close() // it fails where nobody heard in time that the seat is left
	})
	return f
}

func freeSeats(t *testing.T, names ...string) (seats []Reach) {
	t.Helper()
	for _, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		seats = append(seats, Reach{Name: name, Address: l.Addr().String()})
		require.NoError(t, l.Close())
	}
	return seats
}

// shape lists the keys of a JSON value, sorted; of lists that of their first element.
func shape(value any, path string) []string {
	switch value := value.(type) {
	case map[string]any:
		var all []string
		for key, v := range value {
			all = append(all, shape(v, path+"."+key)...)
		}
		slices.Sort(all)
		return all
	case []any:
		if len(value) > 0 {
			return shape(value[0], path+"[]")
		}
		return []string{path + "[]"}
	}
	return []string{path}
}

// The keys of a running node's status, those of maps included.
func TestGoldenStatusOfANode(t *testing.T) {
	raw, err := json.Marshal(start(t, "a", freeSeats(t, "a", "b")).Status())
	require.NoError(t, err)
	var value any
	require.NoError(t, json.Unmarshal(raw, &value))
	golden.Bytes(t, "status-keys.txt", []byte(strings.Join(shape(value, ""), "\n")+"\n"))
}

func TestGoldenErrors(t *testing.T) {
	var text strings.Builder
	say := func(err error) {
		t.Helper()
		require.Error(t, err)
		fmt.Fprintln(&text, err)
	}
	say(ErrNoLeader)

	seats := freeSeats(t, "a", "b", "c")
	a, b := start(t, "a", seats), start(t, "b", seats)
	var back string
	say(a.Ask(t.Context(), "nobody", "x", 1, &back))
	say(a.Ask(t.Context(), "a", "x", 1, &back))
	say(a.Ask(t.Context(), "b", "nothing", 1, &back))
	Answers(b, "fails", func(int) (string, error) { return "", fmt.Errorf("it does not") })
	say(a.Ask(t.Context(), "b", "fails", 1, &back))
	err := a.Ask(t.Context(), "c", "x", 1, &back)
	require.ErrorIs(t, err, ErrNoLeader)
	require.True(t, strings.HasPrefix(err.Error(), ErrNoLeader.Error()+": "), err)

	f := inside(t, 1, 0, true)
	f.Keys = store.NewMemory()
	_, err = f.claimed(t.Context(), []byte(`{"name":"nobody"}`))
	say(err)
	_, err = f.Keys.Write(t.Context(), store.Op{Key: "fleet/seat/b", Data: []byte("{")})
	require.NoError(t, err)
	_, err = f.claimed(t.Context(), []byte(`{"name":"b"}`))
	say(err)
	f.Halls, f.Name = []string{"b"}, "elsewhere"
	f.Seats[1].Name = "other"
	say(f.Call(t.Context(), "seat", 1, nil))

	_, err = Open(Options{Member: a.Member, Dir: a.Dir, Seats: seats, Name: "a", Log: zap.NewNop()})
	require.Error(t, err)
	say(fmt.Errorf("%s", strings.ReplaceAll(err.Error(), a.Dir, "DIR")))
	o := a.Options
	o.Dir = filepath.Join(t.TempDir(), "fleet")
	o.Listen = "127.0.0.1"
	_, err = Open(o)
	say(err)
	o.Listen = "127.0.0.1:port"
	_, err = Open(o)
	say(err)
	o.Listen = seats[1].Address
	_, err = Open(o)
	require.ErrorContains(t, err, "fleet.listen: ")
	golden.Bytes(t, "errors.txt", []byte(text.String()))
	_, err = os.Stat(filepath.Join(o.Dir, "seat.json"))
	require.NoError(t, err)
}

// The names of what a node does for others, and of what its own seat is kept under.
func TestGoldenNames(t *testing.T) {
	a := start(t, "a", freeSeats(t, "a"))
	require.Contains(t, a.does, "seat")
	require.Eventually(t, func() bool { return a.Keys.Get("fleet/seat/a").Version != 0 }, 10*time.Second, 10*time.Millisecond)
	golden.Bytes(t, "names.txt", fmt.Appendf(nil, "packet %d\ncall %d\nanswer %d\nkey %s\n", kindPacket, kindCall, kindAnswer, seatKey))
}

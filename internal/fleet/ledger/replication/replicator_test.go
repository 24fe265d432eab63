package replication

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/ledger"
)

// network carries calls between replicators. Half of the lost calls fail before the peer handles them, half afterwards.
type network struct {
	loss float64 // fraction of calls that fail

	mu        sync.Mutex // guards the fields below
	rng       *rand.Rand
	members   map[string]*Replicator
	sentBytes int64
}

func newNetwork(loss float64) *network {
	return &network{loss: loss, rng: rand.New(rand.NewPCG(1, 1)), members: map[string]*Replicator{}}
}

func (n *network) call(_ context.Context, member, method string, in, out any) error {
	n.mu.Lock()
	draw := n.rng.Float64()
	replicator := n.members[member]
	n.mu.Unlock()
	if draw < n.loss/2 || replicator == nil {
		return errors.New("request lost")
	}
	request, err := json.Marshal(in)
	if err != nil {
		return err
	}
	response, err := serve(replicator, method, request)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.sentBytes += int64(len(request) + len(response))
	n.mu.Unlock()
	if draw < n.loss {
		return errors.New("response lost")
	}
	return json.Unmarshal(response, out)
}

// serve calls a method of a replicator.
func serve(r *Replicator, method string, body []byte) ([]byte, error) {
	var response any
	var err error
	switch method {
	case MethodDigest:
		var request DigestRequest
		if err := json.Unmarshal(body, &request); err != nil {
			return nil, err
		}
		response, err = r.Digest(request)
	case MethodFetch:
		var request FetchRequest
		if err := json.Unmarshal(body, &request); err != nil {
			return nil, err
		}
		response, err = r.Fetch(request)
	}
	if err != nil {
		return nil, err
	}
	return json.Marshal(response)
}

// open opens a replicator and adds it to the network.
func open(t testing.TB, n *network, dir, slot string, incarnation uint64, peers ...string) *Replicator {
	t.Helper()
	r, err := Open(Options{
		Dir:          dir,
		MaxBytes:     1 << 30,
		Slot:         slot,
		Incarnation:  incarnation,
		Peers:        peers,
		Now:          func() int64 { return time.Now().UnixNano() },
		SyncInterval: 2 * time.Millisecond,
		SyncRate:     1e9,
		RateFactor:   func() float64 { return 1 },
		CallMember:   n.call,
		Invariants:   &invariant.Monitor{},
		Log:          zap.NewNop(),
	})
	require.NoError(t, err)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members[slot] = r
	return r
}

// run runs a replicator until the returned function is called.
func run(r *Replicator) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { r.Run(ctx) })
	return func() {
		cancel()
		running.Wait()
		_ = r.Close()
	}
}

// charge charges a number of entries, and returns once that many are written.
func charge(t testing.TB, r *Replicator, count int) {
	t.Helper()
	for i := range count {
		e := ledger.Entry{Tenant: fmt.Sprint("t", i%3), Class: "chat", InputTokens: int64(i), OutputTokens: 7}
		if !r.Charge(e) { // the queue is full
			require.Eventually(t, func() bool { return r.Charge(e) }, 20*time.Second, time.Millisecond)
		}
	}
	require.Eventually(t, func() bool { return int(r.Status().Charged) >= count }, 20*time.Second, time.Millisecond)
}

// Three ledgers come to the same totals, with each entry counted once, over a network that loses 30% of the calls, and
// although one of them restarts in between.
func TestLedgersAgree(t *testing.T) {
	n := newNetwork(0.3)
	dirs := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	a := open(t, n, dirs[0], "a", 1, "b", "c")
	b := open(t, n, dirs[1], "b", 1, "a", "c")
	c := open(t, n, dirs[2], "c", 1, "a", "b")
	stops := []func(){run(a), run(b), run(c)}
	charge(t, a, 1500)
	charge(t, b, 700)
	stops[1]()
	b = open(t, n, dirs[1], "b", 2, "a", "c")
	stops[1] = run(b)
	charge(t, b, 300)
	charge(t, c, 400)
	require.Eventually(t, func() bool {
		for _, r := range []*Replicator{a, b, c} {
			status := r.Status()
			if status.Entries != 2900 || !status.Consistent || status.Totals["t0"] != a.Status().Totals["t0"] {
				return false
			}
		}
		return true
	}, 30*time.Second, 5*time.Millisecond)
	for _, stop := range stops {
		stop()
	}
	reopened := open(t, n, dirs[0], "a", 2)
	require.EqualValues(t, 2900, reopened.Status().Entries, "received entries are durable as well")
	require.NoError(t, reopened.Close())
}

// While the disk is full, Overloaded reports true and nothing is charged. Queued entries are not lost: they are written
// once there is space.
func TestFullDisk(t *testing.T) {
	r := open(t, newNetwork(0), t.TempDir(), "a", 1)
	r.segments.MaxBytes = r.segments.Bytes() + 10
	defer run(r)()
	require.True(t, r.Charge(ledger.Entry{Tenant: "t"}))
	require.Eventually(t, r.Overloaded, 5*time.Second, time.Millisecond)
	require.Zero(t, r.Status().Charged)
	r.mu.Lock()
	r.segments.MaxBytes = 1 << 30
	r.mu.Unlock()
	require.Eventually(t, func() bool { return r.Status().Charged == 1 && !r.Overloaded() },
		5*time.Second, time.Millisecond)
}

// Entries that are dropped because the queue is full leave no gaps in the sequence numbers of an incarnation. Gaps
// would count as entries that other members miss.
func TestDroppedEntriesLeaveNoGaps(t *testing.T) {
	r := open(t, newNetwork(0), t.TempDir(), "a", 1)
	queued := 0
	for i := range maxQueued + 100 {
		if r.Charge(ledger.Entry{Tenant: "t"}) {
			queued++
		}
		if i%2 == 0 && len(r.queue) == maxQueued {
			<-r.queue // makes room for one entry, so that entries are dropped and queued in turn
			queued--
		}
	}
	require.Positive(t, r.dropped.Load())
	require.True(t, r.Overloaded())
	defer run(r)()
	require.Eventually(t, func() bool { return int(r.Status().Charged) == queued }, 10*time.Second, time.Millisecond)
	digest, err := r.Digest(DigestRequest{})
	require.NoError(t, err)
	require.Equal(t, []ledger.Range{{First: 1, Last: uint64(queued)}}, digest.Sources[0].Ranges)
}

// Entries from a peer that were not requested or are invalid are rejected.
func TestMalformedEntriesAreRejected(t *testing.T) {
	r := open(t, newNetwork(0), t.TempDir(), "a", 1, "b")
	t.Cleanup(func() { require.NoError(t, r.Close()) })
	source := ledger.Source{Slot: "b", Incarnation: 1}
	malformed := []*ledger.Entry{
		{Slot: "b", Incarnation: 1, Sequence: 1, Tenant: "t", InputTokens: -5},
		{Slot: "c", Incarnation: 1, Sequence: 2},
		{Slot: "a", Incarnation: 1, Sequence: 3},
		{Slot: "b", Incarnation: 1, Sequence: 9},
	}
	for name, entries := range map[string][]*ledger.Entry{
		"with a nil entry": append([]*ledger.Entry{nil}, malformed...),
		"without":          malformed,
	} {
		r.CallMember = func(_ context.Context, _, method string, _, out any) error {
			if method == MethodDigest {
				known := ledger.SourceRanges{Source: source, Ranges: []ledger.Range{{First: 1, Last: 3}}}
				*out.(*DigestResponse) = DigestResponse{Sources: ledger.Digest{known}}
				return nil
			}
			*out.(*FetchResponse) = FetchResponse{Entries: entries}
			return nil
		}
		require.Error(t, r.syncWith(t.Context(), "b"), name)
		require.Zero(t, r.Status().Entries, name)
	}
}

// BenchmarkMillion measures the replication of a million entries from one ledger to another, and opening that ledger.
func BenchmarkMillion(b *testing.B) {
	const count = 1_000_000
	for b.Loop() {
		n := newNetwork(0)
		dirs := []string{b.TempDir(), b.TempDir()}
		source := open(b, n, dirs[0], "a", 1, "c")
		target := open(b, n, dirs[1], "c", 1, "a")
		source.segments.MaxBytes = 1 << 40
		target.segments.MaxBytes = 1 << 40
		appendBatches(b, source, count)
		startedAt := time.Now()
		if err := target.syncWith(context.Background(), "a"); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(time.Since(startedAt).Seconds(), "s/reconcile")
		b.ReportMetric(float64(n.sentBytes)/1e6, "MB/reconcile")
		b.ReportMetric(float64(target.Status().Bytes)/1e6, "MB/ledger")
		_ = source.Close()
		_ = target.Close()
		startedAt = time.Now()
		reopened := open(b, n, dirs[1], "c", 2)
		b.ReportMetric(time.Since(startedAt).Seconds(), "s/start")
		if reopened.Status().Entries != count {
			b.Fatal("entries are missing")
		}
		_ = reopened.Close()
	}
}

// appendBatches writes entries in large batches.
func appendBatches(b *testing.B, r *Replicator, count uint64) {
	b.Helper()
	var batch []*ledger.Entry
	for sequence := uint64(1); sequence <= count; sequence++ {
		batch = append(batch, &ledger.Entry{
			Slot:         "a",
			Incarnation:  1,
			Sequence:     sequence,
			At:           int64(sequence),
			Tenant:       "t",
			Class:        "chat",
			Session:      sequence,
			InputTokens:  300,
			CachedTokens: 100,
			OutputTokens: 50,
		})
		if len(batch) == 4096 || sequence == count {
			if !r.append(batch) {
				b.Fatal("write failed")
			}
			batch = nil
		}
	}
}

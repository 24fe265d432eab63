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

// line is what goes between ledgers: some of it fails, before or after it was carried out.
type line struct {
	mu   sync.Mutex
	rng  *rand.Rand
	loss float64
	ends map[string]*Replicator
	sent int64 // bytes
}

func (l *line) ask(_ context.Context, seat, what string, in, out any) error {
	l.mu.Lock()
	draw := l.rng.Float64()
	to := l.ends[seat]
	l.mu.Unlock()
	if draw < l.loss/2 || to == nil {
		return errors.New("lost")
	}
	raw, err := json.Marshal(in)
	if err != nil {
		return err
	}
	var answer any
	switch what {
	case "ledger.digest":
		var a DigestRequest
		_ = json.Unmarshal(raw, &a) // of this program's own
		answer, err = to.Digest(a)
	case "ledger.fetch":
		var a FetchRequest
		_ = json.Unmarshal(raw, &a)
		answer, err = to.Fetch(a)
	}
	if err != nil {
		return err
	}
	back, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.sent += int64(len(raw) + len(back))
	l.mu.Unlock()
	if draw < l.loss {
		return errors.New("its answer was lost")
	}
	return json.Unmarshal(back, out)
}

func open(t testing.TB, l *line, dir, seat string, life uint64, others ...string) *Replicator {
	u, err := Open(Options{Dir: dir, MaxBytes: 1 << 30, Slot: seat, Incarnation: life, Peers: others, Now: func() int64 { return time.Now().UnixNano() }, SyncInterval: 2 * time.Millisecond, SyncRate: 1e9,
		RateFactor: func() float64 { return 1 }, CallMember: l.ask, Invariants: &invariant.Monitor{}, Log: zap.NewNop()})
	require.NoError(t, err)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends[seat] = u
	return u
}

// run runs an actor until the returned function is called.
func run(u *Replicator) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { u.Run(ctx) })
	return func() {
		cancel()
		done.Wait()
		_ = u.Close()
	}
}

func charge(t testing.TB, u *Replicator, n int) {
	for i := range n {
		for !u.Charge(ledger.Entry{Tenant: fmt.Sprint("t", i%3), Class: "chat", InputTokens: int64(i), OutputTokens: 7}) {
			time.Sleep(time.Millisecond)
		}
	}
	require.Eventually(t, func() bool { return int(u.Status().Charged) >= n }, 20*time.Second, time.Millisecond)
}

// Three ledgers over lines that lose a third, one of them started anew in between: all come to the same sums, each entry once.
func TestLedgersAgree(t *testing.T) {
	l := &line{rng: rand.New(rand.NewPCG(1, 1)), loss: 0.3, ends: map[string]*Replicator{}}
	dirs := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	a, b, c := open(t, l, dirs[0], "a", 1, "b", "c"), open(t, l, dirs[1], "b", 1, "a", "c"), open(t, l, dirs[2], "c", 1, "a", "b")
	stops := []func(){run(a), run(b), run(c)}
	charge(t, a, 1500)
	charge(t, b, 700)
	stops[1]()
	b = open(t, l, dirs[1], "b", 2, "a", "c")
	stops[1] = run(b)
	charge(t, b, 300)
	charge(t, c, 400)
	require.Eventually(t, func() bool {
		for _, u := range []*Replicator{a, b, c} {
			if s := u.Status(); s.Entries != 2900 || !s.Consistent || s.Totals["t0"] != a.Status().Totals["t0"] {
				return false
			}
		}
		return true
	}, 30*time.Second, 5*time.Millisecond)
	for _, stop := range stops {
		stop()
	}
	again := open(t, l, dirs[0], "a", 2)
	require.EqualValues(t, 2900, again.Status().Entries, "what came from others is written too")
	require.NoError(t, again.Close())
}

// A disk that takes nothing more: the node says that it is full, charges nothing meanwhile, and nothing of what waits is lost.
func TestAFullDisk(t *testing.T) {
	l := &line{rng: rand.New(rand.NewPCG(1, 1)), ends: map[string]*Replicator{}}
	u := open(t, l, t.TempDir(), "a", 1)
	u.log.MaxBytes = u.log.Bytes() + 10
	defer run(u)()
	require.True(t, u.Charge(ledger.Entry{Tenant: "t"}))
	require.Eventually(t, u.Full, 5*time.Second, time.Millisecond)
	require.Zero(t, u.Status().Charged)
	u.mu.Lock()
	u.log.MaxBytes = 1 << 30
	u.mu.Unlock()
	require.Eventually(t, func() bool { return u.Status().Charged == 1 && !u.Full() }, 5*time.Second, time.Millisecond)
}

// Entries that could not wait to be written leave no gaps: the numbers of a life follow each other, however many were lost.
func TestLostEntriesLeaveNoGaps(t *testing.T) {
	l := &line{rng: rand.New(rand.NewPCG(1, 1)), ends: map[string]*Replicator{}}
	u := open(t, l, t.TempDir(), "a", 1)
	taken := 0
	for i := range maxQueued + 100 {
		if u.Charge(ledger.Entry{Tenant: "t"}) {
			taken++
		}
		if i%2 == 0 && len(u.queue) == maxQueued {
			<-u.queue // room for one now and then: what follows is lost and taken in turn
			taken--
		}
	}
	require.Positive(t, u.dropped.Load())
	require.True(t, u.Full())
	defer run(u)()
	require.Eventually(t, func() bool { return int(u.Status().Charged) == taken }, 10*time.Second, time.Millisecond)
	d, err := u.Digest(DigestRequest{})
	require.NoError(t, err)
	require.Equal(t, []ledger.Range{{First: 1, Last: uint64(taken)}}, d.Sources[0].Ranges)
}

// A peer that gives what was not asked for, or what cannot be, is not believed.
func TestNonsense(t *testing.T) {
	l := &line{rng: rand.New(rand.NewPCG(1, 1)), ends: map[string]*Replicator{}}
	u := open(t, l, t.TempDir(), "a", 1, "b")
	defer u.Close()
	of := ledger.Source{Slot: "b", Incarnation: 1}
	nothing := []*ledger.Entry{nil}
	u.CallMember = func(_ context.Context, _, what string, _, out any) error {
		if what == "ledger.digest" {
			*out.(*DigestResponse) = DigestResponse{Sources: ledger.Digest{{Source: of, Ranges: []ledger.Range{{First: 1, Last: 3}}}}}
			return nil
		}
		*out.(*FetchResponse) = FetchResponse{Entries: append(nothing, []*ledger.Entry{{Slot: "b", Incarnation: 1, Sequence: 1, Tenant: "t", InputTokens: -5}, {Slot: "c", Incarnation: 1, Sequence: 2}, {Slot: "a", Incarnation: 1, Sequence: 3},
			{Slot: "b", Incarnation: 1, Sequence: 9}}...)}
		return nil
	}
	require.Error(t, u.syncWith(t.Context(), "b"))
	nothing = nil
	require.Error(t, u.syncWith(t.Context(), "b"))
	require.Zero(t, u.Status().Entries)
}

// BenchmarkMillion reconciles a million entries between two ledgers, and reads them again as a start does.
func BenchmarkMillion(b *testing.B) {
	for b.Loop() {
		l := &line{rng: rand.New(rand.NewPCG(1, 1)), ends: map[string]*Replicator{}}
		dirs := []string{b.TempDir(), b.TempDir()}
		a, c := open(b, l, dirs[0], "a", 1, "c"), open(b, l, dirs[1], "c", 1, "a")
		a.log.MaxBytes, c.log.MaxBytes = 1<<40, 1<<40
		var batch []*ledger.Entry
		for n := uint64(1); n <= 1_000_000; n++ {
			batch = append(batch, &ledger.Entry{Slot: "a", Incarnation: 1, Sequence: n, At: int64(n), Tenant: "t", Class: "chat", Session: n, InputTokens: 300, CachedTokens: 100, OutputTokens: 50})
			if len(batch) == 4096 || n == 1_000_000 {
				if !a.append(batch) {
					b.Fatal("not written")
				}
				batch = nil
			}
		}
		from := time.Now()
		if err := c.syncWith(context.Background(), "a"); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(time.Since(from).Seconds(), "s/reconcile")
		b.ReportMetric(float64(l.sent)/1e6, "MB/reconcile")
		b.ReportMetric(float64(c.Status().Bytes)/1e6, "MB/ledger")
		_, _ = a.Close(), c.Close()
		from = time.Now()
		again := open(b, l, dirs[1], "c", 2)
		b.ReportMetric(time.Since(from).Seconds(), "s/start")
		if again.Status().Entries != 1_000_000 {
			b.Fatal("entries are missing")
		}
		_ = again.Close()
	}
}

package load

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"standpoint/internal/testpeer"
)

func TestPattern(t *testing.T) {
	p, err := ParsePattern("steady(20) + 0.5*ramp(0, 60, 2m) + burst(100, at=1m, for=10s) + " +
		"shift_end(40, at=5m, width=30s) + pay_run(peak=9, at=10m, rise=1m)")
	require.NoError(t, err)
	require.Equal(t, 20.0, round(p.Rate(0)))
	require.Equal(t, 20.0+15+100, round(p.Rate(60)))
	require.Equal(t, 20.0+30+40, round(p.Rate(300)))
	require.Equal(t, 20.0+30+9, round(p.Rate(600)))
	require.Equal(t, 50.0, round(p.Rate(601)))
	for text, want := range map[string]string{
		"":                              "column 1:",
		"steady(20) +":                  "column 13:",
		"steady(20) + gallop(3)":        `column 14: "gallop" is none of`,
		"steady()":                      "steady needs rate",
		"steady(1, 2)":                  "column 11: steady takes 1 arguments",
		"burst(5, at=10, for=1s)":       `at: "10" is no duration`,
		"burst(5, at=1s, at=2s)":        "at is given twice",
		"burst(5, at=1s, for=0s)":       "for of burst must be above 0",
		"ramp(1, 2, 3m, height=2)":      `no argument "height"`,
		"wave(1, 2, 1m)":                "swing of a wave",
		"9999999 * steady(9)":           "requests a second",
		"steady(1m)":                    "is no number",
		strings.Repeat("steady(1)+", 9): "column",
	} {
		_, err := ParsePattern(text)
		require.ErrorContains(t, err, want, text)
	}
}

func round(v float64) float64 { return float64(int(v*1000+0.5)) / 1000 }

// For any pattern, arrivals are in order, their number follows the rate, and the same seed gives the same number of
// them.
func TestArrivals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SampledFrom([]string{"steady(50)", "ramp(0, 100, 10s)", "2*burst(40, at=3s, for=4s)",
			"wave(40, 40, 5s)", "shift_end(80, at=5s, width=2s)", "pay_run(90, at=8s, rise=5s)"}).Draw(t, "term") +
			" + " + rapid.SampledFrom([]string{"steady(20)", "steady(5)"}).Draw(t, "rest")
		p, err := ParsePattern(text)
		if err != nil {
			t.Fatal(err)
		}
		want := 0.0
		for at := 0.0; at < 10; at += 0.01 {
			if rate := p.Rate(at); rate < 0 || rate > p.MaxRate()+1e-9 {
				t.Fatalf("rate %g at %g s, with a maximum of %g", rate, at, p.MaxRate())
			}
			want += p.Rate(at) * 0.01
		}
		seed := rapid.Uint64().Draw(t, "seed")
		times := func(even bool) (all []float64) {
			rng := rand.New(rand.NewPCG(seed, 1))
			a := &Arrivals{Pattern: p, EvenlySpaced: even, Random: rng.Float64}
			for {
				at, ok := a.Next(10)
				if !ok {
					return all
				}
				if n := len(all); n > 0 && at < all[n-1] {
					t.Fatal("arrivals are not in order")
				}
				all = append(all, at)
			}
		}
		if n := float64(len(times(true))); n < want-3 || n > want+3 {
			t.Fatalf("%g evenly spaced arrivals, want %g", n, want)
		}
		first, second := times(false), times(false)
		if n := float64(len(first)); len(first) != len(second) || n < want-6*(want/10+5) || n > want+6*(want/10+5) {
			t.Fatalf("%g arrivals, want %g", n, want)
		}
	})
}

// peer is a server that responds at once, except while its mutex is held.
type peer struct {
	mu    sync.Mutex
	count atomic.Int64
}

func (p *peer) start(t *testing.T) string {
	return testpeer.StartBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock() // blocks during a stall
		p.count.Add(1)
		p.mu.Unlock()
		testpeer.WriteEvent(w, "a")
		testpeer.WriteStreamEnd(w)
	})
}

func plan(t *testing.T, target, pattern string, duration time.Duration) *Plan {
	p := &Plan{Target: target, Pattern: pattern, Duration: Duration(duration),
		Classes: []Class{{Name: "chat", Prompt: 10, RetryPolicy: NoRetry}}, MaxSendLag: Duration(time.Minute)}
	require.NoError(t, p.Complete())
	return p
}

// When a server stalls for 2 s, the requests intended for that time show in the latencies of the report. A closed loop
// sends nothing meanwhile, and measures one slow response per client.
func TestStallCountsAgainstAllIntendedRequests(t *testing.T) {
	t.Parallel()
	run := func(closed int) *Results {
		p := &peer{}
		pl := plan(t, p.start(t), "steady(100)", 5*time.Second)
		time.AfterFunc(time.Second, func() {
			p.mu.Lock()
			time.AfterFunc(2*time.Second, p.mu.Unlock)
		})
		r, err := Run(t.Context(), Options{Plan: pl, ClosedClients: closed})
		require.NoError(t, err)
		return r.All()
	}
	open, closed := run(0), run(1)
	require.Greater(t, open.FirstToken.ValueAtQuantile(99.9), int64(1_900_000))
	require.Greater(t, open.FirstToken.ValueAtQuantile(75), int64(200_000), "the stall affects two fifths of the requests")
	require.Less(t, closed.SinceSend.ValueAtQuantile(99), int64(200_000), "the closed loop hides the stall")
	require.Equal(t, open.Intended, open.Served)
}

// stepped returns the time at as the system would report it after its wall clock had been set forward by the given
// number of seconds: the wall-clock reading differs, the monotonic one does not.
func stepped(at time.Time, seconds int64) time.Time {
	original := at
	*(*uint64)(unsafe.Pointer(&at)) += uint64(seconds << 30) // the wall-clock seconds start at bit 30
	if at.Sub(original) != 0 || at.Unix()-original.Unix() != seconds {
		panic("time.Time does not have the memory layout that this test relies on")
	}
	return at
}

// Steps of the wall clock, one hour forward and two hours back, change neither when requests are sent nor their
// latency.
func TestStepsOfTheWallClock(t *testing.T) {
	t.Parallel()
	p := &peer{}
	pl := plan(t, p.start(t), "steady(100)", 1500*time.Millisecond)
	began := time.Now()
	r, err := Run(t.Context(), Options{Plan: pl, clock: func() time.Time {
		now := time.Now()
		switch elapsed := now.Sub(began); {
		case elapsed > time.Second:
			return stepped(now, -3600)
		case elapsed > 500*time.Millisecond:
			return stepped(now, 3600)
		}
		return now
	}})
	require.NoError(t, err)
	all := r.All()
	require.InDelta(t, 150, all.Intended, 75)
	require.Equal(t, all.Intended, all.Served)
	require.Less(t, all.FirstToken.Max(), int64(2_000_000))
	require.InDelta(t, 1.5, r.For, 0.2)
	for _, second := range r.Seconds {
		require.LessOrEqual(t, second.Asked, 150)
	}
}

// The report is marked when the generator cannot keep up with the pattern.
func TestReportMarksSendLag(t *testing.T) {
	p := &peer{}
	pl := plan(t, p.start(t), "steady(100000)", 200*time.Millisecond)
	pl.MaxSendLag, pl.MaxInFlight = Duration(time.Millisecond), 50
	r, err := Run(t.Context(), Options{Plan: pl})
	require.NoError(t, err)
	require.NotEmpty(t, r.Marks)
	require.Positive(t, r.All().NotSent)
	var b bytes.Buffer
	r.Write(&b)
	require.Contains(t, b.String(), "MARKED: ")
}

// An interrupted run gives a complete report, which survives encoding and decoding and can be merged.
func TestInterruptedRunGivesACompleteReport(t *testing.T) {
	t.Parallel()
	p := &peer{}
	pl := plan(t, p.start(t), "steady(200)", time.Hour)
	ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
	defer cancel()
	r, err := Run(ctx, Options{Plan: pl})
	require.NoError(t, err)
	require.True(t, r.Interrupted)
	all := r.All()
	require.Positive(t, all.Served)
	require.Equal(t, all.Intended, all.Served, "interrupted requests count as not asked")
	raw, err := json.Marshal(r)
	require.NoError(t, err)
	var decoded Report
	require.NoError(t, json.Unmarshal(raw, &decoded))
	require.Equal(t, all.FirstToken.ValueAtQuantile(50), decoded.All().FirstToken.ValueAtQuantile(50))
	merged, err := MergeReports(r, &decoded)
	require.NoError(t, err)
	require.Equal(t, 2*all.Served, merged.All().Served)
	require.Equal(t, 2*all.FirstToken.TotalCount(), merged.All().FirstToken.TotalCount())
}

// Clients retry as their RetryPolicy says: not at all, at once, or after the time in Retry-After.
func TestRetryPolicies(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		policy   string
		attempts int64
		minimum  time.Duration
	}{{NoRetry, 1, 0}, {AtOnce, 3, 0}, {RetryAfter, 3, 1600 * time.Millisecond}} {
		var n atomic.Int64
		target := testpeer.StartBackend(t, func(w http.ResponseWriter, _ *http.Request) {
			n.Add(1)
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusTooManyRequests)
		})
		pl := plan(t, target, "burst(1, at=0s, for=1s)", 5*time.Second)
		pl.EvenlySpaced = true
		pl.Classes[0].RetryPolicy, pl.Classes[0].Retries = c.policy, 2
		began := time.Now()
		r, err := Run(t.Context(), Options{Plan: pl,
			Calls: []Call{{Class: "chat", Prompt: 5, MaxTokens: 5}, {At: 4, Class: "chat", Prompt: 5, MaxTokens: 5}}})
		require.NoError(t, err)
		require.Positive(t, r.All().Rejected)
		require.GreaterOrEqual(t, n.Load(), c.attempts)
		require.Greater(t, time.Since(began), c.minimum)
		if c.policy == RetryAfter {
			require.GreaterOrEqual(t, r.All().Retries, 2)
		}
	}
}

// A trace with malformed lines, values out of range and calls out of order is read as far as it is valid and sorted,
// and its faults are counted.
func TestTraceIsSortedAndItsFaultsCounted(t *testing.T) {
	t.Parallel()
	var b bytes.Buffer
	rec := NewRecorder(&b)
	for _, at := range []float64{10, 12, 11} {
		rec.Write(Call{At: at, Class: "chat", Prompt: 5, MaxTokens: 7, Session: 9})
	}
	require.NoError(t, rec.Flush())
	text := b.String() + `{"at_s":13,"class":"chat","prompt_tokens":-1,"max_tokens":5}` + "\n" + `{"at_s":13,"cla` +
		"\n\n" + strings.Repeat("x", 100_000) + "\n" + `{"at_s":10.5,"class":"chat","prompt_tokens":5,"max_tokens":5}`
	calls, faults, err := ReadTrace(strings.NewReader(text))
	require.NoError(t, err)
	require.Equal(t, TraceFaults{Malformed: 2, OutOfRange: 1, OutOfOrder: 2}, faults)
	var at []float64
	for _, c := range calls {
		at = append(at, c.At)
	}
	require.Equal(t, []float64{0, 0.5, 1, 2}, at)
	_, _, err = ReadTrace(strings.NewReader("{}\n"))
	require.ErrorContains(t, err, "trace has no valid call")
	p := &peer{}
	r, err := Run(t.Context(), Options{Plan: plan(t, p.start(t), "steady(1)", time.Second), Calls: calls, Scale: 0.1,
		Faults: &faults})
	require.NoError(t, err)
	require.EqualValues(t, 4, p.count.Load())
	require.Equal(t, 4, r.All().Served)
	require.Equal(t, 2, r.Trace.Malformed)
}

func TestPlanErrorsNameTheKey(t *testing.T) {
	for key, change := range map[string]func(*Plan){
		"target:":          func(p *Plan) { p.Target = "10.0.0.1:1" },
		"pattern: column":  func(p *Plan) { p.Pattern = "steady(" },
		"for:":             func(p *Plan) { p.Duration = 0 },
		"class:":           func(p *Plan) { p.Classes = nil },
		"class[0].habit:":  func(p *Plan) { p.Classes[0].RetryPolicy = "sulk" },
		"class[0].turns:":  func(p *Plan) { p.Classes[0].Turns = 0.5 },
		"class[0].spread:": func(p *Plan) { p.Classes[0].Spread = 9 },
		"batch.class:":     func(p *Plan) { p.Batch = Batch{Every: Duration(time.Second), Class: "gold"} },
		"most_out:":        func(p *Plan) { p.MaxInFlight = -1 },
	} {
		p := plan(t, "127.0.0.1:1", "steady(1)", time.Second)
		change(p)
		require.ErrorContains(t, p.Complete(), key)
	}
}

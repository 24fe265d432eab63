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
	p, err := ParsePattern("steady(20) + 0.5*ramp(0, 60, 2m) + burst(100, at=1m, for=10s) + shift_end(40, at=5m, width=30s) + pay_run(peak=9, at=10m, rise=1m)")
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
		"steady(1, 2)":                  "column 11: steady has 1 arguments",
		"burst(5, at=10, for=1s)":       `at: "10" is no span`,
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

// Arrivals come as often as the pattern says, in order, whatever the pattern; and the same seed gives the same ones.
func TestArrivals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SampledFrom([]string{"steady(50)", "ramp(0, 100, 10s)", "2*burst(40, at=3s, for=4s)", "wave(40, 40, 5s)", "shift_end(80, at=5s, width=2s)",
			"pay_run(90, at=8s, rise=5s)"}).Draw(t, "term") + " + " + rapid.SampledFrom([]string{"steady(20)", "steady(5)"}).Draw(t, "rest")
		p, err := ParsePattern(text)
		if err != nil {
			t.Fatal(err)
		}
		want := 0.0
		for at := 0.0; at < 10; at += 0.01 {
			if rate := p.Rate(at); rate < 0 || rate > p.Most()+1e-9 {
				t.Fatalf("%g a second at %g, of %g at the most", rate, at, p.Most())
			}
			want += p.Rate(at) * 0.01
		}
		seed := rapid.Uint64().Draw(t, "seed")
		times := func(even bool) (all []float64) {
			rng := rand.New(rand.NewPCG(seed, 1))
			a := &Arrivals{Pattern: p, Even: even, Draw: rng.Float64}
			for {
				at, ok := a.Next(10)
				if !ok {
					return all
				}
				if n := len(all); n > 0 && at < all[n-1] {
					t.Fatal("not in order")
				}
				all = append(all, at)
			}
		}
		if n := float64(len(times(true))); n < want-3 || n > want+3 {
			t.Fatalf("%g even arrivals, %g wanted", n, want)
		}
		one, two := times(false), times(false)
		if n := float64(len(one)); len(one) != len(two) || n < want-6*(want/10+5) || n > want+6*(want/10+5) {
			t.Fatalf("%g arrivals, %g wanted", n, want)
		}
	})
}

// peer answers at once, but for the time that it stalls.
type peer struct {
	mu    sync.Mutex
	count atomic.Int64
}

func (p *peer) start(t *testing.T) string {
	return testpeer.StartBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock() // held while it stalls
		p.count.Add(1)
		p.mu.Unlock()
		testpeer.WriteEvent(w, "a")
		testpeer.WriteStreamEnd(w)
	})
}

func plan(t *testing.T, target, pattern string, span time.Duration) *Plan {
	p := &Plan{Target: target, Pattern: pattern, For: Span(span), Classes: []Class{{Name: "chat", Prompt: 10, Habit: NoRetry}}, Lag: Span(time.Minute)}
	require.NoError(t, p.Complete())
	return p
}

// A server that stands still for 2 s: what was meant to come meanwhile waited, and the report says so. A closed loop at
// its side asks nothing in that time, and sees one slow answer a client.
func TestAStallIsSeenWhole(t *testing.T) {
	t.Parallel()
	run := func(closed int) *Figures {
		p := &peer{}
		pl := plan(t, p.start(t), "steady(100)", 5*time.Second)
		time.AfterFunc(time.Second, func() {
			p.mu.Lock()
			time.AfterFunc(2*time.Second, p.mu.Unlock)
		})
		r, err := Run(t.Context(), Options{Plan: pl, Closed: closed})
		require.NoError(t, err)
		return r.All()
	}
	open, closed := run(0), run(1)
	require.Greater(t, open.First.ValueAtQuantile(99.9), int64(1_900_000))
	require.Greater(t, open.First.ValueAtQuantile(75), int64(200_000), "two fifths of all came while it stood still")
	require.Less(t, closed.Own.ValueAtQuantile(99), int64(200_000), "the closed loop hides it")
	require.Equal(t, open.Asked, open.Served)
}

// stepped is what the system would tell at a moment if its wall clock had been set by so many seconds before: of a time's
// two readings only the wall's differs.
func stepped(at time.Time, seconds int64) time.Time {
	was := at
	*(*uint64)(unsafe.Pointer(&at)) += uint64(seconds << 30) // the wall's seconds begin at its 30th bit
	if at.Sub(was) != 0 || at.Unix()-was.Unix() != seconds {
		panic("a time is laid out in another way than this test knows")
	}
	return at
}

// Steps of the wall clock, an hour forth and two back, change neither when requests go out nor how long they took.
func TestStepsOfTheWallClock(t *testing.T) {
	t.Parallel()
	p := &peer{}
	pl := plan(t, p.start(t), "steady(100)", 1500*time.Millisecond)
	began := time.Now()
	r, err := Run(t.Context(), Options{Plan: pl, clock: func() time.Time {
		now := time.Now()
		switch gone := now.Sub(began); {
		case gone > time.Second:
			return stepped(now, -3600)
		case gone > 500*time.Millisecond:
			return stepped(now, 3600)
		}
		return now
	}})
	require.NoError(t, err)
	all := r.All()
	require.InDelta(t, 150, all.Asked, 75)
	require.Equal(t, all.Asked, all.Served)
	require.Less(t, all.First.Max(), int64(2_000_000))
	require.InDelta(t, 1.5, r.For, 0.2)
	for _, second := range r.Seconds {
		require.LessOrEqual(t, second.Asked, 150)
	}
}

// A generator that cannot keep up says so.
func TestLagIsMarked(t *testing.T) {
	p := &peer{}
	pl := plan(t, p.start(t), "steady(100000)", 200*time.Millisecond)
	pl.Lag, pl.MostOut = Span(time.Millisecond), 50
	r, err := Run(t.Context(), Options{Plan: pl})
	require.NoError(t, err)
	require.NotEmpty(t, r.Marks)
	require.Positive(t, r.All().NotSent)
	var b bytes.Buffer
	r.Write(&b)
	require.Contains(t, b.String(), "MARKED: ")
}

// A run that is cut off gives a whole report, which is the same when it is read again.
func TestCutOff(t *testing.T) {
	t.Parallel()
	p := &peer{}
	pl := plan(t, p.start(t), "steady(200)", time.Hour)
	ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
	defer cancel()
	r, err := Run(ctx, Options{Plan: pl})
	require.NoError(t, err)
	require.True(t, r.Cut)
	all := r.All()
	require.Positive(t, all.Served)
	require.Equal(t, all.Asked, all.Served, "what was cut off counts as not asked")
	raw, err := json.Marshal(r)
	require.NoError(t, err)
	var again Report
	require.NoError(t, json.Unmarshal(raw, &again))
	require.Equal(t, all.First.ValueAtQuantile(50), again.All().First.ValueAtQuantile(50))
	both, err := MergeReports(r, &again)
	require.NoError(t, err)
	require.Equal(t, 2*all.Served, both.All().Served)
	require.Equal(t, 2*all.First.TotalCount(), both.All().First.TotalCount())
}

// Habits: who does not ask again, who does at once, and who waits as long as told.
func TestHabits(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		habit string
		tries int64
		least time.Duration
	}{{NoRetry, 1, 0}, {AtOnce, 3, 0}, {RetryAfter, 3, 1600 * time.Millisecond}} {
		var n atomic.Int64
		target := testpeer.StartBackend(t, func(w http.ResponseWriter, _ *http.Request) {
			n.Add(1)
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusTooManyRequests)
		})
		pl := plan(t, target, "burst(1, at=0s, for=1s)", 5*time.Second)
		pl.Even = true
		pl.Classes[0].Habit, pl.Classes[0].Retries = c.habit, 2
		began := time.Now()
		r, err := Run(t.Context(), Options{Plan: pl, Calls: []Call{{Class: "chat", Prompt: 5, Out: 5}, {At: 4, Class: "chat", Prompt: 5, Out: 5}}})
		require.NoError(t, err)
		require.Positive(t, r.All().TurnedDown)
		require.GreaterOrEqual(t, n.Load(), c.tries)
		require.Greater(t, time.Since(began), c.least)
		if c.habit == RetryAfter {
			require.GreaterOrEqual(t, r.All().Retries, 2)
		}
	}
}

// A trace with torn lines, impossible figures and calls out of order is put right, and what was wrong is counted.
func TestTrace(t *testing.T) {
	t.Parallel()
	var b bytes.Buffer
	rec := NewRecorder(&b)
	for _, at := range []float64{10, 12, 11} {
		rec.Write(Call{At: at, Class: "chat", Prompt: 5, Out: 7, Session: 9})
	}
	require.NoError(t, rec.Flush())
	text := b.String() + `{"at_s":13,"class":"chat","prompt_tokens":-1,"max_tokens":5}` + "\n" + `{"at_s":13,"cla` + "\n\n" + strings.Repeat("x", 100_000) + "\n" +
		`{"at_s":10.5,"class":"chat","prompt_tokens":5,"max_tokens":5}`
	calls, faults, err := ReadTrace(strings.NewReader(text))
	require.NoError(t, err)
	require.Equal(t, TraceFaults{Torn: 2, Wrong: 1, Unordered: 2}, faults)
	var at []float64
	for _, c := range calls {
		at = append(at, c.At)
	}
	require.Equal(t, []float64{0, 0.5, 1, 2}, at)
	_, _, err = ReadTrace(strings.NewReader("{}\n"))
	require.ErrorContains(t, err, "no call that can be used")
	p := &peer{}
	r, err := Run(t.Context(), Options{Plan: plan(t, p.start(t), "steady(1)", time.Second), Calls: calls, Scale: 0.1, Faults: &faults})
	require.NoError(t, err)
	require.EqualValues(t, 4, p.count.Load())
	require.Equal(t, 4, r.All().Served)
	require.Equal(t, 2, r.Trace.Torn)
}

func TestPlanNamesTheKey(t *testing.T) {
	for key, change := range map[string]func(*Plan){
		"target:":          func(p *Plan) { p.Target = "10.0.0.1:1" },
		"pattern: column":  func(p *Plan) { p.Pattern = "steady(" },
		"for:":             func(p *Plan) { p.For = 0 },
		"class:":           func(p *Plan) { p.Classes = nil },
		"class[0].habit:":  func(p *Plan) { p.Classes[0].Habit = "sulk" },
		"class[0].turns:":  func(p *Plan) { p.Classes[0].Turns = 0.5 },
		"class[0].spread:": func(p *Plan) { p.Classes[0].Spread = 9 },
		"batch.class:":     func(p *Plan) { p.Batch = Batch{Every: Span(time.Second), Class: "gold"} },
		"most_out:":        func(p *Plan) { p.MostOut = -1 },
	} {
		p := plan(t, "127.0.0.1:1", "steady(1)", time.Second)
		change(p)
		require.ErrorContains(t, p.Complete(), key)
	}
}

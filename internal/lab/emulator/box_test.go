package emulator

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

var parameters = Parameters{Slots: 4, Queue: 2, Memory: 10_000, Chunk: 1000, Step: 0.01, PerSequence: 0.001,
	PrefillRate: 10_000, ColdSpeedFactor: 0.1, WarmUp: 20, OverloadFactor: 4, OverloadTolerance: 3,
	Capacity: 2, ReportInterval: 0}

// runUntilIdle advances a backend until it is idle or the next step ends at until or later. It returns, by job, the
// times of the first token and of completion, and the prompt tokens found in the cache.
func runUntilIdle(b *Backend, until float64) (first, done map[int64]float64, cached map[int64]float64) {
	first, done, cached = map[int64]float64{}, map[int64]float64{}, map[int64]float64{}
	for at := b.NextStepEnd(); at < until; at = b.NextStepEnd() {
		for _, p := range b.Advance(at) {
			if p.First {
				first[p.ID] = at
			}
			if p.Done {
				done[p.ID], cached[p.ID] = at, p.CachedTokens
			}
		}
	}
	return first, done, cached
}

func submit(t *testing.T, b *Backend, now float64, j Job, want Verdict) {
	v, _ := b.Submit(now, j)
	require.Equal(t, want, v)
}

func TestStepsPrefillPromptsAndGenerateTokens(t *testing.T) {
	b := New(parameters, 1, LongAgo)
	submit(t, b, 0, Job{ID: 1, Prompt: 2000, OutputTokens: 5}, Accepted)
	first, done, _ := runUntilIdle(b, 10)
	step := 0.01 + 0.001
	require.InDelta(t, 2*(step+0.1), first[1], 1e-9, "the prompt takes two chunks")
	require.InDelta(t, first[1]+4*step, done[1], 1e-9)
}

func TestCachedPromptsAreNotPrefilledAgain(t *testing.T) {
	b := New(parameters, 1, LongAgo)
	submit(t, b, 0, Job{ID: 1, Session: 7, Prefix: 3, PrefixTokens: 400, Prompt: 2000, OutputTokens: 5}, Accepted)
	runUntilIdle(b, 10)
	submit(t, b, 10, Job{ID: 2, Session: 7, Prompt: 2100, OutputTokens: 5}, Accepted)
	submit(t, b, 10, Job{ID: 3, Session: 8, Prefix: 3, PrefixTokens: 400, Prompt: 900, OutputTokens: 5}, Accepted)
	_, _, cached := runUntilIdle(b, 20)
	require.InDelta(t, 2005, cached[2], 1e-9, "prompt and response of the previous turn")
	require.InDelta(t, 400, cached[3], 1e-9, "the shared prefix")
	submit(t, b, 20, Job{ID: 4, Session: 9, Prompt: 9900, OutputTokens: 5}, Accepted) // evicts all other cached prompts
	runUntilIdle(b, 30)
	submit(t, b, 30, Job{ID: 5, Session: 7, Prompt: 2200, OutputTokens: 5}, Accepted)
	_, _, cached = runUntilIdle(b, 40)
	require.Zero(t, cached[5], "the least recently used prompt is evicted first")
}

func TestFullBackendRejects(t *testing.T) {
	b := New(parameters, 1, LongAgo)
	for id := range int64(6) {
		submit(t, b, 0, Job{ID: id, Prompt: 100, OutputTokens: 3}, Accepted)
	}
	submit(t, b, 0, Job{ID: 9, Prompt: 100, OutputTokens: 3}, Rejected)
	_, done, _ := runUntilIdle(b, 10)
	require.Len(t, done, 6)
	b.Drain()
	submit(t, b, 10, Job{ID: 10, Prompt: 100, OutputTokens: 3}, Rejected)
}

func TestPauseSlowdownAndWarmUp(t *testing.T) {
	duration := func(started float64, prepare func(b *Backend)) float64 {
		b := New(parameters, 1, started)
		submit(t, b, 0, Job{ID: 1, Prompt: 100, OutputTokens: 10}, Accepted)
		prepare(b)
		_, done, _ := runUntilIdle(b, 100)
		return done[1]
	}
	normal := duration(LongAgo, func(*Backend) {})
	require.InDelta(t, normal+2, duration(LongAgo, func(b *Backend) { b.Pause(0.005, 2.005) }), 1e-9,
		"pause within a step")
	require.InDelta(t, normal+2, duration(LongAgo, func(b *Backend) { b.Pause(0.005, 1); b.Pause(0.5, 2.005) }), 1e-9,
		"overlapping pauses")
	require.Greater(t, duration(0, func(*Backend) {}), 5*normal, "cold")
	b := New(parameters, 1, LongAgo)
	b.SetSlowdown(2)
	submit(t, b, 0, Job{ID: 1, Prompt: 100, OutputTokens: 10}, Accepted)
	_, done, _ := runUntilIdle(b, 100)
	require.InDelta(t, 2*normal, done[1], 1e-9)
}

// A cold backend that receives four times its capacity for three seconds fails; a warm one does not.
func TestColdBackendFailsUnderOverload(t *testing.T) {
	for _, c := range []struct {
		started, rate float64
		fails         bool
	}{{0, 0.7, false}, {0, 6, true}, {LongAgo, 30, false}} {
		b := New(parameters, 1, c.started)
		failed := false
		for at := 0.0; at < 6 && !failed; at += 1 / c.rate {
			for b.NextStepEnd() <= at {
				b.Advance(b.NextStepEnd())
			}
			_, failed = b.Submit(at, Job{ID: int64(at * 1000), Prompt: 10, OutputTokens: 2})
		}
		require.Equal(t, c.fails, failed, "%+v", c)
		if failed {
			b.Kill()
			submit(t, b, 10, Job{ID: 1, Prompt: 10, OutputTokens: 2}, Unreachable)
			b.Restart(20)
			submit(t, b, 20, Job{ID: 1, Prompt: 10, OutputTokens: 2}, Accepted)
		}
	}
}

func TestErrorsAndCancellation(t *testing.T) {
	b := New(parameters, 1, LongAgo)
	b.SetErrorShare(0.5)
	errors := 0
	for id := range int64(400) {
		if v, _ := b.Submit(float64(id), Job{ID: id, Prompt: 10, OutputTokens: 2}); v == Errored {
			errors++
		}
		runUntilIdle(b, float64(id+1))
	}
	require.InDelta(t, 200, errors, 50)
	b.SetErrorShare(0)
	submit(t, b, 1000, Job{ID: 1000, Prompt: 10, OutputTokens: 1000}, Accepted)
	b.Cancel(1000)
	_, done, _ := runUntilIdle(b, 2000)
	require.Empty(t, done)
	require.True(t, b.Idle())
	require.True(t, math.IsInf(b.NextStepEnd(), 1))
}

// A backend that is sent requests at the rate that MaxRate estimates completes them at that rate, within 10 %.
func TestEstimatedRateIsAchieved(t *testing.T) {
	f := Parameters{Slots: 24, Queue: 1000, Memory: 300_000, Chunk: 2048, Step: 0.015, PerSequence: 0.00035,
		PerContext: 0.00005, PrefillRate: 10_000}
	rate := f.MaxRate(700, 700, 100, 0.05)
	b := New(f, 1, LongAgo)
	done := 0
	for at, id := 0.0, int64(1); at < 200; at, id = at+1/rate, id+1 {
		for b.NextStepEnd() <= at {
			for _, p := range b.Advance(b.NextStepEnd()) {
				if p.Done {
					done++
				}
			}
		}
		b.Submit(at, Job{ID: id, Prompt: 700, OutputTokens: 100})
	}
	require.InDelta(t, 200*rate, done, 20*rate)
}

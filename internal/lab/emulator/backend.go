// Package emulator models a backend that serves a language model: request slots, a queue, steps that prefill prompts
// and generate tokens, a memory with a prompt cache, cold starts, pauses, errors and draining. It has no clock and does
// no I/O: one driver runs it in virtual time, another on sockets. It is test equipment; the daemon never imports it.
package emulator

import (
	"container/list"
	"math"
	"math/rand/v2"
)

// Parameters are the parameters of an emulated backend. Times are in seconds, lengths in tokens.
type Parameters struct {
	// Slots is the maximum number of requests that run concurrently.
	Slots int `toml:"slots"`
	// Queue is the maximum number of requests that wait for a slot.
	Queue int `toml:"queue"`
	// Memory is the number of tokens that running requests and cached prompts may occupy together.
	Memory float64 `toml:"memory"`
	// Chunk is the maximum number of prompt tokens that one step prefills.
	Chunk float64 `toml:"chunk"`
	// Step is the minimum duration of a step.
	Step float64 `toml:"step"`
	// PerSequence is the time that each running request adds to a step.
	PerSequence float64 `toml:"per_sequence"`
	// PerContext is the time that each 1,000 tokens of the running requests' contexts add to a step.
	PerContext float64 `toml:"per_context"`
	// PrefillRate is the prefill speed in prompt tokens per second.
	PrefillRate float64 `toml:"read_per_s"`
	// ColdSpeedFactor is the fraction of its full speed that the backend has right after a start.
	ColdSpeedFactor float64 `toml:"cold_share"`
	// WarmUp is the time from a start until the backend has its full speed.
	WarmUp float64 `toml:"warm_up"`
	// OverloadFactor is the overload, as a multiple of the current capacity, that makes a cold backend fail for good
	// once it has lasted for OverloadTolerance.
	OverloadFactor float64 `toml:"fall_factor"`
	// OverloadTolerance is how long a cold backend withstands that overload; 0: it never fails from overload.
	OverloadTolerance float64 `toml:"fall"`
	// Capacity is the number of requests per second that the warm backend can serve. Only the overload rule uses it.
	Capacity float64 `toml:"capacity"`
	// ReportInterval is the interval at which the load report is refreshed.
	ReportInterval float64 `toml:"report_every"`
}

// Job is a request to an emulated backend.
type Job struct {
	ID           int64
	Session      uint64  // session key; 0: none
	Prefix       uint64  // key of the shared prefix; 0: none
	Prompt       float64 // prompt length in tokens
	PrefixTokens float64 // length in tokens of the shared prefix, which is part of the prompt
	OutputTokens int     // length of the response in tokens
}

// Verdict is the outcome of submitting a job.
type Verdict int

// The outcomes of Submit.
const (
	Accepted    Verdict = iota // accepted: the job runs or is queued
	Rejected                   // rejected without running: the queue is full or the backend is draining
	Errored                    // failed with an error response
	Unreachable                // the backend is down and accepts no connection
)

// Report is a load report: the fraction of the memory that running requests occupy, the prompt tokens that are not yet
// prefilled, in thousands, and the fraction of the slots in use.
type Report struct{ Memory, PendingPrompt, Slots float64 }

// Progress is what one step did for a job.
type Progress struct {
	ID           int64
	First        bool    // whether the step generated the job's first token
	Tokens       int     // tokens generated in this step, including the first
	Done         bool    // whether the job is complete
	CachedTokens float64 // with Done: prompt tokens that were found in the cache
}

type job struct {
	Job
	cached    float64 // prompt tokens found in the cache
	toPrefill float64 // prompt tokens not yet prefilled
	generated int     // tokens generated so far
}

func (j *job) context() float64 { return j.Prompt + float64(j.generated) }

type cacheEntry struct {
	key    uint64
	tokens float64
}

// Backend is an emulated backend. Its methods take the time in seconds, which must not decrease.
type Backend struct {
	Parameters
	rng         *rand.Rand
	startedAt   float64 // time of the last start; -Inf: long ago
	dead        bool
	draining    bool
	errorShare  float64 // fraction of jobs that fail immediately
	slowdown    float64 // factor by which steps take longer
	pausedUntil float64 // no step ends before this time

	running          []*job
	queue            []*job
	cache            *list.List // cached prompts (cacheEntry), the most recently used first
	cacheByKey       map[uint64]*list.Element
	cachedTokens     float64           // sum of the cached prompts' lengths
	stepEndsAt       float64           // 0: no step runs
	prefilling       map[int64]float64 // prompt tokens that the current step prefills, by job
	report           Report
	reportedAt       float64
	recentAttempts   float64 // attempts, less what the overload rule allows for the time since; see recordAttempt
	recentAttemptsAt float64 // time up to which that allowance is deducted
	received         int     // jobs submitted
}

// Received returns the number of jobs submitted, including rejected ones.
func (b *Backend) Received() int { return b.received }

// New returns a backend that started at the given time; LongAgo makes it warm.
func New(parameters Parameters, seed uint64, started float64) *Backend {
	return &Backend{Parameters: parameters, rng: rand.New(rand.NewPCG(seed, 0x60a7)), startedAt: started, slowdown: 1,
		cache: list.New(), cacheByKey: map[uint64]*list.Element{}, prefilling: map[int64]float64{},
		reportedAt: math.Inf(-1)}
}

// LongAgo is the start time of a backend that is already warm.
var LongAgo = math.Inf(-1)

// SpeedFactor returns the fraction of its full speed that the backend has at now, during and after its warm-up.
func (b *Backend) SpeedFactor(now float64) float64 {
	if b.WarmUp <= 0 || now-b.startedAt >= b.WarmUp {
		return 1
	}
	return b.ColdSpeedFactor + (1-b.ColdSpeedFactor)*max(0, now-b.startedAt)/b.WarmUp
}

// SetSlowdown sets the factor by which steps take longer; the minimum is 0.01.
func (b *Backend) SetSlowdown(factor float64) { b.slowdown = max(0.01, factor) }

// SetErrorShare sets the fraction of submitted jobs that fail immediately.
func (b *Backend) SetErrorShare(share float64) { b.errorShare = share }

// Pause stops the backend from now until the given time: the running step ends later by that much.
func (b *Backend) Pause(now, until float64) {
	from := max(now, b.pausedUntil)
	if b.stepEndsAt > 0 && until > from {
		b.stepEndsAt += until - from
	}
	b.pausedUntil = max(b.pausedUntil, until)
}

// Drain makes the backend finish its jobs and reject new ones.
func (b *Backend) Drain() { b.draining = true }

// Kill stops the backend and drops all its jobs, whose ids it returns.
func (b *Backend) Kill() []int64 {
	var ids []int64
	for _, j := range append(b.running, b.queue...) {
		ids = append(ids, j.ID)
	}
	b.dead, b.running, b.queue, b.stepEndsAt = true, nil, nil, 0
	return ids
}

// Restart kills the backend and starts it again, cold and with an empty cache. It returns the ids of the dropped jobs.
func (b *Backend) Restart(now float64) []int64 {
	ids := b.Kill()
	b.dead, b.draining, b.startedAt, b.pausedUntil = false, false, now, 0
	b.cache.Init()
	clear(b.cacheByKey)
	b.cachedTokens, b.recentAttempts = 0, 0
	return ids
}

// Alive reports whether the backend accepts connections.
func (b *Backend) Alive() bool { return !b.dead }

// Idle reports whether the backend has neither running nor queued jobs.
func (b *Backend) Idle() bool { return len(b.running)+len(b.queue) == 0 }

// Submit submits a job. overloaded reports that this job pushed a cold backend over its limit; the caller then has to
// call Kill, which drops the backend's jobs.
func (b *Backend) Submit(now float64, j Job) (verdict Verdict, overloaded bool) {
	b.received++
	if b.dead {
		return Unreachable, false
	}
	if b.recordAttempt(now) {
		return Unreachable, true
	}
	if b.errorShare > 0 && b.rng.Float64() < b.errorShare {
		return Errored, false
	}
	if b.draining || len(b.queue)+len(b.running) >= b.Queue+b.Slots {
		return Rejected, false
	}
	b.queue = append(b.queue, &job{Job: j})
	if b.stepEndsAt == 0 {
		b.startStep(now)
	}
	return Accepted, false
}

// recordAttempt counts an attempt, rejected or not, and reports whether a cold backend has been overloaded for too
// long. The count is a leaky bucket: it leaks at OverloadFactor times the current capacity, and its limit is what leaks
// within OverloadTolerance, plus 4 attempts so that random clusters of arrivals don't trip it.
func (b *Backend) recordAttempt(now float64) bool {
	if b.OverloadTolerance <= 0 || b.Capacity <= 0 || now-b.startedAt > b.WarmUp+b.OverloadTolerance {
		return false
	}
	capacity := b.Capacity * b.SpeedFactor(now)
	b.recentAttempts = max(0, b.recentAttempts-(now-b.recentAttemptsAt)*capacity*b.OverloadFactor)
	b.recentAttemptsAt = now
	b.recentAttempts++
	return b.recentAttempts > capacity*b.OverloadFactor*b.OverloadTolerance+4
}

// Overload returns the recent attempts as a fraction of those that make a cold backend fail: from 1 on it fails.
func (b *Backend) Overload(now float64) float64 {
	if b.OverloadTolerance <= 0 || b.Capacity <= 0 || now-b.startedAt > b.WarmUp+b.OverloadTolerance {
		return 0
	}
	capacity := b.Capacity * b.SpeedFactor(now)
	return max(0, b.recentAttempts-(now-b.recentAttemptsAt)*capacity*b.OverloadFactor) /
		(capacity*b.OverloadFactor*b.OverloadTolerance + 4)
}

// Cancel removes a queued or running job. What a running job has prefilled and generated stays in the cache.
func (b *Backend) Cancel(id int64) {
	for i, j := range b.queue {
		if j.ID == id {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			return
		}
	}
	for i, j := range b.running {
		if j.ID == id {
			b.running = append(b.running[:i], b.running[i+1:]...)
			b.cacheJob(j)
			return
		}
	}
}

// NextStepEnd returns the end of the current step; +Inf: no step runs.
func (b *Backend) NextStepEnd() float64 {
	if b.stepEndsAt == 0 {
		return math.Inf(1)
	}
	return b.stepEndsAt
}

// Load returns the load report, which is refreshed every ReportInterval seconds.
func (b *Backend) Load(now float64) Report {
	if now-b.reportedAt >= b.ReportInterval {
		used, unprocessed := 0.0, 0.0
		for _, j := range b.running {
			used, unprocessed = used+j.context(), unprocessed+j.toPrefill
		}
		for _, j := range b.queue {
			unprocessed += j.Prompt
		}
		b.report = Report{Memory: used / max(1, b.Memory), PendingPrompt: unprocessed / 1000,
			Slots: float64(len(b.running)) / float64(max(1, b.Slots))}
		b.reportedAt = now
	}
	return b.report
}

// Advance completes the step that is due at now, starts the next, and returns what the step did for each job that
// generated a token. It returns nil when no step is due.
func (b *Backend) Advance(now float64) []Progress {
	if b.stepEndsAt == 0 || now < b.stepEndsAt {
		return nil
	}
	var progress []Progress
	running := b.running[:0]
	for _, j := range b.running {
		prefilled := b.prefilling[j.ID]
		j.toPrefill -= prefilled
		if j.toPrefill > 1e-9 {
			running = append(running, j)
			continue
		}
		j.generated++
		p := Progress{ID: j.ID, First: j.generated == 1, Tokens: 1, Done: j.generated >= j.OutputTokens,
			CachedTokens: j.cached}
		progress = append(progress, p)
		if p.Done {
			b.cacheJob(j)
		} else {
			running = append(running, j)
		}
	}
	clear(b.running[len(running):])
	b.running = running
	b.evict(0)
	b.startStep(now)
	return progress
}

// startStep moves queued jobs into free slots as far as memory allows, distributes the prefill chunk among the running
// jobs, and sets the end of the step.
func (b *Backend) startStep(now float64) {
	for len(b.queue) > 0 && len(b.running) < b.Slots {
		j := b.queue[0]
		if b.usedMemory()+j.Prompt > b.Memory && len(b.running) > 0 {
			break
		}
		b.queue = b.queue[1:]
		j.cached = b.useCached(j)
		j.toPrefill = max(1, j.Prompt-j.cached)
		b.running = append(b.running, j)
		b.evict(j.Prompt)
	}
	if len(b.running) == 0 {
		b.stepEndsAt = 0
		return
	}
	clear(b.prefilling)
	budget, contextTokens := b.Chunk, 0.0
	for _, j := range b.running {
		contextTokens += j.context()
		if j.toPrefill > 0 && budget > 0 {
			n := min(budget, j.toPrefill)
			b.prefilling[j.ID] = n
			budget -= n
		}
	}
	duration := b.Step + b.PerSequence*float64(len(b.running)) + b.PerContext*contextTokens/1000 +
		(b.Chunk-budget)/b.PrefillRate
	b.stepEndsAt = max(now, b.pausedUntil) + duration*b.slowdown/b.SpeedFactor(now)
}

func (b *Backend) usedMemory() float64 {
	sum := 0.0
	for _, j := range b.running {
		sum += j.context()
	}
	return sum
}

// evict frees memory when running jobs and cached prompts exceed it: it evicts the least recently used cached prompts
// first. If that is not enough and no job is being admitted (incoming is 0), it puts the newest running jobs back at
// the head of the queue; their prompts have to be prefilled again.
func (b *Backend) evict(incoming float64) {
	used := b.usedMemory()
	for used+b.cachedTokens > b.Memory && b.cache.Len() > 0 {
		last := b.cache.Back()
		k := b.cache.Remove(last).(cacheEntry)
		delete(b.cacheByKey, k.key)
		b.cachedTokens -= k.tokens
	}
	for used > b.Memory && len(b.running) > 1 && incoming == 0 {
		j := b.running[len(b.running)-1]
		b.running = b.running[:len(b.running)-1]
		used -= j.context()
		j.toPrefill = 0
		b.queue = append([]*job{j}, b.queue...)
	}
}

// prefixKeyMask keeps the cache keys of shared prefixes apart from those of sessions.
const prefixKeyMask = 0x9d5a_77c1_0d1e_b0b5

// useCached returns how many tokens of a job's prompt are cached, and marks the entries as used.
func (b *Backend) useCached(j *job) float64 { return b.cachedPrompt(j, true) }

// cachedPrompt returns how many tokens of a job's prompt are cached: the longer of its session's prompt and its shared
// prefix. With touch, the entries found become the most recently used.
func (b *Backend) cachedPrompt(j *job, touch bool) float64 {
	tokens := 0.0
	for _, k := range []struct {
		key   uint64
		limit float64
	}{{j.Session, j.Prompt}, {j.Prefix ^ prefixKeyMask, j.PrefixTokens}} {
		if e := b.cacheByKey[k.key]; e != nil && k.key != 0 && k.key != prefixKeyMask {
			if touch {
				b.cache.MoveToFront(e)
			}
			tokens = max(tokens, min(k.limit, e.Value.(cacheEntry).tokens))
		}
	}
	return tokens
}

// cacheJob caches what a job has prefilled and generated.
func (b *Backend) cacheJob(j *job) {
	prefilled := j.Prompt - j.toPrefill
	if j.Session != 0 {
		b.store(j.Session, prefilled+float64(j.generated))
	}
	if j.Prefix != 0 && prefilled >= j.PrefixTokens {
		b.store(j.Prefix^prefixKeyMask, j.PrefixTokens)
	}
}

func (b *Backend) store(key uint64, tokens float64) {
	if e := b.cacheByKey[key]; e != nil {
		b.cachedTokens -= e.Value.(cacheEntry).tokens
		b.cache.Remove(e)
	}
	b.cacheByKey[key] = b.cache.PushFront(cacheEntry{key, tokens})
	b.cachedTokens += tokens
}

// MaxRate estimates the requests per second that a warm backend serves with token gaps of at most maxGap seconds, given
// the mean lengths in tokens of the prompt to prefill, of the context and of the response. It takes the greatest number
// of concurrent requests with which a step stays within the gap.
func (p Parameters) MaxRate(prefill, context, out, maxGap float64) float64 {
	best := 0.0
	for n := 1.0; n <= float64(p.Slots); n++ {
		started := n / out // requests that start in a step, in which each running one generates a token
		step := p.Step + p.PerSequence*n + p.PerContext*n*context/1000 + started*prefill/p.PrefillRate
		if step > maxGap {
			break
		}
		best = started / step
	}
	return best
}

// MultiplySlowdown multiplies the present slowdown of steps by factor.
func (b *Backend) MultiplySlowdown(factor float64) { b.SetSlowdown(b.slowdown * factor) }

// ExpectedWait estimates the seconds until the first token of a job submitted now, from the backend's actual state: the
// time to prefill the prompts ahead of it and its own at the present speed and, with all slots in use, the wait for a
// slot. It is for a reference policy that sees the actual state. It returns +Inf if the job would not be accepted.
func (b *Backend) ExpectedWait(now float64, j Job) float64 {
	toPrefill := j.Prompt - b.cachedPrompt(&job{Job: j}, false)
	shortestLeft := math.Inf(1)
	for _, r := range b.running {
		toPrefill += r.toPrefill
		shortestLeft = min(shortestLeft, float64(r.OutputTokens-r.generated))
	}
	for _, q := range b.queue {
		toPrefill += q.Prompt
	}
	speed := b.SpeedFactor(now) / b.slowdown
	step := b.Step + b.PerSequence*float64(len(b.running)+1)
	wait := toPrefill/(b.PrefillRate*speed) + step/speed + max(0, b.pausedUntil-now)
	if excess := len(b.running) + len(b.queue) + 1 - b.Slots; excess > 0 {
		wait += float64(excess) * max(1, shortestLeft) * step / speed / float64(max(1, b.Slots)) * 4
	}
	if b.dead || b.draining || len(b.queue) >= b.Queue {
		return math.Inf(1)
	}
	return wait
}

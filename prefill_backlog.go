package standpoint

// The prefill backlog of an engine: the prompts that it has yet to prefill, as estimated by the gateway that
// is its directory owner.

import "math"

const (
	// maxPendingPrompts is the maximum number of prompts in one engine's backlog.
	maxPendingPrompts = 512
	// pendingPromptTimeout is the time after which a prompt whose end has not been reported is dropped.
	pendingPromptTimeout = 10 * second
	// prefillFractionSpan is the time constant in seconds over which an engine's prefill fraction is
	// averaged.
	prefillFractionSpan = 3.0
	// prefillSpeedWeight is the weight of one sample in an engine's prefill speed.
	prefillSpeedWeight = 0.2
	// minPrefillSpeedFactor is the lower bound of a sample of the prefill speed, as a multiple of
	// assumedPrefillSpeed; its inverse is the upper bound.
	minPrefillSpeedFactor = 0.2
	// minSpeedSampleTokens is the minimum number of tokens from which the prefill speed is measured.
	minSpeedSampleTokens = 500
)

// assumedPrefillSpeed is the prefill speed, in tokens per second, that is assumed of an engine until its own
// is known. It follows from ttftPrior.
var assumedPrefillSpeed = 1000 / ttftPrior[prefillBacklogFeature]

// prefillBacklogFeature is the index of the prefill backlog in a featureVector.
const prefillBacklogFeature = 2

// pendingPrompt is a prompt that was sent to an engine and whose prefill is not known to have ended.
type pendingPrompt struct {
	gateway        int     // ordinal of the gateway that sent it
	requestID      uint32  // low 32 bits of the request's ID at that gateway
	uncachedTokens float64 // prompt tokens that the engine does not have cached
	sentAt         int64   // when the directory owner recorded it, in nanoseconds
}

// engineLoad is an engine's load as estimated by its directory owner.
type engineLoad struct {
	prefillDelay    float64 // seconds until the prefill of a prompt that arrives now begins
	prefillFraction float64 // fraction of the time spent on prefill, during which no tokens are decoded
	prefillSpeed    float64 // prompt tokens per second
}

// backlog is the prefill backlog of an engine at its directory owner. Engines prefill prompts in the order of
// their arrival. Times are in nanoseconds.
type backlog struct {
	prompts        []pendingPrompt // oldest first
	headStartedAt  int64           // earliest time at which the prefill of the first prompt can have begun
	prefillSpeed   float64         // tokens per second; 0 if unknown
	busyFraction   float64         // prefill fraction at busyFractionAt; see prefillFraction
	busyFractionAt int64           // in nanoseconds
}

// prefillSpeedOrDefault returns the prefill speed in tokens per second, or the assumed one if it is unknown.
func (b *backlog) prefillSpeedOrDefault() float64 {
	if b.prefillSpeed > 0 {
		return b.prefillSpeed
	}
	return assumedPrefillSpeed
}

// load returns the engine's load as the directory owner sends it to other gateways.
func (b *backlog) load(now int64) engineLoad {
	return engineLoad{
		prefillDelay:    b.prefillDelay(now),
		prefillFraction: b.prefillFraction(now),
		prefillSpeed:    b.prefillSpeedOrDefault(),
	}
}

// prefillDelay returns the time in seconds until the prefill of a prompt that arrives now begins.
func (b *backlog) prefillDelay(now int64) float64 {
	b.expire(now)
	tokens := 0.0
	for _, p := range b.prompts {
		tokens += p.uncachedTokens
	}
	if len(b.prompts) > 0 {
		tokens -= min(b.prompts[0].uncachedTokens, b.prefillSpeedOrDefault()*seconds(now-b.headStartedAt))
	}
	return max(0, tokens/b.prefillSpeedOrDefault())
}

// expire drops the prompts whose end has not been reported within pendingPromptTimeout.
func (b *backlog) expire(now int64) {
	expired := 0
	for expired < len(b.prompts) && now-b.prompts[expired].sentAt > pendingPromptTimeout {
		expired++
	}
	if expired > 0 {
		b.prompts = b.prompts[expired:]
		b.headStartedAt = now
	}
}

// prefillFraction returns the estimated fraction of its time that the engine spends on prefill, a moving
// average in which each prompt counts from its arrival.
func (b *backlog) prefillFraction(now int64) float64 {
	return b.busyFraction * math.Exp(-seconds(now-b.busyFractionAt)/prefillFractionSpan)
}

// add appends a prompt. If the backlog is full, the prompt counts in the prefill fraction, but is not stored.
func (b *backlog) add(p pendingPrompt) {
	b.busyFraction = b.prefillFraction(p.sentAt) +
		p.uncachedTokens/b.prefillSpeedOrDefault()/prefillFractionSpan
	b.busyFractionAt = p.sentAt
	if len(b.prompts) == 0 {
		b.headStartedAt = p.sentAt
	}
	if len(b.prompts) < maxPendingPrompts {
		b.prompts = append(b.prompts, p)
	}
}

// remove removes a prompt. If it was prefilled, so were all prompts before it: they are removed too, and
// their tokens together are a sample of the prefill speed.
func (b *backlog) remove(gateway int, requestID uint32, prefilled bool, now int64) {
	for i, p := range b.prompts {
		if p.gateway != gateway || p.requestID != requestID {
			continue
		}
		if !prefilled {
			b.prompts = append(b.prompts[:i], b.prompts[i+1:]...)
			return
		}
		tokens := 0.0
		for _, earlier := range b.prompts[:i+1] {
			tokens += earlier.uncachedTokens
		}
		if elapsed := seconds(now - b.headStartedAt); tokens >= minSpeedSampleTokens && elapsed > 0 {
			sample := min(assumedPrefillSpeed/minPrefillSpeedFactor,
				max(assumedPrefillSpeed*minPrefillSpeedFactor, tokens/elapsed))
			b.prefillSpeed = b.prefillSpeedOrDefault() + prefillSpeedWeight*(sample-b.prefillSpeedOrDefault())
		}
		b.prompts = b.prompts[i+1:]
		b.headStartedAt = now
		return
	}
}

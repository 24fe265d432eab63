package standpoint

// What an engine has yet to read, as the gateway that is its directory owner reckons it.

import "math"

const (
	maxPending     = 512 // prompts that are counted as unread at one engine
	pendingTimeout = 10 * second
	readingSpan    = 3.0 // seconds over which the part of its time that an engine reads is taken
	speedWeight    = 0.2 // of a sample in an engine's reading speed
	minSpeedFactor = 0.2 // of the speed that is assumed at first, and the inverse the most
	minSpeedTokens = 500 // read at once that show a speed
)

// assumedPrefillSpeed is how many prompt tokens a second an engine is taken to read until its speed is known.
// It follows from the prior of the first-token time.
var assumedPrefillSpeed = 1000 / ttftPrior[prefillBacklogFeature]

// prefillBacklogFeature is the place of the unread tokens in a prediction's inputs.
const prefillBacklogFeature = 2

// pendingPrompt is a prompt that an engine has been sent and is not known to have read.
type pendingPrompt struct {
	gateway int
	id      uint32
	tokens  float64 // of it that the engine does not keep
	at      int64
}

// engineLoad is how an engine's directory owner describes its load.
type engineLoad struct {
	wait    float64 // seconds until the turn of a prompt that comes now
	reading float64 // part of its time that it reads prompts; it makes no tokens meanwhile
	speed   float64 // tokens that it reads in a second
}

// backlog is what an engine has yet to read, as its directory owner has it. Engines read first come first.
type backlog struct {
	prompts []pendingPrompt
	since   int64   // the first of them has been read since then at the earliest
	speed   float64 // tokens a second; 0: not known
	busy    float64 // part of its time that it reads, over the latest busySpan seconds
	busyAt  int64
}

func (b *backlog) rate() float64 {
	if b.speed > 0 {
		return b.speed
	}
	return assumedPrefillSpeed
}

// load is what the directory owner tells of the engine.
func (b *backlog) load(now int64) engineLoad {
	return engineLoad{wait: b.wait(now), reading: b.reading(now), speed: b.rate()}
}

// wait is how long, in seconds, a prompt that comes now waits for its turn.
func (b *backlog) wait(now int64) float64 {
	b.expire(now)
	tokens := 0.0
	for _, p := range b.prompts {
		tokens += p.tokens
	}
	if len(b.prompts) > 0 {
		tokens -= min(b.prompts[0].tokens, b.rate()*seconds(now-b.since))
	}
	return max(0, tokens/b.rate())
}

// expire drops prompts of which nobody has told an end.
func (b *backlog) expire(now int64) {
	old := 0
	for old < len(b.prompts) && now-b.prompts[old].at > pendingTimeout {
		old++
	}
	if old > 0 {
		b.prompts = b.prompts[old:]
		b.since = now
	}
}

// reading is the part of its time that the engine reads prompts, over the latest seconds. Nothing is made of
// answers meanwhile.
func (b *backlog) reading(now int64) float64 {
	return b.busy * math.Exp(-seconds(now-b.busyAt)/readingSpan)
}

func (b *backlog) add(p pendingPrompt) {
	b.busy = b.reading(p.at) + p.tokens/b.rate()/readingSpan
	b.busyAt = p.at
	if len(b.prompts) == 0 {
		b.since = p.at
	}
	if len(b.prompts) < maxPending {
		b.prompts = append(b.prompts, p)
	}
}

// end takes a prompt out. One that was read shows that those before it were, and how fast.
func (b *backlog) end(gateway int, id uint32, read bool, now int64) {
	for i, p := range b.prompts {
		if p.gateway != gateway || p.id != id {
			continue
		}
		if !read {
			b.prompts = append(b.prompts[:i], b.prompts[i+1:]...)
			return
		}
		tokens := 0.0
		for _, before := range b.prompts[:i+1] {
			tokens += before.tokens
		}
		if took := seconds(now - b.since); tokens >= minSpeedTokens && took > 0 {
			sample := min(assumedPrefillSpeed/minSpeedFactor,
				max(assumedPrefillSpeed*minSpeedFactor, tokens/took))
			b.speed = b.rate() + speedWeight*(sample-b.rate())
		}
		b.prompts = b.prompts[i+1:]
		b.since = now
		return
	}
}

package backend

import "time"

const (
	// firstEventTimeout is how long after the head of an answer its first event may come: they usually come together.
	firstEventTimeout = time.Second
	// maxSilence is how long a stream may be silent before it counts as broken.
	maxSilence = 3 * time.Second
	// A stream whose client requests the rest counts as broken earlier: after silenceFactor of its own longest
	// pauses, but not before minResumableSilence, since backends pause for up to 600 ms.
	minResumableSilence = time.Second
	silenceFactor       = 4

	readSize       = 16 << 10
	maxEventBytes  = 64 << 10
	maxStreamBytes = 16 << 20
	// eventsPerToken and extraEvents bound the events of an answer by the tokens that its request allows.
	eventsPerToken = 2
	extraEvents    = 64
)

// streamState is how far a stream has been relayed.
type streamState struct {
	begun         bool   // its first event was forwarded
	buffer        []byte // received and not forwarded yet
	summary       answerSummary
	size          int           // bytes received in all
	clientStall   time.Duration // how long the client kept the stream waiting in all
	lastForwarded time.Time     // when events were last forwarded
	lastReceived  time.Time     // when an event with data was last received
	longestPause  time.Duration // of the backend between two events; 0 if not known
}

// silenceTimeout is how long the stream may be silent before it counts as broken. A client that then requests the rest
// from another backend loses time, and all streams of a lost zone would come back at once.
func (s *streamState) silenceTimeout(resumable bool) time.Duration {
	if !resumable || s.longestPause == 0 {
		return maxSilence
	}
	return min(maxSilence, max(minResumableSilence, silenceFactor*s.longestPause))
}

// isEndless reports whether there are more events than the longest answer to the request can have.
func (s *streamState) isEndless(maxTokens float64) bool {
	return maxTokens >= 1 && float64(s.summary.events) > eventsPerToken*maxTokens+extraEvents
}

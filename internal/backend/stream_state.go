package backend

import (
	"time"

	"standpoint/internal/node"
)

const (
	// firstEventTimeout is the maximum time from the head of a response to its first event; they usually arrive
	// together.
	firstEventTimeout = time.Second
	// maxResumableSilence is the time without an event after which a stream is broken off whose client can request the
	// rest.
	maxResumableSilence = 3 * time.Second
	// maxSilence is the time without a byte of an event after which any other stream is broken off. A client is left
	// waiting for 5 s at most.
	maxSilence = 4500 * time.Millisecond
	// maxEventTime is the time after the last event for which such a stream goes on while bytes of the next event come. A
	// client that is left waiting for 5 s has lost its request unless the stream becomes whole after all, so a backend that
	// writes gets as much time again. Beyond that the client would be held by an event that may never end.
	maxEventTime = 10 * time.Second
	// minResumableSilence is the lower bound of the time without an event after which a stream is broken off whose
	// client can request the rest. It is above the pauses of backends, which last up to 600 ms.
	minResumableSilence = time.Second
	// silenceFactor is the ratio of the time after which such a stream is broken off to its longest pause so far.
	silenceFactor = 4

	// readSize is the initial size of a stream's buffer, in bytes.
	readSize = 16 << 10
	// maxStreamRate is the rate up to which a stream does not wait for others, in bytes per second, and maxStreamBurst
	// what it may send beyond that at once.
	maxStreamRate, maxStreamBurst = 64 << 10, 64 << 10
	// maxTurnWait bounds the wait for the processing of what one read returned. Events are due within 300 ms.
	maxTurnWait = 200 * time.Millisecond
	// maxEventBytes is the maximum size of one event, in bytes.
	maxEventBytes = 64 << 10
	// maxStreamBytes is the maximum size of a response, in bytes.
	maxStreamBytes = 16 << 20
	// eventsPerToken is the maximum number of events for each output token that the request allows.
	eventsPerToken = 2
	// extraEvents is the number of events that a response may have beyond those for its tokens.
	extraEvents = 64
)

// streamState is the progress of a stream that is being relayed.
type streamState struct {
	begun         bool            // the first event was forwarded
	buffer        []byte          // bytes received but not yet forwarded
	summary       responseSummary // what the events have reported so far
	receivedBytes int             // total bytes received
	clientStall   time.Duration   // total time that the client delayed the stream by reading slowly
	lastForwarded time.Time       // when events were last forwarded
	longestPause  time.Duration   // longest pause of the backend between two events; 0 if unknown
	// lastEvent is when an event with data was last received, and lastReceived when one or a part of one was. Both are
	// later by the time for which the client has stalled the stream since.
	lastEvent, lastReceived time.Time
}

// eventReceived records that an event with data was received.
func (s *streamState) eventReceived() {
	s.lastEvent = time.Now()
	s.lastReceived = s.lastEvent
}

// clientStalled records for how long the client has delayed the stream, during which its backend is not silent.
func (s *streamState) clientStalled(duration time.Duration) {
	s.lastEvent = s.lastEvent.Add(duration)
	s.lastReceived = s.lastReceived.Add(duration)
	if duration > node.MinClientStall {
		s.clientStall += duration
	}
}

// silenceDeadline returns when the stream is broken off unless more of it is received.
func (s *streamState) silenceDeadline(resumable bool) time.Time {
	if resumable {
		return s.lastEvent.Add(s.resumableSilence())
	}
	silent, slow := s.lastReceived.Add(maxSilence), s.lastEvent.Add(maxEventTime)
	if slow.Before(silent) {
		return slow
	}
	return silent
}

// resumableSilence returns the time without an event after which a stream is broken off whose client can request the
// rest from another backend. The time follows the stream's own pace: waiting longer costs the client time, and with one
// timeout for all, the streams of a lost zone would all be requested anew at once.
func (s *streamState) resumableSilence() time.Duration {
	if s.longestPause == 0 {
		return maxResumableSilence
	}
	return min(maxResumableSilence, max(minResumableSilence, silenceFactor*s.longestPause))
}

// hasTooManyEvents reports whether there are more events than the longest response to the request can have.
func (s *streamState) hasTooManyEvents(maxTokens float64) bool {
	return maxTokens >= 1 && float64(s.summary.events) > eventsPerToken*maxTokens+extraEvents
}

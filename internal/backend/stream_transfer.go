package backend

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"standpoint"
	"standpoint/internal/clock"
	"standpoint/internal/node"
)

// Stream is the state of a response that one process hands over to another. With the connections to the client and the
// backend, the other process continues it from the next byte.
type Stream struct {
	// Trace is the trace ID of the request.
	Trace string `json:"trace"`
	// Class is the index of the request's class.
	Class int `json:"class"`
	// Tenant is the index of the request's tenant in this process. It is not passed on.
	Tenant int `json:"-"`
	// Backend is the name of the backend.
	Backend string `json:"server"`
	// Partial is the received part of an event that is not yet complete.
	Partial []byte `json:"begun"`
	// ReceivedBytes is the total number of bytes received.
	ReceivedBytes int `json:"size"`
	// CachedTokens is the number of tokens of the prompt that the backend had cached, as reported so far.
	CachedTokens float64 `json:"kept"`
	// OutputTokens is the number of tokens that the backend generated, as reported so far.
	OutputTokens float64 `json:"tokens"`
	// Report is the latest load report; nil if there was none.
	Report *standpoint.Report `json:"report"`
	// Done reports whether the last event was received.
	Done bool `json:"done"`
	// ClientStall is the total time that the client delayed the stream by reading slowly.
	ClientStall time.Duration `json:"held"`
	// Chunks is the position in the response.
	Chunks chunkParser `json:"chunks"`

	// The fields below are zero if the process that hands the stream over is of a version that does not know them.

	// Sent is when the attempt was sent.
	Sent clock.Stamp `json:"sent,omitzero"`
	// LastEvent is when the last event with data was received, and LastReceived when an event or a part of one was. Both
	// are later by the time for which the client has stalled the stream since.
	LastEvent    clock.Stamp `json:"last_event,omitzero"`
	LastReceived clock.Stamp `json:"last_received,omitzero"`
	// LongestPause is the longest pause of the backend between two events.
	LongestPause time.Duration `json:"longest_pause,omitempty"`
	// Events is the number of events with data.
	Events int `json:"events,omitempty"`
	// MaxTokens is the number of output tokens that the request allows.
	MaxTokens float64 `json:"max_tokens,omitempty"`
	// ClientResumes reports whether the client requests the rest of an interrupted stream.
	ClientResumes *bool `json:"client_resumes,omitempty"`
}

// newStream returns the state of a stream to hand over.
func newStream(state *streamState, attempt *node.Attempt, position chunkParser) Stream {
	return Stream{
		Trace:         attempt.Request.Work.TraceID,
		Class:         attempt.Request.Spec.Class,
		Tenant:        attempt.Request.Spec.Tenant,
		Backend:       attempt.Backend,
		Partial:       state.buffer,
		ReceivedBytes: state.receivedBytes,
		CachedTokens:  state.summary.cachedTokens,
		OutputTokens:  state.summary.outputTokens,
		Report:        state.summary.report,
		Done:          state.summary.done,
		ClientStall:   state.clientStall,
		Chunks:        position,
		Sent:          stampOf(attempt.Sent),
		LastEvent:     stampOf(state.lastEvent),
		LastReceived:  stampOf(state.lastReceived),
		LongestPause:  state.longestPause,
		Events:        state.summary.events,
		MaxTokens:     attempt.Request.Work.MaxTokens,
		ClientResumes: &attempt.ClientResumes,
	}
}

// stampOf returns the stamp of a time of this process.
func stampOf(t time.Time) clock.Stamp { return clock.StampOf(clock.Of(t)) }

// timeOf returns the time of a stamp, which is not later than now. It returns false if the stamp is unknown.
func timeOf(stamp clock.Stamp, now time.Time) (time.Time, bool) {
	instant, ok := stamp.Instant()
	if !ok {
		return time.Time{}, false
	}
	if at := clock.Time(instant); at.Before(now) {
		return at, true
	}
	return now, true
}

// Begun returns what is known of the stream besides its position.
func (s *Stream) Begun() node.BegunStream {
	sent, _ := timeOf(s.Sent, time.Now()) // the zero time if it is unknown
	return node.BegunStream{Backend: s.Backend, Sent: sent, ClientResumes: s.ClientResumes}
}

// DecodeStream decodes and validates a stream that another process hands over.
func DecodeStream(raw []byte) (Stream, error) {
	var s Stream
	if err := json.Unmarshal(raw, &s); err != nil {
		return Stream{}, fmt.Errorf("decode stream: %w", err)
	}
	if !s.isValid() || !s.Chunks.isValid() {
		return Stream{}, errors.New("decode stream: value out of range")
	}
	return s, nil
}

// isValid reports whether the fields other than Chunks have values that a stream can have.
func (s *Stream) isValid() bool {
	return s.Trace != "" &&
		len(s.Partial) <= maxEventBytes &&
		s.ReceivedBytes >= 0 && s.ReceivedBytes <= maxStreamBytes &&
		s.ClientStall >= 0 &&
		s.LongestPause >= 0 &&
		s.Events >= 0 &&
		s.MaxTokens >= 0
}

// state returns the relay state from which the stream continues. A process of an earlier version does not tell when it
// received the last event. The time for which the client has waited is then that since the last byte of the backend.
func (s *Stream) state(backendConn net.Conn) *streamState {
	now := time.Now()
	lastEvent, known := timeOf(s.LastEvent, now)
	if !known {
		lastEvent = lastDataReceived(backendConn, now)
	}
	lastReceived, known := timeOf(s.LastReceived, now)
	if !known {
		lastReceived = lastEvent
	}
	return &streamState{
		begun:         true,
		buffer:        append(make([]byte, 0, readSize), s.Partial...),
		receivedBytes: s.ReceivedBytes,
		clientStall:   s.ClientStall,
		lastEvent:     lastEvent,
		lastReceived:  lastReceived,
		longestPause:  s.LongestPause,
		summary: responseSummary{
			cachedTokens: s.CachedTokens,
			outputTokens: s.OutputTokens,
			report:       s.Report,
			done:         s.Done,
			events:       s.Events,
		},
	}
}

package backend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"go.uber.org/zap"

	"standpoint"
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
	}
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
		s.ClientStall >= 0
}

// state returns the relay state from which the stream continues.
func (s *Stream) state() *streamState {
	return &streamState{
		begun:         true,
		buffer:        append(make([]byte, 0, readSize), s.Partial...),
		receivedBytes: s.ReceivedBytes,
		clientStall:   s.ClientStall,
		summary: responseSummary{
			cachedTokens: s.CachedTokens,
			outputTokens: s.OutputTokens,
			report:       s.Report,
			done:         s.Done,
		},
	}
}

// ContinueStream relays a stream that another process has handed over, from the next byte of its backend's connection
// to its end.
func (f *Fleet) ContinueStream(s Stream, backendConn net.Conn, attempt *node.Attempt) {
	defer backendConn.Close()
	ctx, cancel := context.WithCancelCause(attempt.Context())
	defer cancel(nil)
	conn := &connection{Conn: backendConn, idleLimit: &idleLimit{}, chunks: s.Chunks}
	defer context.AfterFunc(ctx, func() { _ = backendConn.SetReadDeadline(time.Now()) })()
	body := &remainder{connection: conn, chunks: s.Chunks}
	f.Log.Info("stream taken over",
		zap.String("trace", s.Trace),
		zap.String("server", s.Backend),
		zap.Int("received_bytes", s.ReceivedBytes),
		zap.Duration("client_stall", s.ClientStall))
	result, err := f.streams.relay(ctx, cancel, body, s.state(), attempt, conn)
	f.Log.Info("adopted stream ended",
		zap.String("trace", s.Trace),
		zap.String("server", s.Backend),
		zap.Stringer("code", result.Code),
		zap.Bool("moved", result.Moved),
		zap.Error(err))
	attempt.Finish(result)
}

// remainder reads the payload of the rest of a chunked response.
type remainder struct {
	connection *connection
	chunks     chunkParser
	payload    []byte // received but not yet read
}

// Read implements io.Reader.
func (r *remainder) Read(b []byte) (int, error) {
	for len(r.payload) == 0 {
		if r.chunks.Phase == responseComplete {
			return 0, io.EOF
		}
		if err := r.receive(); err != nil && len(r.payload) == 0 && r.chunks.Phase != responseComplete {
			return 0, err
		}
	}
	n := copy(b, r.payload)
	r.payload = r.payload[n:]
	return n, nil
}

// receive reads once from the connection. Its error matters only if no payload was received with it.
func (r *remainder) receive() error {
	raw := make([]byte, 4<<10)
	n, err := r.connection.Read(raw)
	malformed := r.chunks.feed(raw[:n], func(payload []byte) { r.payload = append(r.payload, payload...) })
	if malformed != nil {
		return malformed
	}
	if err == io.EOF && r.chunks.Phase != responseComplete {
		return io.ErrUnexpectedEOF
	}
	return err
}

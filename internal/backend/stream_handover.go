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

// Stream is the state of an answer that one process hands over to another. With the client's and the backend's
// connection the other continues from the next byte.
type Stream struct {
	Trace        string             `json:"trace"`
	Class        int                `json:"class"`
	Server       string             `json:"server"`
	Partial      []byte             `json:"begun"` // of an event that is not complete yet
	Size         int                `json:"size"`  // bytes received in all
	CachedTokens float64            `json:"kept"`
	Tokens       float64            `json:"tokens"`
	Report       *standpoint.Report `json:"report"`
	Done         bool               `json:"done"` // its last event was received
	ClientStall  time.Duration      `json:"held"`
	Chunks       chunkParser        `json:"chunks"`
}

func newStream(state *streamState, attempt *node.Attempt, position chunkParser) Stream {
	return Stream{
		Trace:        attempt.Request.Work.TraceID,
		Class:        attempt.Request.Spec.Class,
		Server:       attempt.Backend,
		Partial:      state.buffer,
		Size:         state.size,
		CachedTokens: state.summary.cachedTokens,
		Tokens:       state.summary.outputTokens,
		Report:       state.summary.report,
		Done:         state.summary.done,
		ClientStall:  state.clientStall,
		Chunks:       position,
	}
}

// DecodeStream decodes a stream that another process hands over.
func DecodeStream(raw []byte) (Stream, error) {
	var s Stream
	if err := json.Unmarshal(raw, &s); err != nil {
		return Stream{}, fmt.Errorf("a stream that cannot be read: %w", err)
	}
	if !s.valid() || !s.Chunks.valid() {
		return Stream{}, errors.New("a stream that cannot be")
	}
	return s, nil
}

func (s *Stream) valid() bool {
	return s.Trace != "" &&
		len(s.Partial) <= maxEventBytes &&
		s.Size >= 0 && s.Size <= maxStreamBytes &&
		s.ClientStall >= 0
}

// state is the state from which the stream continues.
func (s *Stream) state() *streamState {
	return &streamState{
		begun:       true,
		buffer:      append(make([]byte, 0, readSize), s.Partial...),
		size:        s.Size,
		clientStall: s.ClientStall,
		summary: answerSummary{
			cachedTokens: s.CachedTokens,
			outputTokens: s.Tokens,
			report:       s.Report,
			done:         s.Done,
		},
	}
}

// Continue relays a stream that another process has begun, from the next byte of its backend's connection to its end.
func (f *Fleet) Continue(s Stream, server net.Conn, attempt *node.Attempt) {
	defer server.Close()
	ctx, cancel := context.WithCancelCause(attempt.Context())
	defer cancel(nil)
	conn := &connection{Conn: server, idleLimit: &idleLimit{}, chunks: s.Chunks}
	defer context.AfterFunc(ctx, func() { _ = server.SetReadDeadline(time.Now()) })()
	body := &remainder{connection: conn, chunks: s.Chunks}
	result, err := f.streams.relay(ctx, cancel, body, s.state(), attempt, conn)
	if err != nil {
		f.Log.Info("adopted stream ended",
			zap.String("server", s.Server),
			zap.String("trace", s.Trace),
			zap.Bool("moved", result.Moved),
			zap.Error(err))
	}
	attempt.Finish(result)
}

// remainder reads what is still to come of an answer in chunks.
type remainder struct {
	connection *connection
	chunks     chunkParser
	payload    []byte // received and not read yet
}

// Read implements io.Reader.
func (r *remainder) Read(b []byte) (int, error) {
	for len(r.payload) == 0 {
		if r.chunks.Phase == answerOver {
			return 0, io.EOF
		}
		if err := r.receive(); err != nil && len(r.payload) == 0 && r.chunks.Phase != answerOver {
			return 0, err
		}
	}
	n := copy(b, r.payload)
	r.payload = r.payload[n:]
	return n, nil
}

// receive reads once from the connection. An error matters only if nothing came before it.
func (r *remainder) receive() error {
	raw := make([]byte, 4<<10)
	n, err := r.connection.Read(raw)
	malformed := r.chunks.feed(raw[:n], func(payload []byte) { r.payload = append(r.payload, payload...) })
	if malformed != nil {
		return malformed
	}
	if err == io.EOF && r.chunks.Phase != answerOver {
		return io.ErrUnexpectedEOF
	}
	return err
}

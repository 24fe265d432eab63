package backend

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"standpoint"
	"standpoint/internal/node"
	"standpoint/internal/transient"
)

var (
	// errPositionUnknown is returned for a stream whose position in the response is unknown.
	errPositionUnknown = errors.New("hand over stream: position in the response is unknown")
	// errNotDetachable is the reason for which a stream stays in this process whose client's connection no other process
	// can continue.
	errNotDetachable = errors.New("hand over stream: client connection cannot be passed")
	// errEndsSoon is the reason for which a stream is not handed over at present.
	errEndsSoon = errors.New("hand over stream: it is about to be broken off as silent")
)

// minHandOverTime is the minimum time until a stream is broken off for it to be handed over: that of one attempt to pass
// it, during which its client would wait on.
const minHandOverTime = 300 * time.Millisecond

// handOver hands over the stream, whose connection was frozen. If the other process does not take it over, the stream
// goes on in this one, and the result is nil.
func (r *relay) handOver() *streamEnd {
	cancelled := node.Result{Code: standpoint.Cancelled}
	position, known := r.connection.position()
	if !known {
		return &streamEnd{cancelled, errPositionUnknown}
	}
	backendFD, err := r.connection.takeDuplicate()
	if err != nil {
		return &streamEnd{cancelled, err}
	}
	defer func() { _ = unix.Close(backendFD) }()
	fields := r.logFields()
	err = r.streams.handOverStream(r, backendFD, position)
	r.streams.log.Info("stream handover finished", append(fields, zap.Bool("handed_over", err == nil), zap.Error(err))...)
	switch {
	case err == nil:
		r.shared.Store(false)
		return &streamEnd{node.Result{Code: standpoint.Cancelled, Moved: true}, r.attempt.DetachClient()}
	case errors.Is(err, ErrHandOverUncertain): // two processes must not write to one client
		r.shared.Store(false)
		return &streamEnd{cancelled, errors.Join(err, r.attempt.DetachClient())}
	}
	if failed := r.continueFrom(backendFD, position); failed != nil {
		return &streamEnd{cancelled, errors.Join(err, failed)}
	}
	if !errors.Is(err, errNotDetachable) {
		r.streams.add(r)
	}
	return nil
}

// continueFrom continues the stream in this process after a failed handover, from a position in the response. The
// transport of the request has closed its own descriptor of the connection with the failed read.
func (r *relay) continueFrom(backendFD int, position chunkParser) error {
	conn, err := transient.ConnectionOf(backendFD)
	if err != nil {
		return err
	}
	r.releaseConnection()
	own := &connection{Conn: conn, idleLimit: &idleLimit{}, chunks: position}
	r.connection = own
	r.body = &remainder{connection: own, chunks: position}
	r.attempt.OnHandBack(own.endForHandBack)
	stopWatching := context.AfterFunc(r.ctx, func() { _ = conn.SetReadDeadline(time.Now()) })
	r.closeOwn = func() {
		stopWatching()
		_ = conn.Close()
	}
	return nil
}

// endConnection ends the connection of a stream that has ended here, also if another process has a descriptor of it.
func (r *relay) endConnection() {
	if r.shared.Load() && r.closeOwn != nil {
		_ = ShutdownSocket(r.connection.Conn) // fails only if the backend has closed the connection
	}
	r.releaseConnection()
}

// releaseConnection forgets the connection of the stream, and closes it if it was opened after a failed handover.
func (r *relay) releaseConnection() {
	if r.connection != nil {
		r.streams.remove(r.connection)
		r.connection.closeDuplicate()
	}
	if r.closeOwn != nil {
		r.closeOwn()
	}
}

// logFields returns the fields that identify the stream and describe its progress in a log entry.
func (r *relay) logFields() []zap.Field {
	return []zap.Field{
		zap.String("trace", r.attempt.Request.Work.TraceID),
		zap.String("server", r.attempt.Backend),
		zap.Duration("since_event", time.Since(r.lastEvent)),
		zap.Duration("longest_pause", r.longestPause),
		zap.Int("received_bytes", r.receivedBytes),
		zap.Bool("client_resumes", r.attempt.ClientResumes),
	}
}

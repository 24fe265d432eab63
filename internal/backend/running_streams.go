package backend

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"standpoint"
	"standpoint/internal/memory"
	"standpoint/internal/node"
	"standpoint/internal/transient"
	"standpoint/internal/work"
)

// HandOverFunc passes a stream to another process, with the descriptors of its client's and its backend's connection.
// After an error that wraps ErrHandOverUncertain the other process may own the stream; after any other it does not.
type HandOverFunc = func(stream Stream, clientFD, backendFD int) error

// ErrHandOverUncertain is returned by a HandOverFunc if the other process may have taken over the stream.
var ErrHandOverUncertain = errors.New("other process may have taken over the stream")

// errUnpassed is the reason for which a stream is broken off that could not be passed to another process.
var errUnpassed = errors.New("stream could not be passed to another process before this one ends")

// errPositionUnknown is returned for a stream whose position in the response is unknown.
var errPositionUnknown = errors.New("hand over stream: position in the response is unknown")

// runningStreams is the set of streams that are being relayed. It is safe for concurrent use.
type runningStreams struct {
	memory *memory.Budget // bounds the buffers of the streams; nil sets no bound
	work   *work.Limiter  // bounds the rate at which fast streams are processed; nil sets no bound
	log    *zap.Logger

	mu          sync.Mutex             // guards the rest
	connections map[*connection]*relay // streams that can be handed over, by their connections to backends
	handOver    HandOverFunc           // set by Fleet.HandOver; nil before
}

// add adds a stream that has begun. A stream that begins after Fleet.HandOver is handed over too.
func (r *runningStreams) add(stream *relay) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connections[stream.connection] = stream
	if r.handOver != nil {
		stream.connection.freeze()
	}
}

// addAgain adds a stream that could not be handed over. The next call of Fleet.HandOver hands it over.
func (r *runningStreams) addAgain(stream *relay) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connections[stream.connection] = stream
}

// remove removes the connection of a stream that has ended.
func (r *runningStreams) remove(c *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, c)
}

// HandOver hands over all streams that have begun, and those that begin later, as far as they can be handed over. A
// further call hands over those that could not be handed over before. It returns the number of streams whose handover it
// has started.
func (f *Fleet) HandOver(handOver HandOverFunc) int {
	f.streams.mu.Lock()
	defer f.streams.mu.Unlock()
	f.streams.handOver = handOver
	frozen := 0
	for c := range f.streams.connections {
		if c.freeze() {
			frozen++
		}
	}
	return frozen
}

// BreakUnpassed breaks off the streams that another process has not taken over although it may have got descriptors of
// their connections: they would stay open beyond the end of this process.
func (f *Fleet) BreakUnpassed() {
	f.streams.mu.Lock()
	defer f.streams.mu.Unlock()
	for _, stream := range f.streams.connections {
		if stream.shared.Load() {
			stream.cancel(errUnpassed)
		}
	}
}

// handOverStream hands over a stream whose connection was frozen at a position in the response. If the error does not
// wrap ErrHandOverUncertain, this process still owns the stream.
func (r *runningStreams) handOverStream(stream *relay, backendFD int, position chunkParser) error {
	if stream.untilSilent() < minHandOverTime {
		return errEndsSoon
	}
	r.mu.Lock()
	handOver := r.handOver
	r.mu.Unlock()
	clientFD, err := stream.attempt.DuplicateClient()
	if err != nil {
		return errors.Join(errNotDetachable, err)
	}
	defer func() { _ = unix.Close(clientFD) }()
	stream.shared.Store(true)
	return handOver(newStream(stream.streamState, stream.attempt, position), clientFD, backendFD)
}

var (
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
		r.streams.addAgain(r)
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

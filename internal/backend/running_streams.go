package backend

import (
	"errors"
	"sync"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"standpoint/internal/memory"
	"standpoint/internal/work"
)

// HandOverFunc passes a stream to another process, with the descriptors of its client's and its backend's connection.
// After an error that wraps ErrHandOverUncertain the other process may own the stream; after any other it does not.
type HandOverFunc = func(stream Stream, clientFD, backendFD int) error

// ErrHandOverUncertain is returned by a HandOverFunc if the other process may have taken over the stream.
var ErrHandOverUncertain = errors.New("other process may have taken over the stream")

// errUnpassed is the reason for which a stream is broken off that could not be passed to another process.
var errUnpassed = errors.New("stream could not be passed to another process before this one ends")

// runningStreams is the set of streams that are being relayed. It is safe for concurrent use.
type runningStreams struct {
	memory *memory.Budget // bounds the buffers of the streams; nil sets no bound
	work   *work.Limiter  // bounds the rate at which fast streams are processed; nil sets no bound
	log    *zap.Logger

	mu          sync.Mutex             // guards the rest
	connections map[*connection]*relay // streams that can be handed over, by their connections to backends
	handOver    HandOverFunc           // of the latest call of Fleet.HandOver; nil before
}

// add adds a stream that has begun, or that could not be handed over. The next call of Fleet.HandOver hands it over.
func (r *runningStreams) add(stream *relay) {
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

// HandOver hands over all streams that have begun, as far as they can be handed over. A further call hands over those
// that have begun since, or that could not be handed over before. It returns the number of streams whose handover it has
// started.
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

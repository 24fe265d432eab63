package backend

import (
	"errors"
	"sync"

	"golang.org/x/sys/unix"

	"standpoint"
	"standpoint/internal/node"
)

// HandOverFunc passes a stream to another process, with the descriptors of its client's and its backend's connection.
// An error means that the other process did not accept the stream.
type HandOverFunc = func(stream Stream, clientFD, backendFD int) error

// runningStreams is the set of streams that are being relayed. It is safe for concurrent use.
type runningStreams struct {
	mu          sync.Mutex           // guards the rest
	connections map[*connection]bool // connections of the streams to their backends
	handOver    HandOverFunc         // set by Fleet.HandOver; nil before
}

// add adds the connection of a stream that has begun. A stream that begins after Fleet.HandOver is handed over too.
func (r *runningStreams) add(c *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connections[c] = true
	if r.handOver != nil {
		c.freeze()
	}
}

// remove removes the connection of a stream that has ended.
func (r *runningStreams) remove(c *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, c)
}

// HandOver hands over all streams that have begun, and those that begin later, as far as they can be handed over. It
// returns the number of streams whose handover it has started.
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

// handOverStream hands over a stream whose connection was frozen. In this process the stream ends in any case: if the
// handover fails, it is broken off.
func (r *runningStreams) handOverStream(
	state *streamState, attempt *node.Attempt, conn *connection,
) (node.Result, error) {
	r.mu.Lock()
	handOver := r.handOver
	r.mu.Unlock()
	cancelled := node.Result{Code: standpoint.Cancelled}
	position, known := conn.position()
	if handOver == nil || !known {
		return cancelled, errors.New("hand over stream: position in the response is unknown")
	}
	backendFD, err := duplicateSocket(conn.Conn)
	if err != nil {
		return cancelled, err
	}
	defer func() { _ = unix.Close(backendFD) }()
	clientFD, err := attempt.Detach()
	if err != nil {
		return cancelled, err
	}
	defer func() { _ = unix.Close(clientFD) }()
	err = handOver(newStream(state, attempt, position), clientFD, backendFD)
	return node.Result{Code: standpoint.Cancelled, Moved: err == nil}, err
}

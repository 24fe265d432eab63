package backend

import (
	"errors"
	"sync"

	"golang.org/x/sys/unix"

	"standpoint"
	"standpoint/internal/node"
)

// HandOverFunc takes a stream for another process, with the descriptors of its client's and its backend's connection.
// An error means that the stream was not taken.
type HandOverFunc = func(s Stream, client, server int) error

// runningStreams are the streams that are relayed now. It is safe for concurrent use.
type runningStreams struct {
	mu          sync.Mutex // guards the rest
	connections map[*connection]bool
	handOver    HandOverFunc // nil while streams stay in this process
}

// add adds a stream that has begun. One that begins after HandOver is handed over too.
func (r *runningStreams) add(c *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connections[c] = true
	if r.handOver != nil {
		c.freeze()
	}
}

func (r *runningStreams) remove(c *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, c)
}

// HandOver has all streams that have begun leave this process, if they can. It returns how many are asked to.
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

// handOverStream hands a stream over whose connection was frozen. It ends here in any case: handed over, or broken off.
func (r *runningStreams) handOverStream(
	state *streamState, attempt *node.Attempt, conn *connection,
) (node.Result, error) {
	r.mu.Lock()
	handOver := r.handOver
	r.mu.Unlock()
	lost := node.Result{Code: standpoint.Cancelled}
	position, known := conn.position()
	if handOver == nil || !known {
		return lost, errors.New("where the answer stands is not known")
	}
	server, err := duplicateSocket(conn.Conn)
	if err != nil {
		return lost, err
	}
	defer func() { _ = unix.Close(server) }()
	client, err := attempt.Detach()
	if err != nil {
		return lost, err
	}
	defer func() { _ = unix.Close(client) }()
	err = handOver(newStream(state, attempt, position), client, server)
	return node.Result{Code: standpoint.Cancelled, Moved: err == nil}, err
}

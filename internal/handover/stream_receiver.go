package handover

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/transient"
)

// StreamHandler decides whether this process takes over a stream that a sibling passes: a text and two connections. It
// returns nil if it does not. Otherwise it returns a function that takes over the stream, and owns the connections from
// then on; it is called at most once, and not at all if the sibling keeps the stream.
type StreamHandler func(text []byte, first, second net.Conn) (takeOver func())

// AcceptStreams calls handle for each stream that a sibling passes to this process, until the context ends. Calls of
// handle may be concurrent. Failed accepts are written to the log, and do not end it. When it returns, no sibling can
// leave descriptors in the queue of the socket.
func (c *Channel) AcceptStreams(ctx context.Context, log *zap.Logger, handle StreamHandler) error {
	socket, err := c.listenForStreams()
	if err != nil {
		return err
	}
	listener := transient.NewListener(socket, log)
	defer func() { _ = listener.Close() }() // it may have been closed by the end of the context
	stopClosing := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stopClosing()
	var receiving sync.WaitGroup
	defer receiving.Wait()
	slots := make(chan struct{}, maxConcurrentPasses)
	for {
		accepted, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		conn := accepted.(*net.UnixConn) // the type of a connection to a Unix socket
		slots <- struct{}{}
		receiving.Go(func() {
			defer func() { <-slots }()
			defer func() { _ = conn.Close() }()
			// The sender learns of an error by the end of the connection.
			_ = receiveStream(conn, handle)
		})
	}
}

// listenForStreams opens the socket that siblings pass streams to. It has its name only once it listens: a sibling that
// finds it earlier would be refused.
func (c *Channel) listenForStreams() (*net.UnixListener, error) {
	path := c.liveFile.Name() + socketSuffix
	unready := path + unreadySuffix
	for _, leftover := range []string{path, unready} {
		if err := os.Remove(leftover); err != nil && !errors.Is(err, os.ErrNotExist) {
			return nil, err
		}
	}
	short, release, err := shortSocketPath(unready)
	if err != nil {
		return nil, err
	}
	defer release()
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: short, Net: "unix"})
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false) // the short path is invalid by then; Channel.Close removes the file
	if err := os.Rename(unready, path); err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	return listener, nil
}

// receiveStream receives one stream, and takes it over if handle and the sender agree.
func receiveStream(conn *net.UnixConn, handle StreamHandler) error {
	_ = conn.SetDeadline(time.Now().Add(passTimeout)) // fails only if the connection is closed
	message, err := readMessage(conn)
	defer closeDescriptors(message.fds)
	if err != nil {
		return err
	}
	first, err := transient.ConnectionOf(message.fds[0])
	if err != nil {
		return err
	}
	second, err := transient.ConnectionOf(message.fds[1])
	if err != nil {
		return errors.Join(err, first.Close())
	}
	takeOver := handle(message.text, first, second)
	if takeOver == nil {
		return errors.Join(errNotAccepted, first.Close(), second.Close())
	}
	if !message.twoPhase {
		takeOver()
		_, err := conn.Write([]byte{acceptedByte})
		return err
	}
	if err := awaitCommit(conn); err != nil {
		return errors.Join(errNotCommitted, err, first.Close(), second.Close())
	}
	takeOver()
	return nil
}

// awaitCommit agrees to take over a stream, and waits until the sender commits or ends the connection. The wait has no
// limit: after one, the sender could not know whether its commit came in time. The sender's end closes the connection.
func awaitCommit(conn *net.UnixConn) error {
	if _, err := conn.Write([]byte{agreedByte}); err != nil {
		return err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return err
	}
	var committed [1]byte
	if _, err := io.ReadFull(conn, committed[:]); err != nil {
		return err
	}
	if committed[0] != committedByte {
		return errMalformedPass
	}
	return nil
}

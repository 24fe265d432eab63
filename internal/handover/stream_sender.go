package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// ProbeReceivers returns nil if a sibling accepts streams and responds at present. One that is held up does not respond,
// and descriptors that are sent to it lie in its socket's queue. If no sibling listens for streams, the error is
// ErrNoSibling.
func (c *Channel) ProbeReceivers() error {
	sockets, err := c.siblingSockets()
	if err != nil {
		return err
	}
	err = ErrNoSibling
	for _, path := range sockets {
		if err = probe(path); err == nil {
			return nil
		}
	}
	return err
}

// probe opens a connection to the process that listens on the socket at path, and ends its own side. A process of any
// version then ends the other side.
func probe(path string) error {
	conn, err := dialReceiver(path)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.CloseWrite(); err != nil {
		return err
	}
	if _, err := io.ReadFull(conn, make([]byte, 1)); !errors.Is(err, io.EOF) {
		return errors.Join(errMalformedPass, err)
	}
	return nil
}

// siblingSockets returns the paths of the sockets on which siblings accept streams.
func (c *Channel) siblingSockets() ([]string, error) {
	sockets, err := filepath.Glob(c.pathPrefix + ".*" + liveSuffix + socketSuffix)
	if err != nil {
		return nil, err
	}
	own := c.liveFile.Name() + socketSuffix
	return slices.DeleteFunc(sockets, func(path string) bool { return path == own }), nil
}

// dialReceiver connects to the process that listens on the socket at path. The connection has a deadline for passing one
// stream.
func dialReceiver(path string) (*net.UnixConn, error) {
	short, release, err := shortSocketPath(path)
	if err != nil {
		return nil, err
	}
	defer release()
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: short, Net: "unix"})
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(passTimeout)) // fails only if the connection is closed
	return conn, nil
}

// PassStream passes a stream, which is a text and two sockets, to a sibling that accepts it. The descriptors stay open.
// If it returns no error, a sibling owns the stream. If no sibling listens for streams, the error is ErrNoSibling.
// After an error that wraps ErrUncertain, a sibling may own the stream; after any other, the caller still owns it.
func (c *Channel) PassStream(text []byte, first, second int) error {
	if len(text) > maxTextBytes {
		return fmt.Errorf("pass stream: text of %d bytes exceeds the maximum of %d", len(text), maxTextBytes)
	}
	sockets, err := c.siblingSockets()
	if err != nil {
		return err
	}
	err = ErrNoSibling
	for _, path := range sockets {
		livePath := strings.TrimSuffix(path, socketSuffix)
		pass := streamPass{text: text, fds: []int{first, second}, twoPhase: passesInTwoPhases(livePath)}
		if err = pass.send(path); err == nil || errors.Is(err, ErrUncertain) {
			return err
		}
	}
	return err
}

// streamPass is a stream that is passed to one sibling.
type streamPass struct {
	text     []byte
	fds      []int
	twoPhase bool // the sibling's version passes in two phases
}

// send passes the stream to the process that listens on the socket at path.
func (p *streamPass) send(path string) error {
	conn, err := dialReceiver(path)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if err := p.writeMessage(conn); err != nil {
		return err
	}
	if p.twoPhase {
		return commit(conn)
	}
	return awaitAcceptance(conn)
}

// writeMessage writes the stream. A receiver that has not got all of it does not take it over.
func (p *streamPass) writeMessage(conn *net.UnixConn) error {
	length := uint32(len(p.text))
	if p.twoPhase {
		length |= twoPhaseFlag
	}
	header := binary.BigEndian.AppendUint32(nil, length)
	if _, _, err := conn.WriteMsgUnix(header, unix.UnixRights(p.fds...), nil); err != nil {
		return err
	}
	_, err := conn.Write(p.text)
	return err
}

// commit waits until the sibling agrees to take over the stream, and gives it up. As long as the commit is not written,
// the sibling does not take over the stream; once it is, the sibling reads it.
func commit(conn *net.UnixConn) error {
	var response [1]byte
	if _, err := io.ReadFull(conn, response[:]); err != nil {
		return err
	}
	if response[0] != agreedByte {
		return errMalformedPass
	}
	_, err := conn.Write([]byte{committedByte})
	return err
}

// awaitAcceptance waits until a sibling that passes in one phase has taken over the stream, or has ended the
// connection.
func awaitAcceptance(conn *net.UnixConn) error {
	var response [1]byte
	_, err := io.ReadFull(conn, response[:])
	if err != nil && !errors.Is(err, io.EOF) {
		err = errors.Join(ErrUncertain, err)
	}
	return err
}

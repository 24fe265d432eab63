package handover

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// A stream is passed over a Unix socket. The sender writes the length of the text in 4 bytes, big endian, with the two
// descriptors as ancillary data, and then the text. The receiver writes one byte once it has accepted the stream.
const (
	// passTimeout is the maximum time for passing one stream, including the confirmation.
	passTimeout = 300 * time.Millisecond
	// maxTextBytes is the maximum length of the text, in bytes.
	maxTextBytes = 1 << 20
	// lengthBytes is the size of the encoded length of the text.
	lengthBytes = 4
	// descriptorsPerPass is the number of descriptors that are sent with a stream: those of its two connections.
	descriptorsPerPass = 2
	// descriptorBytes is the size of a descriptor in the ancillary data, in bytes.
	descriptorBytes = 4
	// acceptedByte is the byte by which the receiver confirms that it has accepted the stream.
	acceptedByte = 'y'
	// maxConcurrentPasses is the maximum number of streams that a process receives at the same time.
	maxConcurrentPasses = 64
)

var (
	// ErrNoSibling is returned if no other process of the node accepts streams.
	ErrNoSibling = errors.New("no sibling process accepts streams")
	// errMalformedPass is returned for a message that is not a text with two descriptors.
	errMalformedPass = errors.New("malformed stream message: not a text with two descriptors")
	// errNotAccepted is returned if the handler does not accept a stream.
	errNotAccepted = errors.New("stream not accepted")
)

// StreamHandler handles a stream that a sibling passes: a text and two connections. If it returns true, it owns the
// connections from then on; otherwise they are closed.
type StreamHandler func(text []byte, first, second net.Conn) bool

// AcceptStreams calls handle for each stream that a sibling passes to this process, until the context ends. Calls of
// handle may be concurrent.
func (c *Channel) AcceptStreams(ctx context.Context, handle StreamHandler) error {
	listener, err := c.listenForStreams()
	if err != nil {
		return err
	}
	stopClosing := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stopClosing()
	var receiving sync.WaitGroup
	defer receiving.Wait()
	slots := make(chan struct{}, maxConcurrentPasses)
	for {
		conn, err := listener.AcceptUnix()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		slots <- struct{}{}
		receiving.Go(func() {
			defer func() { <-slots }()
			receiveStream(conn, handle)
		})
	}
}

// listenForStreams opens the socket that siblings pass streams to.
func (c *Channel) listenForStreams() (*net.UnixListener, error) {
	path := c.liveFile.Name() + socketSuffix
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	short, release, err := shortSocketPath(path)
	if err != nil {
		return nil, err
	}
	defer release()
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: short, Net: "unix"})
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false) // the short path is invalid by then; Channel.Close removes the file
	return listener, nil
}

// shortSocketPath returns another path to the file at path that is short enough for a socket's address. It leads
// through an open descriptor of the file's directory, and is valid until release closes that descriptor.
func shortSocketPath(path string) (short string, release func(), err error) {
	directory, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	short = fmt.Sprintf("/proc/self/fd/%d/%s", directory.Fd(), filepath.Base(path))
	return short, func() { _ = directory.Close() }, nil
}

// receiveStream receives one stream, and confirms it to the sender if handle accepts it. Errors are not reported: the
// sender gets no confirmation.
func receiveStream(conn *net.UnixConn, handle StreamHandler) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(passTimeout)) // fails only if the connection is closed
	text, fds, err := readPass(conn)
	defer closeDescriptors(fds)
	if err != nil {
		return
	}
	if err := handlePass(text, fds, handle); err != nil {
		return
	}
	_, _ = conn.Write([]byte{acceptedByte})
}

// readPass reads a text and two descriptors. The caller must close the descriptors, even if there is an error.
func readPass(conn *net.UnixConn) (text []byte, fds []int, err error) {
	var length [lengthBytes]byte
	ancillary := make([]byte, unix.CmsgSpace(descriptorsPerPass*descriptorBytes))
	n, ancillaryBytes, _, _, err := conn.ReadMsgUnix(length[:], ancillary)
	if err != nil {
		return nil, nil, err
	}
	fds, err = parseDescriptors(ancillary[:ancillaryBytes])
	textBytes := binary.BigEndian.Uint32(length[:])
	if err != nil || n != len(length) || len(fds) != descriptorsPerPass || textBytes > maxTextBytes {
		return nil, fds, errors.Join(errMalformedPass, err)
	}
	text = make([]byte, textBytes)
	_, err = io.ReadFull(conn, text)
	return text, fds, err
}

// parseDescriptors returns the descriptors in ancillary data, up to the first error.
func parseDescriptors(ancillary []byte) ([]int, error) {
	messages, err := unix.ParseSocketControlMessage(ancillary)
	if err != nil {
		return nil, err
	}
	var fds []int
	for i := range messages {
		descriptors, err := unix.ParseUnixRights(&messages[i])
		fds = append(fds, descriptors...)
		if err != nil {
			return fds, err
		}
	}
	for _, fd := range fds {
		unix.CloseOnExec(fd)
	}
	return fds, nil
}

// closeDescriptors closes all the descriptors.
func closeDescriptors(fds []int) {
	for _, fd := range fds {
		_ = unix.Close(fd)
	}
}

// handlePass calls handle with the text and with connections on duplicates of the two descriptors, which stay open.
func handlePass(text []byte, fds []int, handle StreamHandler) error {
	first, err := duplicateConnection(fds[0])
	if err != nil {
		return err
	}
	second, err := duplicateConnection(fds[1])
	if err != nil {
		return errors.Join(err, first.Close())
	}
	if !handle(text, first, second) {
		return errors.Join(errNotAccepted, first.Close(), second.Close())
	}
	return nil
}

// duplicateConnection returns a connection on a duplicate of a descriptor.
func duplicateConnection(fd int) (net.Conn, error) {
	duplicate, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(duplicate), "passed")
	defer func() { _ = file.Close() }() // FileConn makes a duplicate of its own
	return net.FileConn(file)
}

// PassStream passes a stream, which is a text and two sockets, to a sibling that accepts it. The descriptors stay open.
// If no sibling listens for streams, the error is ErrNoSibling; otherwise it is that of the last sibling tried.
func (c *Channel) PassStream(text []byte, first, second int) error {
	if len(text) > maxTextBytes {
		return fmt.Errorf("pass stream: text of %d bytes exceeds the maximum of %d", len(text), maxTextBytes)
	}
	sockets, err := filepath.Glob(c.pathPrefix + ".*" + liveSuffix + socketSuffix)
	if err != nil {
		return err
	}
	err = ErrNoSibling
	for _, path := range sockets {
		if path == c.liveFile.Name()+socketSuffix {
			continue
		}
		if err = sendStream(path, text, first, second); err == nil {
			return nil
		}
	}
	return err
}

// sendStream passes a stream to the process that listens on the socket at path, and waits until it is accepted.
func sendStream(path string, text []byte, first, second int) error {
	short, release, err := shortSocketPath(path)
	if err != nil {
		return err
	}
	defer release()
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: short, Net: "unix"})
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(passTimeout)) // fails only if the connection is closed
	length := binary.BigEndian.AppendUint32(nil, uint32(len(text)))
	if _, _, err := conn.WriteMsgUnix(length, unix.UnixRights(first, second), nil); err != nil {
		return err
	}
	if _, err := conn.Write(text); err != nil {
		return err
	}
	var response [1]byte
	_, err = io.ReadFull(conn, response[:]) // fails if the sibling does not accept the stream
	return err
}

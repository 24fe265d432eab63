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

// A stream is passed over a unix socket: the length of the text in 4 bytes, big endian, with the two descriptors as
// ancillary data; the text; and one byte back once the other process has accepted it.
const (
	passTimeout         = 300 * time.Millisecond // for all of this
	maxTextBytes        = 1 << 20
	lengthBytes         = 4
	descriptorsPerPass  = 2
	descriptorBytes     = 4
	accepted            = 'y'
	maxConcurrentPasses = 64
)

// Errors of passing a stream.
var (
	ErrNoSibling     = errors.New("no other process takes anything")
	errMalformedPass = errors.New("what was passed is not two connections and a text")
	errNotAccepted   = errors.New("not taken")
)

// StreamHandler is given what another process passes: a text and two connections. Where it returns true the connections
// are its own from then on; else they are closed.
type StreamHandler func(text []byte, first, second net.Conn) bool

// AcceptStreams gives handle what siblings pass to this process, until the context ends. handle is called concurrently.
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
	listener.SetUnlinkOnClose(false) // the short path is void by then; Channel.Close removes the file
	return listener, nil
}

// shortSocketPath returns a path to the same file that is short enough for a socket's address, by a descriptor of its
// directory. It holds until release.
func shortSocketPath(path string) (short string, release func(), err error) {
	directory, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	short = fmt.Sprintf("/proc/self/fd/%d/%s", directory.Fd(), filepath.Base(path))
	return short, func() { _ = directory.Close() }, nil
}

// receiveStream receives one stream, and tells the sender where handle accepts it. Errors are not reported: to the
// sender it is the same that no answer comes.
func receiveStream(conn *net.UnixConn, handle StreamHandler) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(passTimeout)) // fails for closed connections alone
	text, fds, err := readPass(conn)
	defer closeDescriptors(fds)
	if err != nil {
		return
	}
	if err := handlePass(text, fds, handle); err != nil {
		return
	}
	_, _ = conn.Write([]byte{accepted})
}

// readPass reads a text and two descriptors. The caller closes the descriptors, on an error too.
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

// parseDescriptors returns the descriptors in ancillary data, those before an error too.
func parseDescriptors(ancillary []byte) ([]int, error) {
	messages, err := unix.ParseSocketControlMessage(ancillary)
	if err != nil {
		return nil, err
	}
	var fds []int
	for i := range messages {
		more, err := unix.ParseUnixRights(&messages[i])
		fds = append(fds, more...)
		if err != nil {
			return fds, err
		}
	}
	for _, fd := range fds {
		unix.CloseOnExec(fd)
	}
	return fds, nil
}

func closeDescriptors(fds []int) {
	for _, fd := range fds {
		_ = unix.Close(fd)
	}
}

// handlePass gives handle the text and the connections behind the two descriptors, which stay open.
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
	defer func() { _ = file.Close() }() // FileConn duplicates it again
	return net.FileConn(file)
}

// PassStream passes a text and two sockets to a sibling that accepts them. The descriptors stay open. Where there is no
// sibling the error is ErrNoSibling.
func (c *Channel) PassStream(text []byte, first, second int) error {
	if len(text) > maxTextBytes {
		return fmt.Errorf("%d bytes, %d at most", len(text), maxTextBytes)
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
	_ = conn.SetDeadline(time.Now().Add(passTimeout)) // fails for closed connections alone
	length := binary.BigEndian.AppendUint32(nil, uint32(len(text)))
	if _, _, err := conn.WriteMsgUnix(length, unix.UnixRights(first, second), nil); err != nil {
		return err
	}
	if _, err := conn.Write(text); err != nil {
		return err
	}
	var answer [1]byte
	_, err = io.ReadFull(conn, answer[:]) // fails where the sibling does not accept the stream
	return err
}

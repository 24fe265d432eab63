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
	"time"

	"golang.org/x/sys/unix"
)

const (
	passTimeout         = 300 * time.Millisecond // in which the other must have taken what is passed
	maxTextBytes        = 1 << 20                // bytes that go with it
	maxConcurrentPasses = 64                     // what is being taken at once
	accepted            = 'y'
)

// StreamHandler takes what another process passes: a text, and two connections that are its own from then on. False: it does not.
type StreamHandler func(text []byte, first, second net.Conn) bool

// AcceptStreams has this process take what others pass, until ctx ends.
func (s *Channel) AcceptStreams(ctx context.Context, take StreamHandler) error {
	l, err := s.listenForStreams()
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { _ = l.Close() })()
	places := make(chan struct{}, maxConcurrentPasses)
	for {
		c, err := l.AcceptUnix()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		places <- struct{}{}
		go func() {
			defer func() { <-places }()
			defer func() { _ = c.Close() }()
			if err := receiveStream(c, take); err == nil {
				_, _ = c.Write([]byte{accepted})
			}
		}()
	}
}

// listenForStreams makes the socket. Its path may be too long for an address; through the folder's own descriptor it is not.
func (s *Channel) listenForStreams() (*net.UnixListener, error) {
	path := s.liveFile.Name() + ".take"
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	short, done, err := shortSocketPath(path)
	if err != nil {
		return nil, err
	}
	defer done()
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: short, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // the short path means nothing by then; Close of the share takes the file away
	return l, nil
}

func shortSocketPath(path string) (short string, done func(), err error) {
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", folder.Fd(), filepath.Base(path)), func() { _ = folder.Close() }, nil
}

func receiveStream(c *net.UnixConn, take StreamHandler) error {
	_ = c.SetDeadline(time.Now().Add(passTimeout))
	var size [4]byte
	rights := make([]byte, unix.CmsgSpace(8))
	n, m, _, _, err := c.ReadMsgUnix(size[:], rights)
	if err != nil {
		return err
	}
	var fds []int
	defer func() {
		for _, fd := range fds {
			_ = unix.Close(fd)
		}
	}()
	messages, err := unix.ParseSocketControlMessage(rights[:m])
	for i := 0; i < len(messages) && err == nil; i++ {
		var more []int
		more, err = unix.ParseUnixRights(&messages[i])
		fds = append(fds, more...)
	}
	for _, fd := range fds {
		unix.CloseOnExec(fd)
	}
	length := binary.BigEndian.Uint32(size[:])
	if err != nil || n != len(size) || len(fds) != 2 || length > maxTextBytes {
		return errors.Join(errors.New("what was passed is not two connections and a text"), err)
	}
	text := make([]byte, length)
	if _, err := io.ReadFull(c, text); err != nil {
		return err
	}
	first, err := duplicateConnection(fds[0])
	if err != nil {
		return err
	}
	second, err := duplicateConnection(fds[1])
	if err != nil {
		return errors.Join(err, first.Close())
	}
	if !take(text, first, second) {
		return errors.Join(errors.New("not taken"), first.Close(), second.Close())
	}
	return nil
}

// duplicateConnection is one of its own to the same socket; fd stays.
func duplicateConnection(fd int) (net.Conn, error) {
	own, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(own), "passed")
	defer func() { _ = file.Close() }()
	return net.FileConn(file)
}

// PassStream passes a text and two connections to another process of this node. The descriptors stay the caller's.
func (s *Channel) PassStream(text []byte, first, second int) error {
	if len(text) > maxTextBytes {
		return fmt.Errorf("%d bytes, %d at most", len(text), maxTextBytes)
	}
	sockets, err := filepath.Glob(s.pathPrefix + ".*.live.take")
	if err != nil {
		return err
	}
	err = errors.New("no other process takes anything")
	for _, path := range sockets {
		if path == s.liveFile.Name()+".take" {
			continue
		}
		if err = sendStream(path, text, first, second); err == nil {
			return nil
		}
	}
	return err
}

func sendStream(path string, text []byte, first, second int) error {
	short, done, err := shortSocketPath(path)
	if err != nil {
		return err
	}
	defer done()
	c, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: short, Net: "unix"})
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(passTimeout))
	if _, _, err := c.WriteMsgUnix(binary.BigEndian.AppendUint32(nil, uint32(len(text))), unix.UnixRights(first, second), nil); err != nil {
		return err
	}
	if _, err := c.Write(text); err != nil {
		return err
	}
	var answer [1]byte
	if _, err := io.ReadFull(c, answer[:]); err != nil {
		return err
	}
	return nil
}

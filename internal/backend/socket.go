package backend

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"standpoint/internal/transient"
)

// UnreadBytes returns, without blocking or taking anything, whether the socket has bytes to read: 0 and no error at its
// end, EAGAIN if nothing has come.
func UnreadBytes(c net.Conn) (n int, err error) {
	failed := control(c, func(fd int) {
		err = transient.IgnoringEINTR(func() (failed error) {
			n, _, failed = syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return failed
		})
	})
	if failed != nil {
		return 0, failed
	}
	return max(0, n), err
}

// PeerClosed reports, without blocking, whether the other side is known to have closed the connection, or its sending
// side, though what it sent before may not have been read.
func PeerClosed(c net.Conn) bool {
	look := []unix.PollFd{{Events: unix.POLLRDHUP}}
	if err := control(c, func(fd int) {
		look[0].Fd = int32(fd)
		_ = transient.IgnoringEINTR(func() error {
			_, failed := unix.Poll(look, 0)
			return failed
		})
	}); err != nil {
		return false
	}
	if look[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0 {
		return true
	}
	n, err := UnreadBytes(c)
	return n == 0 && err == nil
}

// control calls f with the connection's descriptor.
func control(c net.Conn, f func(fd int)) error {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return syscall.ENOTSOCK
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}

// duplicateSocket is another descriptor of a connection's socket. It outlives the connection's own.
func duplicateSocket(c net.Conn) (int, error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.New("a connection without a descriptor")
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var fd int
	var failed error
	if err := raw.Control(func(own uintptr) { fd, failed = unix.FcntlInt(own, unix.F_DUPFD_CLOEXEC, 0) }); err != nil {
		return 0, err
	}
	return fd, failed
}

// DuplicateSocket is duplicate, for the clients' side.
func DuplicateSocket(c net.Conn) (int, error) { return duplicateSocket(c) }

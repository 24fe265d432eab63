package backend

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"standpoint/internal/transient"
)

// UnreadBytes peeks at the socket without blocking or consuming anything. It returns 1 if there are bytes to read, 0
// without an error at the end of the stream, and EAGAIN if nothing has arrived.
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

// PeerClosed reports, without blocking, whether the peer has closed the connection or its sending side. Bytes that it
// sent before that may still be unread.
func PeerClosed(c net.Conn) bool {
	pollFDs := []unix.PollFd{{Events: unix.POLLRDHUP}}
	if err := control(c, func(fd int) {
		pollFDs[0].Fd = int32(fd)
		_ = transient.IgnoringEINTR(func() error {
			_, failed := unix.Poll(pollFDs, 0)
			return failed
		})
	}); err != nil {
		return false
	}
	if pollFDs[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0 {
		return true
	}
	n, err := UnreadBytes(c)
	return n == 0 && err == nil
}

// lastDataReceived returns when the kernel last received data of a connection. It returns now if that is unknown.
func lastDataReceived(c net.Conn, now time.Time) time.Time {
	var info *unix.TCPInfo
	var failed error
	err := control(c, func(fd int) { info, failed = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || failed != nil {
		return now
	}
	return now.Add(-time.Duration(info.Last_data_recv) * time.Millisecond)
}

// control calls f with the descriptor of a connection.
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

// duplicateSocket returns a duplicate descriptor of a connection's socket, which stays open when the connection closes.
func duplicateSocket(c net.Conn) (int, error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.New("duplicate socket: connection has no descriptor")
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

// ShutdownSocket ends a connection in both directions, also if other processes have descriptors of its socket.
func ShutdownSocket(c net.Conn) error {
	var failed error
	err := control(c, func(fd int) { failed = unix.Shutdown(fd, unix.SHUT_RDWR) })
	return errors.Join(err, failed)
}

// DuplicateSocket returns a duplicate descriptor of a client connection's socket, which stays open when the connection
// closes.
func DuplicateSocket(c net.Conn) (int, error) { return duplicateSocket(c) }

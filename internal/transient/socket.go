package transient

import (
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// ConnectionOf returns a connection on a duplicate of a socket's descriptor, which stays open.
func ConnectionOf(fd int) (net.Conn, error) {
	duplicate, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(duplicate), "socket")
	defer func() { _ = file.Close() }() // FileConn makes a duplicate of its own
	return net.FileConn(file)
}

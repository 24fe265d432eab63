package daemon

import (
	"fmt"
	"net"
	"os"

	"golang.org/x/sys/unix"

	"standpoint/internal/transient"
)

// inheritsListener reports whether the platform owns the listening socket for clients and passes it to the process.
func (a *assembly) inheritsListener() bool { return a.platform != nil && a.platform.ListenerFD != 0 }

// openListener returns the listener for clients, on the inherited socket or on a new one.
func (a *assembly) openListener() (net.Listener, error) {
	if a.inheritsListener() {
		l, err := inheritedListener(a.platform.ListenerFD, a.listen)
		if err != nil {
			return nil, &ConfigError{fmt.Errorf("PROXY_SOCKET_FD: %w", err)}
		}
		return l, nil
	}
	l, err := transient.Listen("tcp", a.listen, a.log)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}

// inheritedListener returns a listener for an inherited file descriptor. It first checks that the descriptor is a
// listening socket: a number that was not inherited may be a descriptor that this process uses for something else.
func inheritedListener(fd int, address string) (net.Listener, error) {
	if listening, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || listening == 0 {
		return nil, fmt.Errorf("descriptor %d is not a listening socket", fd)
	}
	file := os.NewFile(uintptr(fd), "clients")
	defer func() { _ = file.Close() }() // net.FileListener duplicates the descriptor
	l, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	if configured, err := net.ResolveTCPAddr("tcp", address); err != nil || l.Addr().String() != configured.String() {
		l.Close()
		return nil, fmt.Errorf("descriptor %d listens at %v, not at %s", fd, l.Addr(), address)
	}
	return l, nil
}

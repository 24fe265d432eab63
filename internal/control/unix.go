package control

import (
	"context"
	"fmt"
	"io/fs"
	"net"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"standpoint/internal/transient"
)

const (
	unixPrefix         = "unix:"     // the prefix of the address of a unix socket
	ownerOnlyUmask     = 0o177       // leaves a new socket readable and writable by its owner alone
	socketProbeTimeout = time.Second // for the connection that tests whether a process listens on a socket
)

// listenUnix creates a socket that only its owner may connect to. It replaces a socket that a dead process left behind,
// and returns an error for one that is in use.
func listenUnix(path string, log *zap.Logger) (net.Listener, error) {
	if err := removeStaleSocket(path); err != nil {
		return nil, err
	}
	previous := syscall.Umask(ownerOnlyUmask)
	defer syscall.Umask(previous)
	return transient.Listen("unix", path, log)
}

// removeStaleSocket removes the socket at path unless a process listens on it. It returns an error if path is anything
// but a socket.
func removeStaleSocket(path string) error {
	info, err := os.Lstat(path)
	if err != nil {
		return nil // nothing to remove, or the listener will report the error
	}
	if info.Mode()&fs.ModeSocket == 0 {
		return fmt.Errorf("%s: exists and is not a socket; remove it or set another path", path)
	}
	if conn, err := net.DialTimeout("unix", path, socketProbeTimeout); err == nil {
		conn.Close()
		return fmt.Errorf("%s: another process listens on this socket; stop it or set another path", path)
	}
	return os.Remove(path)
}

// peerOwnerKey is the context key of a bool: whether the connection's peer may make changes without a token.
type peerOwnerKey struct{}

// withPeerOwner returns ctx with the information whether the peer of a unix socket runs as this process's user or as
// root. For other connections it returns ctx unchanged.
func withPeerOwner(ctx context.Context, conn net.Conn) context.Context {
	socket, ok := conn.(*net.UnixConn)
	if !ok {
		return ctx
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return ctx
	}
	owner := false
	_ = raw.Control(func(fd uintptr) { // on an error owner stays false
		peer, err := unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
		owner = err == nil && (peer.Uid == uint32(os.Geteuid()) || peer.Uid == 0)
	})
	return context.WithValue(ctx, peerOwnerKey{}, owner)
}

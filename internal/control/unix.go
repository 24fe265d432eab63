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
	unixPrefix      = "unix:" // begins the address of a unix socket
	ownerOnlyUmask  = 0o177
	liveDialTimeout = time.Second // to find out whether somebody listens at a socket
)

// listenUnix creates a socket that only its owner may connect to. A socket that a dead process left is replaced; one
// that is in use is not.
func listenUnix(path string, log *zap.Logger) (net.Listener, error) {
	if err := removeStaleSocket(path); err != nil {
		return nil, err
	}
	old := syscall.Umask(ownerOnlyUmask)
	defer syscall.Umask(old)
	return transient.Listen("unix", path, log)
}

func removeStaleSocket(path string) error {
	info, err := os.Lstat(path)
	if err != nil {
		return nil // there is none, or listening will tell what is wrong
	}
	if info.Mode()&fs.ModeSocket == 0 {
		return fmt.Errorf("%s is there and is no socket", path)
	}
	if conn, err := net.DialTimeout("unix", path, liveDialTimeout); err == nil {
		conn.Close()
		return fmt.Errorf("%s: another program listens there", path)
	}
	return os.Remove(path)
}

// peerOwnerKey is the context key of whether the connection's other end may change anything without a token.
type peerOwnerKey struct{}

// withPeerOwner notes whether the other end of a unix socket runs as this process's user, or as root.
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

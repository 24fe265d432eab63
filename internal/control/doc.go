// Package control implements the daemon's control interface: a separate listener on loopback TCP or a unix socket,
// through which commands read and change a running daemon. It speaks JSON over HTTP/1.1; its errors are typed.
package control

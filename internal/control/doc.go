// Package control is the daemon's control interface: a listener of its own, on loopback TCP or a unix socket, by which
// commands read and change a running daemon. It speaks JSON over HTTP/1.1; its errors are typed.
package control

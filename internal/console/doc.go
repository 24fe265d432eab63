// Package console serves the operations console of a running node: a listener of its own, HTTP/1.1 in plain text, one
// call a connection. It decides nothing: what it shows it reads without waiting, and a command goes to its owner, for a
// bounded time.
package console

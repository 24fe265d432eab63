// Package console serves the operations console of a running node: HTTP/1.1 without TLS on a listener of its own, with
// one request per connection. Reads never block, and commands are carried out by the functions in Operations within a
// bounded time.
package console

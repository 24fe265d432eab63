package backend

import (
	"context"
	"net"
	"net/http"
	"sync"

	"standpoint/internal/transient"
)

// connectionMemory is the memory of a connection to a backend that carries no request, in bytes.
const connectionMemory = 16 << 10

// socketBufferSize is the size of the kernel's buffer for what a backend sends and a client does not read yet, in bytes.
const socketBufferSize = 64 << 10

// transport creates the HTTP transport to a backend, whose connections are of type *connection.
func transport(options Options, limit *idleLimit) *http.Transport {
	dial := transient.DialFunc(options.Dial)
	if dial == nil {
		dial = (&net.Dialer{Timeout: options.DialTimeout, KeepAlive: -1}).DialContext
	}
	dial = transient.Dial(dial)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			holder := options.Memory.Open(connectionMemory, nil)
			ended := options.onOpen()
			closed := sync.OnceFunc(func() {
				ended()
				holder.Close()
			})
			conn, err := dial(ctx, network, address)
			if err != nil {
				closed()
				return nil, err
			}
			if socket, ok := conn.(interface{ SetReadBuffer(bytes int) error }); ok {
				_ = socket.SetReadBuffer(socketBufferSize) // an error leaves the kernel's own size
			}
			return &connection{
				Conn:      conn,
				idleLimit: limit,
				maxIdle:   options.BackendIdleTimeout / 2,
				onWritten: options.OnWritten,
				onClosed:  closed,
			}, nil
		},
		MaxResponseHeaderBytes: maxHeadBytes,
		// Half of the backend's own idle timeout: a request written to a connection that the backend is closing would
		// fail with a reset.
		IdleConnTimeout:     options.BackendIdleTimeout / 2,
		MaxIdleConns:        options.MaxIdlePerBackend,
		MaxIdleConnsPerHost: options.MaxIdlePerBackend,
		DisableCompression:  true, // events are forwarded unchanged as they arrive
		WriteBufferSize:     4 << 10,
		ReadBufferSize:      4 << 10,
	}
}

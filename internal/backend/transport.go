package backend

import (
	"context"
	"net"
	"net/http"

	"standpoint/internal/transient"
)

// transport creates the HTTP transport to a backend.
func transport(options Options, limit *idleLimit) *http.Transport {
	dial := transient.DialFunc(options.Dial)
	if dial == nil {
		dial = (&net.Dialer{Timeout: options.DialTimeout, KeepAlive: -1}).DialContext
	}
	dial = transient.Dial(dial)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			closed := options.onOpen()
			conn, err := dial(ctx, network, address)
			if err != nil {
				closed()
				return nil, err
			}
			return &connection{
				Conn:      conn,
				idleLimit: limit,
				maxIdle:   options.ConnIdle / 2,
				onWritten: options.OnWritten,
				onClosed:  closed,
			}, nil
		},
		MaxResponseHeaderBytes: maxHeadBytes,
		// Half of the backend's own idle time: a request written to a connection that the backend is closing would end
		// as a reset.
		IdleConnTimeout:     options.ConnIdle / 2,
		MaxIdleConns:        options.MaxIdle,
		MaxIdleConnsPerHost: options.MaxIdle,
		DisableCompression:  true, // events are forwarded unchanged, as they come
		WriteBufferSize:     4 << 10,
		ReadBufferSize:      4 << 10,
	}
}

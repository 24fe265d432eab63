package backend

import (
	"context"
	"net"
	"net/http"

	"standpoint/internal/transient"
)

func transport(o Options, k *idleLimit) *http.Transport {
	dial := transient.DialFunc(o.Dial)
	if dial == nil {
		dial = (&net.Dialer{Timeout: o.DialTimeout, KeepAlive: -1}).DialContext
	}
	dial = transient.Dial(dial)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			closed := o.onOpen()
			c, err := dial(ctx, network, address)
			if err != nil {
				closed()
				return nil, err
			}
			return &connection{Conn: c, idleLimit: k, maxIdle: o.ConnIdle / 2, onWritten: o.OnWritten, onClosed: closed}, nil
		},
		MaxResponseHeaderBytes: maxHeadBytes,
		// Half of the server's own idle time: a request written to a connection that the server is closing
		// would end as a reset.
		IdleConnTimeout:     o.ConnIdle / 2,
		MaxIdleConns:        o.MaxIdle,
		MaxIdleConnsPerHost: o.MaxIdle,
		DisableCompression:  true, // events pass through unchanged, as they come
		WriteBufferSize:     4 << 10,
		ReadBufferSize:      4 << 10,
	}
}

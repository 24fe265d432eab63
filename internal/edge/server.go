package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	// requestReadTimeout is how long a request may take to arrive, head and body. A client that takes longer is shut
	// out: an answer or a close is owed within 3 s.
	requestReadTimeout = 2500 * time.Millisecond
	idleTimeout        = 5 * time.Second // how long a client connection is kept between requests
	maxHeaderBytes     = 16 << 10
)

// clientConnKey is the context key of the connection that a request came on.
type clientConnKey struct{}

// clientConnOf returns the tracked connection that a request came on; false if it came on none.
func clientConnOf(r *http.Request) (*clientConn, bool) {
	conn, ok := r.Context().Value(clientConnKey{}).(*clientConn)
	return conn, ok
}

// NewServer creates the server of the connections that the tracker accepts. A request's context ends as soon as its
// client has disconnected.
func NewServer(handler http.Handler, tracker *ConnectionTracker, log *zap.Logger) *http.Server {
	return &http.Server{
		Handler:        trackRequests(handler, tracker),
		ReadTimeout:    requestReadTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ConnState:      tracker.ConnState,
		ErrorLog:       zap.NewStdLog(log),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, clientConnKey{}, conn)
		},
	}
}

// trackRequests has a request's context end when its client disconnects, and its connection end with the answer when
// many connections are open.
func trackRequests(handler http.Handler, tracker *ConnectionTracker) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == http.NoBody {
			requestComplete(r)
		}
		if conn, ok := clientConnOf(r); ok {
			ctx, cancel := context.WithCancel(r.Context())
			defer cancel()
			defer conn.watchDisconnect(cancel)()
			r = r.WithContext(ctx)
		}
		if tracker.halfFull() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

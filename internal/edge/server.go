package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	// requestReadTimeout is how long a request, head and body, may take to arrive. The connection of a slower client is
	// closed: clients are due a response or a close within 3 s.
	requestReadTimeout = 2500 * time.Millisecond
	// idleTimeout is how long a client connection may be idle between requests.
	idleTimeout = 5 * time.Second
	// maxHeaderBytes is the maximum size of a request's head, in bytes.
	maxHeaderBytes = 16 << 10
)

// clientConnKey is the context key of the client connection on which a request arrived.
type clientConnKey struct{}

// clientConnOf returns the tracked client connection on which a request arrived; false if it is not tracked.
func clientConnOf(r *http.Request) (*clientConn, bool) {
	conn, ok := r.Context().Value(clientConnKey{}).(*clientConn)
	return conn, ok
}

// NewServer creates the HTTP server for the connections that the tracker accepts. The context of a request is cancelled
// as soon as its client has disconnected.
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

// trackRequests returns a handler that cancels the context of a request when its client disconnects, and closes the
// connection after the response if half of the connection limit is in use.
func trackRequests(handler http.Handler, tracker *ConnectionTracker) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == http.NoBody {
			requestComplete(r)
		}
		if conn, ok := clientConnOf(r); ok {
			conn.awaitAnswerTurn()
			defer conn.answered()
			if !conn.startHandling() {
				w.Header().Set(connectionHeader, "close")
				writeRejection(w, busyRetryAfter)
				return
			}
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

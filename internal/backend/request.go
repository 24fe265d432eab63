package backend

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"standpoint/internal/node"
)

// newRequest creates the HTTP request of an attempt. setExpiry adds its X-Expires-In header once it has a connection.
func newRequest(ctx context.Context, address string, attempt *node.Attempt) (*http.Request, error) {
	work := &attempt.Request.Work
	request, err := http.NewRequestWithContext(ctx, work.Method, "http://"+address+work.Target,
		bytes.NewReader(work.Body))
	if err != nil {
		return nil, err
	}
	// With GetBody the transport would retry by itself after a connection error: an attempt that the core would not
	// know of.
	request.GetBody = nil
	request.Header.Set("Content-Type", work.ContentType)
	request.Header.Set("X-Trace-Id", work.TraceID)
	request.Header.Set("User-Agent", "standpoint")
	return request, nil
}

// setExpiry sets the X-Expires-In header: the time until the attempt's deadline, in milliseconds and at least 1.
func setExpiry(request *http.Request, attempt *node.Attempt) {
	request.Header.Set("X-Expires-In", fmt.Sprintf("%dm", max(1, time.Until(attempt.Deadline).Milliseconds())))
}

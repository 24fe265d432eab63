package backend

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"standpoint/internal/node"
)

func newRequest(ctx context.Context, address string, a *node.Attempt) (*http.Request, error) {
	work := &a.Request.Work
	request, err := http.NewRequestWithContext(ctx, work.Method, "http://"+address+work.Target,
		bytes.NewReader(work.Body))
	if err != nil {
		return nil, err
	}
	// With GetBody the transport would resend on its own after a broken connection, and that counts as an
	// attempt that the core knows nothing of.
	request.GetBody = nil
	request.Header.Set("Content-Type", work.ContentType)
	request.Header.Set("X-Trace-Id", work.TraceID)
	request.Header.Set("User-Agent", "standpoint")
	return request, nil
}

// setExpiry tells the server how much time its client has left.
func setExpiry(request *http.Request, a *node.Attempt) {
	request.Header.Set("X-Expires-In", fmt.Sprintf("%dm", max(1, time.Until(a.Until).Milliseconds())))
}

package edge

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"standpoint/internal/metrics"
)

// requestError is the fault of a request that is rejected at once and not forwarded.
type requestError struct {
	status  int    // HTTP status of the response
	message string // error message for the client; names the faulty header, if the fault is in one
}

func (e *requestError) Error() string { return e.message }

// Reasons for which the rest of a request is not read.
var (
	errTooManyFields = &requestError{http.StatusRequestHeaderFieldsTooLarge, "head: more than 100 header fields"}
	errMemoryShort   = &requestError{http.StatusServiceUnavailable, "no memory for further requests; trying again is harmless"}
)

// rejectionText returns the response to a request of which not even the head was read completely.
func rejectionText(reason *requestError) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\nConnection: close\r\n", reason.status, http.StatusText(reason.status))
	if reason.status == http.StatusServiceUnavailable {
		fmt.Fprintf(&text, "Retry-After: %.3f\r\n", busyRetryAfter.Seconds())
	}
	fmt.Fprintf(&text, "Content-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n\r\n%s",
		len(reason.message), reason.message)
	return text.Bytes()
}

// cause returns the cause under which the metrics count the request.
func (e *requestError) cause() metrics.UnsentCause {
	switch e.status {
	case http.StatusConflict:
		return metrics.DuplicateID
	case http.StatusRequestTimeout:
		return metrics.SlowBody
	}
	return metrics.Malformed
}

// writeError responds with an error in the format of the chat API.
func writeError(w http.ResponseWriter, status int, message string) {
	var body struct {
		Error struct {
			Message string `json:"message"`
			Type    string `json:"type"`
		} `json:"error"`
	}
	body.Error.Message = message
	body.Error.Type = "invalid_request_error"
	if status >= 500 || status == http.StatusTooManyRequests {
		body.Error.Type = "server_error"
	}
	raw, _ := json.Marshal(body) // a struct of two strings cannot fail
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw) // fails only if the client has disconnected
}

// writeRejection rejects a request of which nothing ran. A retryAfter of 0 does not state when the client should retry.
func writeRejection(w http.ResponseWriter, retryAfter time.Duration) {
	setRetryAfter(w, retryAfter)
	writeError(w, http.StatusServiceUnavailable, "turned down; trying again is harmless")
}

// setRetryAfter sets the Retry-After header, in seconds with three decimals; 0 omits it.
func setRetryAfter(w http.ResponseWriter, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
}

package edge

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"standpoint/internal/metrics"
)

// requestError is what is wrong with a request that is answered at once and not forwarded.
type requestError struct {
	status  int
	message string // what the client is told; names the header, if it is one
}

func (e *requestError) Error() string { return e.message }

// cause returns what the request is counted under.
func (e *requestError) cause() metrics.UnsentCause {
	switch e.status {
	case http.StatusConflict:
		return metrics.DuplicateID
	case http.StatusRequestTimeout:
		return metrics.SlowBody
	}
	return metrics.Malformed
}

// writeError writes an error in the form that clients of the chat API read.
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
	raw, _ := json.Marshal(body) // two strings: cannot fail
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw) // a client that does not take it has gone
}

// writeRejection sheds a request that nothing ran of; 0 leaves open when the client should retry.
func writeRejection(w http.ResponseWriter, retryAfter time.Duration) {
	setRetryAfter(w, retryAfter)
	writeError(w, http.StatusServiceUnavailable, "turned down; trying again is harmless")
}

// setRetryAfter tells the client when to retry, in seconds to the millisecond; 0 leaves it out.
func setRetryAfter(w http.ResponseWriter, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
}

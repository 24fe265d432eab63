package edge

import (
	"encoding/json"
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

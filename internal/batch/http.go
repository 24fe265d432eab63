package batch

import (
	"encoding/json"
	"fmt"
	"net/http"

	"go.uber.org/zap"
)

// retryAfterSeconds is the value of the Retry-After header for temporary errors.
const retryAfterSeconds = "1"

// errorType is the type of an error in the public API.
type errorType string

const (
	invalidRequest errorType = "invalid_request_error"
	serverError    errorType = "server_error"
)

// Handler returns the HTTP handler for the paths under /v1/files and /v1/batches.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/files", s.onLeader(s.handleUpload))
	mux.HandleFunc("GET /v1/files", s.handleListFiles)
	mux.HandleFunc("GET /v1/files/{id}", s.handleGetFile)
	mux.HandleFunc("GET /v1/files/{id}/content", s.handleGetContent)
	mux.HandleFunc("DELETE /v1/files/{id}", s.onLeader(s.handleDeleteFile))
	mux.HandleFunc("POST /v1/batches", s.onLeader(s.handleCreateBatch))
	mux.HandleFunc("GET /v1/batches", s.handleListBatches)
	mux.HandleFunc("GET /v1/batches/{id}", s.handleGetBatch)
	mux.HandleFunc("POST /v1/batches/{id}/cancel", s.onLeader(s.handleCancel))
	return mux
}

// onLeader returns a handler that redirects requests to the leader if this member does not lead.
func (s *Service) onLeader(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, leads := s.Store.Leadership(); leads {
			next(w, r)
			return
		}
		if address := s.MemberAddresses[s.Store.Leader()]; address != "" {
			w.Header().Set("Location", "http://"+address+r.URL.RequestURI())
			w.WriteHeader(http.StatusTemporaryRedirect)
			return
		}
		w.Header().Set("Retry-After", retryAfterSeconds)
		writeError(w, http.StatusServiceUnavailable, serverError, "", "no member leads the store at the moment")
	}
}

// writeError responds with an error object. param is the invalid parameter, or "" if there is none.
func writeError(w http.ResponseWriter, status int, kind errorType, param, message string) {
	type errorObject struct {
		Message string    `json:"message"`
		Type    errorType `json:"type"`
		Param   *string   `json:"param"`
		Code    *string   `json:"code"`
	}
	object := errorObject{Message: message, Type: kind}
	if param != "" {
		object.Param = &param
	}
	writeJSON(w, status, map[string]errorObject{"error": object})
}

func writeInvalid(w http.ResponseWriter, param, message string) {
	writeError(w, http.StatusBadRequest, invalidRequest, param, message)
}

func writeNotFound(w http.ResponseWriter, object, id string) {
	writeError(w, http.StatusNotFound, invalidRequest, "id", fmt.Sprintf("no such %s: %q", object, id))
}

// writeStoreError responds to a request whose write failed, and which a client may retry without harm even if the store
// has carried it out.
func (s *Service) writeStoreError(w http.ResponseWriter, err error) {
	s.Log.Warn("store write failed", zap.Error(err))
	w.Header().Set("Retry-After", retryAfterSeconds)
	writeError(w, http.StatusServiceUnavailable, serverError, "", "the store did not take this: "+err.Error())
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		status = http.StatusInternalServerError
		raw = []byte(`{"error":{"message":"internal error"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw) // an error means that the client has disconnected
}

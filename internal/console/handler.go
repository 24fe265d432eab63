package console

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"go.uber.org/zap"
)

// maxIDLength is the maximum length of a backend id in bytes.
const maxIDLength = 256

// command carries out a request that changes the node's state.
type command func(ctx context.Context, r *http.Request) error

// handler returns the handler of the console's paths.
func (o *Operations) handler(log *zap.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ops/readiness", o.serveReadiness)
	mux.HandleFunc("GET /ops/stats", func(w http.ResponseWriter, _ *http.Request) {
		writeText(w, http.StatusOK, string(o.Metrics()))
	})
	for path, run := range map[string]command{
		"/ops/engines/down": withBackendID(o.Disable),
		"/ops/engines/up":   withBackendID(o.Enable),
		"/ops/drain/start":  func(ctx context.Context, _ *http.Request) error { return o.SetDrained(ctx, true) },
		"/ops/drain/stop":   func(ctx context.Context, _ *http.Request) error { return o.SetDrained(ctx, false) },
	} {
		mux.HandleFunc("POST "+path, serveCommand(run, log))
	}
	return mux
}

// serveReadiness responds with status 200 if this process accepts clients, or else 503.
func (o *Operations) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !o.Ready() {
		writeText(w, http.StatusServiceUnavailable, "not ready\n")
		return
	}
	writeText(w, http.StatusOK, "ready\n")
}

// serveCommand returns a handler that runs a command with commandTimeout, and logs it.
func serveCommand(run command, log *zap.Logger) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), commandTimeout)
		defer cancel()
		err := run(ctx, r)
		log.Info("console command", zap.String("path", r.URL.Path), zap.String("query", r.URL.RawQuery), zap.Error(err))
		writeResult(w, err)
	}
}

// withBackendID returns a command that runs an operation on the backend whose id is in the request's query.
func withBackendID(run func(ctx context.Context, id string) error) command {
	return func(ctx context.Context, r *http.Request) error {
		id, err := parseID(r.URL.RawQuery)
		if err != nil {
			return err
		}
		return run(ctx, id)
	}
}

// badRequestError reports an invalid request.
type badRequestError struct{ error }

// parseID returns the id of a query, which must have exactly one. Its errors are of type badRequestError.
func parseID(query string) (string, error) {
	values, err := url.ParseQuery(query)
	if err != nil {
		return "", badRequestError{fmt.Errorf("the query cannot be read: %w", err)}
	}
	ids := values["id"]
	if len(ids) != 1 || ids[0] == "" || len(ids[0]) > maxIDLength {
		return "", badRequestError{fmt.Errorf("id: one is needed, of 1 to %d characters", maxIDLength)}
	}
	return ids[0], nil
}

// writeResult writes the response to a command.
func writeResult(w http.ResponseWriter, err error) {
	var badRequest badRequestError
	switch {
	case err == nil:
		writeText(w, http.StatusOK, "done\n")
	case errors.As(err, &badRequest):
		writeText(w, http.StatusBadRequest, err.Error()+"\n")
	case errors.Is(err, ErrUnknownBackend):
		writeText(w, http.StatusNotFound, err.Error()+"\n")
	case errors.Is(err, ErrStopping):
		writeText(w, http.StatusConflict, err.Error()+"\n")
	default: // the command may still be carried out
		w.Header().Set("Retry-After", "1")
		writeText(w, http.StatusServiceUnavailable, "not done in time; call again: "+err.Error()+"\n")
	}
}

// writeText writes a plain-text response.
func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text)) // an error means that the client has disconnected
}

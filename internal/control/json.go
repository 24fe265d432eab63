package control

import (
	"bytes"
	"encoding/json"
	"net/http"
)

// Decode decodes the JSON body of a call into the value that into points to. Unknown keys are an error, as is a second
// JSON value. Its errors are *Error.
func Decode(body []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return &Error{Status: http.StatusBadRequest, Code: CodeBadRequest, Message: "the body: " + err.Error()}
	}
	if decoder.More() {
		return &Error{Status: http.StatusBadRequest, Code: CodeBadRequest,
			Message: "the body: more than one JSON value"}
	}
	return nil
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		status = http.StatusInternalServerError
		raw = []byte(`{"error":{"code":"internal","message":"the answer has no JSON"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(raw, '\n')) // fails if the client has disconnected, which needs no handling
}

func writeError(w http.ResponseWriter, err error) {
	typed := asError(err)
	writeJSON(w, typed.Status, errorBody{typed})
}

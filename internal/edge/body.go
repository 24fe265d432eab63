package edge

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"

	"standpoint"
	"standpoint/internal/node"
)

const (
	maxBodyBytes    = 256 << 10 // maximum size of a request body
	charsPerToken   = 4         // estimated characters of a prompt for each token
	maxOutputTokens = 1 << 20   // maximum of output tokens that a request may state
)

// errBodyCapacity is the error of a request body that exceeds the memory for request bodies.
var errBodyCapacity = errors.New("no capacity for further request bodies")

// meteredBody charges the bytes of a request body to a limiter as they arrive, so that a body that is announced but not
// sent uses no capacity.
type meteredBody struct {
	io.ReadCloser
	limiter  *node.TenantLimiter
	tenant   int
	acquired int // bytes charged so far
}

// Read implements io.Reader. It returns errBodyCapacity once the limiter has no bytes left.
func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		if !b.limiter.Acquire(b.tenant, n) {
			return 0, errBodyCapacity
		}
		b.acquired += n
	}
	return n, err
}

// release returns the charged bytes to the limiter.
func (b *meteredBody) release() { b.limiter.Release(b.tenant, b.acquired) }

// chatBody is the part of a chat request's body that this node decodes. The backend gets the body unchanged.
type chatBody struct {
	Messages *[]struct {
		Content contentLength `json:"content"`
	} `json:"messages"`
	MaxTokens json.RawMessage `json:"max_tokens"`

	// unparsedChars is the length of a body whose messages have an unknown format, in bytes; 0 otherwise. It is for the
	// backend to decide whether the format is valid.
	unparsedChars int
}

// contentLength is the length of a message's content: in characters if it is a string, otherwise in bytes of its JSON.
type contentLength int

// UnmarshalJSON implements json.Unmarshaler. It counts in place, to avoid a copy of long bodies.
func (l *contentLength) UnmarshalJSON(raw []byte) error {
	*l = contentLength(len(raw))
	if raw[0] != '"' {
		return nil
	}
	*l = 0
	for i := 1; i < len(raw)-1; i++ {
		switch c := raw[i]; {
		case c == '\\' && raw[i+1] == 'u':
			i += 5
		case c == '\\':
			i++
		case c&0xc0 == 0x80: // UTF-8 continuation byte
			continue
		}
		*l++
	}
	return nil
}

// boundLengths bounds the lengths that a client states by the body that it sent. Stated lengths influence the routing
// of other requests and what all nodes learn, and it costs a client nothing to state 60,000 tokens, or one, for a short
// prompt. A stated length may be between half of the estimate from the characters of the body and twice that estimate.
func (b *chatBody) boundLengths(request *standpoint.Request) {
	total := float64(b.unparsedChars)
	first := total
	for i, message := range *b.Messages {
		total += float64(message.Content)
		if i == 0 {
			first = total
		}
	}
	request.PromptTokens = max(total/charsPerToken/2, min(request.PromptTokens, maxTokensFor(total)))
	if request.PrefixTokens > 0 {
		request.PrefixTokens = min(request.PrefixTokens, request.PromptTokens, maxTokensFor(first))
	}
	if limit := b.maxTokens(); limit > 0 {
		request.MaxTokens = limit // the limit that the backend applies
	}
}

// maxTokensFor returns the maximum number of tokens accepted for a number of characters.
func maxTokensFor(chars float64) float64 { return 1 + 2*chars/charsPerToken }

// maxTokens returns the number of output tokens that the body allows; 0 if it states none or an invalid one.
func (b *chatBody) maxTokens() float64 {
	limit, err := parseTokens(string(b.MaxTokens), maxOutputTokens)
	if err != nil || limit < 1 {
		return 0
	}
	return limit
}

// readBody reads and decodes the body of a chat request. The error is a *requestError, errBodyCapacity, or an error of
// the connection.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, chatBody, error) {
	var body chatBody
	if r.ContentLength > maxBodyBytes {
		return nil, body, &requestError{http.StatusRequestEntityTooLarge, "body: larger than 256 KiB"}
	}
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, body, &requestError{http.StatusRequestEntityTooLarge, "body: larger than 256 KiB"}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, body, &requestError{http.StatusRequestTimeout, "body: did not come in time"}
	}
	if err != nil {
		return nil, body, err
	}
	requestComplete(r)
	err = json.Unmarshal(raw, &body)
	var unknownForm *json.UnmarshalTypeError
	if errors.As(err, &unknownForm) {
		body.unparsedChars = len(raw)
		err = nil
	}
	if err != nil || body.Messages == nil {
		return nil, body, &requestError{http.StatusBadRequest, "body: not a JSON object with messages"}
	}
	return raw, body, nil
}

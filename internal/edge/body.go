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
	maxBodyBytes    = 256 << 10
	charsPerToken   = 4       // of a prompt, as it is estimated here
	maxOutputTokens = 1 << 20 // that a request may ask for
)

// errBodyCapacity tells that the request bodies that are held take all the memory set aside for them.
var errBodyCapacity = errors.New("no capacity for further request bodies")

// meteredBody charges the bytes of a request body to a limiter as they arrive: a body that is announced and does not
// come takes nothing.
type meteredBody struct {
	io.ReadCloser
	limiter  *node.TenantLimiter
	tenant   int
	acquired int
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

func (b *meteredBody) release() { b.limiter.Release(b.tenant, b.acquired) }

// chatBody is what is read of a chat request's body; a backend gets the body as it came.
type chatBody struct {
	Messages *[]struct {
		Content contentLength `json:"content"`
	} `json:"messages"`
	MaxTokens json.RawMessage `json:"max_tokens"`

	// unknownFormChars are the characters of a body whose messages have another form: whether that is right is for the
	// backend to say.
	unknownFormChars int
}

// contentLength is the number of characters of a message's content: of a string, or of the JSON of its parts.
type contentLength int

// UnmarshalJSON implements json.Unmarshaler. It counts in place: bodies are long, and are not copied for it.
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
		case c&0xc0 == 0x80: // a continuation byte in UTF-8
			continue
		}
		*l++
	}
	return nil
}

// bound holds the lengths that a client states against the body that it sent. They decide where other requests are
// sent and what all nodes learn, and stating 60,000 tokens, or one, for a short prompt would cost the client nothing.
// Tokens are estimated from characters here, so a stated length may be from half of the estimate to twice that.
func (b *chatBody) bound(request *standpoint.Request) {
	total := float64(b.unknownFormChars)
	first := total
	for i, message := range *b.Messages {
		total += float64(message.Content)
		if i == 0 {
			first = total
		}
	}
	request.PromptTokens = max(total/charsPerToken/2, min(request.PromptTokens, maxTokensOf(total)))
	if request.PrefixTokens > 0 {
		request.PrefixTokens = min(request.PrefixTokens, request.PromptTokens, maxTokensOf(first))
	}
	if limit := b.maxTokens(); limit > 0 {
		request.MaxTokens = limit // what the backend goes by
	}
}

// maxTokensOf returns the most tokens that so many characters may be.
func maxTokensOf(chars float64) float64 { return 1 + 2*chars/charsPerToken }

// maxTokens returns how many tokens the body allows for the answer; 0 if it does not state that.
func (b *chatBody) maxTokens() float64 {
	limit, err := parseTokens(string(b.MaxTokens), maxOutputTokens)
	if err != nil || limit < 1 {
		return 0
	}
	return limit
}

// readBody reads and decodes the body of a chat request. The error is a *requestError, errBodyCapacity, or that of the
// connection.
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
		body.unknownFormChars = len(raw)
		err = nil
	}
	if err != nil || body.Messages == nil {
		return nil, body, &requestError{http.StatusBadRequest, "body: not a JSON object with messages"}
	}
	return raw, body, nil
}

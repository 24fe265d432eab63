package edge

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"

	"standpoint"
	"standpoint/internal/memory"
	"standpoint/internal/node"
)

const (
	maxBodyBytes    = 256 << 10 // maximum size of a request body
	charsPerToken   = 4         // estimated characters of a prompt for each token
	maxOutputTokens = 1 << 20   // maximum of output tokens that a request may state
	maxMessages     = 4096      // maximum number of messages that are measured one by one
	maxNumberLength = 32        // maximum length of a number that is decoded, in bytes
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
	Messages  *messageLengths `json:"messages"`
	MaxTokens shortNumber     `json:"max_tokens"`

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

// messageLengths are the lengths of the messages of a chat. A body of many small messages is not worth its time and
// memory: beyond maxMessages they have an unknown form.
type messageLengths struct {
	total       contentLength // of all messages
	first       contentLength // of the first one
	unknownForm bool          // the messages are no list of objects with contents
}

// UnmarshalJSON implements json.Unmarshaler. It decodes one message at a time, to hold none of them.
func (l *messageLengths) UnmarshalJSON(raw []byte) error {
	*l = messageLengths{unknownForm: raw[0] != '['}
	elements := listElements{rest: raw}
	for number := 0; !l.unknownForm; number++ {
		element, ok := elements.next()
		if !ok {
			return nil
		}
		var message struct {
			Content contentLength `json:"content"`
		}
		if number == maxMessages || json.Unmarshal(element, &message) != nil {
			*l = messageLengths{unknownForm: true}
			return nil
		}
		l.total += message.Content
		if number == 0 {
			l.first = message.Content
		}
	}
	return nil
}

// listElements iterates over the elements of a valid JSON array without a copy.
type listElements struct{ rest []byte }

// next returns the next element; false after the last one.
func (e *listElements) next() ([]byte, bool) {
	e.rest = bytes.TrimLeft(e.rest[1:], " \t\r\n") // behind the bracket or the comma
	if len(e.rest) == 0 || e.rest[0] == ']' {
		return nil, false
	}
	end := elementLength(e.rest)
	element := e.rest[:end]
	e.rest = e.rest[end:]
	return element, true
}

// elementLength returns the length of the element at the start of the rest of a valid JSON array.
func elementLength(raw []byte) int {
	depth, inString := 0, false
	for i := 0; i < len(raw); i++ {
		switch c := raw[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			depth++
		case depth > 0 && (c == ']' || c == '}'):
			depth--
		case depth == 0 && (c == ',' || c == ']'):
			return i
		}
	}
	return len(raw)
}

// shortNumber is the text of a JSON number, or empty for a longer value.
type shortNumber struct{ text string }

// UnmarshalJSON implements json.Unmarshaler.
func (n *shortNumber) UnmarshalJSON(raw []byte) error {
	n.text = ""
	if len(raw) <= maxNumberLength {
		n.text = string(raw)
	}
	return nil
}

// boundLengths bounds the lengths that a client states by the body that it sent. Stated lengths influence the routing
// of other requests and what all nodes learn, and it costs a client nothing to state 60,000 tokens, or one, for a short
// prompt. A stated length may be between half of the estimate from the characters of the body and twice that estimate.
func (b *chatBody) boundLengths(request *standpoint.Request) {
	total := float64(b.unparsedChars) + float64(b.Messages.total)
	first := float64(b.unparsedChars) + float64(b.Messages.first)
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
	limit, err := parseTokens(b.MaxTokens.text, maxOutputTokens)
	if err != nil || limit < 1 {
		return 0
	}
	return limit
}

// receiveBody reads a body into a buffer that grows with what has arrived, up to the announced length. The buffer is
// charged to the memory of the client's connection before it is allocated.
func receiveBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	var holder *memory.Holder
	if conn, tracked := clientConnOf(r); tracked {
		holder = conn.memory
		conn.startBody()
		defer conn.startHandling()
	}
	limit := maxBodyBytes + 1
	if r.ContentLength >= 0 {
		limit = int(r.ContentLength) + 1 // the last read finds the end of the body
	}
	raw, err := memory.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes), limit, holder, holder.Grow)
	if errors.Is(err, memory.ErrShort) {
		return nil, errBodyCapacity
	}
	return raw, err
}

// readBody reads and decodes the body of a chat request. The error is a *requestError, errBodyCapacity, or an error of
// the connection.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, chatBody, error) {
	var body chatBody
	if r.ContentLength > maxBodyBytes {
		return nil, body, &requestError{http.StatusRequestEntityTooLarge, "body: larger than 256 KiB"}
	}
	raw, err := receiveBody(w, r)
	if conn, tracked := clientConnOf(r); tracked && conn.reclaimed.Load() {
		return nil, body, errBodyCapacity
	}
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
	if errors.As(err, &unknownForm) || body.Messages != nil && body.Messages.unknownForm {
		body.unparsedChars = len(raw)
		err = nil
	}
	if err != nil || body.Messages == nil {
		return nil, body, &requestError{http.StatusBadRequest, "body: not a JSON object with messages"}
	}
	return raw, body, nil
}

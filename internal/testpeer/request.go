package testpeer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Chat returns a well-formed request to the node; edit, if not nil, changes it.
func (n *Node) Chat(ctx context.Context, edit func(*http.Request)) *http.Request {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, n.URL+"/v1/chat/completions",
		strings.NewReader(`{"model":"chat","stream":true,"messages":[{"role":"user","content":"hello"}]}`))
	require.NoError(n.t, err)
	id := fmt.Sprintf("%016x", 0x9b1f03aa5c7e2d40+n.requestCount.Add(1))
	setHeaders(r, map[string]string{
		"X-Trace-Id":   id,
		"X-Qos":        "chat",
		"X-Customer":   "acme",
		"X-Object":     "7f3a9c21e0b4d655",
		"X-Expires-In": "2000m",
		"X-Props":      "prompt_len=12,max_out=8",
	})
	if edit != nil {
		edit(r)
	}
	return r
}

// Do sends a request and reads the complete answer; err is how its body ended.
func (n *Node) Do(r *http.Request) (status int, header http.Header, body string, err error) {
	n.t.Helper()
	response, err := http.DefaultClient.Do(r)
	require.NoError(n.t, err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(raw), err
}

// ChatRequest returns a request to a node in a process of its own, whose settings have a class "chat" and no tenants.
// The content of its message is its id.
func ChatRequest(t testing.TB, address, traceID, timeout string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions",
		strings.NewReader(fmt.Sprintf(`{"messages":[{"content":%q}]}`, traceID)))
	require.NoError(t, err)
	setHeaders(r, map[string]string{"X-Trace-Id": traceID, "X-Qos": "chat", "X-Expires-In": timeout})
	return r
}

func setHeaders(r *http.Request, headers map[string]string) {
	for name, value := range headers {
		r.Header.Set(name, value)
	}
}

// BatchUpload returns the body of an upload of a batch file, and its content type.
func BatchUpload(content string) (contentType string, body *bytes.Buffer) {
	body = &bytes.Buffer{}
	form := multipart.NewWriter(body)
	_ = form.WriteField("purpose", "batch") // into memory: cannot fail
	part, _ := form.CreateFormFile("file", "sheets.jsonl")
	_, _ = io.WriteString(part, content)
	_ = form.Close()
	return form.FormDataContentType(), body
}

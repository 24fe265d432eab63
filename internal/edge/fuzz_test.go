package edge

import (
	"bufio"
	"bytes"
	"errors"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/config"
	"standpoint/internal/node"
)

// FuzzRequest decodes arbitrary bytes of a client: values that reach the decision module are within their bounds, or
// the error states the fault.
func FuzzRequest(f *testing.F) {
	const head = "POST /v1/chat/completions HTTP/1.1\r\nHost: n\r\nX-Trace-Id: a\r\nX-Qos: chat\r\n" +
		"X-Customer: acme\r\nX-Object: 7f\r\n"
	for _, rest := range []string{
		"X-Expires-In: 4800m\r\nX-Props: prefix=5c,prompt_len=5120,prefix_len=2048,max_out=800\r\n" +
			"Content-Length: 15\r\n\r\n{\"messages\":[]}",
		"X-Expires-In: 1u\r\nX-Props: prompt_len=1e309,max_out=0x1p-2,=,,prefix\r\nContent-Length: 2\r\n\r\n{}",
		"X-Expires-In: 9223372036854775807m\r\nX-Props: prompt_len=NaN\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"X-Expires-In: 10m\r\nX-Second-Try: again\r\nX-Props: prompt_len=65536,prefix_len=65536\r\n" +
			"Content-Length: 40\r\n\r\n{\"messages\":[[[[]]]],\"max_tokens\":-1e300}",
	} {
		f.Add([]byte(head + rest))
	}
	core := node.New(node.Options{Settings: standpoint.Settings{}, MaxRequests: 1, Log: zap.NewNop()})
	front := &Front{
		Core:        core,
		Names:       config.Names{Classes: []string{"chat"}, Tenants: []string{"acme"}},
		BodyLimiter: node.NewTenantLimiter(1<<30, 1),
		Log:         zap.NewNop(),
	}
	front.SetNames(front.Names)
	f.Fuzz(func(t *testing.T, raw []byte) {
		received, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
		if err != nil {
			return
		}
		began := time.Now()
		request, err := front.decode(received, began)
		var malformed *requestError
		if err != nil {
			if !errors.As(err, &malformed) || malformed.status < 400 || malformed.message == "" {
				t.Fatalf("error without a status of at least 400 or without a message: %v", err)
			}
			return
		}
		_, body, err := readBody(httptest.NewRecorder(), received)
		if err == nil {
			body.boundLengths(&request)
		}
		for _, tokens := range []float64{request.PromptTokens, request.PrefixTokens, request.MaxTokens} {
			if math.IsNaN(tokens) || tokens < 0 || tokens > maxOutputTokens {
				t.Fatalf("tokens out of bounds: %+v", request)
			}
		}
		timeout := request.Deadline - core.Expires(began, 0)
		if timeout > int64(maxClientTimeout) || timeout < -int64(responseMargin) {
			t.Fatalf("timeout out of bounds: %v", time.Duration(timeout))
		}
	})
}

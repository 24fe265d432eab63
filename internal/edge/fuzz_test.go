package edge

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/config"
	"standpoint/internal/node"
)

// Whatever bytes a client sends, what reaches the module is within its bounds, or a fault that says what is wrong.
func FuzzRequest(f *testing.F) {
	const head = "POST /v1/chat/completions HTTP/1.1\r\nHost: n\r\nX-Trace-Id: a\r\nX-Qos: chat\r\nX-Customer: acme\r\nX-Object: 7f\r\n"
	for _, more := range []string{
		"X-Expires-In: 4800m\r\nX-Props: prefix=5c,prompt_len=5120,prefix_len=2048,max_out=800\r\nContent-Length: 15\r\n\r\n{\"messages\":[]}",
		"X-Expires-In: 1u\r\nX-Props: prompt_len=1e309,max_out=0x1p-2,=,,prefix\r\nContent-Length: 2\r\n\r\n{}",
		"X-Expires-In: 9223372036854775807m\r\nX-Props: prompt_len=NaN\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"X-Expires-In: 10m\r\nX-Second-Try: again\r\nX-Props: prompt_len=65536,prefix_len=65536\r\nContent-Length: 40\r\n\r\n{\"messages\":[[[[]]]],\"max_tokens\":-1e300}",
	} {
		f.Add([]byte(head + more))
	}
	core := node.New(node.Options{Settings: standpoint.Settings{}, MaxRequests: 1, Log: zap.NewNop()})
	front := &Front{Core: core, Names: config.Names{Classes: []string{"chat"}, Tenants: []string{"acme"}}, Bodies: node.NewTenantLimiter(1<<30, 1), Log: zap.NewNop()}
	front.SetNames(front.Names)
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
		if err != nil {
			return
		}
		began := time.Now()
		q, err := front.decode(r, began)
		var bad *requestError
		if err != nil {
			if !errors.As(err, &bad) || bad.status < 400 || bad.message == "" {
				t.Fatalf("%v", err)
			}
			return
		}
		_, c, err := readBody(httptest.NewRecorder(), r)
		if err == nil {
			c.bound(&q)
		}
		for _, v := range []float64{q.PromptTokens, q.PrefixTokens, q.MaxTokens} {
			if math.IsNaN(v) || v < 0 || v > maxOutputTokens {
				t.Fatalf("%+v", q)
			}
		}
		if wait := q.Expires - core.Expires(began, 0); wait > int64(maxClientTimeout) || wait < -int64(responseMargin) {
			t.Fatalf("expires in %v", time.Duration(wait))
		}
	})
}

// Lengths are held against the body: what is told truly passes as it is told, lies stay near what was sent.
func TestToldLengths(t *testing.T) {
	body := `{"messages":[{"content":"` + strings.Repeat("ә", 400) + `"},{"content":[{"text":"` + strings.Repeat("x", 400) + `"}]},{"content":null}],"max_tokens":80}`
	var c chatBody
	if err := json.Unmarshal([]byte(body), &c); err != nil {
		t.Fatal(err)
	}
	for _, x := range [][2]standpoint.Request{
		{{PromptTokens: 205, PrefixTokens: 100, MaxTokens: 80}, {PromptTokens: 205, PrefixTokens: 100, MaxTokens: 80}},
		{{PromptTokens: 65536, PrefixTokens: 65536, MaxTokens: 1 << 20}, {PromptTokens: 410, PrefixTokens: 201, MaxTokens: 80}},
		{{PromptTokens: 0, PrefixTokens: 0, MaxTokens: 1}, {PromptTokens: 102, PrefixTokens: 0, MaxTokens: 80}},
	} {
		q := x[0]
		c.bound(&q)
		q.PromptTokens = math.Floor(q.PromptTokens)
		if q.PromptTokens < x[1].PromptTokens-3 || q.PromptTokens > x[1].PromptTokens+20 || q.PrefixTokens != x[1].PrefixTokens || q.MaxTokens != x[1].MaxTokens {
			t.Errorf("%+v became %+v, not about %+v", x[0], q, x[1])
		}
	}
}

// Characters are counted where they stand: escapes are one each, and messages of another form count as the whole body.
func TestCharactersOfABody(t *testing.T) {
	for body, want := range map[string]float64{
		`{"messages":[{"content":"\u04d9\n\"\\әa"}]}`: 6,
		`{"messages":["a string"]}`:                   25,
		`{"messages":[]}`:                             0,
	} {
		_, c, err := readBody(httptest.NewRecorder(), httptest.NewRequest("POST", "/", strings.NewReader(body)))
		q := standpoint.Request{PromptTokens: 1e6}
		if c.bound(&q); err != nil || q.PromptTokens != 1+2*want/charsPerToken {
			t.Errorf("%s: %v tokens at the most, %v", body, q.PromptTokens, err)
		}
	}
}

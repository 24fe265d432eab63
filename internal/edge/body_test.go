package edge

import (
	"encoding/json"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"standpoint"
)

// TestStatedLengthsAreBoundedByBody guards against clients that state false lengths: correct lengths stay unchanged,
// others are bounded to about the length of the body.
func TestStatedLengthsAreBoundedByBody(t *testing.T) {
	raw := `{"messages":[{"content":"` + strings.Repeat("ә", 400) + `"},` +
		`{"content":[{"text":"` + strings.Repeat("x", 400) + `"}]},{"content":null}],"max_tokens":80}`
	var body chatBody
	if err := json.Unmarshal([]byte(raw), &body); err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct{ stated, want standpoint.Request }{
		"true": {
			stated: standpoint.Request{PromptTokens: 205, PrefixTokens: 100, MaxTokens: 80},
			want:   standpoint.Request{PromptTokens: 205, PrefixTokens: 100, MaxTokens: 80},
		},
		"too long": {
			stated: standpoint.Request{PromptTokens: 65536, PrefixTokens: 65536, MaxTokens: 1 << 20},
			want:   standpoint.Request{PromptTokens: 410, PrefixTokens: 201, MaxTokens: 80},
		},
		"too short": {
			stated: standpoint.Request{PromptTokens: 0, PrefixTokens: 0, MaxTokens: 1},
			want:   standpoint.Request{PromptTokens: 102, PrefixTokens: 0, MaxTokens: 80},
		},
	} {
		t.Run(name, func(t *testing.T) {
			got, want := test.stated, test.want
			body.boundLengths(&got)
			got.PromptTokens = math.Floor(got.PromptTokens)
			if got.PromptTokens < want.PromptTokens-3 || got.PromptTokens > want.PromptTokens+20 ||
				got.PrefixTokens != want.PrefixTokens || got.MaxTokens != want.MaxTokens {
				t.Errorf("stated %+v: got %+v, want about %+v", test.stated, got, want)
			}
		})
	}
}

// TestBodyCharactersAreCounted guards against a wrong length of the body: an escape sequence counts as one character,
// and messages of an unknown format count as the whole body.
func TestBodyCharactersAreCounted(t *testing.T) {
	for raw, want := range map[string]float64{
		`{"messages":[{"content":"\u04d9\n\"\\әa"}]}`: 6,
		`{"messages":["a string"]}`:                   25,
		`{"messages":[]}`:                             0,
	} {
		_, body, err := readBody(httptest.NewRecorder(), httptest.NewRequest("POST", "/", strings.NewReader(raw)))
		request := standpoint.Request{PromptTokens: 1e6}
		body.boundLengths(&request)
		if err != nil || request.PromptTokens != 1+2*want/charsPerToken {
			t.Errorf("%s: prompt bounded to %v tokens, error %v", raw, request.PromptTokens, err)
		}
	}
}

// BenchmarkBody measures reading a body of typical size and bounding the lengths by it.
func BenchmarkBody(b *testing.B) {
	text := strings.Repeat("how many hours did the second team work ", 175)
	raw, err := json.Marshal(map[string]any{"max_tokens": 400, "messages": []map[string]string{
		{"role": "system", "content": text},
		{"role": "user", "content": text},
		{"role": "assistant", "content": text},
		{"role": "user", "content": text},
	}})
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(raw)))
	for b.Loop() {
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(string(raw)))
		_, body, err := readBody(httptest.NewRecorder(), r)
		if err != nil {
			b.Fatal(err)
		}
		body.boundLengths(&standpoint.Request{})
	}
}

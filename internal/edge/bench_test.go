package edge

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"standpoint"
)

// BenchmarkBody is what reading a body of the usual size costs, its lengths counted.
func BenchmarkBody(b *testing.B) {
	text := strings.Repeat("how many hours did the second team work ", 175)
	body, err := json.Marshal(map[string]any{"max_tokens": 400, "messages": []map[string]string{
		{"role": "system", "content": text}, {"role": "user", "content": text}, {"role": "assistant", "content": text}, {"role": "user", "content": text}}})
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(string(body)))
		_, c, err := readBody(httptest.NewRecorder(), r)
		if err != nil {
			b.Fatal(err)
		}
		c.bound(&standpoint.Request{})
	}
}

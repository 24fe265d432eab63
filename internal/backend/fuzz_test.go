package backend

import (
	"bytes"
	"errors"
	"io"
	"math"
	"net"
	"testing"
)

// Whatever a backend writes into its events, what is believed of it is a number within bounds.
func FuzzEvents(f *testing.F) {
	for _, s := range []string{
		"data: {\"choices\":[]}\n\ndata: {\"usage\":{\"completion_tokens\":200,\"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\ndata: [DONE]\n\n",
		"data: {\"usage\":{\"completion_tokens\":-1e308,\"prompt_tokens_details\":{\"cached_tokens\":1e308}}}\n\n",
		": Endpoint-Load-Metrics: TEXT x0=0.4, x1=1.2, util=0.61\n\n",
		": Endpoint-Load-Metrics: TEXT x0=Inf, x1=0x1p99, util=-0\n\n: note\nevent: x\nid: 1\nretry: 5\r\n\r\n",
		"data: [DONE]\n\ndata: {}\n\n", "data:\n", "\x00",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var end responseSummary
		_ = end.scan(raw)
		all := []float64{end.cachedTokens, end.outputTokens}
		for _, r := range []string{string(raw), "TEXT " + string(raw)} {
			if r := parseReport(r); r != nil {
				all = append(all, r.MemoryUsage, r.PrefillBacklog, r.SlotUsage)
			}
		}
		if end.report != nil {
			all = append(all, end.report.MemoryUsage, end.report.PrefillBacklog, end.report.SlotUsage)
		}
		for _, v := range all {
			if math.IsNaN(v) || v < 0 || v > maxTokenCount {
				t.Fatalf("believed: %v", v)
			}
		}
	})
}

// Whatever comes on a link, in whatever pieces, what is handed on ends with the answer's last chunk.
func FuzzLink(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\n2\r\nhi\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"), uint8(3))
	f.Add([]byte("\r\n0\r\n0\r\n\r\n\r\n0\r\n\r\n"), uint8(1))
	f.Add([]byte("\r\n0\r\r\n0\r\n\r\n"), uint8(2))
	f.Fuzz(func(t *testing.T, raw []byte, piece uint8) {
		l := &connection{Conn: &eventSplitter{rest: raw, most: 1 + int(piece)}, idleLimit: &idleLimit{}}
		got, err := io.ReadAll(l)
		want := raw
		if i := bytes.Index(raw, []byte(lastChunk)); i >= 0 {
			want = raw[:i+len(lastChunk)]
		}
		if !bytes.Equal(got, want) || len(want) < len(raw) && !errors.Is(err, errUnusable) {
			t.Fatalf("%q of %q, %v", got, raw, err)
		}
	})
}

// eventSplitter is a connection that hands on a few bytes at a time.
type eventSplitter struct {
	net.Conn
	rest []byte
	most int
}

func (p *eventSplitter) Read(b []byte) (int, error) {
	if len(p.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(b[:min(len(b), p.most)], p.rest)
	p.rest = p.rest[n:]
	return n, nil
}

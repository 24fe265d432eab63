package backend

import (
	"bytes"
	"errors"
	"io"
	"math"
	"net"
	"testing"
)

// Whatever a backend reports in its events, the values that are used must be numbers within bounds.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{
		"data: {\"choices\":[]}\n\ndata: {\"usage\":{\"completion_tokens\":200," +
			"\"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\ndata: [DONE]\n\n",
		"data: {\"usage\":{\"completion_tokens\":-1e308,\"prompt_tokens_details\":{\"cached_tokens\":1e308}}}\n\n",
		": Endpoint-Load-Metrics: TEXT x0=0.4, x1=1.2, util=0.61\n\n",
		": Endpoint-Load-Metrics: TEXT x0=Inf, x1=0x1p99, util=-0\n\n: note\nevent: x\nid: 1\nretry: 5\r\n\r\n",
		"data: [DONE]\n\ndata: {}\n\n", "data:\n", "\x00",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var summary responseSummary
		_ = summary.scan(raw)
		numbers := []float64{summary.cachedTokens, summary.outputTokens}
		for _, text := range []string{string(raw), "TEXT " + string(raw)} {
			if report := parseReport(text); report != nil {
				numbers = append(numbers, report.MemoryUsage, report.PrefillBacklog, report.SlotUsage)
			}
		}
		if summary.report != nil {
			numbers = append(numbers,
				summary.report.MemoryUsage, summary.report.PrefillBacklog, summary.report.SlotUsage)
		}
		for _, number := range numbers {
			if math.IsNaN(number) || number < 0 || number > maxTokenCount {
				t.Fatalf("value %v out of bounds", number)
			}
		}
	})
}

// Whatever bytes arrive on a connection, in whatever pieces, the bytes returned by Read must end with the last chunk of
// the response.
func FuzzConnectionRead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\n2\r\nhi\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"), uint8(3))
	f.Add([]byte("\r\n0\r\n0\r\n\r\n\r\n0\r\n\r\n"), uint8(1))
	f.Add([]byte("\r\n0\r\r\n0\r\n\r\n"), uint8(2))
	f.Fuzz(func(t *testing.T, raw []byte, piece uint8) {
		conn := &connection{Conn: &piecewiseConn{unread: raw, maxRead: 1 + int(piece)}, idleLimit: &idleLimit{}}
		got, err := io.ReadAll(conn)
		want := raw
		if i := bytes.Index(raw, []byte(lastChunk)); i >= 0 {
			want = raw[:i+len(lastChunk)]
		}
		if !bytes.Equal(got, want) || len(want) < len(raw) && !errors.Is(err, errUnusable) {
			t.Fatalf("read %q of %q, %v", got, raw, err)
		}
	})
}

// piecewiseConn is a connection whose Read returns few bytes at a time.
type piecewiseConn struct {
	net.Conn
	unread  []byte
	maxRead int // maximum number of bytes per Read
}

func (c *piecewiseConn) Read(b []byte) (int, error) {
	if len(c.unread) == 0 {
		return 0, io.EOF
	}
	n := copy(b[:min(len(b), c.maxRead)], c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

package drain

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// TraceID is the id of a node's request: the servers tell by it who sent it.
func TraceID(node string, number int) string { return fmt.Sprintf("%s-%06d", node, number) }

// StartBackend starts a stand-in server that answers every request at once, and returns its address. Only requests whose id Trace
// made are noted.
func StartBackend(t testing.TB, name string, record *Record) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c, name, record)
		}
	}()
	return l.Addr().String()
}

func serve(c net.Conn, name string, record *Record) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		came := time.Now()
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		trace := r.Header.Get("X-Trace-Id")
		if node, _, ok := strings.Cut(trace, "-"); ok {
			record.addSend(Send{Node: node, Backend: name, TraceID: trace, At: came})
		}
		events := "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"x\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"
		if _, err := fmt.Fprintf(c, "%s%x\r\n%s\r\n0\r\n\r\n", streamHead, len(events), events); err != nil {
			return
		}
	}
}

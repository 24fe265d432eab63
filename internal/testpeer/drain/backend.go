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

const (
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	bodyEvents = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"x\"},\"finish_reason\":\"stop\"}]}\n\n" +
		"data: [DONE]\n\n"
)

// TraceID returns the id of a node's request. Backends take the sending node's name from it.
func TraceID(node string, number int) string { return fmt.Sprintf("%s-%06d", node, number) }

// StartBackend starts a backend that answers every request immediately, and returns its address. It records each
// request whose id was made by TraceID, with the time at which its first byte arrived.
func StartBackend(t testing.TB, name string, record *Record) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn, name, record) // returns when its connection ends
		}
	}()
	return listener.Addr().String()
}

// serve answers the requests of a connection until a read or write on it fails.
func serve(conn net.Conn, name string, record *Record) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		received := time.Now()
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		traceID := request.Header.Get("X-Trace-Id")
		if node, _, ok := strings.Cut(traceID, "-"); ok {
			record.addSend(Send{Node: node, Backend: name, TraceID: traceID, At: received})
		}
		if _, err := fmt.Fprintf(conn, "%s%x\r\n%s\r\n0\r\n\r\n", streamHead, len(bodyEvents), bodyEvents); err != nil {
			return
		}
	}
}

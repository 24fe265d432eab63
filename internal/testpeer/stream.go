package testpeer

import (
	"fmt"
	"net/http"
)

// StreamHead is the head of a streamed answer as it stands on the wire.
const StreamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// StreamResponse returns a complete streamed answer as it stands on the wire, with some content.
func StreamResponse(content string) string {
	event := fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", content)
	return StreamHead + Chunk(event) + Chunk("data: [DONE]\n\n") + "0\r\n\r\n"
}

// Chunk returns a piece of a stream as it stands on the wire.
func Chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// WriteEvent writes one event of a stream with some content, and flushes it.
func WriteEvent(w http.ResponseWriter, content string) {
	w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", content)
	w.(http.Flusher).Flush()
}

// WriteStreamEnd writes the last events of a stream: its end, its usage and a load report.
func WriteStreamEnd(w http.ResponseWriter) {
	fmt.Fprint(w, `data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`+"\n\n"+
		`data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":2,`+
		`"prompt_tokens_details":{"cached_tokens":4}}}`+"\n\n"+
		"data: [DONE]\n\n"+
		": Endpoint-Load-Metrics: TEXT x0=0.25, x1=1.5, util=0.5\n\n")
}

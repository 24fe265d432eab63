package crowd

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Behavior is what one misbehaving client does on one connection. It returns when it has no more to do, when the node
// has closed the connection, or when the context ends, which closes the connection.
type Behavior struct {
	Name string
	Run  func(ctx context.Context, conn *net.TCPConn, rng *rand.Rand)
}

// lastID numbers the requests of misbehaving clients.
var lastID atomic.Int64

// newID returns a new ID of a request.
func newID() string { return fmt.Sprintf("crowd-%d", lastID.Add(1)) }

const (
	// largeBody is the size of a large request's body, in bytes: just under the limit of 256 KiB.
	largeBody = 250 << 10
	// largeHead is the size of a large head, in bytes: just under the limit of 16 KiB.
	largeHead = 15 << 10
	// dribblePause is the time between two small writes or reads of a slow client.
	dribblePause = 50 * time.Millisecond
)

// Behaviors of misbehaving clients.
var (
	// SlowHead writes the head of a request in small pieces.
	SlowHead = Behavior{"slow head", func(ctx context.Context, conn *net.TCPConn, rng *rand.Rand) {
		for text := head(0) + fields(rng, 8<<10); len(text) > 0 && ctx.Err() == nil; text = text[min(len(text), 40):] {
			if write(conn, text[:min(len(text), 40)]) != nil {
				return
			}
			pause(ctx, dribblePause)
		}
		await(ctx, conn)
	}}
	// ManyFields sends the head of a request with very many short fields, and stops before its end.
	ManyFields = Behavior{"many fields", func(ctx context.Context, conn *net.TCPConn, rng *rand.Rand) {
		if write(conn, head(0)+fields(rng, largeHead)) != nil {
			return
		}
		await(ctx, conn)
	}}
	// ManyFieldsWhole sends whole requests with very many short fields.
	ManyFieldsWhole = Behavior{"many fields, whole", func(ctx context.Context, conn *net.TCPConn, rng *rand.Rand) {
		body := `{"messages":[{"content":"x"}]}`
		if write(conn, head(len(body))+fields(rng, largeHead)+"\r\n"+body) != nil {
			return
		}
		await(ctx, conn)
	}}
	// HalfBody sends the head of a large request and half of its body, and stops.
	HalfBody = Behavior{"half body", func(ctx context.Context, conn *net.TCPConn, rng *rand.Rand) {
		if write(conn, head(largeBody)+"\r\n"+`{"messages":[{"content":"`) != nil {
			return
		}
		if write(conn, strings.Repeat("x", largeBody*(25+rng.IntN(74))/100)) != nil {
			return
		}
		await(ctx, conn)
	}}
	// SlowBody sends the body of a large request in small pieces.
	SlowBody = Behavior{"slow body", func(ctx context.Context, conn *net.TCPConn, _ *rand.Rand) {
		if write(conn, head(largeBody)+"\r\n") != nil {
			return
		}
		for sent := 0; sent < largeBody && ctx.Err() == nil; sent += 4 << 10 {
			if write(conn, strings.Repeat(" ", min(4<<10, largeBody-sent))) != nil {
				return
			}
			pause(ctx, dribblePause)
		}
		await(ctx, conn)
	}}
	// ManyMessages sends a large request whose body has very many small values.
	ManyMessages = Behavior{"many messages", func(ctx context.Context, conn *net.TCPConn, _ *rand.Rand) {
		body := `{"messages":[{}` + strings.Repeat(",{}", (largeBody-30)/3) + `]}`
		if write(conn, head(len(body))+"\r\n"+body) != nil {
			return
		}
		await(ctx, conn)
	}}
	// DeepBody sends a large request whose body is nested deeply.
	DeepBody = Behavior{"deep body", func(ctx context.Context, conn *net.TCPConn, _ *rand.Rand) {
		const depth = 9000
		body := `{"messages":[],"x":` + strings.Repeat("[", depth) + strings.Repeat("]", depth) + `}`
		if write(conn, head(len(body))+"\r\n"+body) != nil {
			return
		}
		await(ctx, conn)
	}}
	// SlowReader sends large requests and reads the answers slowly, through a small receive buffer.
	SlowReader = Behavior{"slow reader", func(ctx context.Context, conn *net.TCPConn, _ *rand.Rand) {
		_ = conn.SetReadBuffer(4 << 10) // a larger buffer would only do less harm
		body := `{"long":true,"max_tokens":4000,"messages":[{"content":"` + strings.Repeat("x", 60<<10) + `"}]}`
		if write(conn, head(len(body))+"\r\n"+body) != nil {
			return
		}
		piece := make([]byte, 512)
		for ctx.Err() == nil {
			if _, err := conn.Read(piece); err != nil {
				return
			}
			pause(ctx, dribblePause)
		}
	}}
	// Pipeliner sends requests without reading the answers, as many as the connection takes.
	Pipeliner = Behavior{"pipeliner", func(ctx context.Context, conn *net.TCPConn, _ *rand.Rand) {
		for ctx.Err() == nil {
			body := `{"messages":[{"content":"` + strings.Repeat("x", 2<<10) + `"}]}`
			if write(conn, head(len(body))+"\r\n"+body) != nil {
				return
			}
		}
	}}
	// Silent opens a connection and sends nothing.
	Silent = Behavior{"silent", func(ctx context.Context, conn *net.TCPConn, _ *rand.Rand) { await(ctx, conn) }}
	// TooLarge announces a body that is over the limit and sends it.
	TooLarge = Behavior{"too large", func(ctx context.Context, conn *net.TCPConn, _ *rand.Rand) {
		if write(conn, head(300<<10)+"\r\n"+strings.Repeat("x", 300<<10)) != nil {
			return
		}
		await(ctx, conn)
	}}
	// SmallChunks sends a body in chunks of one byte with long extensions.
	SmallChunks = Behavior{"small chunks", func(ctx context.Context, conn *net.TCPConn, _ *rand.Rand) {
		start := "POST /v1/chat/completions HTTP/1.1\r\nHost: node\r\n" + requestFields() +
			"Transfer-Encoding: chunked\r\n\r\n"
		if write(conn, start) != nil {
			return
		}
		chunks := strings.Repeat("1;"+strings.Repeat("e", 12)+"\r\n \r\n", 500)
		for ctx.Err() == nil {
			if write(conn, chunks) != nil {
				return
			}
		}
	}}
)

// SmallUnsound floods a connection with small requests that lack an ID.
var SmallUnsound = Behavior{"small unsound requests", func(ctx context.Context, conn *net.TCPConn, _ *rand.Rand) {
	flood(ctx, conn, func() string {
		return "POST /v1/chat/completions HTTP/1.1\r\nHost: node\r\nContent-Length: 2\r\n\r\n{}"
	})
}}

// UnknownNames floods a connection with requests of ever new classes and tenants.
var UnknownNames = Behavior{"unknown names", func(ctx context.Context, conn *net.TCPConn, _ *rand.Rand) {
	flood(ctx, conn, func() string {
		id := newID()
		return "POST /v1/chat/completions HTTP/1.1\r\nHost: node\r\nX-Trace-Id: " + id + "\r\nX-Qos: class-" + id +
			"\r\nX-Customer: tenant-" + id + "\r\nX-Expires-In: 1000m\r\nContent-Length: 2\r\n\r\n{}"
	})
}}

// UnknownPaths floods a connection with requests for ever new paths.
var UnknownPaths = Behavior{"unknown paths", func(ctx context.Context, conn *net.TCPConn, _ *rand.Rand) {
	flood(ctx, conn, func() string { return "GET /" + newID() + " HTTP/1.1\r\nHost: node\r\n\r\n" })
}}

// HealthChecks floods a connection with health checks.
var HealthChecks = Behavior{"health checks", func(ctx context.Context, conn *net.TCPConn, _ *rand.Rand) {
	flood(ctx, conn, func() string { return "GET /_health HTTP/1.1\r\nHost: node\r\n\r\n" })
}}

// SmallRequests floods a connection with small sound requests of ever new sessions and prefixes.
var SmallRequests = Behavior{"small requests", func(ctx context.Context, conn *net.TCPConn, rng *rand.Rand) {
	flood(ctx, conn, func() string {
		body := `{"messages":[{"content":"x"}]}`
		return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: node\r\n%sX-Object: %x\r\n"+
			"X-Props: prefix=%x,prompt_len=1\r\nContent-Length: %d\r\n\r\n%s",
			requestFields(), rng.Uint64(), rng.Uint64(), len(body), body)
	})
}}

// ExpiredRequests floods a connection with sound requests that leave no time for an answer.
var ExpiredRequests = Behavior{"expired requests", func(ctx context.Context, conn *net.TCPConn, rng *rand.Rand) {
	flood(ctx, conn, func() string {
		body := `{"messages":[{"content":"x"}]}`
		return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: node\r\nX-Trace-Id: %s\r\nX-Qos: chat\r\n"+
			"X-Expires-In: 11m\r\nX-Object: %x\r\nContent-Length: %d\r\n\r\n%s", newID(), rng.Uint64(), len(body), body)
	})
}}

// RepeatedID floods a connection with sound requests that all have the same ID.
var RepeatedID = Behavior{"repeated ID", func(ctx context.Context, conn *net.TCPConn, _ *rand.Rand) {
	body := `{"messages":[{"content":"x"}]}`
	text := head(len(body)) + "\r\n" + body
	flood(ctx, conn, func() string { return text })
}}

// flood writes requests at full speed and reads and discards the answers.
func flood(ctx context.Context, conn *net.TCPConn, request func() string) {
	go func() { _, _ = io.Copy(io.Discard, conn) }() // ends with the connection
	for ctx.Err() == nil {
		var text strings.Builder
		for range 20 {
			text.WriteString(request())
		}
		if write(conn, text.String()) != nil {
			return
		}
	}
}

// head returns the request line and the fields of a chat request, without the empty line that ends its head.
func head(bodyLength int) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: node\r\n%sContent-Length: %d\r\n",
		requestFields(), bodyLength)
}

// requestFields returns the fields that every chat request has.
func requestFields() string {
	return "X-Trace-Id: " + newID() + "\r\nX-Qos: chat\r\nX-Expires-In: 2500m\r\n"
}

// fields returns header fields with short names that total about size bytes.
func fields(rng *rand.Rand, size int) string {
	var text strings.Builder
	for number := rng.IntN(1000); text.Len() < size; number++ {
		fmt.Fprintf(&text, "%x:\r\n", number)
	}
	return text.String()
}

// write writes text to a connection.
func write(conn *net.TCPConn, text string) error {
	_, err := io.WriteString(conn, text)
	return err
}

// await reads until the node closes the connection or the context ends.
func await(ctx context.Context, conn *net.TCPConn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Now()) })
	defer stop()
	_, _ = io.Copy(io.Discard, conn)
}

// pause waits for a duration, or until the context ends.
func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// Crowd is a number of misbehaving clients of one node.
type Crowd struct {
	Address     string
	Connections int // connections that are open at once
	Behaviors   []Behavior
	Seed        uint64
	// Reconnect is the time from the end of a connection to the next one.
	Reconnect time.Duration
}

// Run opens connections until the context ends; each client draws its behavior anew for each connection.
func (c *Crowd) Run(ctx context.Context) {
	var clients sync.WaitGroup
	for i := range c.Connections {
		clients.Go(func() { c.client(ctx, rand.New(rand.NewPCG(c.Seed, uint64(i)))) })
	}
	clients.Wait()
}

func (c *Crowd) client(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", c.Address)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { conn.Close() })
			c.Behaviors[rng.IntN(len(c.Behaviors))].Run(ctx, conn.(*net.TCPConn), rng)
			stop()
			conn.Close()
		}
		pause(ctx, c.Reconnect+time.Duration(rng.Int64N(int64(c.Reconnect)+1)))
	}
}

package load

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// Ceiling searches for the highest rate that this generator sustains: the 99th percentile of its own send lag stays
// within the default bound, and all requests are served. The server is in the same process and responds at once. Each
// measurement is written to out.
func Ceiling(ctx context.Context, out io.Writer) (rate float64, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	const text = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n"
	peer := &http.Server{ReadHeaderTimeout: 5 * time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, text)
		})}
	go func() { _ = peer.Serve(l) }()
	defer peer.Close()
	sustains := func(rate float64) (bool, error) {
		p := &Plan{Target: l.Addr().String(), Pattern: fmt.Sprintf("steady(%g)", rate), Duration: Duration(4 * time.Second),
			Classes: []Class{{Name: "c", Prompt: 20, RetryPolicy: NoRetry}}}
		if err := p.Complete(); err != nil {
			return false, err
		}
		cpuBefore := cpuTime()
		r, err := Run(ctx, Options{Plan: p})
		if err != nil || ctx.Err() != nil {
			return false, err
		}
		all := r.All()
		fmt.Fprintf(out,
			"%6.0f a second: lag 99th %.2f ms, %d of %d served, CPU %.0f us a request, its peer's among it\n",
			rate, float64(all.SendLag.ValueAtQuantile(99))/1000, all.Served, all.Intended,
			float64((cpuTime()-cpuBefore).Microseconds())/max(1, float64(all.Served)))
		return len(r.Marks) == 0 && all.Served == all.Intended, nil
	}
	low, high := 0.0, 500.0
	for high <= 64_000 && ctx.Err() == nil {
		ok, err := sustains(high)
		if err != nil {
			return low, err
		}
		if !ok {
			break
		}
		low, high = high, 2*high
	}
	for high-low > low/8+50 && ctx.Err() == nil {
		middle := (low + high) / 2
		ok, err := sustains(middle)
		if err != nil {
			return low, err
		}
		if ok {
			low = middle
		} else {
			high = middle
		}
	}
	return low, ctx.Err()
}

// cpuTime returns the process's CPU time so far, user and system together.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

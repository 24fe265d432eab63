package stage

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"standpoint/internal/control"
	"standpoint/internal/endpoints"
	"standpoint/internal/lab/responder"
)

// DiscoveryOptions of a measurement of discovery with the daemon as a program.
type DiscoveryOptions struct {
	Dir, Program string
	Withdrawals  int
	Ways         []string // poll, plain (a poll without a serial), push, mdns, all (everything each time)
	Loss         []float64
	Rate         float64
	Cost         bool
	Sizes        []int
	For          time.Duration
	Out          io.Writer
}

const (
	hallBoxes     = 40
	withdrawEvery = 50 * time.Millisecond
	awayFor       = 600 * time.Millisecond
	withdrawMost  = 20_000
	zoneDomain    = "hall-a.test"
	zoneService   = "_engine._tcp"
	sizeMost      = 4000
)

// arrivals are a box's latest requests.
type arrivals struct {
	mu   sync.Mutex
	last time.Time
}

func (a *arrivals) note() {
	a.mu.Lock()
	a.last = time.Now()
	a.mu.Unlock()
}

func (a *arrivals) latest() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last
}

// simpleBox answers at once, with a short stream.
func simpleBox(l net.Listener, a *arrivals) *http.Server {
	s := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.note()
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, 1<<20))
		w.Header().Set("Content-Type", "text/event-stream")
		for _, text := range []string{`{"choices":[{"delta":{"content":"a"}}]}`, `{"choices":[],"usage":{"completion_tokens":1}}`, "[DONE]"} {
			fmt.Fprintf(w, "data: %s\n\n", text)
			_ = http.NewResponseController(w).Flush()
		}
	})}
	go func() { _ = s.Serve(l) }()
	return s
}

// hall is a responder, boxes and the daemon.
type hall struct {
	DiscoveryOptions
	server  *responder.Server
	boxes   []responder.Box
	came    []*arrivals
	front   string
	control *control.Client
	process *Program
	stops   []func()
}

func (h *hall) close() {
	for i := len(h.stops) - 1; i >= 0; i-- {
		h.stops[i]()
	}
}

// open starts a hall of n boxes; real ones only where they serve.
func (o DiscoveryOptions) open(ctx context.Context, way string, n int, serve bool) (h *hall, err error) {
	h = &hall{DiscoveryOptions: o}
	defer func() {
		if err != nil {
			h.close()
		}
	}()
	z := responder.NewZone(zoneDomain, 1)
	if way == "plain" || way == "all" {
		z.NoSerial()
	}
	for i := range n {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(20_000+i))
		if serve {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return nil, err
			}
			a := &arrivals{}
			s := simpleBox(l, a)
			h.stops = append(h.stops, func() { s.Close() })
			h.came = append(h.came, a)
			address = netip.MustParseAddrPort(l.Addr().String())
		}
		h.boxes = append(h.boxes, responder.Box{Label: fmt.Sprintf("box-%d", i+1), Service: zoneService, Address: address, TTL: 120,
			Text: []string{"site=hall-a", "class=fast", "born_ms=1"}})
	}
	if err := z.Publish(h.boxes...); err != nil {
		return nil, err
	}
	if h.server, err = responder.Start(z, "127.0.0.1:0", nil); err != nil {
		return nil, err
	}
	h.stops = append(h.stops, func() { _ = h.server.Close() })
	return h, h.daemon(ctx, way, n)
}

func (h *hall) daemon(ctx context.Context, way string, n int) error {
	if err := os.MkdirAll(h.Dir, 0o700); err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	h.front = l.Addr().String()
	l.Close()
	news, server, push, poll, refresh := "poll", h.server.Address, "", "150ms", "2s"
	switch way {
	case "push":
		news, push = "push", fmt.Sprintf("push = %q\n", h.server.Address)
	case "mdns":
		news, server = "mdns", h.server.MDNS
	case "all":
		refresh = "150ms"
	}
	file := filepath.Join(h.Dir, "operator.toml")
	text := fmt.Sprintf(`# Written by "lab discovery".
name = "node-1"
listen = %q
[limits]
cores = 1.0
memory_mb = 192
sockets = 1024
[log]
form = "console"
level = "warn"
[control]
listen = "unix:control.sock"
[module]
zones = ["hall-a"]
zone = "hall-a"
kinds = ["fast"]
[[class]]
name = "chat"
first_token = "1s"
give_up = "5s"
worth = 1.0
[entries]
source = "dns-sd"
poll = %q
refresh = %q
guard_part = 0.9
flap_half = "0s" # boxes come and go here all the time
[[entries.browse]]
server = %q
service = %q
domain = %q
news = %q
%s`, h.front, poll, refresh, server, zoneService, zoneDomain, news, push)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	if h.process, err = StartProgram(h.Program, file, filepath.Join(h.Dir, "standpoint.log"), "GOMAXPROCS=1"); err != nil { // one core, as the installations have
		return err
	}
	h.stops = append(h.stops, func() { _ = h.process.Stop() })
	h.control = control.NewClient("unix:"+filepath.Join(h.Dir, "control.sock"), "")
	return h.process.Up(time.Minute, func() bool {
		var all []endpoints.Origin
		if h.control.Call(ctx, http.MethodGet, "/v1/entries", nil, &all) != nil {
			return ctx.Err() != nil
		}
		ready := 0
		for _, e := range all {
			if e.Fault == "" && e.Mechanism != endpoints.MechanismStore && (way != "push" || e.Mechanism == "push") {
				ready++
			}
		}
		return ready == n
	})
}

// load asks at a steady rate until the context ends, and counts what is not answered well.
func (h *hall) load(ctx context.Context) (asked, bad *int, wait func()) {
	asked, bad = new(int), new(int)
	var mu sync.Mutex
	var all sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: mostOut, IdleConnTimeout: 4 * time.Second}, Timeout: 6 * time.Second}
	out := make(chan struct{}, mostOut)
	all.Go(func() {
		tick := time.NewTicker(time.Duration(float64(time.Second) / h.Rate))
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			select {
			case out <- struct{}{}:
			default:
				continue
			}
			all.Go(func() {
				defer func() { <-out }()
				r, err := http.NewRequest(http.MethodPost, "http://"+h.front+"/v1/chat/completions", bytes.NewReader([]byte(`{"stream":true,"messages":[{"role":"user","content":"a"}]}`)))
				if err != nil {
					return
				}
				r.Header.Set("X-Trace-Id", fmt.Sprint("d", n))
				r.Header.Set("X-Qos", "chat")
				r.Header.Set("X-Expires-In", "5000m")
				good := false
				if response, err := client.Do(r); err == nil {
					_, err = io.Copy(io.Discard, io.LimitReader(response.Body, 1<<20))
					good = err == nil && response.StatusCode == http.StatusOK
					response.Body.Close()
				}
				mu.Lock()
				*asked++
				if !good {
					*bad++
				}
				mu.Unlock()
			})
		}
	})
	return asked, bad, all.Wait
}

// Withdrawals measures the time from a record's end at the server to the last new request that its box gets.
func Withdrawals(ctx context.Context, o DiscoveryOptions, out io.Writer) error {
	if o.Withdrawals < 1 || o.Withdrawals > withdrawMost || o.Rate <= 0 || o.Rate > 1000 {
		return fmt.Errorf("up to %d withdrawals at up to 1000 requests a second", withdrawMost)
	}
	fmt.Fprintln(out, "way    loss  withdrawals  median ms  99th ms  worst ms  over 500 ms  requests  not answered well")
	for _, way := range o.Ways {
		for _, loss := range o.Loss {
			delays, asked, bad, err := o.withdrawals(ctx, way, loss)
			if err != nil {
				return fmt.Errorf("%s at %g: %w", way, loss, err)
			}
			slices.Sort(delays)
			over := 0
			for _, d := range delays {
				if d > 500*time.Millisecond {
					over++
				}
			}
			at := func(part float64) float64 {
				return float64(delays[min(len(delays)-1, int(part*float64(len(delays))))].Microseconds()) / 1000
			}
			fmt.Fprintf(out, "%-6s %4.2f  %11d  %9.0f  %7.0f  %8.0f  %11d  %8d  %d\n", way, loss, len(delays), at(0.5), at(0.99), at(1), over, asked, bad)
		}
	}
	return nil
}

func (o DiscoveryOptions) withdrawals(ctx context.Context, way string, loss float64) (delays []time.Duration, asked, bad int, err error) {
	h, err := o.open(ctx, way, hallBoxes, true)
	if err != nil {
		return nil, 0, 0, err
	}
	defer h.close()
	loading, stop := context.WithCancel(ctx)
	defer stop()
	n, failed, wait := h.load(loading)
	time.Sleep(time.Second)
	h.server.Set(responder.Faults{Loss: loss})
	var mu sync.Mutex
	var all sync.WaitGroup
	tick := time.NewTicker(withdrawEvery)
	defer tick.Stop()
	for i := range o.Withdrawals {
		select {
		case <-ctx.Done():
			stop()
			wait()
			return nil, 0, 0, ctx.Err()
		case <-tick.C:
		}
		k := i % hallBoxes
		if err := h.server.Zone.Withdraw(h.boxes[k]); err != nil {
			return nil, 0, 0, err
		}
		ended := time.Now()
		all.Go(func() {
			// A box that is still sent to when its time is over stays away until that ends, and counts as it is.
			for limit := ended.Add(10 * time.Second); time.Now().Before(limit); {
				time.Sleep(awayFor)
				if last := h.came[k].latest(); time.Since(last) > awayFor {
					break
				}
			}
			last := h.came[k].latest()
			mu.Lock()
			delays = append(delays, max(0, last.Sub(ended)))
			mu.Unlock()
			_ = h.server.Zone.Publish(h.boxes[k])
		})
	}
	all.Wait()
	stop()
	wait()
	return delays, *n, *failed, nil
}

// Cost measures questions a second at the server and the daemon's CPU time and memory in a quiet zone.
func Cost(ctx context.Context, o DiscoveryOptions, out io.Writer) error {
	if o.For < time.Second || o.For > 10*time.Minute {
		return errors.New("--for: from 1s to 10m")
	}
	fmt.Fprintln(out, "way    boxes  questions/s  CPU of a core  memory MB")
	for _, n := range o.Sizes {
		if n < 1 || n > sizeMost {
			return fmt.Errorf("--sizes: %d is not from 1 to %d", n, sizeMost)
		}
		for _, way := range o.Ways {
			if err := o.cost(ctx, way, n, out); err != nil {
				return fmt.Errorf("%s with %d boxes: %w", way, n, err)
			}
		}
	}
	return nil
}

func (o DiscoveryOptions) cost(ctx context.Context, way string, n int, out io.Writer) error {
	h, err := o.open(ctx, way, n, false)
	if err != nil {
		return err
	}
	defer h.close()
	time.Sleep(2 * time.Second)
	questions := h.server.Questions.Load()
	cpu, _, err := usage(h.process.Process.Pid)
	if err != nil {
		return err
	}
	began := time.Now()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(o.For):
	}
	used, memory, err := usage(h.process.Process.Pid)
	if err != nil {
		return err
	}
	took := time.Since(began).Seconds()
	fmt.Fprintf(out, "%-6s %5d  %11.1f  %12.1f%%  %9.0f\n", way, n, float64(h.server.Questions.Load()-questions)/took, 100*(used-cpu)/took, memory)
	return nil
}

// usage is a process's CPU time in seconds and its memory in MB (proc(5)).
func usage(pid int) (cpu, memory float64, err error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	if len(fields) < 22 {
		return 0, 0, errors.New("stat: too few fields")
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	return (user + system) / 100, pages * float64(os.Getpagesize()) / 1e6, nil
}

package stage

import (
	"bytes"
	"context"
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
	"standpoint/internal/loopback"
)

// DiscoveryOptions describes a measurement of discovery with the daemon as a process.
type DiscoveryOptions struct {
	Dir, Program string // directory of the operator file and the log, and path of the daemon's program
	Withdrawals  int    // number of withdrawals for each mechanism and loss rate
	// Mechanisms are the mechanisms to be measured: poll, plain (polls a zone without a serial), push, mdns, and all
	// (polls all records every time).
	Mechanisms  []string
	LossRates   []float64     // shares of the packets that are lost, in each direction
	Rate        float64       // requests per second
	MeasureCost bool          // measure the cost of discovery in place of withdrawals
	ZoneSizes   []int         // for the cost: number of backends in the zone
	Duration    time.Duration // for the cost: duration of each measurement
	Out         io.Writer
}

const (
	withdrawalBackends = 40                     // number of backends in the zone while withdrawals are measured
	withdrawInterval   = 50 * time.Millisecond  // time between two withdrawals
	quietPeriod        = 600 * time.Millisecond // time without a request after which a withdrawal is taken as seen
	maxWithdrawals     = 20_000
	zoneDomain         = "hall-a.test"
	zoneService        = "_engine._tcp"
	maxZoneSize        = 4000 // number of backends in a zone
)

// requestTimes has the time of a backend's latest request.
type requestTimes struct {
	mu   sync.Mutex
	last time.Time
}

func (a *requestTimes) record() {
	a.mu.Lock()
	a.last = time.Now()
	a.mu.Unlock()
}

func (a *requestTimes) latest() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last
}

// serveStub serves a backend that responds at once, with a short stream, and records the time of each request.
func serveStub(l net.Listener, times *requestTimes) *http.Server {
	s := &http.Server{ReadHeaderTimeout: 5 * time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			times.record()
			_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, 1<<20))
			w.Header().Set("Content-Type", "text/event-stream")
			for _, text := range []string{`{"choices":[{"delta":{"content":"a"}}]}`,
				`{"choices":[],"usage":{"completion_tokens":1}}`, "[DONE]"} {
				fmt.Fprintf(w, "data: %s\n\n", text)
				_ = http.NewResponseController(w).Flush()
			}
		})}
	go func() { _ = s.Serve(l) }()
	return s
}

// discoveryRun is a running measurement: a DNS-SD responder, backends and the daemon.
type discoveryRun struct {
	DiscoveryOptions
	server        *responder.Server
	backends      []responder.Instance
	requestTimes  []*requestTimes // by backend; empty unless the backends serve
	clientAddress string          // address at which the daemon serves clients
	control       *control.Client
	process       *Program
	closers       []func()
}

func (d *discoveryRun) close() {
	for i := len(d.closers) - 1; i >= 0; i-- {
		d.closers[i]()
	}
}

// start starts a measurement with n backends in the zone. Only if serve is set do they exist; else they are records
// alone.
func (o DiscoveryOptions) start(ctx context.Context, mechanism string, n int, serve bool) (d *discoveryRun, err error) {
	d = &discoveryRun{DiscoveryOptions: o}
	defer func() {
		if err != nil {
			d.close()
		}
	}()
	z := responder.NewZone(zoneDomain, 1)
	if mechanism == "plain" || mechanism == "all" {
		z.OmitSOA()
	}
	for i := range n {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(20_000+i))
		if serve {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return nil, err
			}
			times := &requestTimes{}
			s := serveStub(l, times)
			d.closers = append(d.closers, func() { s.Close() })
			d.requestTimes = append(d.requestTimes, times)
			address = netip.MustParseAddrPort(l.Addr().String())
		}
		d.backends = append(d.backends, responder.Instance{Label: fmt.Sprintf("box-%d", i+1), Service: zoneService,
			Address: address, TTL: 120,
			Text: []string{"site=hall-a", "class=fast", "born_ms=1"}})
	}
	if err := z.Publish(d.backends...); err != nil {
		return nil, err
	}
	if d.server, err = responder.Start(z, "127.0.0.1:0", nil); err != nil {
		return nil, err
	}
	d.closers = append(d.closers, func() { _ = d.server.Close() })
	return d, d.startDaemon(ctx, mechanism, n)
}

// startDaemon starts the daemon and waits until it has found all n backends.
func (d *discoveryRun) startDaemon(ctx context.Context, mechanism string, n int) (err error) {
	if err := os.MkdirAll(d.Dir, 0o700); err != nil {
		return err
	}
	if d.clientAddress, err = loopback.FreeAddress(); err != nil {
		return err
	}
	browseMode, server, push, poll, refresh := "poll", d.server.Address, "", "150ms", "2s"
	switch mechanism {
	case "push":
		browseMode, push = "push", fmt.Sprintf("push = %q\n", d.server.Address)
	case "mdns":
		browseMode, server = "mdns", d.server.MDNSAddress
	case "all":
		refresh = "150ms"
	}
	file := filepath.Join(d.Dir, "operator.toml")
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
%s`, d.clientAddress, poll, refresh, server, zoneService, zoneDomain, browseMode, push)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	// one core, as in the operators' installations
	if d.process, err = StartProgram(d.Program, file, filepath.Join(d.Dir, "standpoint.log"),
		"GOMAXPROCS=1"); err != nil {
		return err
	}
	d.closers = append(d.closers, func() { _ = d.process.Stop() })
	d.control = control.NewClient("unix:"+filepath.Join(d.Dir, "control.sock"), "")
	return d.process.WaitReady(time.Minute, func() bool {
		var all []endpoints.Origin
		if d.control.Call(ctx, http.MethodGet, "/v1/entries", nil, &all) != nil {
			return ctx.Err() != nil
		}
		ready := 0
		for _, e := range all {
			if e.Fault == "" && e.Mechanism != endpoints.MechanismStore &&
				(mechanism != "push" || e.Mechanism == "push") {
				ready++
			}
		}
		return ready == n
	})
}

// sendLoad sends requests at a steady rate until the context ends, and counts them and those that fail. The counts may
// be read after wait.
func (d *discoveryRun) sendLoad(ctx context.Context) (requests, failed *int, wait func()) {
	requests, failed = new(int), new(int)
	var mu sync.Mutex
	var pending sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight,
		IdleConnTimeout: 4 * time.Second}, Timeout: 6 * time.Second}
	inFlight := make(chan struct{}, maxInFlight)
	pending.Go(func() {
		tick := time.NewTicker(time.Duration(float64(time.Second) / d.Rate))
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			select {
			case inFlight <- struct{}{}:
			default:
				continue
			}
			pending.Go(func() {
				defer func() { <-inFlight }()
				r, err := http.NewRequest(http.MethodPost, "http://"+d.clientAddress+"/v1/chat/completions",
					bytes.NewReader([]byte(`{"stream":true,"messages":[{"role":"user","content":"a"}]}`)))
				if err != nil {
					return
				}
				r.Header.Set("X-Trace-Id", fmt.Sprint("d", n))
				r.Header.Set("X-Qos", "chat")
				r.Header.Set("X-Expires-In", "5000m")
				ok := false
				if response, err := client.Do(r); err == nil {
					_, err = io.Copy(io.Discard, io.LimitReader(response.Body, 1<<20))
					ok = err == nil && response.StatusCode == http.StatusOK
					response.Body.Close()
				}
				mu.Lock()
				*requests++
				if !ok {
					*failed++
				}
				mu.Unlock()
			})
		}
	})
	return requests, failed, pending.Wait
}

// Withdrawals measures the time from the withdrawal of a backend's record at the server to the last request that the
// backend gets.
func Withdrawals(ctx context.Context, o DiscoveryOptions, out io.Writer) error {
	if o.Withdrawals < 1 || o.Withdrawals > maxWithdrawals || o.Rate <= 0 || o.Rate > 1000 {
		return fmt.Errorf("%d withdrawals at %g requests per second are not from 1 to %d, at above 0 to 1000",
			o.Withdrawals, o.Rate, maxWithdrawals)
	}
	fmt.Fprintln(out,
		"way    loss  withdrawals  median ms  99th ms  worst ms  over 500 ms  requests  not answered well")
	for _, mechanism := range o.Mechanisms {
		for _, loss := range o.LossRates {
			delays, requests, failed, err := o.withdrawals(ctx, mechanism, loss)
			if err != nil {
				return fmt.Errorf("%s at a loss rate of %g: %w", mechanism, loss, err)
			}
			slices.Sort(delays)
			over500 := 0
			for _, d := range delays {
				if d > 500*time.Millisecond {
					over500++
				}
			}
			quantile := func(q float64) float64 {
				return float64(delays[min(len(delays)-1, int(q*float64(len(delays))))].Microseconds()) / 1000
			}
			fmt.Fprintf(out, "%-6s %4.2f  %11d  %9.0f  %7.0f  %8.0f  %11d  %8d  %d\n", mechanism, loss, len(delays),
				quantile(0.5), quantile(0.99), quantile(1), over500, requests, failed)
		}
	}
	return nil
}

// withdrawals measures the withdrawals of one mechanism at one loss rate. It returns their delays, and the counts of
// the requests sent meanwhile and of those that failed.
func (o DiscoveryOptions) withdrawals(ctx context.Context, mechanism string, loss float64) (
	delays []time.Duration, requests, failed int, err error) {
	d, err := o.start(ctx, mechanism, withdrawalBackends, true)
	if err != nil {
		return nil, 0, 0, err
	}
	defer d.close()
	loading, stop := context.WithCancel(ctx)
	defer stop()
	requestCount, failureCount, wait := d.sendLoad(loading)
	time.Sleep(time.Second)
	d.server.SetFaults(responder.Faults{Loss: loss})
	var mu sync.Mutex
	var all sync.WaitGroup
	tick := time.NewTicker(withdrawInterval)
	defer tick.Stop()
	for i := range o.Withdrawals {
		select {
		case <-ctx.Done():
			stop()
			wait()
			return nil, 0, 0, ctx.Err()
		case <-tick.C:
		}
		k := i % withdrawalBackends
		if err := d.server.Zone.Withdraw(d.backends[k]); err != nil {
			return nil, 0, 0, err
		}
		withdrawnAt := time.Now()
		all.Go(func() {
			// A backend that still gets requests after the quiet period stays withdrawn until they end, for up to 10 s.
			for limit := withdrawnAt.Add(10 * time.Second); time.Now().Before(limit); {
				time.Sleep(quietPeriod)
				if last := d.requestTimes[k].latest(); time.Since(last) > quietPeriod {
					break
				}
			}
			last := d.requestTimes[k].latest()
			mu.Lock()
			delays = append(delays, max(0, last.Sub(withdrawnAt)))
			mu.Unlock()
			_ = d.server.Zone.Publish(d.backends[k])
		})
	}
	all.Wait()
	stop()
	wait()
	return delays, *requestCount, *failureCount, nil
}

// Cost measures, in a zone without changes, the DNS questions per second at the server and the daemon's CPU time and
// memory.
func Cost(ctx context.Context, o DiscoveryOptions, out io.Writer) error {
	if o.Duration < time.Second || o.Duration > 10*time.Minute {
		return fmt.Errorf("--for: %v is not from 1s to 10m", o.Duration)
	}
	fmt.Fprintln(out, "way    boxes  questions/s  CPU of a core  memory MB")
	for _, n := range o.ZoneSizes {
		if n < 1 || n > maxZoneSize {
			return fmt.Errorf("--sizes: %d is not from 1 to %d", n, maxZoneSize)
		}
		for _, mechanism := range o.Mechanisms {
			if err := o.cost(ctx, mechanism, n, out); err != nil {
				return fmt.Errorf("%s with %d backends: %w", mechanism, n, err)
			}
		}
	}
	return nil
}

// cost measures one mechanism with n backends in the zone.
func (o DiscoveryOptions) cost(ctx context.Context, mechanism string, n int, out io.Writer) error {
	d, err := o.start(ctx, mechanism, n, false)
	if err != nil {
		return err
	}
	defer d.close()
	time.Sleep(2 * time.Second)
	queriesBefore := d.server.QueryCount.Load()
	cpu, _, err := usage(d.process.Process.Pid)
	if err != nil {
		return err
	}
	began := time.Now()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(o.Duration):
	}
	used, memory, err := usage(d.process.Process.Pid)
	if err != nil {
		return err
	}
	elapsed := time.Since(began).Seconds()
	fmt.Fprintf(out, "%-6s %5d  %11.1f  %12.1f%%  %9.0f\n", mechanism, n,
		float64(d.server.QueryCount.Load()-queriesBefore)/elapsed, 100*(used-cpu)/elapsed, memory)
	return nil
}

// usage returns a process's CPU time in seconds and its resident memory in MB, from /proc/PID/stat (proc(5)).
func usage(pid int) (cpu, memory float64, err error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	if len(fields) < 22 {
		return 0, 0, fmt.Errorf("/proc/%d/stat: %d fields after the name, expected at least 22", pid, len(fields))
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	return (user + system) / 100, pages * float64(os.Getpagesize()) / 1e6, nil
}

package experiment

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"standpoint/internal/lab"
	"standpoint/internal/lab/emulator/server"
	"standpoint/internal/lab/load"
	"standpoint/internal/lab/stage"
	"standpoint/internal/loopback"
)

// Bounds of an experiment on sockets.
const (
	maxSocketBackends = 60
	maxSocketNodes    = 8
	maxSocketRate     = 500.0 // requests per second
	maxSocketSeeds    = 50
	nodeMemoryLimit   = 192 << 20 // largest resident memory of a node at the end, in bytes
	// baseGoroutines is the number of goroutines that a node may have after all requests have ended, in addition to
	// four per backend.
	baseGoroutines = 150
)

// RunOnSockets runs an experiment in real time, with the daemon as processes, emulated backends on sockets and the load
// generator, one variant and seed after the other. Its results depend on the machine; the rules that it checks do
// not.
func RunOnSockets(ctx context.Context, f *File, program, dir string, progress io.Writer) (*Report, error) {
	if f.Seeds > maxSocketSeeds {
		return nil, fmt.Errorf("seeds: %d is not from 1 to %d on sockets", f.Seeds, maxSocketSeeds)
	}
	r := &Report{File: f}
	for _, v := range f.Variants {
		r.Variants = append(r.Variants, VariantResult{Name: v.Name, Breaches: map[string]int{}})
	}
	for i := range f.Seeds {
		outcomes := make([]lab.Outcome, len(f.Variants))
		for k, v := range f.Variants {
			merged := f.Parameters.override(v.Parameters)
			setup, err := merged.setup(f.FirstSeed + uint64(i))
			if err != nil {
				return nil, err
			}
			switch {
			case setup.Policy != "module":
				return nil, fmt.Errorf("variant[%d].policy: on sockets only the daemon runs, not %q", k, setup.Policy)
			case setup.OldBackends > maxSocketBackends || setup.Nodes > maxSocketNodes || setup.Rate > maxSocketRate:
				return nil, fmt.Errorf("variant[%d]: %d boxes, %d nodes and %g requests per second exceed the bounds "+
					"on sockets of %d, %d and %g", k, setup.OldBackends, setup.Nodes, setup.Rate,
					maxSocketBackends, maxSocketNodes, maxSocketRate)
			case setup.ListDelay > 0 || setup.ReportLossRate > 0 || setup.AttemptLossRate > 0:
				return nil, fmt.Errorf("variant[%d]: list_late, report_lost and message_lost are only possible in "+
					"virtual time", k)
			}
			s := &socketRun{File: f, setup: setup, pattern: merged.Pattern, program: program,
				dir: filepath.Join(dir, fmt.Sprintf("%s-%d", v.Name, setup.Seed))}
			if outcomes[k], err = s.run(ctx); err != nil {
				return nil, fmt.Errorf("variant %q, seed %d: %w", v.Name, setup.Seed, err)
			}
			if ctx.Err() != nil {
				break
			}
			if progress != nil {
				fmt.Fprintf(progress, "%s, seed %d: service %.3f\n", v.Name, setup.Seed, outcomes[k].Service)
			}
		}
		if ctx.Err() != nil {
			r.Incomplete = true
			break
		}
		for k := range outcomes {
			r.Variants[k].addRun(outcomes[k])
		}
	}
	if len(r.Variants[0].Runs) == 0 {
		return nil, errors.New("no seed was run to its end")
	}
	for k := 1; k < len(r.Variants); k++ {
		r.Variants[k].AgainstFirst = pairedDifferences(r.Variants[0].Runs, r.Variants[k].Runs)
	}
	return r, nil
}

// socketRun is one run of an experiment on sockets.
type socketRun struct {
	*File
	setup   lab.Setup
	pattern string
	program string
	dir     string

	mu            sync.Mutex
	backends      *server.RunningFleet
	backendStates []backendState
	nodes         []*socketNode
	closers       []func() error
}

// backendState is what the nodes' endpoint list says of a backend; the zero start time means long ago.
type backendState struct {
	draining bool
	started  time.Time
}

// socketNode is a daemon process.
type socketNode struct {
	clientAddress, metricsAddress, configFile string
	process                                   *stage.Program
}

// run runs the experiment once and stops everything that it started.
func (s *socketRun) run(ctx context.Context) (o lab.Outcome, err error) {
	defer func() {
		for i := len(s.closers) - 1; i >= 0; i-- {
			err = errors.Join(err, s.closers[i]())
		}
	}()
	if err := os.MkdirAll(s.dir, 0o700); err != nil {
		return o, err
	}
	if err := s.startBackends(); err != nil {
		return o, err
	}
	for i := range s.setup.Nodes {
		if err := s.startNode(ctx, i); err != nil {
			return o, err
		}
	}
	for _, e := range s.faultEvents() {
		t := time.AfterFunc(time.Duration(e.At*1e9), func() { s.applyEvent(e) })
		s.closers = append(s.closers, func() error { t.Stop(); return nil })
	}
	reports := make([]*load.Report, s.setup.Nodes)
	errs := make([]error, s.setup.Nodes)
	var clients sync.WaitGroup
	for i, n := range s.nodes {
		clients.Go(func() { reports[i], errs[i] = load.Run(ctx, load.Options{Plan: s.loadPlan(n, i, errs)}) })
	}
	clients.Wait()
	if err := errors.Join(errs...); err != nil {
		return o, err
	}
	merged, err := load.MergeReports(reports...)
	if err != nil {
		return o, err
	}
	return s.outcome(ctx, merged), nil
}

// loadPlan returns the load generator's plan for a node, which gets an equal share of the load.
func (s *socketRun) loadPlan(n *socketNode, i int, errs []error) *load.Plan {
	p := &load.Plan{Target: n.clientAddress, Pattern: s.pattern, Duration: s.Settle + s.Duration, Seed: s.setup.Seed*64 +
		uint64(i) + 1, MaxSendLag: load.Duration(20 * time.Millisecond)}
	for k, c := range lab.OperatorWorkload() {
		p.Classes = append(p.Classes, load.Class{Name: classNames[k], Weight: c.RequestShare,
			TTFTObjective: load.Duration(c.TTFTObjective), TPOTObjective: load.Duration(c.TPOTObjective),
			TTFTObjectivePer1000Tokens: load.Duration(c.TTFTObjectivePer1000Tokens), Timeout: load.Duration(c.Deadline),
			Prompt: c.NewTokens, Spread: c.PromptSigma, MaxTokens: c.MaxOutputTokens,
			Turns: c.MeanTurns, ThinkTime: load.Duration(c.ThinkTime * 1e9), PrefixTokens: c.PrefixTokens,
			Prefixes: c.Prefixes, RetryPolicy: load.RetryAfter, Retries: 2, RetryWait: load.Duration(300 * time.Millisecond)})
	}
	if errs[i] = p.Complete(); errs[i] == nil {
		p.Compiled = p.Compiled.Scaled(1 / float64(s.setup.Nodes))
	}
	return p
}

var classNames = []string{"sheet-import", "foreman-chat"}

// startBackends starts the emulated backends.
func (s *socketRun) startBackends() error {
	kinds := lab.BackendKinds()
	rng := rand.New(rand.NewPCG(s.setup.Seed, 0x1ab))
	s.backends = &server.RunningFleet{}
	s.closers = append(s.closers, func() error { return s.backends.Close() })
	for i := range s.setup.OldBackends {
		parameters := kinds[i%len(kinds)]
		parameters.Capacity = lab.Capacity(parameters)
		parameters.Step *= math.Exp((rng.Float64()*2 - 1) * s.setup.SpeedSpread)
		backend, err := server.Start(server.Options{Name: fmt.Sprintf("box-%d", i), Listen: "127.0.0.1:0",
			Parameters: parameters, Seed: s.setup.Seed*1000 + uint64(i), MeanTokens: 105, TokenSpread: 0.5})
		if err != nil {
			return err
		}
		s.backends.Servers = append(s.backends.Servers, backend)
		s.backendStates = append(s.backendStates, backendState{})
	}
	return nil
}

// operatorFile returns a node's operator file with the backends in their present state.
func (s *socketRun) operatorFile(n *socketNode, i int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Written by \"lab run --sockets\".\nname = \"node-%d\"\nlisten = %q\n"+
		"[limits]\ncores = 1.0\nmemory_mb = 192\nsockets = 1024\n", i, n.clientAddress)
	fmt.Fprintf(&b, "[log]\nform = \"console\"\nlevel = \"warn\"\n[metrics]\nlisten = %q\n", n.metricsAddress)
	fmt.Fprintf(&b, "[module]\nnodes = %d\nordinal = %d\nzones = [\"hall\"]\nzone = \"hall\"\n"+
		"kinds = [\"fast\", \"standard\", \"slow\"]\nresume = true\n", s.setup.Nodes, i)
	for k, c := range lab.OperatorWorkload() {
		ms := func(v int64) time.Duration { return time.Duration(v) }
		fmt.Fprintf(&b, "[[class]]\nname = %q\nfirst_token = %q\nper_1000_prompt_tokens = %q\n"+
			"token_gap = %q\ngive_up = %q\nworth = %.1f\n", classNames[k], ms(c.TTFTObjective),
			ms(c.TTFTObjectivePer1000Tokens), ms(c.TPOTObjective), ms(c.Deadline), c.Weight)
	}
	for k, backend := range s.backends.Servers {
		fmt.Fprintf(&b, "[[real_server]]\nname = %q\naddress = %q\nzone = \"hall\"\nkind = %q\n", backend.Name,
			backend.Address, []string{"fast", "standard", "slow"}[k%3])
		if s.backendStates[k].draining {
			b.WriteString("draining = true\n")
		}
		if !s.backendStates[k].started.IsZero() {
			fmt.Fprintf(&b, "started = %s\n", s.backendStates[k].started.UTC().Format(time.RFC3339Nano))
		}
	}
	return b.String()
}

// startNode starts a daemon process and waits until it serves its metrics.
func (s *socketRun) startNode(ctx context.Context, i int) (err error) {
	n := &socketNode{configFile: filepath.Join(s.dir, fmt.Sprintf("node-%d.toml", i))}
	if n.clientAddress, err = loopback.FreeAddress(); err != nil {
		return err
	}
	if n.metricsAddress, err = loopback.FreeAddress(); err != nil {
		return err
	}
	if err := os.WriteFile(n.configFile, []byte(s.operatorFile(n, i)), 0o600); err != nil {
		return err
	}
	if n.process, err = stage.StartProgram(s.program, n.configFile,
		filepath.Join(s.dir, fmt.Sprintf("node-%d.log", i))); err != nil {
		return err
	}
	s.nodes = append(s.nodes, n)
	s.closers = append(s.closers, n.process.Stop)
	return n.process.WaitReady(10*time.Second, func() bool {
		_, err := n.gauges(ctx)
		return err == nil || ctx.Err() != nil
	})
}

// gauges reads a node's metrics that have no labels.
func (n *socketNode) gauges(ctx context.Context) (map[string]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.metricsAddress+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	all := map[string]float64{}
	lines := bufio.NewScanner(io.LimitReader(response.Body, 4<<20))
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			all[name] = v
		}
	}
	return all, lines.Err()
}

// applyEvent executes a fault event. Changes of the endpoint list reach the nodes by their operator files and SIGHUP.
func (s *socketRun) applyEvent(e lab.FaultEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	listChanged := false
	for k, backend := range s.backends.Servers {
		selected := len(e.Backends) == 0
		for _, b := range e.Backends {
			selected = selected || b == k
		}
		if !selected {
			continue
		}
		names = append(names, backend.Name)
		switch e.Command {
		case "drain":
			s.backendStates[k].draining, listChanged = true, true
		case "restart", "replace":
			s.backendStates[k], listChanged = backendState{started: time.Now()}, true
		}
	}
	command := e.Command
	if command == "replace" {
		command = "restart"
	}
	// cannot fail: the event was checked with the file
	_ = s.backends.Apply(command, strconv.FormatFloat(e.Value, 'g', -1, 64), names...)
	if !listChanged {
		return
	}
	for i, n := range s.nodes {
		if os.WriteFile(n.configFile, []byte(s.operatorFile(n, i)), 0o600) == nil {
			_ = n.process.Process.Signal(syscall.SIGHUP)
		}
	}
}

// outcome returns the run's outcome, from the load generator's report, the backends' counts and the nodes' metrics.
// The settling time counts in all results but Seconds and MinService. These two count requests in place of weights, and
// the TTFT99 of a second is the longest time to first token.
func (s *socketRun) outcome(ctx context.Context, r *load.Report) lab.Outcome {
	o := lab.Outcome{Seed: s.setup.Seed, Breaches: map[string]int{}}
	offered, onTime := 0.0, 0.0
	for k, c := range lab.OperatorWorkload() {
		if f := r.Classes[classNames[k]]; f != nil {
			offered, onTime = offered+c.Weight*float64(f.Intended), onTime+c.Weight*float64(f.InTime)
		}
	}
	all := r.All()
	o.Requests, o.Service = all.Intended, onTime/max(1, offered)
	o.TTFT50, o.TTFT99 = float64(all.FirstToken.ValueAtQuantile(50))/1e6, float64(all.FirstToken.ValueAtQuantile(99))/1e6
	o.RejectionRatio = float64(all.Rejected) / max(1, float64(all.Intended))
	settle := int(time.Duration(s.Settle).Seconds())
	o.MinService = 1
	for i := settle; i < len(r.Seconds); i++ {
		second := r.Seconds[i]
		o.Seconds = append(o.Seconds, lab.OutcomeSecond{OfferedWeight: float64(second.Asked),
			OnTimeWeight: float64(second.InTime), TTFT99: second.FirstMS / 1000, Rejections: second.TurnedDown})
		if n := len(o.Seconds); n >= 10 {
			offeredIn10, onTimeIn10 := 0.0, 0.0
			for _, in := range o.Seconds[n-10:] {
				offeredIn10, onTimeIn10 = offeredIn10+in.OfferedWeight, onTimeIn10+in.OnTimeWeight
			}
			if offeredIn10 > 0 {
				o.MinService = min(o.MinService, onTimeIn10/offeredIn10)
			}
		}
	}
	attempts, concurrent := make([]float64, len(s.backends.Servers)), 0
	sum, square := 0.0, 0.0
	for k, backend := range s.backends.Servers {
		d, n := backend.AttemptCounts()
		concurrent += d
		attempts[k] = float64(n)
		sum += float64(n)
	}
	mean := sum / float64(len(attempts))
	for _, n := range attempts {
		square += (n - mean) * (n - mean) / float64(len(attempts))
	}
	o.Skew = math.Sqrt(square) / max(1e-9, mean)
	o.ExtraAttempts = max(0, sum/max(1, float64(all.Intended+all.Retries))-1)
	if concurrent > 0 {
		o.Breaches["two attempts at once"] = concurrent
	}
	for _, n := range s.nodes {
		gauges, err := n.gauges(ctx)
		if err != nil {
			o.Breaches["a node that does not answer at the end"]++
			continue
		}
		if gauges["process_resident_memory_bytes"] > nodeMemoryLimit {
			o.Breaches["memory above its limit"]++
		}
		if gauges["go_goroutines"] > baseGoroutines+4*float64(len(s.backends.Servers)) {
			o.Breaches["goroutines left over"]++
		}
		if gauges["standpoint_open_flows"] > 0 {
			o.Breaches["flows left open"] += int(gauges["standpoint_open_flows"])
		}
	}
	return o
}

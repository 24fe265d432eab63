package experiment

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
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
)

// Bounds of an experiment on sockets.
const (
	socketBoxes = 60
	socketNodes = 8
	socketRate  = 500.0
	socketSeeds = 50
	memoryLimit = 192 << 20 // bytes of a node
	// idleRoutines is how many goroutines a node may have once all its flows are over, beside four for each box.
	idleRoutines = 150
)

// Sockets plays an experiment's file with the daemon as processes, boxes on sockets and the load generator: one variant
// and seed after the other. Its figures depend on the machine; the rules are the same.
func Sockets(ctx context.Context, f *File, program, dir string, progress io.Writer) (*Report, error) {
	if f.Seeds > socketSeeds {
		return nil, fmt.Errorf("seeds: %d, on sockets %d at most", f.Seeds, socketSeeds)
	}
	r := &Report{File: f}
	for _, v := range f.Variants {
		r.Variants = append(r.Variants, Result{Name: v.Name, Breaches: map[string]int{}})
	}
	for i := range f.Seeds {
		row := make([]lab.Outcome, len(f.Variants))
		for k, v := range f.Variants {
			w := f.World.with(v.World)
			setup, err := w.setup(f.First + uint64(i))
			if err != nil {
				return nil, err
			}
			switch {
			case setup.Policy != "module":
				return nil, fmt.Errorf("variant[%d].policy: on sockets there is the daemon alone, no %s", k, setup.Policy)
			case setup.Old > socketBoxes || setup.Nodes > socketNodes || setup.Rate > socketRate:
				return nil, fmt.Errorf("variant[%d]: on sockets up to %d boxes, %d nodes and %g requests a second", k, socketBoxes, socketNodes, socketRate)
			case setup.ListLate > 0 || setup.ReportLost > 0 || setup.MessageLost > 0:
				return nil, fmt.Errorf("variant[%d]: list_late, report_lost and message_lost are for virtual time", k)
			}
			s := &socketRun{File: f, setup: setup, pattern: w.Pattern, program: program, dir: filepath.Join(dir, fmt.Sprintf("%s-%d", v.Name, setup.Seed))}
			if row[k], err = s.run(ctx); err != nil {
				return nil, fmt.Errorf("variant %q, seed %d: %w", v.Name, setup.Seed, err)
			}
			if ctx.Err() != nil {
				break
			}
			if progress != nil {
				fmt.Fprintf(progress, "%s, seed %d: service %.3f\n", v.Name, setup.Seed, row[k].Service)
			}
		}
		if ctx.Err() != nil {
			r.Cut = true
			break
		}
		for k := range row {
			r.Variants[k].add(row[k])
		}
	}
	if len(r.Variants[0].Runs) == 0 {
		return nil, errors.New("no seed was run to its end")
	}
	for k := 1; k < len(r.Variants); k++ {
		r.Variants[k].Against = compare(r.Variants[0].Runs, r.Variants[k].Runs)
	}
	return r, nil
}

// socketRun is one run on sockets.
type socketRun struct {
	*File
	setup   lab.Setup
	pattern string
	program string
	dir     string

	mu    sync.Mutex
	fleet *server.Running
	state []boxState
	nodes []*socketNode
	stops []func() error
}

type boxState struct {
	draining bool
	started  time.Time
}

type socketNode struct {
	front, metrics, file string
	process              *stage.Program
}

func (s *socketRun) run(ctx context.Context) (o lab.Outcome, err error) {
	defer func() {
		for i := len(s.stops) - 1; i >= 0; i-- {
			err = errors.Join(err, s.stops[i]())
		}
	}()
	if err := os.MkdirAll(s.dir, 0o700); err != nil {
		return o, err
	}
	if err := s.boxes(); err != nil {
		return o, err
	}
	for i := range s.setup.Nodes {
		if err := s.node(ctx, i); err != nil {
			return o, err
		}
	}
	for _, e := range s.events() {
		t := time.AfterFunc(time.Duration(e.At*1e9), func() { s.happen(e) })
		s.stops = append(s.stops, func() error { t.Stop(); return nil })
	}
	reports := make([]*load.Report, s.setup.Nodes)
	errs := make([]error, s.setup.Nodes)
	var all sync.WaitGroup
	for i, n := range s.nodes {
		all.Go(func() { reports[i], errs[i] = load.Run(ctx, load.Options{Plan: s.plan(n, i, errs)}) })
	}
	all.Wait()
	if err := errors.Join(errs...); err != nil {
		return o, err
	}
	merged, err := load.MergeReports(reports...)
	if err != nil {
		return o, err
	}
	return s.outcome(ctx, merged), nil
}

func (s *socketRun) plan(n *socketNode, i int, errs []error) *load.Plan {
	p := &load.Plan{Target: n.front, Pattern: s.pattern, For: s.Settle + s.For, Seed: s.setup.Seed*64 + uint64(i) + 1, Lag: load.Span(20 * time.Millisecond)}
	for k, c := range lab.Tabel() {
		p.Classes = append(p.Classes, load.Class{Name: classNames[k], Part: c.Part, Aim: load.Span(c.TTFTObjective), PerK: load.Span(c.TTFTObjectivePer1000Tokens), Gap: load.Span(c.TPOTObjective),
			GiveUp: load.Span(c.Deadline), Prompt: c.New, Spread: c.Sigma, Out: c.MaxOut, Turns: c.Turns, Think: load.Span(c.Think * 1e9), Shared: c.PrefixTokens,
			Starts: c.Prefixes, Habit: load.RetryAfter, Retries: 2, Wait: load.Span(300 * time.Millisecond)})
	}
	if errs[i] = p.Complete(); errs[i] == nil {
		p.Compiled = p.Compiled.Times(1 / float64(s.setup.Nodes))
	}
	return p
}

var classNames = []string{"sheet-import", "foreman-chat"}

func (s *socketRun) boxes() error {
	kinds := lab.Kinds()
	rng := rand.New(rand.NewPCG(s.setup.Seed, 0x1ab))
	s.fleet = &server.Running{}
	s.stops = append(s.stops, func() error { return s.fleet.Close() })
	for i := range s.setup.Old {
		figures := kinds[i%len(kinds)]
		figures.Capacity = lab.Capacity(figures)
		figures.Step *= math.Exp((rng.Float64()*2 - 1) * s.setup.Spread)
		one, err := server.Start(server.Options{Name: fmt.Sprintf("box-%d", i), Listen: "127.0.0.1:0", Figures: figures, Seed: s.setup.Seed*1000 + uint64(i), Out: 105, Spread: 0.5})
		if err != nil {
			return err
		}
		s.fleet.Servers = append(s.fleet.Servers, one)
		s.state = append(s.state, boxState{})
	}
	return nil
}

// operatorFile is a node's file with the boxes as they are.
func (s *socketRun) operatorFile(n *socketNode, i int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Written by \"lab run --sockets\".\nname = \"node-%d\"\nlisten = %q\n[limits]\ncores = 1.0\nmemory_mb = 192\nsockets = 1024\n", i, n.front)
	fmt.Fprintf(&b, "[log]\nform = \"console\"\nlevel = \"warn\"\n[metrics]\nlisten = %q\n", n.metrics)
	fmt.Fprintf(&b, "[module]\nnodes = %d\nordinal = %d\nzones = [\"hall\"]\nzone = \"hall\"\nkinds = [\"fast\", \"standard\", \"slow\"]\nresume = true\n", s.setup.Nodes, i)
	for k, c := range lab.Tabel() {
		ms := func(v int64) time.Duration { return time.Duration(v) }
		fmt.Fprintf(&b, "[[class]]\nname = %q\nfirst_token = %q\nper_1000_prompt_tokens = %q\ntoken_gap = %q\ngive_up = %q\nworth = %.1f\n", classNames[k], ms(c.TTFTObjective),
			ms(c.TTFTObjectivePer1000Tokens), ms(c.TPOTObjective), ms(c.Deadline), c.Weight)
	}
	for k, one := range s.fleet.Servers {
		fmt.Fprintf(&b, "[[real_server]]\nname = %q\naddress = %q\nzone = \"hall\"\nkind = %q\n", one.Name, one.Address, []string{"fast", "standard", "slow"}[k%3])
		if s.state[k].draining {
			b.WriteString("draining = true\n")
		}
		if !s.state[k].started.IsZero() {
			fmt.Fprintf(&b, "started = %s\n", s.state[k].started.UTC().Format(time.RFC3339Nano))
		}
	}
	return b.String()
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

func (s *socketRun) node(ctx context.Context, i int) (err error) {
	n := &socketNode{file: filepath.Join(s.dir, fmt.Sprintf("node-%d.toml", i))}
	if n.front, err = freeAddress(); err != nil {
		return err
	}
	if n.metrics, err = freeAddress(); err != nil {
		return err
	}
	if err := os.WriteFile(n.file, []byte(s.operatorFile(n, i)), 0o600); err != nil {
		return err
	}
	if n.process, err = stage.StartProgram(s.program, n.file, filepath.Join(s.dir, fmt.Sprintf("node-%d.log", i))); err != nil {
		return err
	}
	s.nodes = append(s.nodes, n)
	s.stops = append(s.stops, n.process.Stop)
	return n.process.Up(10*time.Second, func() bool {
		_, err := n.gauges(ctx)
		return err == nil || ctx.Err() != nil
	})
}

// gauges are a node's metrics without labels.
func (n *socketNode) gauges(ctx context.Context) (map[string]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.metrics+"/metrics", nil)
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

// happen brings a happening about; what the list tells of goes to the nodes by their files and SIGHUP.
func (s *socketRun) happen(e lab.Happening) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	relist := false
	for k, one := range s.fleet.Servers {
		mine := len(e.Boxes) == 0
		for _, b := range e.Boxes {
			mine = mine || b == k
		}
		if !mine {
			continue
		}
		names = append(names, one.Name)
		switch e.Do {
		case "drain":
			s.state[k].draining, relist = true, true
		case "restart", "replace":
			s.state[k], relist = boxState{started: time.Now()}, true
		}
	}
	deed := e.Do
	if deed == "replace" {
		deed = "restart"
	}
	_ = s.fleet.Do(deed, strconv.FormatFloat(e.Value, 'g', -1, 64), names...) // the file was checked
	if !relist {
		return
	}
	for i, n := range s.nodes {
		if os.WriteFile(n.file, []byte(s.operatorFile(n, i)), 0o600) == nil {
			_ = n.process.Process.Signal(syscall.SIGHUP)
		}
	}
}

// outcome is the run's, from the clients' report and from what the boxes saw.
func (s *socketRun) outcome(ctx context.Context, r *load.Report) lab.Outcome {
	o := lab.Outcome{Seed: s.setup.Seed, Breaches: map[string]int{}}
	asked, good := 0.0, 0.0
	for k, c := range lab.Tabel() {
		if f := r.Classes[classNames[k]]; f != nil {
			asked, good = asked+c.Weight*float64(f.Asked), good+c.Weight*float64(f.InTime)
		}
	}
	all := r.All()
	o.Asked, o.Service = all.Asked, good/max(1, asked)
	o.First50, o.First99 = float64(all.First.ValueAtQuantile(50))/1e6, float64(all.First.ValueAtQuantile(99))/1e6
	o.Down = float64(all.TurnedDown) / max(1, float64(all.Asked))
	settle := int(time.Duration(s.Settle).Seconds())
	o.Least = 1
	for i := settle; i < len(r.Seconds); i++ {
		sec := r.Seconds[i]
		o.Seconds = append(o.Seconds, lab.Instant{Asked: float64(sec.Asked), InTime: float64(sec.InTime), First99: sec.FirstMS / 1000, Down: sec.TurnedDown})
		if n := len(o.Seconds); n >= 10 {
			a, g := 0.0, 0.0
			for _, in := range o.Seconds[n-10:] {
				a, g = a+in.Asked, g+in.InTime
			}
			if a > 0 {
				o.Least = min(o.Least, g/a)
			}
		}
	}
	taken, doubles := make([]float64, len(s.fleet.Servers)), 0
	sum, square := 0.0, 0.0
	for k, one := range s.fleet.Servers {
		d, n := one.Doubles()
		doubles += d
		taken[k] = float64(n)
		sum += float64(n)
	}
	mean := sum / float64(len(taken))
	for _, n := range taken {
		square += (n - mean) * (n - mean) / float64(len(taken))
	}
	o.Skew = math.Sqrt(square) / max(1e-9, mean)
	o.Waste = max(0, sum/max(1, float64(all.Asked+all.Retries))-1)
	if doubles > 0 {
		o.Breaches["two attempts at once"] = doubles
	}
	for _, n := range s.nodes {
		g, err := n.gauges(ctx)
		if err != nil {
			o.Breaches["a node that does not answer at the end"]++
			continue
		}
		if g["process_resident_memory_bytes"] > memoryLimit {
			o.Breaches["memory above its limit"]++
		}
		if g["go_goroutines"] > idleRoutines+4*float64(len(s.fleet.Servers)) {
			o.Breaches["goroutines left over"]++
		}
		if g["standpoint_open_flows"] > 0 {
			o.Breaches["flows left open"] += int(g["standpoint_open_flows"])
		}
	}
	return o
}

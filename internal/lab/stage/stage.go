// Package stage plays a move on one machine: two pools of emulated boxes on loopback sockets, the daemon itself as a
// program before them, and clients. It belongs to the laboratory.
package stage

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"standpoint/internal/control"
	"standpoint/internal/lab"
	"standpoint/internal/lab/emulator/server"
	"standpoint/internal/migration"
	"standpoint/internal/migration/controller"
)

// Bounds of a stage.
const (
	longest    = 30 * time.Minute
	fastest    = 200.0 // requests a second
	mostBoxes  = 40
	mostOut    = 400 // requests at once
	turnsMost  = 12
	promptMost = 30_000 // tokens
)

// Options of a stage.
type Options struct {
	Dir     string
	Program string // the daemon
	Rate    float64
	Old,
	New int
	Cold  bool          // the new boxes start now
	For   time.Duration // 0: until the context ends
	Seed  uint64
	Hold  string // of the file's [move]; "": its default
	Start bool   // start the move itself, after Settle
	// Settle is how long the old pool serves alone before.
	Settle time.Duration
	// Slow, if above 1, makes the new boxes so many times slower SlowAfter into the hold of step SlowStep.
	Slow      float64
	SlowStep  int
	SlowAfter time.Duration
	Out       io.Writer
}

// Point is one second of a stage.
type Point struct {
	At       float64         `json:"at_s"`
	Asked    float64         `json:"asked"`   // worth
	InTime   float64         `json:"in_time"` // of it
	Requests int             `json:"requests"`
	Failed   int             `json:"failed"`
	Share    float64         `json:"share"`
	State    migration.State `json:"state"`
	Evidence float64         `json:"evidence"`
	OldFirst float64         `json:"old_first_token_s"` // median, as the boxes saw it; 0: none
	NewFirst float64         `json:"new_first_token_s"`
	OldLoad  float64         `json:"old_slots"` // share in use, mean
	NewLoad  float64         `json:"new_slots"`
}

// Report is what a stage gives.
type Report struct {
	Points   []Point           `json:"points"`
	Move     *migration.Record `json:"move,omitempty"`
	Doubles  int               `json:"two_attempts_at_once"`
	Attempts int               `json:"attempts"`
	Asked    int               `json:"requests"`
	SlowAt   float64           `json:"slow_at_s"` // 0: never
	BackAt   float64           `json:"back_at_s"`
}

type stage struct {
	Options
	base    time.Time
	classes []lab.WorkClass
	front   string
	control *control.Client
	old     *server.Running
	new     *server.Running
	client  *http.Client

	mu     sync.Mutex
	rng    *rand.Rand
	points []Point
	report Report
	out    chan struct{}
	all    sync.WaitGroup
}

// Run plays the stage until its time or the context ends, and writes report.json and report.png into its folder.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Rate <= 0 || o.Rate > fastest || o.Old < 1 || o.New < 1 || o.Old+o.New > mostBoxes {
		return nil, fmt.Errorf("a stage has up to %g requests a second and %d boxes, at least one in each pool", fastest, mostBoxes)
	}
	limit := longest
	if o.For > 0 {
		limit = min(o.For, longest)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	s := &stage{Options: o, base: time.Now(), classes: lab.Tabel(), rng: rand.New(rand.NewPCG(o.Seed, 0x57a6e)),
		out: make(chan struct{}, mostOut), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: mostOut, IdleConnTimeout: 4 * time.Second}}}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, err
	}
	var err error
	if s.old, err = s.fleet("old", o.Old, false); err != nil {
		return nil, err
	}
	defer func() { _ = s.old.Close() }()
	if s.new, err = s.fleet("new", o.New, o.Cold); err != nil {
		return nil, err
	}
	defer func() { _ = s.new.Close() }()
	stop, err := s.daemon(ctx)
	if err != nil {
		return nil, err
	}
	go s.clients(ctx)
	s.watch(ctx)
	cancel()
	s.all.Wait()
	if err := stop(); err != nil {
		return nil, err
	}
	return s.finish()
}

func (s *stage) fleet(name string, n int, cold bool) (*server.Running, error) {
	f := &server.Fleet{Seed: s.Seed, Out: 105, Spread: 0.5}
	kinds := lab.Kinds()
	r := &server.Running{}
	for i := range n {
		figures := kinds[i%len(kinds)]
		figures.Capacity = figures.Able(700, 1500, 105, 0.05)
		one, err := server.Start(server.Options{Name: fmt.Sprintf("%s-%d", name, i+1), Listen: "127.0.0.1:0", Figures: figures,
			Seed: s.Seed + uint64(i), Cold: cold, Out: f.Out, Spread: f.Spread})
		if err != nil {
			return nil, errors.Join(err, r.Close())
		}
		r.Servers = append(r.Servers, one)
	}
	return r, nil
}

// daemon writes the operator's file and starts the program.
func (s *stage) daemon(ctx context.Context) (stop func() error, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.front = l.Addr().String()
	l.Close()
	var b strings.Builder
	fmt.Fprintf(&b, `# Written by "lab stage".
name = "stage-1"
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
kinds = ["fast", "standard", "slow"]
resume = true
[[class]]
name = "sheet-import"
first_token = "2.5s"
per_1000_prompt_tokens = "60ms"
token_gap = "50ms"
give_up = "10s"
worth = 2.0
[[class]]
name = "foreman-chat"
first_token = "1.2s"
per_1000_prompt_tokens = "30ms"
token_gap = "100ms"
give_up = "5s"
worth = 5.0
[[pool]]
name = "old"
select = 'version == "v1"'
[[pool]]
name = "new"
select = 'version == "v2"'
`, s.front)
	if s.Hold != "" {
		fmt.Fprintf(&b, "[move]\nhold = %q\n", s.Hold)
	}
	for _, p := range []struct {
		version string
		fleet   *server.Running
		cold    bool
	}{{"v1", s.old, false}, {"v2", s.new, s.Cold}} {
		for i, one := range p.fleet.Servers {
			fmt.Fprintf(&b, "[[real_server]]\nname = %q\naddress = %q\nzone = \"hall-a\"\nkind = %q\nlabels = { version = %q }\n", one.Name, one.Address,
				[]string{"fast", "standard", "slow"}[i%3], p.version)
			if p.cold {
				fmt.Fprintf(&b, "started = %s\n", s.base.UTC().Format(time.RFC3339Nano))
			}
		}
	}
	file := filepath.Join(s.Dir, "operator.toml")
	if err := os.WriteFile(file, []byte(b.String()), 0o600); err != nil {
		return nil, err
	}
	program, err := StartProgram(s.Program, file, filepath.Join(s.Dir, "standpoint.log"))
	if err != nil {
		return nil, err
	}
	s.control = control.NewClient("unix:"+filepath.Join(s.Dir, "control.sock"), "")
	if err := program.Up(10*time.Second, func() bool { return s.control.Call(ctx, http.MethodGet, "/v1/status", nil, nil) == nil }); err != nil {
		return nil, errors.Join(err, program.Stop())
	}
	return program.Stop, nil
}

// watch follows the move and the boxes, a point each second, until the context ends or the move that the stage itself
// started is over.
func (s *stage) watch(ctx context.Context) {
	fmt.Fprintf(s.Out, "The daemon serves at http://%s; %d old and %d new boxes, %g requests a second.\n", s.front, s.Old, s.New, s.Rate)
	if !s.Start {
		fmt.Fprintf(s.Out, "Now, from another terminal:\n  %s move start --config %s --to new --watch\n", s.Program, filepath.Join(s.Dir, "operator.toml"))
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	started, overFor := false, 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		at := time.Since(s.base)
		if s.Start && !started && at >= s.Settle {
			started = true
			if err := s.control.Call(ctx, http.MethodPost, "/v1/move/start", controller.StartRequest{To: "new", By: "stage"}, nil); err != nil {
				fmt.Fprintln(s.Out, "the move was not started:", err)
				return
			}
		}
		var status controller.Status
		if err := s.control.Call(ctx, http.MethodGet, "/v1/move", nil, &status); err != nil && ctx.Err() == nil {
			fmt.Fprintln(s.Out, "the daemon does not tell:", err)
		}
		s.note(at, &status)
		if r := status.Migration; s.Start && r != nil && r.State.Terminal() {
			if overFor++; overFor > 10 {
				return
			}
		}
	}
}

// note makes the point of a second, and brings the slowness about when it is due.
func (s *stage) note(at time.Duration, status *controller.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.point(at.Seconds())
	p.OldFirst, p.OldLoad = seen(s.old)
	p.NewFirst, p.NewLoad = seen(s.new)
	r := status.Migration
	if r == nil {
		return
	}
	last := s.report.Move
	s.report.Move = r
	p.Share, p.State, p.Evidence = r.CurrentShare(), r.State, status.Evidence
	if last == nil || last.State != r.State || last.Step != r.Step {
		fmt.Fprintf(s.Out, "%5.0f s  %-9s %5.1f%%  %s\n", at.Seconds(), r.State, 100*p.Share, r.Reason)
	}
	if s.Slow > 1 && s.report.SlowAt == 0 && r.State == migration.Holding && r.Step >= s.SlowStep &&
		time.Duration(r.StateWindows)*migration.WindowLength >= s.SlowAfter {
		s.report.SlowAt = at.Seconds()
		fmt.Fprintf(s.Out, "%5.0f s  the new boxes are now %g times slower\n", at.Seconds(), s.Slow)
		_ = s.new.Do("slow", fmt.Sprint(s.Slow))
	}
	if s.report.BackAt == 0 && r.State == migration.Undone {
		s.report.BackAt = at.Seconds()
	}
}

// point is the one of a second.
func (s *stage) point(at float64) *Point {
	for len(s.points) <= int(at) {
		s.points = append(s.points, Point{At: float64(len(s.points))})
	}
	return &s.points[int(at)]
}

// seen is the median first token since the last look, and the mean load.
func seen(r *server.Running) (first, load float64) {
	var all []float64
	for _, one := range r.Servers {
		all = append(all, one.Firsts()...)
		load += one.Load().Slots / float64(len(r.Servers))
	}
	if len(all) > 0 {
		slices.Sort(all)
		first = all[len(all)/2]
	}
	return first, load
}

// clients are sessions that come as a Poisson process, whether or not answers do.
func (s *stage) clients(ctx context.Context) {
	turns := 0.0
	for _, c := range s.classes {
		turns += c.Part / c.Turns
	}
	next := time.Now()
	for n := uint64(1); ctx.Err() == nil; n++ {
		s.mu.Lock()
		next = next.Add(time.Duration(s.rng.ExpFloat64() / (s.Rate * turns) * 1e9))
		pick := s.rng.Float64() * turns
		seed := s.rng.Uint64()
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		class := 0
		for class < len(s.classes)-1 && pick >= s.classes[class].Part/s.classes[class].Turns {
			pick -= s.classes[class].Part / s.classes[class].Turns
			class++
		}
		s.all.Go(func() { s.session(ctx, n, class, rand.New(rand.NewPCG(seed, n))) })
	}
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func words(rng *rand.Rand, tokens float64) string {
	var b strings.Builder
	for range int(max(1, tokens)) {
		fmt.Fprintf(&b, "%03x ", rng.IntN(1<<12))
	}
	return b.String()
}

func (s *stage) session(ctx context.Context, n uint64, class int, rng *rand.Rand) {
	c := &s.classes[class]
	prefix := rng.IntN(c.Prefixes)
	talk := []message{{"system", words(rand.New(rand.NewPCG(uint64(class), uint64(prefix))), c.PrefixTokens)}}
	shared := len(talk[0].Content) / 4
	length := float64(shared)
	for turn := 0; turn < turnsMost; turn++ {
		added := max(20, c.New*math.Exp(c.Sigma*rng.NormFloat64()-c.Sigma*c.Sigma/2))
		if length += added; length > promptMost {
			return
		}
		talk = append(talk, message{"user", words(rng, added)})
		answer, ok := s.ask(ctx, n, turn, class, talk, int(length), shared, rng)
		if !ok || rng.Float64() < 1/c.Turns {
			return
		}
		talk = append(talk, message{"assistant", answer})
		length += float64(len(answer)) / 4
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(c.Think * rng.ExpFloat64() * 1e9)):
		}
	}
}

// ask sends one request, and again twice at the most where it is refused.
func (s *stage) ask(ctx context.Context, n uint64, turn, class int, talk []message, length, shared int, rng *rand.Rand) (string, bool) {
	c := &s.classes[class]
	arrived := time.Now()
	at := arrived.Sub(s.base).Seconds()
	s.mu.Lock()
	p := s.point(at)
	p.Asked += c.Weight
	p.Requests++
	s.report.Asked++
	s.mu.Unlock()
	body, err := json.Marshal(struct {
		Model     string    `json:"model"`
		Stream    bool      `json:"stream"`
		MaxTokens float64   `json:"max_tokens"`
		Messages  []message `json:"messages"`
	}{"chat", true, c.MaxOut, talk})
	if err != nil || len(body) > 256<<10 {
		return "", false
	}
	for try := range 3 {
		text, first, pace, wait, ok := s.once(ctx, fmt.Sprintf("s%d-%d-%d", n, turn, try), class, uint64(n), body, length, shared, arrived)
		if ok {
			aim := float64(c.TTFTObjective)/1e9 + float64(c.TTFTObjectivePer1000Tokens)/1e9*float64(length)/1000
			if first <= aim && pace <= float64(c.TPOTObjective)/1e9 {
				s.mu.Lock()
				s.point(at).InTime += c.Weight
				s.mu.Unlock()
			}
			return text, true
		}
		if ctx.Err() != nil {
			// Cut off by the stage's end: not asked, as far as service goes.
			s.mu.Lock()
			s.point(at).Asked -= c.Weight
			s.mu.Unlock()
			return "", false
		}
		select {
		case <-ctx.Done():
			return "", false
		case <-time.After(time.Duration((wait + 0.3) * (0.8 + 0.4*rng.Float64()) * 1e9)):
		}
	}
	s.mu.Lock()
	s.point(at).Failed++
	s.mu.Unlock()
	return "", false
}

func (s *stage) once(ctx context.Context, id string, class int, session uint64, body []byte, length, shared int, arrived time.Time) (text string, first, pace, wait float64, ok bool) {
	c := &s.classes[class]
	select {
	case s.out <- struct{}{}:
		defer func() { <-s.out }()
	default:
		return "", 0, 0, 1, false
	}
	patience := time.Duration(c.Deadline)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.front+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return
	}
	for k, v := range map[string]string{"X-Trace-Id": id, "X-Qos": []string{"sheet-import", "foreman-chat"}[class],
		"X-Object": fmt.Sprintf("%016x", session), "X-Expires-In": fmt.Sprintf("%dm", patience.Milliseconds()),
		"X-Props":      fmt.Sprintf("prefix=%016x,prompt_len=%d,prefix_len=%d,max_out=%.0f", uint64(class+1)<<32+uint64(shared), length, shared, c.MaxOut),
		"Content-Type": "application/json"} {
		r.Header.Set(k, v)
	}
	response, err := s.client.Do(r)
	if err != nil {
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		_, _ = fmt.Sscanf(response.Header.Get("Retry-After"), "%g", &wait)
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 4096))
		return
	}
	begun := time.Now()
	raw, err := io.ReadAll(io.LimitReader(response.Body, 4<<20))
	if err != nil {
		return
	}
	var b strings.Builder
	tokens := 0
	for _, line := range strings.Split(string(raw), "\n") {
		var event struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
			Usage struct {
				Tokens int `json:"completion_tokens"`
			} `json:"usage"`
		}
		if data, is := strings.CutPrefix(line, "data: "); is && json.Unmarshal([]byte(data), &event) == nil {
			for _, choice := range event.Choices {
				b.WriteString(choice.Delta.Content)
			}
			tokens += event.Usage.Tokens
		}
	}
	return b.String(), begun.Sub(arrived).Seconds(), time.Since(begun).Seconds() / max(1, float64(tokens-1)), 0, tokens > 0
}

func (s *stage) finish() (*Report, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, fleet := range []*server.Running{s.old, s.new} {
		for _, one := range fleet.Servers {
			doubles, taken := one.Doubles()
			s.report.Doubles += doubles
			s.report.Attempts += taken
		}
	}
	s.report.Points = s.points
	raw, err := json.MarshalIndent(&s.report, "", " ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(s.Dir, "report.json"), raw, 0o600); err != nil {
		return nil, err
	}
	return &s.report, picture(&s.report, filepath.Join(s.Dir, "report.png"))
}

// Service is the worth answered in time over the worth asked for: the least of any 10 s, and the whole. The last 12 s
// are left out.
func (r *Report) Service() (least, mean float64) {
	least = 1
	asked, good := 0.0, 0.0
	n := max(0, len(r.Points)-12)
	for i := range n {
		asked, good = asked+r.Points[i].Asked, good+r.Points[i].InTime
		if i < 10 {
			continue
		}
		a, g := 0.0, 0.0
		for _, p := range r.Points[i-10 : i] {
			a, g = a+p.Asked, g+p.InTime
		}
		if a > 0 {
			least = min(least, g/a)
		}
	}
	return least, good / max(asked, 1e-9)
}

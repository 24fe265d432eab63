// Package stage runs a demo environment on one machine, in real time: two pools of emulated backends on loopback
// sockets, the daemon as a process, and clients. It also measures discovery with the daemon as a process. It belongs to
// the lab tools; the daemon does not import it.
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
	"standpoint/internal/loopback"
	"standpoint/internal/migration"
	"standpoint/internal/migration/controller"
)

// Bounds of a demo environment.
const (
	maxDuration     = 30 * time.Minute
	maxRate         = 200.0 // requests per second
	maxBackends     = 40
	maxInFlight     = 400    // requests in flight at once
	maxTurns        = 12     // turns of a session
	maxPromptTokens = 30_000 // length of a prompt, in tokens
)

// Options describes a demo environment.
type Options struct {
	Dir     string  // directory of the operator file, the log and the report
	Program string  // path of the daemon's program
	Rate    float64 // requests per second
	OldBackends,
	NewBackends int // number of backends of each pool
	NewBackendsCold bool          // the backends of the new pool start, cold, with the environment
	Duration        time.Duration // 0 means until the context ends
	Seed            uint64
	Hold            string // key hold of the operator file's section [move]; empty means its default
	StartMove       bool   // start the migration after Settle
	// Settle is how long the old pool serves alone before the migration.
	Settle time.Duration
	// SlowFactor, if above 1, makes the new backends slower by this factor, SlowAfter into the hold of step SlowStep.
	SlowFactor float64
	SlowStep   int
	SlowAfter  time.Duration
	Out        io.Writer // progress messages
}

// Point has the results of one second of a run.
type Point struct {
	At            float64         `json:"at_s"`
	OfferedWeight float64         `json:"asked"`   // weight of the requests that arrived in this second
	OnTimeWeight  float64         `json:"in_time"` // weight of those of them that met their objectives
	Requests      int             `json:"requests"`
	Failed        int             `json:"failed"` // requests that failed after all retries
	Share         float64         `json:"share"`  // share of the traffic that the new pool gets
	State         migration.State `json:"state"`
	Evidence      float64         `json:"evidence"`
	// OldTTFT is the median time to first token at the backends of the old pool, in seconds; 0 means no samples.
	OldTTFT      float64 `json:"old_first_token_s"`
	NewTTFT      float64 `json:"new_first_token_s"`
	OldSlotUsage float64 `json:"old_slots"` // mean share of the backends' slots that are in use
	NewSlotUsage float64 `json:"new_slots"`
}

// Report has the results of a run.
type Report struct {
	Points    []Point           `json:"points"`
	Migration *migration.Record `json:"move,omitempty"`
	// ConcurrentAttempts is the number of attempts that began while another one of the same request ran.
	ConcurrentAttempts int `json:"two_attempts_at_once"`
	Attempts           int `json:"attempts"`
	Requests           int `json:"requests"`
	// SlowAt is when the new backends became slow, in seconds after the start; 0 means never.
	SlowAt     float64 `json:"slow_at_s"`
	ReturnedAt float64 `json:"back_at_s"` // when all traffic was back, in seconds; 0 means never
}

// demo is a running demo environment.
type demo struct {
	Options
	startedAt     time.Time
	classes       []lab.WorkClass
	clientAddress string
	control       *control.Client
	oldPool       *server.RunningFleet
	newPool       *server.RunningFleet
	client        *http.Client

	mu       sync.Mutex
	rng      *rand.Rand
	points   []Point
	report   Report
	inFlight chan struct{}
	pending  sync.WaitGroup
}

// Run runs a demo environment until its duration or the context ends, and writes report.json and report.png into Dir.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Rate <= 0 || o.Rate > maxRate || o.OldBackends < 1 || o.NewBackends < 1 ||
		o.OldBackends+o.NewBackends > maxBackends {
		return nil, fmt.Errorf("%g requests per second to %d old and %d new backends: the rate must be above 0 and at "+
			"most %g, each pool needs a backend, and %d backends is the maximum", o.Rate, o.OldBackends,
			o.NewBackends, maxRate, maxBackends)
	}
	limit := maxDuration
	if o.Duration > 0 {
		limit = min(o.Duration, maxDuration)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	s := &demo{Options: o, startedAt: time.Now(), classes: lab.OperatorWorkload(),
		rng:      rand.New(rand.NewPCG(o.Seed, 0x57a6e)),
		inFlight: make(chan struct{}, maxInFlight),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight,
			IdleConnTimeout: 4 * time.Second}}}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, err
	}
	var err error
	if s.oldPool, err = s.startPool("old", o.OldBackends, false); err != nil {
		return nil, err
	}
	defer func() { _ = s.oldPool.Close() }()
	if s.newPool, err = s.startPool("new", o.NewBackends, o.NewBackendsCold); err != nil {
		return nil, err
	}
	defer func() { _ = s.newPool.Close() }()
	stop, err := s.startDaemon(ctx)
	if err != nil {
		return nil, err
	}
	go s.startSessions(ctx)
	s.watch(ctx)
	cancel()
	s.pending.Wait()
	if err := stop(); err != nil {
		return nil, err
	}
	return s.writeReport()
}

// startPool starts the emulated backends of a pool.
func (s *demo) startPool(name string, n int, cold bool) (*server.RunningFleet, error) {
	f := &server.Fleet{Seed: s.Seed, MeanTokens: 105, TokenSpread: 0.5}
	kinds := lab.BackendKinds()
	r := &server.RunningFleet{}
	for i := range n {
		parameters := kinds[i%len(kinds)]
		parameters.Capacity = parameters.MaxRate(700, 1500, 105, 0.05)
		backend, err := server.Start(server.Options{Name: fmt.Sprintf("%s-%d", name, i+1), Listen: "127.0.0.1:0",
			Parameters: parameters,
			Seed:       s.Seed + uint64(i), Cold: cold, MeanTokens: f.MeanTokens, TokenSpread: f.TokenSpread})
		if err != nil {
			return nil, errors.Join(err, r.Close())
		}
		r.Servers = append(r.Servers, backend)
	}
	return r, nil
}

// startDaemon writes the operator file and starts the daemon.
func (s *demo) startDaemon(ctx context.Context) (stop func() error, err error) {
	if s.clientAddress, err = loopback.FreeAddress(); err != nil {
		return nil, err
	}
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
`, s.clientAddress)
	if s.Hold != "" {
		fmt.Fprintf(&b, "[move]\nhold = %q\n", s.Hold)
	}
	for _, p := range []struct {
		version string
		pool    *server.RunningFleet
		cold    bool
	}{{"v1", s.oldPool, false}, {"v2", s.newPool, s.NewBackendsCold}} {
		for i, backend := range p.pool.Servers {
			fmt.Fprintf(&b,
				"[[real_server]]\nname = %q\naddress = %q\nzone = \"hall-a\"\nkind = %q\nlabels = { version = %q }\n",
				backend.Name, backend.Address,
				[]string{"fast", "standard", "slow"}[i%3], p.version)
			if p.cold {
				fmt.Fprintf(&b, "started = %s\n", s.startedAt.UTC().Format(time.RFC3339Nano))
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
	if err := program.WaitReady(10*time.Second, func() bool {
		return s.control.Call(ctx, http.MethodGet, "/v1/status", nil, nil) == nil
	}); err != nil {
		return nil, errors.Join(err, program.Stop())
	}
	return program.Stop, nil
}

// watch records the migration and the backends every second, until the context ends or 10 s after the end of a
// migration that it started itself.
func (s *demo) watch(ctx context.Context) {
	fmt.Fprintf(s.Out, "The daemon serves at http://%s; %d old and %d new boxes, %g requests a second.\n",
		s.clientAddress, s.OldBackends, s.NewBackends, s.Rate)
	if !s.StartMove {
		fmt.Fprintf(s.Out, "Now, from another terminal:\n  %s move start --config %s --to new --watch\n", s.Program,
			filepath.Join(s.Dir, "operator.toml"))
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	started, secondsSinceEnd := false, 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		at := time.Since(s.startedAt)
		if s.StartMove && !started && at >= s.Settle {
			started = true
			if err := s.control.Call(ctx, http.MethodPost, "/v1/move/start",
				controller.StartRequest{To: "new", By: "stage"}, nil); err != nil {
				fmt.Fprintln(s.Out, "the move was not started:", err)
				return
			}
		}
		var status controller.Status
		if err := s.control.Call(ctx, http.MethodGet, "/v1/move", nil, &status); err != nil && ctx.Err() == nil {
			fmt.Fprintln(s.Out, "cannot read the state of the migration:", err)
		}
		s.record(at, &status)
		if r := status.Migration; s.StartMove && r != nil && r.State.Terminal() {
			if secondsSinceEnd++; secondsSinceEnd > 10 {
				return
			}
		}
	}
}

// record fills in the point of a second, and slows the new backends down when that is due.
func (s *demo) record(at time.Duration, status *controller.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pointAt(at.Seconds())
	p.OldTTFT, p.OldSlotUsage = poolStats(s.oldPool)
	p.NewTTFT, p.NewSlotUsage = poolStats(s.newPool)
	r := status.Migration
	if r == nil {
		return
	}
	previous := s.report.Migration
	s.report.Migration = r
	p.Share, p.State, p.Evidence = r.CurrentShare(), r.State, status.Evidence
	if previous == nil || previous.State != r.State || previous.Step != r.Step {
		fmt.Fprintf(s.Out, "%5.0f s  %-9s %5.1f%%  %s\n", at.Seconds(), r.State, 100*p.Share, r.Reason)
	}
	if s.SlowFactor > 1 && s.report.SlowAt == 0 && r.State == migration.Holding && r.Step >= s.SlowStep &&
		time.Duration(r.StateWindows)*migration.WindowLength >= s.SlowAfter {
		s.report.SlowAt = at.Seconds()
		fmt.Fprintf(s.Out, "%5.0f s  the new boxes are now %g times slower\n", at.Seconds(), s.SlowFactor)
		_ = s.newPool.Apply("slow", fmt.Sprint(s.SlowFactor))
	}
	if s.report.ReturnedAt == 0 && r.State == migration.Undone {
		s.report.ReturnedAt = at.Seconds()
	}
}

// pointAt returns the point of a second after the start.
func (s *demo) pointAt(at float64) *Point {
	for len(s.points) <= int(at) {
		s.points = append(s.points, Point{At: float64(len(s.points))})
	}
	return &s.points[int(at)]
}

// poolStats returns a pool's median time to first token since the last call, in seconds, and its mean slot usage.
func poolStats(r *server.RunningFleet) (ttft, slotUsage float64) {
	var ttfts []float64
	for _, backend := range r.Servers {
		ttfts = append(ttfts, backend.FirstTokenTimes()...)
		slotUsage += backend.Load().Slots / float64(len(r.Servers))
	}
	if len(ttfts) > 0 {
		slices.Sort(ttfts)
		ttft = ttfts[len(ttfts)/2]
	}
	return ttft, slotUsage
}

// startSessions starts client sessions as a Poisson process, whether or not responses arrive.
func (s *demo) startSessions(ctx context.Context) {
	sessionsPerRequest := 0.0
	for _, c := range s.classes {
		sessionsPerRequest += c.RequestShare / c.MeanTurns
	}
	next := time.Now()
	for n := uint64(1); ctx.Err() == nil; n++ {
		s.mu.Lock()
		next = next.Add(time.Duration(s.rng.ExpFloat64() / (s.Rate * sessionsPerRequest) * 1e9))
		pick := s.rng.Float64() * sessionsPerRequest
		seed := s.rng.Uint64()
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		class := 0
		for class < len(s.classes)-1 && pick >= s.classes[class].RequestShare/s.classes[class].MeanTurns {
			pick -= s.classes[class].RequestShare / s.classes[class].MeanTurns
			class++
		}
		s.pending.Go(func() { s.runSession(ctx, n, class, rand.New(rand.NewPCG(seed, n))) })
	}
}

// message is a message of a chat request.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// randomWords returns a text of about that many tokens.
func randomWords(rng *rand.Rand, count float64) string {
	var b strings.Builder
	for range int(max(1, count)) {
		fmt.Fprintf(&b, "%03x ", rng.IntN(1<<12))
	}
	return b.String()
}

// runSession sends the requests of a session, one after the other.
func (s *demo) runSession(ctx context.Context, n uint64, class int, rng *rand.Rand) {
	c := &s.classes[class]
	prefix := rng.IntN(c.Prefixes)
	messages := []message{{"system", randomWords(rand.New(rand.NewPCG(uint64(class), uint64(prefix))), c.PrefixTokens)}}
	prefixTokens := len(messages[0].Content) / 4
	contextTokens := float64(prefixTokens)
	for turn := 0; turn < maxTurns; turn++ {
		added := max(20, c.NewTokens*math.Exp(c.PromptSigma*rng.NormFloat64()-c.PromptSigma*c.PromptSigma/2))
		if contextTokens += added; contextTokens > maxPromptTokens {
			return
		}
		messages = append(messages, message{"user", randomWords(rng, added)})
		answer, ok := s.sendWithRetries(ctx, n, turn, class, messages, int(contextTokens), prefixTokens, rng)
		if !ok || rng.Float64() < 1/c.MeanTurns {
			return
		}
		messages = append(messages, message{"assistant", answer})
		contextTokens += float64(len(answer)) / 4
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(c.ThinkTime * rng.ExpFloat64() * 1e9)):
		}
	}
}

// sendWithRetries sends a request, with up to two retries if it fails, and returns the text of the response.
func (s *demo) sendWithRetries(ctx context.Context, n uint64, turn, class int, messages []message,
	promptTokens, prefixTokens int, rng *rand.Rand) (string, bool) {
	c := &s.classes[class]
	arrived := time.Now()
	at := arrived.Sub(s.startedAt).Seconds()
	s.mu.Lock()
	p := s.pointAt(at)
	p.OfferedWeight += c.Weight
	p.Requests++
	s.report.Requests++
	s.mu.Unlock()
	body, err := json.Marshal(struct {
		Model     string    `json:"model"`
		Stream    bool      `json:"stream"`
		MaxTokens float64   `json:"max_tokens"`
		Messages  []message `json:"messages"`
	}{"chat", true, c.MaxOutputTokens, messages})
	if err != nil || len(body) > 256<<10 {
		return "", false
	}
	for attempt := range 3 {
		text, ttft, tpot, retryAfter, ok := s.sendOnce(ctx, fmt.Sprintf("s%d-%d-%d", n, turn, attempt), class,
			uint64(n), body, promptTokens, prefixTokens, arrived)
		if ok {
			ttftObjective := float64(c.TTFTObjective)/1e9 +
				float64(c.TTFTObjectivePer1000Tokens)/1e9*float64(promptTokens)/1000
			if ttft <= ttftObjective && tpot <= float64(c.TPOTObjective)/1e9 {
				s.mu.Lock()
				s.pointAt(at).OnTimeWeight += c.Weight
				s.mu.Unlock()
			}
			return text, true
		}
		if ctx.Err() != nil {
			// The end of the run interrupted the request: it does not count as offered.
			s.mu.Lock()
			s.pointAt(at).OfferedWeight -= c.Weight
			s.mu.Unlock()
			return "", false
		}
		select {
		case <-ctx.Done():
			return "", false
		case <-time.After(time.Duration((retryAfter + 0.3) * (0.8 + 0.4*rng.Float64()) * 1e9)):
		}
	}
	s.mu.Lock()
	s.pointAt(at).Failed++
	s.mu.Unlock()
	return "", false
}

// sendOnce sends a request once. It returns the text, the time to first token since the request's arrival, the time per
// output token, and after a rejection the time to wait before a retry, all in seconds.
func (s *demo) sendOnce(ctx context.Context, id string, class int, session uint64, body []byte,
	promptTokens, prefixTokens int, arrived time.Time) (text string, ttft, tpot, retryAfter float64, ok bool) {
	c := &s.classes[class]
	select {
	case s.inFlight <- struct{}{}:
		defer func() { <-s.inFlight }()
	default:
		return "", 0, 0, 1, false
	}
	timeout := time.Duration(c.Deadline)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.clientAddress+"/v1/chat/completions",
		bytes.NewReader(body))
	if err != nil {
		return
	}
	for k, v := range map[string]string{"X-Trace-Id": id, "X-Qos": []string{"sheet-import", "foreman-chat"}[class],
		"X-Object": fmt.Sprintf("%016x", session), "X-Expires-In": fmt.Sprintf("%dm", timeout.Milliseconds()),
		"X-Props": fmt.Sprintf("prefix=%016x,prompt_len=%d,prefix_len=%d,max_out=%.0f",
			uint64(class+1)<<32+uint64(prefixTokens), promptTokens, prefixTokens, c.MaxOutputTokens),
		"Content-Type": "application/json"} {
		r.Header.Set(k, v)
	}
	response, err := s.client.Do(r)
	if err != nil {
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		_, _ = fmt.Sscanf(response.Header.Get("Retry-After"), "%g", &retryAfter)
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 4096))
		return
	}
	firstByteAt := time.Now()
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
		if data, ok := strings.CutPrefix(line, "data: "); ok && json.Unmarshal([]byte(data), &event) == nil {
			for _, choice := range event.Choices {
				b.WriteString(choice.Delta.Content)
			}
			tokens += event.Usage.Tokens
		}
	}
	return b.String(), firstByteAt.Sub(arrived).Seconds(),
		time.Since(firstByteAt).Seconds() / max(1, float64(tokens-1)), 0, tokens > 0
}

// writeReport writes report.json and report.png and returns the report.
func (s *demo) writeReport() (*Report, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, pool := range []*server.RunningFleet{s.oldPool, s.newPool} {
		for _, backend := range pool.Servers {
			concurrent, attempts := backend.AttemptCounts()
			s.report.ConcurrentAttempts += concurrent
			s.report.Attempts += attempts
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
	return &s.report, writeChart(&s.report, filepath.Join(s.Dir, "report.png"))
}

// Service returns the weight of the requests that met their objectives over the offered weight: the lowest of any 10 s,
// and that of the whole run. The last 12 s are left out, because their responses may be outstanding.
func (r *Report) Service() (lowest, mean float64) {
	lowest = 1
	offered, onTime := 0.0, 0.0
	n := max(0, len(r.Points)-12)
	for i := range n {
		offered, onTime = offered+r.Points[i].OfferedWeight, onTime+r.Points[i].OnTimeWeight
		if i < 10 {
			continue
		}
		offeredIn10, onTimeIn10 := 0.0, 0.0
		for _, p := range r.Points[i-10 : i] {
			offeredIn10, onTimeIn10 = offeredIn10+p.OfferedWeight, onTimeIn10+p.OnTimeWeight
		}
		if offeredIn10 > 0 {
			lowest = min(lowest, onTimeIn10/offeredIn10)
		}
	}
	return lowest, onTime / max(offered, 1e-9)
}

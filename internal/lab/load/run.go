package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"mime/multipart"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Options of a run.
type Options struct {
	Plan     *Plan
	Calls    []Call       // a trace to replay, in place of the plan's pattern
	Scale    float64      // of the trace's time: 0.5 plays it twice as fast; 0: 1
	Faults   *TraceFaults // of the trace
	Record   *Recorder    // nil: nothing is recorded
	Progress func(Progress)
	// Closed, if above 0, is a closed loop of so many clients in place of the pattern: each asks when it has its answer.
	// It is what this generator is not, kept to show the difference.
	Closed int
	clock  func() time.Time // nil: the system's; only its monotonic part counts
}

// Progress is a run's state, told each second.
type Progress struct {
	At, For    time.Duration
	Rate       float64 // wanted now
	Out        int
	Second     Second // the latest that is over
	All        *Figures
	Lagging    bool
	Unfinished int
}

type runner struct {
	Options
	base   time.Time
	client *http.Client
	tally  tally
	out    chan struct{}
	all    sync.WaitGroup
	ids    uint64
	front  string
	run    string
}

const (
	bodyMost   = 256 << 10
	answerMost = 8 << 20
	tailTime   = 30 * time.Second // for what is out at the end
	tokenText  = 4                // bytes
)

// Run plays a plan, or a trace, until its time is over or the context ends; then what is out may end. The report is
// whole in either case.
func Run(ctx context.Context, o Options) (*Report, error) {
	p := o.Plan
	if o.Scale == 0 {
		o.Scale = 1
	}
	if !(o.Scale > 0 && o.Scale <= 1000) {
		return nil, fmt.Errorf("the time's scale, %g, is not above 0 and up to 1000", o.Scale)
	}
	if o.clock == nil {
		o.clock = time.Now
	}
	r := &runner{Options: o, base: o.clock(), out: make(chan struct{}, p.MostOut), front: "http://" + p.Target,
		run: strconv.FormatUint(rand.Uint64(), 36), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: p.MostOut, IdleConnTimeout: 4 * time.Second,
			DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext, DisableCompression: true}}}
	r.tally.classes = map[string]*Figures{}
	span := time.Duration(p.For)
	if o.Calls != nil {
		span = time.Duration(o.Calls[len(o.Calls)-1].At*o.Scale*1e9) + time.Second
	}
	playing, stop := context.WithTimeout(ctx, span)
	defer stop()
	watched := make(chan struct{})
	go func() { defer close(watched); r.watch(playing, span) }()
	if p.Batch.Every > 0 {
		r.all.Go(func() { r.batches(playing) })
	}
	switch {
	case o.Closed > 0:
		r.closed(playing)
	case o.Calls != nil:
		r.replay(playing)
	default:
		r.sessions(playing, span)
	}
	<-playing.Done()
	<-watched
	ended := make(chan struct{})
	go func() { r.all.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-ctx.Done():
		r.client.CloseIdleConnections()
		<-ended // requests end with their context
	case <-time.After(tailTime):
	}
	return r.report(ctx.Err() != nil, span), nil
}

// since is the time that has gone by, whatever was done to the wall clock meanwhile.
func (r *runner) since(then time.Time) time.Duration { return r.clock().Sub(then) }

func (r *runner) report(cut bool, span time.Duration) *Report {
	r.tally.mu.Lock()
	defer r.tally.mu.Unlock()
	report := &Report{Target: r.Plan.Target, Pattern: r.Plan.Pattern, Seed: r.Plan.Seed, Began: r.base, For: min(span, r.since(r.base)).Seconds(),
		Cut: cut, Trace: r.Faults, Classes: r.tally.classes, Seconds: r.tally.seconds}
	all := report.All()
	if lag := time.Duration(all.Lag.ValueAtQuantile(99)) * time.Microsecond; lag > time.Duration(r.Plan.Lag) {
		report.Marks = append(report.Marks, fmt.Sprintf("the generator lagged: 99th %v behind what was meant, above %v; it was not fast enough for this pattern", lag, time.Duration(r.Plan.Lag)))
	}
	if all.NotSent > 0 {
		report.Marks = append(report.Marks, fmt.Sprintf("%d requests were not sent, as %d were out already", all.NotSent, r.Plan.MostOut))
	}
	return report
}

// watch tells how far the run is, each second.
func (r *runner) watch(ctx context.Context, span time.Duration) {
	if r.Progress == nil {
		return
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		at := r.since(r.base)
		p := Progress{At: at, For: span, Out: len(r.out), All: newFigures()}
		if r.Plan.Compiled != nil && r.Calls == nil {
			p.Rate = r.Plan.Compiled.Rate(at.Seconds())
		}
		r.tally.mu.Lock()
		r.tally.out = len(r.out)
		for _, f := range r.tally.classes {
			p.All.Merge(f)
		}
		if i := int(at/time.Second) - 1; i >= 0 && i < len(r.tally.seconds) {
			p.Second = r.tally.seconds[i]
		}
		r.tally.mu.Unlock()
		p.Lagging = time.Duration(p.All.Lag.ValueAtQuantile(99))*time.Microsecond > time.Duration(r.Plan.Lag)
		r.Progress(p)
	}
}

// until waits for a moment of the run; the monotonic clock counts, whatever the wall clock does.
func (r *runner) until(ctx context.Context, at time.Duration) bool {
	if wait := at - r.since(r.base) - timerSlack; wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
		}
	}
	for r.since(r.base) < at && ctx.Err() == nil { // timers come up to a millisecond late on an idle machine
		runtime.Gosched()
	}
	return ctx.Err() == nil
}

const timerSlack = 1500 * time.Microsecond

// sessions starts sessions when the pattern says. The pattern counts requests, each turn one.
func (r *runner) sessions(ctx context.Context, span time.Duration) {
	p := r.Plan
	rng := rand.New(rand.NewPCG(p.Seed, 0x10ad))
	parts, turns := 0.0, 0.0
	for _, c := range p.Classes {
		parts += c.Part
		turns += c.Part / c.Turns
	}
	share := turns / parts // sessions a request
	arrivals := &Arrivals{Pattern: p.Compiled, Even: p.Even, Draw: rng.Float64}
	for n := uint64(1); ; n++ {
		var at float64
		ok := true
		for { // of the requests' moments the part that begins a session
			if at, ok = arrivals.Next(span.Seconds()); !ok || share >= 1 || rng.Float64() < share {
				break
			}
		}
		if !ok {
			return
		}
		pick, class := rng.Float64()*turns, 0
		for class < len(p.Classes)-1 && pick >= p.Classes[class].Part/p.Classes[class].Turns {
			pick -= p.Classes[class].Part / p.Classes[class].Turns
			class++
		}
		seed := rng.Uint64()
		meant := time.Duration(at * 1e9)
		if !r.until(ctx, meant) {
			return
		}
		r.all.Go(func() { r.session(ctx, n, &p.Classes[class], meant, rand.New(rand.NewPCG(seed, n))) })
	}
}

func words(rng *rand.Rand, tokens float64) string {
	const letters = "abcdefghijklmnop"
	b := make([]byte, 0, int(tokens)*tokenText)
	for range int(max(1, tokens)) {
		x := rng.Uint32()
		b = append(b, letters[x&15], letters[x>>4&15], letters[x>>8&15], ' ')
	}
	return string(b)
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (r *runner) session(ctx context.Context, n uint64, c *Class, meant time.Duration, rng *rand.Rand) {
	start := rng.IntN(c.Starts)
	talk := []message{}
	length := 0.0
	if c.Shared > 0 {
		talk = append(talk, message{"system", words(rand.New(rand.NewPCG(uint64(start), uint64(len(c.Name)))), c.Shared)})
		length = c.Shared
	}
	prefix := splitmix(uint64(start)<<16 + uint64(len(c.Name)) + uint64(c.Shared))
	key := splitmix(n + r.Plan.Seed<<32)
	for turn := 0; ; turn++ {
		added := max(1, c.Prompt*math.Exp(c.Spread*rng.NormFloat64()-c.Spread*c.Spread/2))
		if length+added > bodyMost/tokenText/2 {
			return
		}
		length += added
		talk = append(talk, message{"user", words(rng, added)})
		call := Call{At: meant.Seconds(), Class: c.Name, Tenant: c.Tenant, Session: key, Prompt: math.Round(length), Out: c.Out}
		if c.Shared > 0 {
			call.Prefix, call.Shared = prefix, c.Shared
		}
		answer, ok := r.ask(ctx, call, c, talk, meant, rng)
		if !ok || rng.Float64() < 1/c.Turns {
			return
		}
		talk = append(talk, message{"assistant", answer})
		length += float64(len(answer)) / tokenText
		meant = r.since(r.base) + time.Duration(float64(c.Think)*rng.ExpFloat64())
		if !r.until(ctx, meant) {
			return
		}
	}
}

func splitmix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// replay sends a trace's calls at their moments. What a call says of its size is kept; its text is made up.
func (r *runner) replay(ctx context.Context) {
	for i, call := range r.Calls {
		meant := time.Duration(call.At * r.Scale * 1e9)
		if !r.until(ctx, meant) {
			return
		}
		c := &Class{Name: call.Class, Habit: NoRetry, GiveUp: Span(10 * time.Second)}
		if k := r.Plan.class(call.Class); k >= 0 {
			c = &r.Plan.Classes[k]
		}
		r.all.Go(func() {
			rng := rand.New(rand.NewPCG(r.Plan.Seed, uint64(i)))
			talk := []message{}
			if call.Shared > 0 {
				talk = append(talk, message{"system", words(rand.New(rand.NewPCG(call.Prefix, 1)), call.Shared)})
			}
			talk = append(talk, message{"user", words(rng, call.Prompt-call.Shared)})
			r.ask(ctx, call, c, talk, meant, rng)
		})
	}
}

// closed is a loop of clients that each wait for their answer before they ask again.
func (r *runner) closed(ctx context.Context) {
	for k := range r.Closed {
		r.all.Go(func() {
			rng := rand.New(rand.NewPCG(r.Plan.Seed, uint64(k)))
			c := &r.Plan.Classes[0]
			for ctx.Err() == nil {
				now := r.since(r.base)
				r.ask(ctx, Call{At: now.Seconds(), Class: c.Name, Prompt: c.Prompt, Out: c.Out}, c, []message{{"user", words(rng, c.Prompt)}}, now, rng)
			}
		})
	}
}

// ask sends one request, and again as the class's clients do. Its latency counts from the moment at which the first
// try was meant to go out.
func (r *runner) ask(ctx context.Context, call Call, c *Class, talk []message, meant time.Duration, rng *rand.Rand) (string, bool) {
	if r.Record != nil {
		r.Record.Write(call)
	}
	r.tally.do(c.Name, meant, func(f *Figures, s *Second) { f.Asked++; s.Asked++ })
	body, err := json.Marshal(struct {
		Model     string    `json:"model"`
		Stream    bool      `json:"stream"`
		MaxTokens float64   `json:"max_tokens"`
		Messages  []message `json:"messages"`
	}{"chat", true, call.Out, talk})
	if err != nil || len(body) > bodyMost {
		r.tally.do(c.Name, meant, func(f *Figures, s *Second) { f.Failed++; s.Failed++ })
		return "", false
	}
	asked := meant
	for try := 0; ; try++ {
		select {
		case r.out <- struct{}{}:
		default:
			r.tally.do(c.Name, meant, func(f *Figures, s *Second) { f.NotSent++; s.Failed++ })
			return "", false
		}
		sent := r.since(r.base)
		a := r.once(ctx, call, c, body, try)
		<-r.out
		if a.err == nil && a.status == http.StatusOK && a.tokens > 0 {
			r.served(c, call, meant, asked, sent, a)
			return a.text, true
		}
		if ctx.Err() != nil { // cut off by the run's own end
			r.tally.do(c.Name, meant, func(f *Figures, s *Second) { f.Asked--; s.Asked-- })
			return "", false
		}
		wait, again := r.habit(c, a, try, rng)
		if !again {
			r.tally.do(c.Name, meant, func(f *Figures, s *Second) {
				switch {
				case a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable:
					f.TurnedDown++
					s.TurnedDown++
				case errors.Is(a.err, context.DeadlineExceeded):
					f.GaveUp++
					s.Failed++
				default:
					f.Failed++
					s.Failed++
				}
			})
			return "", false
		}
		r.tally.do(c.Name, meant, func(f *Figures, _ *Second) { f.Retries++ })
		asked = r.since(r.base) + wait
		if !r.until(ctx, asked) {
			r.tally.do(c.Name, meant, func(f *Figures, s *Second) { f.Asked--; s.Asked-- })
			return "", false
		}
	}
}

// habit is what a class's clients do about a request that was not served.
func (r *runner) habit(c *Class, a answer, try int, rng *rand.Rand) (time.Duration, bool) {
	if try >= c.Retries || c.Habit == NoRetry {
		return 0, false
	}
	jitter := 0.8 + 0.4*rng.Float64()
	switch c.Habit {
	case AtOnce:
		return 0, true
	case RetryAfter:
		if a.wait > 0 {
			return time.Duration(float64(a.wait) * jitter), true
		}
	}
	return time.Duration(float64(c.Wait) * jitter), true
}

func (r *runner) served(c *Class, call Call, meant, asked, sent time.Duration, a answer) {
	first := sent + a.first - meant
	pace := time.Duration(0)
	if a.tokens > 1 {
		pace = (a.whole - a.first) / time.Duration(a.tokens-1)
	}
	aim := time.Duration(c.Aim) + time.Duration(float64(c.PerK)*call.Prompt/1000)
	good := (aim == 0 || first <= aim) && (c.Gap == 0 || pace <= time.Duration(c.Gap))
	r.tally.do(c.Name, meant, func(f *Figures, s *Second) {
		f.Served++
		s.Served++
		if good {
			f.InTime++
			s.InTime++
		}
		note(f.First, first)
		note(f.Own, a.first)
		note(f.Whole, sent+a.whole-meant)
		note(f.Lag, sent-asked)
		if pace > 0 {
			note(f.Pace, pace)
		}
		s.FirstMS = max(s.FirstMS, float64(first.Microseconds())/1000)
	})
}

type answer struct {
	status       int
	text         string
	first, whole time.Duration // from the sending
	tokens       int
	wait         time.Duration // of Retry-After
	err          error
}

// once sends a try and reads its answer as it comes.
func (r *runner) once(ctx context.Context, call Call, c *Class, body []byte, try int) (a answer) {
	patience := time.Duration(c.GiveUp)
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, r.front+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.tally.mu.Lock()
	r.ids++
	id := r.ids
	r.tally.mu.Unlock()
	head := q.Header
	head.Set("Content-Type", "application/json")
	head.Set("X-Trace-Id", fmt.Sprintf("%s-%d", r.run, id))
	head.Set("X-Qos", c.Name)
	head.Set("X-Expires-In", fmt.Sprintf("%dm", patience.Milliseconds()))
	if call.Tenant != "" {
		head.Set("X-Customer", call.Tenant)
	}
	if call.Session != 0 {
		head.Set("X-Object", fmt.Sprintf("%016x", call.Session))
	}
	head.Set("X-Props", fmt.Sprintf("prefix=%016x,prompt_len=%.0f,prefix_len=%.0f,max_out=%.0f", call.Prefix, call.Prompt, call.Shared, call.Out))
	if try > 0 {
		head.Set("X-Second-Try", "1")
	}
	began := r.clock()
	response, err := r.client.Do(q)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	a.status = response.StatusCode
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil && seconds > 0 && seconds < 3600 {
		a.wait = time.Duration(seconds * 1e9)
	}
	if a.status != http.StatusOK {
		_, a.err = io.Copy(io.Discard, io.LimitReader(response.Body, 64<<10))
		return a
	}
	lines := bufio.NewScanner(io.LimitReader(response.Body, answerMost))
	lines.Buffer(make([]byte, 4096), 1<<20)
	var b strings.Builder
	for lines.Scan() {
		data, is := strings.CutPrefix(lines.Text(), "data: ")
		if !is {
			continue
		}
		if a.first == 0 {
			a.first = r.since(began)
		}
		if data == "[DONE]" {
			a.whole, a.text = r.since(began), b.String()
			a.tokens = max(1, a.tokens)
			_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 4096)) // so that the connection can be used again
			return a
		}
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
		if json.Unmarshal([]byte(data), &event) == nil {
			for _, choice := range event.Choices {
				b.WriteString(choice.Delta.Content)
			}
			a.tokens += event.Usage.Tokens
		}
	}
	a.tokens = 0
	if a.err = lines.Err(); a.err == nil {
		a.err = errors.New("the answer ended early")
	}
	return a
}

const (
	batchPoll = 300 * time.Millisecond
	batchTime = 2 * time.Minute
)

// batches uploads a file each so often and waits for its results.
func (r *runner) batches(ctx context.Context) {
	c := &r.Plan.Classes[r.Plan.class(r.Plan.Batch.Class)]
	for n := 1; r.until(ctx, time.Duration(n)*time.Duration(r.Plan.Batch.Every)); n++ {
		r.all.Go(func() {
			rng := rand.New(rand.NewPCG(r.Plan.Seed, uint64(n)<<32))
			served, err := r.batch(ctx, c, n, rng)
			if ctx.Err() != nil {
				return
			}
			_ = err // what was not answered is counted as failed
			r.tally.do(c.Name, r.since(r.base), func(f *Figures, _ *Second) {
				f.BatchLines += r.Plan.Batch.Lines
				f.BatchServed += served
				f.BatchFailed += r.Plan.Batch.Lines - served
			})
		})
	}
}

func (r *runner) batch(ctx context.Context, c *Class, n int, rng *rand.Rand) (served int, err error) {
	ctx, cancel := context.WithTimeout(ctx, batchTime)
	defer cancel()
	var b bytes.Buffer
	form := multipart.NewWriter(&b)
	_ = form.WriteField("purpose", "batch")
	part, err := form.CreateFormFile("file", "load.jsonl")
	if err != nil {
		return 0, err
	}
	for i := range r.Plan.Batch.Lines {
		raw, err := json.Marshal(map[string]any{"custom_id": fmt.Sprintf("%s-%d-%d", r.run, n, i), "method": "POST", "url": "/v1/chat/completions",
			"body": map[string]any{"model": "chat", "max_tokens": c.Out, "messages": []message{{"user", words(rng, c.Prompt)}}, "metadata": map[string]string{"class": c.Name}}})
		if err != nil {
			return 0, err
		}
		_, _ = part.Write(append(raw, '\n'))
	}
	if err := form.Close(); err != nil {
		return 0, err
	}
	call := func(method, path, kind string, body io.Reader, out any) error {
		q, err := http.NewRequestWithContext(ctx, method, r.front+path, body)
		if err != nil {
			return err
		}
		if kind != "" {
			q.Header.Set("Content-Type", kind)
		}
		response, err := r.client.Do(q)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("%s %s: %s", method, path, response.Status)
		}
		if to, ok := out.(*[]byte); ok {
			*to, err = io.ReadAll(io.LimitReader(response.Body, 64<<20))
			return err
		}
		return json.NewDecoder(io.LimitReader(response.Body, 1<<20)).Decode(out)
	}
	var file, made struct {
		ID     string `json:"id"`
		Status string `json:"status"`
		Output string `json:"output_file_id"`
	}
	if err := call(http.MethodPost, "/v1/files", form.FormDataContentType(), &b, &file); err != nil {
		return 0, err
	}
	raw, _ := json.Marshal(map[string]string{"input_file_id": file.ID, "endpoint": "/v1/chat/completions", "completion_window": "24h"})
	if err := call(http.MethodPost, "/v1/batches", "application/json", bytes.NewReader(raw), &made); err != nil {
		return 0, err
	}
	for {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(batchPoll):
		}
		if err := call(http.MethodGet, "/v1/batches/"+made.ID, "", nil, &made); err != nil {
			continue
		}
		switch made.Status {
		case "completed", "expired", "cancelled", "failed":
			if made.Output == "" {
				return 0, nil
			}
			var output []byte
			if err := call(http.MethodGet, "/v1/files/"+made.Output+"/content", "", nil, &output); err != nil {
				return 0, err
			}
			return bytes.Count(output, []byte("\n")), nil
		}
	}
}

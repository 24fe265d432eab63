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

// Options are the parameters of a run.
type Options struct {
	Plan     *Plan
	Calls    []Call         // a trace to replay instead of the plan's pattern
	Scale    float64        // factor on the trace's times: 0.5 replays it twice as fast; 0: 1
	Faults   *TraceFaults   // the trace's faults, for the report
	Record   *Recorder      // records the requests; nil: none
	Progress func(Progress) // called every second; nil: none
	// ClosedClients, if above 0, replaces the pattern by a closed loop of so many clients: each sends its next request
	// when it has its response. It serves to show what a closed loop fails to measure.
	ClosedClients int
	clock         func() time.Time // nil: the system's; only its monotonic part is used
}

// Progress is the state of a run, as reported every second.
type Progress struct {
	Elapsed, Duration time.Duration // time since the start, and the run's duration
	Rate              float64       // the pattern's present rate in requests per second
	InFlight          int           // requests in flight
	Second            Second        // results of the last complete second
	All               *Results      // results so far
	Lagging           bool          // whether the send lag exceeds Plan.MaxSendLag
	Unfinished        int           // not set at present
}

// runner is the state of a run. Times in the run are durations since startedAt.
type runner struct {
	Options
	startedAt  time.Time
	client     *http.Client
	collector  collector
	inFlight   chan struct{}  // one element for each request in flight
	background sync.WaitGroup // sessions, calls and batches that run
	lastID     uint64         // number of the last attempt; guarded by collector.mu
	baseURL    string
	runID      string // random prefix of the trace ids
}

const (
	maxBodyBytes     = 256 << 10
	maxResponseBytes = 8 << 20
	drainTimeout     = 30 * time.Second // for the requests in flight at the end of a run
	bytesPerToken    = 4
)

// Run executes a plan, or replays a trace, until its time is over or the context ends. Requests in flight at the end of
// its time may complete within 30 s. The report is complete in either case.
func Run(ctx context.Context, o Options) (*Report, error) {
	p := o.Plan
	if o.Scale == 0 {
		o.Scale = 1
	}
	if !(o.Scale > 0 && o.Scale <= 1000) {
		return nil, fmt.Errorf("trace time scale: %g is not above 0 and up to 1000", o.Scale)
	}
	if o.clock == nil {
		o.clock = time.Now
	}
	r := &runner{Options: o, startedAt: o.clock(), inFlight: make(chan struct{}, p.MaxInFlight),
		baseURL: "http://" + p.Target, runID: strconv.FormatUint(rand.Uint64(), 36),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: p.MaxInFlight,
			IdleConnTimeout: 4 * time.Second, DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
			DisableCompression: true}}}
	r.collector.classes = map[string]*Results{}
	duration := time.Duration(p.Duration)
	if o.Calls != nil {
		duration = time.Duration(o.Calls[len(o.Calls)-1].At*o.Scale*1e9) + time.Second
	}
	runCtx, stop := context.WithTimeout(ctx, duration)
	defer stop()
	progressDone := make(chan struct{})
	go func() { defer close(progressDone); r.reportProgress(runCtx, duration) }()
	if p.Batch.Every > 0 {
		r.background.Go(func() { r.startBatches(runCtx) })
	}
	switch {
	case o.ClosedClients > 0:
		r.runClosedLoop(runCtx)
	case o.Calls != nil:
		r.replay(runCtx)
	default:
		r.startSessions(runCtx, duration)
	}
	<-runCtx.Done()
	<-progressDone
	drained := make(chan struct{})
	go func() { r.background.Wait(); close(drained) }()
	select {
	case <-drained:
	case <-ctx.Done():
		r.client.CloseIdleConnections()
		<-drained // requests end with their context
	case <-time.After(drainTimeout):
	}
	return r.report(ctx.Err() != nil, duration), nil
}

// elapsed returns the time since earlier by the monotonic clock, so that steps of the wall clock have no effect.
func (r *runner) elapsed(earlier time.Time) time.Duration { return r.clock().Sub(earlier) }

// report makes the report of the results so far, with marks if the generator fell behind the pattern.
func (r *runner) report(cut bool, duration time.Duration) *Report {
	r.collector.mu.Lock()
	defer r.collector.mu.Unlock()
	report := &Report{Target: r.Plan.Target, Pattern: r.Plan.Pattern, Seed: r.Plan.Seed, Began: r.startedAt,
		For: min(duration, r.elapsed(r.startedAt)).Seconds(), Interrupted: cut, Trace: r.Faults,
		Classes: r.collector.classes, Seconds: r.collector.seconds}
	all := report.All()
	if lag := time.Duration(all.SendLag.ValueAtQuantile(99)) * time.Microsecond; lag > time.Duration(r.Plan.MaxSendLag) {
		report.Marks = append(report.Marks, fmt.Sprintf("the generator lagged: 99th %v behind what was meant, "+
			"above %v; it was not fast enough for this pattern", lag, time.Duration(r.Plan.MaxSendLag)))
	}
	if all.NotSent > 0 {
		report.Marks = append(report.Marks,
			fmt.Sprintf("%d requests were not sent, as %d were out already", all.NotSent, r.Plan.MaxInFlight))
	}
	return report
}

// reportProgress calls Options.Progress every second until the context ends.
func (r *runner) reportProgress(ctx context.Context, duration time.Duration) {
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
		at := r.elapsed(r.startedAt)
		p := Progress{Elapsed: at, Duration: duration, InFlight: len(r.inFlight), All: newResults()}
		if r.Plan.Compiled != nil && r.Calls == nil {
			p.Rate = r.Plan.Compiled.Rate(at.Seconds())
		}
		r.collector.mu.Lock()
		r.collector.inFlight = len(r.inFlight)
		for _, res := range r.collector.classes {
			p.All.Merge(res)
		}
		if i := int(at/time.Second) - 1; i >= 0 && i < len(r.collector.seconds) {
			p.Second = r.collector.seconds[i]
		}
		r.collector.mu.Unlock()
		p.Lagging = time.Duration(p.All.SendLag.ValueAtQuantile(99))*time.Microsecond > time.Duration(r.Plan.MaxSendLag)
		r.Progress(p)
	}
}

// waitUntil waits for a time of the run by the monotonic clock. It reports false if the context ends before it.
func (r *runner) waitUntil(ctx context.Context, at time.Duration) bool {
	if wait := at - r.elapsed(r.startedAt) - timerSlack; wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
		}
	}
	for r.elapsed(r.startedAt) < at && ctx.Err() == nil { // timers fire up to 1 ms late on an idle machine
		runtime.Gosched()
	}
	return ctx.Err() == nil
}

// timerSlack is how long before its time waitUntil stops relying on a timer, and polls the clock instead.
const timerSlack = 1500 * time.Microsecond

// startSessions starts sessions at the pattern's times. The pattern is a rate of requests, of which each turn of a
// session is one, so that only a fraction of its times starts a session.
func (r *runner) startSessions(ctx context.Context, duration time.Duration) {
	p := r.Plan
	rng := rand.New(rand.NewPCG(p.Seed, 0x10ad))
	totalWeight, sessionWeight := 0.0, 0.0
	for _, c := range p.Classes {
		totalWeight += c.Weight
		sessionWeight += c.Weight / c.Turns
	}
	sessionsPerRequest := sessionWeight / totalWeight
	arrivals := &Arrivals{Pattern: p.Compiled, EvenlySpaced: p.EvenlySpaced, Random: rng.Float64}
	for n := uint64(1); ; n++ {
		var at float64
		ok := true
		for { // skip the times that later turns of sessions stand for
			if at, ok = arrivals.Next(duration.Seconds()); !ok || sessionsPerRequest >= 1 ||
				rng.Float64() < sessionsPerRequest {
				break
			}
		}
		if !ok {
			return
		}
		pick, class := rng.Float64()*sessionWeight, 0
		for class < len(p.Classes)-1 && pick >= p.Classes[class].Weight/p.Classes[class].Turns {
			pick -= p.Classes[class].Weight / p.Classes[class].Turns
			class++
		}
		seed := rng.Uint64()
		intended := time.Duration(at * 1e9)
		if !r.waitUntil(ctx, intended) {
			return
		}
		r.background.Go(func() { r.runSession(ctx, n, &p.Classes[class], intended, rand.New(rand.NewPCG(seed, n))) })
	}
}

// randomText returns a text of the given number of tokens, each of three random letters and a space.
func randomText(rng *rand.Rand, tokens float64) string {
	const letters = "abcdefghijklmnop"
	b := make([]byte, 0, int(tokens)*bytesPerToken)
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

// runSession sends the turns of session number n, the first at the intended time. It ends with the first request that
// fails, after a random number of turns, or when the prompt would become too long.
func (r *runner) runSession(ctx context.Context, n uint64, c *Class, intended time.Duration, rng *rand.Rand) {
	prefixNumber := rng.IntN(c.Prefixes)
	messages := []message{}
	promptTokens := 0.0
	if c.PrefixTokens > 0 {
		messages = append(messages, message{"system",
			randomText(rand.New(rand.NewPCG(uint64(prefixNumber), uint64(len(c.Name)))), c.PrefixTokens)})
		promptTokens = c.PrefixTokens
	}
	prefix := splitmix(uint64(prefixNumber)<<16 + uint64(len(c.Name)) + uint64(c.PrefixTokens))
	key := splitmix(n + r.Plan.Seed<<32)
	for turn := 0; ; turn++ {
		newTokens := max(1, c.Prompt*math.Exp(c.Spread*rng.NormFloat64()-c.Spread*c.Spread/2))
		if promptTokens+newTokens > maxBodyBytes/bytesPerToken/2 {
			return
		}
		promptTokens += newTokens
		messages = append(messages, message{"user", randomText(rng, newTokens)})
		call := Call{At: intended.Seconds(), Class: c.Name, Tenant: c.Tenant, Session: key,
			Prompt: math.Round(promptTokens), MaxTokens: c.MaxTokens}
		if c.PrefixTokens > 0 {
			call.Prefix, call.PrefixTokens = prefix, c.PrefixTokens
		}
		response, ok := r.send(ctx, call, c, messages, intended, rng)
		if !ok || rng.Float64() < 1/c.Turns {
			return
		}
		messages = append(messages, message{"assistant", response})
		promptTokens += float64(len(response)) / bytesPerToken
		intended = r.elapsed(r.startedAt) + time.Duration(float64(c.ThinkTime)*rng.ExpFloat64())
		if !r.waitUntil(ctx, intended) {
			return
		}
	}
}

// splitmix is the mixing function of the SplitMix64 generator. It spreads small numbers over all 64 bits.
func splitmix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// replay sends a trace's calls at their times, with their sizes and random text.
func (r *runner) replay(ctx context.Context) {
	for i, call := range r.Calls {
		intended := time.Duration(call.At * r.Scale * 1e9)
		if !r.waitUntil(ctx, intended) {
			return
		}
		c := &Class{Name: call.Class, RetryPolicy: NoRetry, Timeout: Duration(10 * time.Second)}
		if k := r.Plan.classIndex(call.Class); k >= 0 {
			c = &r.Plan.Classes[k]
		}
		r.background.Go(func() {
			rng := rand.New(rand.NewPCG(r.Plan.Seed, uint64(i)))
			messages := []message{}
			if call.PrefixTokens > 0 {
				messages = append(messages,
					message{"system", randomText(rand.New(rand.NewPCG(call.Prefix, 1)), call.PrefixTokens)})
			}
			messages = append(messages, message{"user", randomText(rng, call.Prompt-call.PrefixTokens)})
			r.send(ctx, call, c, messages, intended, rng)
		})
	}
}

// runClosedLoop runs clients that each wait for their response before they send the next request.
func (r *runner) runClosedLoop(ctx context.Context) {
	for k := range r.ClosedClients {
		r.background.Go(func() {
			rng := rand.New(rand.NewPCG(r.Plan.Seed, uint64(k)))
			c := &r.Plan.Classes[0]
			for ctx.Err() == nil {
				now := r.elapsed(r.startedAt)
				r.send(ctx, Call{At: now.Seconds(), Class: c.Name, Prompt: c.Prompt, MaxTokens: c.MaxTokens}, c,
					[]message{{"user", randomText(rng, c.Prompt)}}, now, rng)
			}
		})
	}
}

// send sends a request, with retries as the class's RetryPolicy has them, and returns the text of the response. Latency
// counts from the intended time of the first attempt.
func (r *runner) send(ctx context.Context, call Call, c *Class, messages []message, intended time.Duration,
	rng *rand.Rand) (string, bool) {
	if r.Record != nil {
		r.Record.Write(call)
	}
	r.collector.update(c.Name, intended, func(res *Results, s *Second) { res.Intended++; s.Asked++ })
	body, err := json.Marshal(struct {
		Model     string    `json:"model"`
		Stream    bool      `json:"stream"`
		MaxTokens float64   `json:"max_tokens"`
		Messages  []message `json:"messages"`
	}{"chat", true, call.MaxTokens, messages})
	if err != nil || len(body) > maxBodyBytes {
		r.collector.update(c.Name, intended, func(res *Results, s *Second) { res.Failed++; s.Failed++ })
		return "", false
	}
	due := intended
	for retry := 0; ; retry++ {
		select {
		case r.inFlight <- struct{}{}:
		default:
			r.collector.update(c.Name, intended, func(res *Results, s *Second) { res.NotSent++; s.Failed++ })
			return "", false
		}
		sent := r.elapsed(r.startedAt)
		result := r.attempt(ctx, call, c, body, retry)
		<-r.inFlight
		if result.err == nil && result.status == http.StatusOK && result.tokens > 0 {
			r.recordServed(c, call, intended, due, sent, result)
			return result.text, true
		}
		if ctx.Err() != nil { // interrupted by the end of the run
			r.collector.update(c.Name, intended, func(res *Results, s *Second) { res.Intended--; s.Asked-- })
			return "", false
		}
		wait, retries := r.retryDelay(c, result, retry, rng)
		if !retries {
			r.collector.update(c.Name, intended, func(res *Results, s *Second) {
				switch {
				case result.status == http.StatusTooManyRequests || result.status == http.StatusServiceUnavailable:
					res.Rejected++
					s.TurnedDown++
				case errors.Is(result.err, context.DeadlineExceeded):
					res.TimedOut++
					s.Failed++
				default:
					res.Failed++
					s.Failed++
				}
			})
			return "", false
		}
		r.collector.update(c.Name, intended, func(res *Results, _ *Second) { res.Retries++ })
		due = r.elapsed(r.startedAt) + wait
		if !r.waitUntil(ctx, due) {
			r.collector.update(c.Name, intended, func(res *Results, s *Second) { res.Intended--; s.Asked-- })
			return "", false
		}
	}
}

// retryDelay returns the delay before a class's clients retry a request that was not served, and whether they do.
func (r *runner) retryDelay(c *Class, result attemptResult, retry int, rng *rand.Rand) (time.Duration, bool) {
	if retry >= c.Retries || c.RetryPolicy == NoRetry {
		return 0, false
	}
	jitter := 0.8 + 0.4*rng.Float64()
	switch c.RetryPolicy {
	case AtOnce:
		return 0, true
	case RetryAfter:
		if result.retryAfter > 0 {
			return time.Duration(float64(result.retryAfter) * jitter), true
		}
	}
	return time.Duration(float64(c.RetryWait) * jitter), true
}

// recordServed records the latencies of a served request. Its last attempt was due at due and sent at sent.
func (r *runner) recordServed(c *Class, call Call, intended, due, sent time.Duration, result attemptResult) {
	first := sent + result.first - intended
	tokenGap := time.Duration(0)
	if result.tokens > 1 {
		tokenGap = (result.total - result.first) / time.Duration(result.tokens-1)
	}
	objective := time.Duration(c.TTFTObjective) +
		time.Duration(float64(c.TTFTObjectivePer1000Tokens)*call.Prompt/1000)
	inTime := (objective == 0 || first <= objective) &&
		(c.TPOTObjective == 0 || tokenGap <= time.Duration(c.TPOTObjective))
	r.collector.update(c.Name, intended, func(res *Results, s *Second) {
		res.Served++
		s.Served++
		if inTime {
			res.InTime++
			s.InTime++
		}
		recordDuration(res.FirstToken, first)
		recordDuration(res.SinceSend, result.first)
		recordDuration(res.Total, sent+result.total-intended)
		recordDuration(res.SendLag, sent-due)
		if tokenGap > 0 {
			recordDuration(res.TokenGap, tokenGap)
		}
		s.FirstMS = max(s.FirstMS, float64(first.Microseconds())/1000)
	})
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	status       int
	text         string
	first, total time.Duration // time from the sending to the first event and to the end
	tokens       int           // length of a complete response, at least 1; 0: none
	retryAfter   time.Duration // from the Retry-After header; 0: none
	err          error
}

// attempt sends a request once and reads the stream of the response. retry is 0 for the first attempt.
func (r *runner) attempt(ctx context.Context, call Call, c *Class, body []byte, retry int) (result attemptResult) {
	timeout := time.Duration(c.Timeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.baseURL+"/v1/chat/completions",
		bytes.NewReader(body))
	if err != nil {
		return attemptResult{err: err}
	}
	r.collector.mu.Lock()
	r.lastID++
	id := r.lastID
	r.collector.mu.Unlock()
	header := request.Header
	header.Set("Content-Type", "application/json")
	header.Set("X-Trace-Id", fmt.Sprintf("%s-%d", r.runID, id))
	header.Set("X-Qos", c.Name)
	header.Set("X-Expires-In", fmt.Sprintf("%dm", timeout.Milliseconds()))
	if call.Tenant != "" {
		header.Set("X-Customer", call.Tenant)
	}
	if call.Session != 0 {
		header.Set("X-Object", fmt.Sprintf("%016x", call.Session))
	}
	header.Set("X-Props", fmt.Sprintf("prefix=%016x,prompt_len=%.0f,prefix_len=%.0f,max_out=%.0f",
		call.Prefix, call.Prompt, call.PrefixTokens, call.MaxTokens))
	if retry > 0 {
		header.Set("X-Second-Try", "1")
	}
	sent := r.clock()
	response, err := r.client.Do(request)
	if err != nil {
		return attemptResult{err: err}
	}
	defer response.Body.Close()
	result.status = response.StatusCode
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil &&
		seconds > 0 && seconds < 3600 {
		result.retryAfter = time.Duration(seconds * 1e9)
	}
	if result.status != http.StatusOK {
		_, result.err = io.Copy(io.Discard, io.LimitReader(response.Body, 64<<10))
		return result
	}
	lines := bufio.NewScanner(io.LimitReader(response.Body, maxResponseBytes))
	lines.Buffer(make([]byte, 4096), 1<<20)
	var text strings.Builder
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if result.first == 0 {
			result.first = r.elapsed(sent)
		}
		if data == "[DONE]" {
			result.total, result.text = r.elapsed(sent), text.String()
			result.tokens = max(1, result.tokens)
			_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 4096)) // lets the connection be reused
			return result
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
				text.WriteString(choice.Delta.Content)
			}
			result.tokens += event.Usage.Tokens
		}
	}
	result.tokens = 0
	if result.err = lines.Err(); result.err == nil {
		result.err = errors.New("response ended before its end marker")
	}
	return result
}

const (
	batchPollInterval = 300 * time.Millisecond
	batchTimeout      = 2 * time.Minute
)

// startBatches uploads a batch file at each interval and counts its results.
func (r *runner) startBatches(ctx context.Context) {
	c := &r.Plan.Classes[r.Plan.classIndex(r.Plan.Batch.Class)]
	for n := 1; r.waitUntil(ctx, time.Duration(n)*time.Duration(r.Plan.Batch.Every)); n++ {
		r.background.Go(func() {
			rng := rand.New(rand.NewPCG(r.Plan.Seed, uint64(n)<<32))
			served, err := r.runBatch(ctx, c, n, rng)
			if ctx.Err() != nil {
				return
			}
			_ = err // lines without a result are counted as failed
			r.collector.update(c.Name, r.elapsed(r.startedAt), func(res *Results, _ *Second) {
				res.BatchLines += r.Plan.Batch.Lines
				res.BatchServed += served
				res.BatchFailed += r.Plan.Batch.Lines - served
			})
		})
	}
}

// runBatch uploads batch file number n, creates a batch of it, waits until the batch has ended, and returns the number
// of lines in its output file.
func (r *runner) runBatch(ctx context.Context, c *Class, n int, rng *rand.Rand) (served int, err error) {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	var b bytes.Buffer
	form := multipart.NewWriter(&b)
	_ = form.WriteField("purpose", "batch")
	part, err := form.CreateFormFile("file", "load.jsonl")
	if err != nil {
		return 0, err
	}
	for i := range r.Plan.Batch.Lines {
		raw, err := json.Marshal(map[string]any{"custom_id": fmt.Sprintf("%s-%d-%d", r.runID, n, i),
			"method": "POST", "url": "/v1/chat/completions",
			"body": map[string]any{"model": "chat", "max_tokens": c.MaxTokens,
				"messages": []message{{"user", randomText(rng, c.Prompt)}},
				"metadata": map[string]string{"class": c.Name}}})
		if err != nil {
			return 0, err
		}
		_, _ = part.Write(append(raw, '\n'))
	}
	if err := form.Close(); err != nil {
		return 0, err
	}
	call := func(method, path, contentType string, body io.Reader, out any) error {
		request, err := http.NewRequestWithContext(ctx, method, r.baseURL+path, body)
		if err != nil {
			return err
		}
		if contentType != "" {
			request.Header.Set("Content-Type", contentType)
		}
		response, err := r.client.Do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("%s %s: %s", method, path, response.Status)
		}
		if raw, ok := out.(*[]byte); ok {
			*raw, err = io.ReadAll(io.LimitReader(response.Body, 64<<20))
			return err
		}
		return json.NewDecoder(io.LimitReader(response.Body, 1<<20)).Decode(out)
	}
	var file, batch struct {
		ID     string `json:"id"`
		Status string `json:"status"`
		Output string `json:"output_file_id"`
	}
	if err := call(http.MethodPost, "/v1/files", form.FormDataContentType(), &b, &file); err != nil {
		return 0, err
	}
	raw, _ := json.Marshal(map[string]string{"input_file_id": file.ID, "endpoint": "/v1/chat/completions",
		"completion_window": "24h"})
	if err := call(http.MethodPost, "/v1/batches", "application/json", bytes.NewReader(raw), &batch); err != nil {
		return 0, err
	}
	for {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(batchPollInterval):
		}
		if err := call(http.MethodGet, "/v1/batches/"+batch.ID, "", nil, &batch); err != nil {
			continue
		}
		switch batch.Status {
		case "completed", "expired", "cancelled", "failed":
			if batch.Output == "" {
				return 0, nil
			}
			var output []byte
			if err := call(http.MethodGet, "/v1/files/"+batch.Output+"/content", "", nil, &output); err != nil {
				return 0, err
			}
			return bytes.Count(output, []byte("\n")), nil
		}
	}
}

package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/node"
	"standpoint/internal/store"
)

const (
	chunkSize               = 256 << 10 // of a file's content under one key
	leadershipCheckInterval = 20 * time.Millisecond
	guardDivisor            = 10              // a line's attempts end this part of its time before it runs out
	maxGuard                = 2 * time.Second // and at most this much
	rejectedDelay           = 500 * time.Millisecond
	failedDelay             = 200 * time.Millisecond
	minRetryDelay           = 100 * time.Millisecond // before a batch is taken up again that was interrupted; doubled each time
	maxRetryDelay           = 10 * time.Second
	maxRunningBatches       = 4    // batches at once; the others wait in their state
	maxDeletesPerWrite      = 1000 // keys that are taken away in one write
)

// Run runs batches for as long as this member leads the store, until ctx ends. Whenever leadership goes,
// all attempts of lines are ended at once, well before the time until which the store has them out.
func (f *Service) Run(ctx context.Context) {
	for ctx.Err() == nil {
		term, leads := f.Store.Leadership()
		if !leads {
			pause(ctx, leadershipCheckInterval)
			continue
		}
		led, end := context.WithCancel(ctx)
		go func() {
			defer end()
			for now, ok := term, true; ok && now == term && led.Err() == nil; now, ok = f.Store.Leadership() {
				pause(led, leadershipCheckInterval)
			}
		}()
		f.Log.Info("this member runs batches", zap.Uint64("term", term))
		f.lead(led)
		end()
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// lead starts a job for each batch that is not over, and for those that come.
func (f *Service) lead(ctx context.Context) {
	var jobs sync.WaitGroup
	defer jobs.Wait()
	running := map[string]bool{}
	slots := newConcurrencyLimiter(f.MaxConcurrentLines)
	places := make(chan struct{}, maxRunningBatches)
	f.sweep(ctx)
	for ctx.Err() == nil {
		for _, k := range f.Store.List(batchKey("")) {
			id := k[len(batchKey("")):]
			if running[id] {
				continue
			}
			b, _, ok := f.batch(id)
			if !ok {
				f.Log.Error("the record of a batch cannot be read; it is left alone", zap.String("key", k))
			}
			running[id] = true
			if !ok || b.Status.Terminal() {
				continue
			}
			jobs.Go(func() {
				if !f.acquireSlot(ctx, id, places) {
					return
				}
				defer func() { <-places }()
				// A step that the store did not take leaves the batch where the store has it: it is taken up again from there.
				for wait := minRetryDelay; ; wait = min(2*wait, maxRetryDelay) {
					err := f.work(ctx, id, slots)
					if err == nil {
						f.tidy(ctx, id)
					}
					if err == nil || ctx.Err() != nil {
						return
					}
					f.Log.Error("batch interrupted; it is taken up again", zap.String("batch", id), zap.Duration("after", wait), zap.Error(err))
					pause(ctx, wait)
				}
			})
		}
		select {
		case <-ctx.Done():
		case <-f.wake:
		}
	}
}

// acquireSlot waits for one among the batches that run at once, each with its file in memory. One that is cancelled or has
// expired meanwhile keeps its turn; what it still needs is little.
func (f *Service) acquireSlot(ctx context.Context, id string, places chan struct{}) bool {
	select {
	case places <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// sweep takes away what is left of files that were never whole, of uploads that broke off with the member that took them,
// and the lines of batches that are over.
func (f *Service) sweep(ctx context.Context) {
	for _, k := range f.Store.List(batchKey("")) {
		if b, _, ok := f.batch(k[len(batchKey("")):]); ok && b.Status.Terminal() {
			f.tidy(ctx, b.ID)
		}
	}
	for _, k := range f.Store.List(chunkKeys) {
		id, _, _ := strings.Cut(strings.TrimPrefix(k, chunkKeys), "/")
		if _, whole := f.file(id); whole || f.uploading(id) {
			continue
		}
		if _, err := f.Store.Write(ctx, store.Op{Key: k, ExpectedVersion: store.AnyVersion}); err != nil {
			f.Log.Warn("what is left of an upload could not be taken away", zap.String("key", k), zap.Error(err))
			return
		}
	}
}

// tidy takes away the lines of a batch that is over: its files have their results.
func (f *Service) tidy(ctx context.Context, id string) {
	keys := append(f.Store.List(lineKeys(id)), f.Store.List(resultKeys(id))...)
	for some := range slices.Chunk(keys, maxDeletesPerWrite) {
		ops := make([]store.Op, len(some))
		for i, k := range some {
			ops[i] = store.Op{Key: k, ExpectedVersion: store.AnyVersion}
		}
		if _, err := f.Store.Write(ctx, ops...); err != nil {
			f.Log.Warn("the lines of a batch that is over are still kept", zap.String("batch", id), zap.Error(err))
			return
		}
	}
}

// line is one line of a batch under way.
type line struct {
	number  int
	task    Task
	key     string
	result  string // key of its result
	version uint64
	record  lineRecord
}

// work takes a batch from where the store has it to its end.
func (f *Service) work(ctx context.Context, id string, slots *concurrencyLimiter) error {
	b, _, ok := f.batch(id)
	if !ok {
		return fmt.Errorf("batch %s is not in the store", id)
	}
	var tasks []Task
	var faults []ValidationError
	if content, err := f.content(b.InputFileID); err != nil {
		faults = []ValidationError{{Code: "file_not_whole", Message: err.Error(), Param: "input_file_id"}}
	} else {
		tasks, faults = f.validate(content, b.Endpoint)
	}
	if len(faults) > 0 {
		return f.change(ctx, id, func(b *Batch) {
			b.Status, b.FailedAt, b.Errors = Failed, now(), &ValidationErrors{"list", faults}
		})
	}
	lines := make([]*line, len(tasks))
	for i, t := range tasks {
		l := &line{number: i, task: t, key: lineKey(id, i), result: resultKey(id, i)}
		if v := f.Store.Get(l.key); v.Version != 0 {
			if err := json.Unmarshal(v.Data, &l.record); err != nil {
				return fmt.Errorf("%s: %w", l.key, err)
			}
			l.version = v.Version
		}
		lines[i] = l
	}
	if b.Status == Validating {
		if err := f.change(ctx, id, func(b *Batch) {
			b.RequestCounts.Total = len(tasks)
			if b.Status == Validating {
				b.Status, b.InProgressAt = InProgress, now()
			}
		}); err != nil {
			return err
		}
	}
	if b.Status != Finalizing {
		if err := f.runLines(ctx, id, time.Unix(b.ExpiresAt, 0), lines, slots); err != nil {
			return err
		}
	}
	return f.finalize(ctx, id, lines)
}

// runLines sends lines until each has its one final result.
func (f *Service) runLines(ctx context.Context, id string, expires time.Time, lines []*line, slots *concurrencyLimiter) error {
	var out sync.WaitGroup
	defer out.Wait()
	// Lines that are out are ended with ctx; the buffer lets each of them hand itself in without waiting.
	back := make(chan *line, len(lines))
	var waiting []*line
	left := 0
	for _, l := range lines {
		switch l.record.State {
		case lineDone, lineFailed:
			continue
		case lineOut: // sent by an earlier leader: an attempt of it may be out until then
			f.Log.Info("line was out", zap.String("batch", id), zap.Int("line", l.number),
				zap.Time("until", time.UnixMilli(l.record.Until)))
		}
		left++
		waiting = append(waiting, l)
	}
	cancelled := func() bool { b, _, ok := f.batch(id); return !ok || b.Status == Cancelling }
	for left > 0 {
		code := ""
		switch {
		case cancelled():
			code = "batch_cancelled"
		case !time.Now().Before(expires):
			code = "batch_expired"
		}
		sort.SliceStable(waiting, func(i, j int) bool { return waiting[i].record.Until < waiting[j].record.Until })
		var next *line
		wait := time.Until(expires)
		if len(waiting) > 0 {
			next = waiting[0]
			wait = min(wait, time.Until(time.UnixMilli(next.record.Until)))
			// A line that an earlier leader had out waits even where it is only to be given its error.
			if due := wait <= 0 || code != "" && next.record.State != lineOut; due && code != "" {
				waiting = waiting[1:]
				if err := f.fail(ctx, next, code); err != nil {
					return err
				}
				left--
				continue
			}
		}
		if code != "" {
			wait = 100 * time.Millisecond
		}
		var slot chan struct{}
		if next != nil && code == "" && time.Now().UnixMilli() >= next.record.Until {
			slot = slots.free
			wait = time.Until(expires)
		}
		timer := time.NewTimer(max(time.Millisecond, min(wait, time.Second)))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-f.changed(id):
		case l := <-back:
			if l.record.State == lineDone || l.record.State == lineFailed {
				left--
			} else {
				waiting = append(waiting, l)
			}
		case slot <- struct{}{}:
			waiting = waiting[1:]
			out.Go(func() {
				verdict := f.send(ctx, id, expires, next)
				slots.release(verdict)
				back <- next
			})
		}
		timer.Stop()
		if err := ctx.Err(); err != nil {
			return err
		}
	}
	return nil
}

// put writes a line's record, and its result with it, provided that nobody else has.
func (f *Service) put(ctx context.Context, l *line, r lineRecord, result *Result) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return err
	}
	ops := []store.Op{{Key: l.key, Data: raw, ExpectedVersion: l.version}}
	if result != nil {
		if raw, err = json.Marshal(result); err != nil {
			return err
		}
		ops = append(ops, store.Op{Key: l.result, Data: raw})
	}
	v, err := f.Store.Write(ctx, ops...)
	if err == nil {
		l.version, l.record = v, r
		return nil
	}
	// Whether a write that broke off was carried out is not known: what the store has is what holds, and goes on from there.
	if now := f.Store.Get(l.key); now.Version != l.version {
		var has lineRecord
		if bad := json.Unmarshal(now.Data, &has); bad != nil {
			return errors.Join(err, fmt.Errorf("%s: %w", l.key, bad))
		}
		l.version, l.record = now.Version, has
	}
	return err
}

func (f *Service) fail(ctx context.Context, l *line, code string) error {
	text := map[string]string{
		"batch_cancelled": "The batch was cancelled before this request was run.",
		"batch_expired":   "This request could not be executed before the completion window expired.",
		"server_error":    "The request failed each time that it was tried.",
	}[code]
	return f.put(ctx, l, lineRecord{State: lineFailed, Attempts: l.record.Attempts}, &Result{ID: newID("batch_req_"),
		CustomID: l.task.CustomID, Error: &LineError{code, text}})
}

// send has one flow run for a line and commits what follows. The store has the line as out before anything
// is sent, and its result before anybody is told: whoever leads next neither sends it while an attempt may
// be out nor gives it a second result.
func (f *Service) send(ctx context.Context, id string, expires time.Time, l *line) node.AnswerKind {
	q, body, fault := f.requestFor(l.task.Body)
	if fault != nil { // validated already; the operator's file may have changed since
		f.recordOrLog(f.fail(ctx, l, "server_error"), l)
		return node.Failed
	}
	began := time.Now()
	until := began.Add(f.LineTimeout)
	guard := min(f.LineTimeout/guardDivisor, maxGuard)
	if err := f.put(ctx, l, lineRecord{State: lineOut, Until: until.UnixMilli(), Attempts: l.record.Attempts + 1}, nil); err != nil {
		f.recordOrLog(err, l)
		pause(ctx, failedDelay) // a store that takes nothing is not asked at full speed
		return node.ClientGone
	}
	// The end of the flow's context ends even a stream that has begun, for which no deadline runs.
	end := until.Add(-guard)
	if expires.Before(end) {
		end = expires
	}
	flowCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	q.Expires = f.Core.Expires(began, time.Until(end))
	trace := newID("")
	answer := &collector{}
	work := node.Work{Method: "POST", Target: l.task.URL, TraceID: trace, ContentType: "application/json", Body: body}
	flow := node.NewRequest(q, work, answer)
	final, err := f.Core.Serve(flowCtx, flow)
	if err != nil {
		final = node.Answer{Kind: node.Rejected}
	} else {
		select { // only when no attempt is out any more may the line be sent again
		case <-flow.Idle():
		case <-f.Core.Stopped():
			return node.ClientGone
		}
	}
	if ctx.Err() != nil {
		return node.ClientGone // not ours any more: the store has it out until then
	}
	again := func(tries int, wait time.Duration) {
		wait += time.Duration(rand.Int64N(int64(wait)/2 + 1))
		f.recordOrLog(f.put(ctx, l, lineRecord{State: lineWaiting, Attempts: tries, Until: time.Now().Add(wait).UnixMilli()}, nil), l)
	}
	switch final.Kind {
	case node.Served:
		completion, err := answer.completion(trace, modelOf(l.task.Body), time.Now().Unix())
		if err != nil {
			f.recordOrLog(f.fail(ctx, l, "server_error"), l)
			break
		}
		f.recordOrLog(f.put(ctx, l, lineRecord{State: lineDone, Attempts: l.record.Attempts}, &Result{
			ID: newID("batch_req_"), CustomID: l.task.CustomID, Response: &Response{200, trace, completion}}), l)
	case node.Rejected: // a refusal costs none of the line's tries
		again(l.record.Attempts-1, max(final.Wait, rejectedDelay))
	default:
		if l.record.Attempts >= f.MaxAttempts || final.Kind == node.Invalid {
			f.recordOrLog(f.fail(ctx, l, "server_error"), l)
		} else {
			again(l.record.Attempts, failedDelay<<min(l.record.Attempts, 5))
		}
	}
	return final.Kind
}

func modelOf(body json.RawMessage) string {
	var c struct {
		Model string `json:"model"`
	}
	_ = json.Unmarshal(body, &c) // validated already
	return c.Model
}

// recordOrLog logs a record that could not be written. Where another leader has the line it is that leader's; the
// store still has ours as out until its time.
func (f *Service) recordOrLog(err error, l *line) {
	if err != nil {
		f.Log.Warn("line not recorded", zap.String("line", l.key), zap.Error(err))
	}
}

// finalize writes the output and error files and ends the batch, in one step after the files' contents.
func (f *Service) finalize(ctx context.Context, id string, lines []*line) error {
	if err := f.change(ctx, id, func(b *Batch) {
		if b.Status == InProgress {
			b.Status, b.FinalizingAt = Finalizing, now()
		}
	}); err != nil {
		return err
	}
	var output, faults []byte
	var counts RequestCounts
	expired := false
	for _, l := range lines {
		counts.Total++
		raw := f.Store.Get(l.result).Data
		if l.record.State == lineDone {
			counts.Completed++
			output = append(append(output, raw...), '\n')
		} else {
			counts.Failed++
			faults = append(append(faults, raw...), '\n')
			expired = expired || bytes.Contains(raw, []byte(`"code":"batch_expired"`))
		}
	}
	// The names come from the batch's id: a leader that finishes what another began writes the same files.
	outputID, faultsID := "", ""
	if len(output) > 0 {
		outputID = "file-" + id + "-output"
		if err := f.store(ctx, File{ID: outputID, Filename: id + "_output.jsonl", Purpose: "batch_output"}, output); err != nil {
			return err
		}
	}
	if len(faults) > 0 {
		faultsID = "file-" + id + "-error"
		if err := f.store(ctx, File{ID: faultsID, Filename: id + "_error.jsonl", Purpose: "batch_output"}, faults); err != nil {
			return err
		}
	}
	return f.change(ctx, id, func(b *Batch) {
		b.OutputFileID, b.ErrorFileID, b.RequestCounts = outputID, faultsID, counts
		switch {
		case b.Status == Cancelling:
			b.Status, b.CancelledAt = Cancelled, now()
		case expired:
			b.Status, b.ExpiredAt = Expired, now()
		default:
			b.Status, b.CompletedAt = Completed, now()
		}
	})
}

func now() int64 { return time.Now().Unix() }

// change reads, changes and writes a batch until no other writer came between.
func (f *Service) change(ctx context.Context, id string, edit func(*Batch)) error {
	for {
		b, version, ok := f.batch(id)
		if !ok {
			return fmt.Errorf("batch %s is not in the store", id)
		}
		edit(&b)
		raw, err := json.Marshal(b)
		if err != nil {
			return err
		}
		_, err = f.Store.Write(ctx, store.Op{Key: batchKey(id), Data: raw, ExpectedVersion: version})
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
}

// concurrencyLimiter bound the lines that are out at once, so that single requests keep their service. A turn-down
// halves the bound for a while: the fleet has no room for more.
type concurrencyLimiter struct {
	free     chan struct{}
	mu       sync.Mutex
	maximum  int
	bound    float64
	withheld int // places kept out of use
}

func newConcurrencyLimiter(most int) *concurrencyLimiter {
	return &concurrencyLimiter{free: make(chan struct{}, most), maximum: most, bound: float64(most)}
}

// release gives a place back, or keeps it out of use while the bound is lower than the places.
func (s *concurrencyLimiter) release(k node.AnswerKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch k {
	case node.Rejected:
		s.bound = max(1, s.bound/2)
	case node.Served:
		s.bound = min(float64(s.maximum), s.bound+1/s.bound)
	}
	keep := s.maximum - int(s.bound)
	if s.withheld < keep {
		s.withheld++ // this place stays filled
		return
	}
	<-s.free
	for s.withheld > keep {
		s.withheld--
		<-s.free
	}
}

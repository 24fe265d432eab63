// Package emulator is the model of a backend that runs a language model: slots, a queue, steps that read prompts and
// make tokens, a memory with kept prompts, cold starts, pauses, errors and drains. It has no clock and no I/O; one
// driver gives it virtual time, another sockets. It belongs to the laboratory: the daemon never imports it.
package emulator

import (
	"container/list"
	"math"
	"math/rand/v2"
)

// Figures describe a box. Times are in seconds, lengths in tokens.
type Figures struct {
	Slots       int     `toml:"slots"`        // requests that run at once
	Queue       int     `toml:"queue"`        // that wait, at the most
	Memory      float64 `toml:"memory"`       // tokens of running requests and kept prompts together
	Chunk       float64 `toml:"chunk"`        // prompt tokens read in a step
	Step        float64 `toml:"step"`         // a step's least time
	PerSequence float64 `toml:"per_sequence"` // added for each running request
	PerContext  float64 `toml:"per_context"`  // added for each 1,000 tokens of their contexts
	ReadPerS    float64 `toml:"read_per_s"`   // prompt tokens
	ColdShare   float64 `toml:"cold_share"`   // of its speed right after a start
	WarmUp      float64 `toml:"warm_up"`
	FallFactor  float64 `toml:"fall_factor"` // sent more than so many times what it can do ...
	Fall        float64 `toml:"fall"`        // for so long while cold, it falls over for good; 0: never
	Capacity    float64 `toml:"capacity"`    // requests a second that it can do warm, as the fall reckons
	ReportEvery float64 `toml:"report_every"`
}

// Job is what a request asks of a box.
type Job struct {
	ID      int64
	Session uint64
	Prefix  uint64
	Prompt  float64
	Shared  float64 // of the prompt, its shared beginning
	Out     int     // tokens that the answer will have
}

// Verdict is how a box takes a job.
type Verdict int

// The verdicts on a job.
const (
	Taken   Verdict = iota // it runs
	Full                   // queue full, or draining: it never ran
	Errored                // answered as failed
	Dead                   // no connection
)

// Report is a box's load.
type Report struct{ Memory, Unread, Slots float64 }

// Progress is news of a job.
type Progress struct {
	ID     int64
	First  bool // its first token
	Tokens int  // made in this step, the first included
	Done   bool
	Kept   float64 // with Done: prompt tokens that were found kept
}

type job struct {
	Job
	kept   float64 // prompt tokens found kept
	unread float64
	made   int
}

func (j *job) context() float64 { return j.Prompt + float64(j.made) }

type kept struct {
	key    uint64
	tokens float64
}

// Box is one box. Its methods take the time in seconds, which must not fall.
type Box struct {
	Figures
	rng      *rand.Rand
	started  float64 // last start; -Inf: long ago
	dead     bool
	draining bool
	errors   float64 // share of jobs that fail at once
	slow     float64 // factor on the time of steps
	paused   float64 // until then no step ends

	running  []*job
	queue    []*job
	memory   *list.List // kept prompts, the latest used first
	byKey    map[uint64]*list.Element
	keptSum  float64
	stepEnds float64 // 0: no step runs
	reading  map[int64]float64
	report   Report
	reportAt float64
	pressure float64 // attempts that came lately, against the fall
	pressAt  float64
	came     int
}

// Came is how many jobs have come, refused ones too.
func (b *Box) Came() int { return b.came }

// New makes a box that started long ago, or at a time.
func New(f Figures, seed uint64, started float64) *Box {
	return &Box{Figures: f, rng: rand.New(rand.NewPCG(seed, 0x60a7)), started: started, slow: 1, memory: list.New(),
		byKey: map[uint64]*list.Element{}, reading: map[int64]float64{}, reportAt: math.Inf(-1)}
}

// LongAgo is the start of a box that is warm.
var LongAgo = math.Inf(-1)

// Warmth is the part of its speed that the box has.
func (b *Box) Warmth(now float64) float64 {
	if b.WarmUp <= 0 || now-b.started >= b.WarmUp {
		return 1
	}
	return b.ColdShare + (1-b.ColdShare)*max(0, now-b.started)/b.WarmUp
}

// Slow makes steps take a factor longer.
func (b *Box) Slow(factor float64) { b.slow = max(0.01, factor) }

// Fail has a share of the jobs that come end in an error at once.
func (b *Box) Fail(share float64) { b.errors = share }

// Pause keeps the box still from now until a time: the step that runs ends that much later.
func (b *Box) Pause(now, until float64) {
	from := max(now, b.paused)
	if b.stepEnds > 0 && until > from {
		b.stepEnds += until - from
	}
	b.paused = max(b.paused, until)
}

// Drain has the box finish what it has and take nothing new.
func (b *Box) Drain() { b.draining = true }

// Kill ends the box. All its jobs are lost; their ids are returned.
func (b *Box) Kill() []int64 {
	var lost []int64
	for _, j := range append(b.running, b.queue...) {
		lost = append(lost, j.ID)
	}
	b.dead, b.running, b.queue, b.stepEnds = true, nil, nil, 0
	return lost
}

// Restart brings the box up anew, cold and empty.
func (b *Box) Restart(now float64) []int64 {
	lost := b.Kill()
	b.dead, b.draining, b.started, b.paused = false, false, now, 0
	b.memory.Init()
	clear(b.byKey)
	b.keptSum, b.pressure = 0, 0
	return lost
}

// Alive tells whether the box takes connections.
func (b *Box) Alive() bool { return !b.dead }

// Idle tells that no job is on the box.
func (b *Box) Idle() bool { return len(b.running)+len(b.queue) == 0 }

// Submit brings a job. fell tells that this one pushed the cold box over; what it had is lost, see Kill.
func (b *Box) Submit(now float64, j Job) (v Verdict, fell bool) {
	b.came++
	if b.dead {
		return Dead, false
	}
	if b.press(now) {
		return Dead, true
	}
	if b.errors > 0 && b.rng.Float64() < b.errors {
		return Errored, false
	}
	if b.draining || len(b.queue)+len(b.running) >= b.Queue+b.Slots {
		return Full, false
	}
	b.queue = append(b.queue, &job{Job: j})
	if b.stepEnds == 0 {
		b.begin(now)
	}
	return Taken, false
}

// press counts an attempt against what a cold box may be sent, refused ones too.
func (b *Box) press(now float64) bool {
	if b.Fall <= 0 || b.Capacity <= 0 || now-b.started > b.WarmUp+b.Fall {
		return false
	}
	can := b.Capacity * b.Warmth(now)
	b.pressure = max(0, b.pressure-(now-b.pressAt)*can*b.FallFactor)
	b.pressAt = now
	b.pressure++
	return b.pressure > can*b.FallFactor*b.Fall+4 // and a little slack for chance
}

// Pressure is what lately came, as a part of what would push a cold box over: 1 and above does.
func (b *Box) Pressure(now float64) float64 {
	if b.Fall <= 0 || b.Capacity <= 0 || now-b.started > b.WarmUp+b.Fall {
		return 0
	}
	can := b.Capacity * b.Warmth(now)
	return max(0, b.pressure-(now-b.pressAt)*can*b.FallFactor) / (can*b.FallFactor*b.Fall + 4)
}

// Cancel gives a job up.
func (b *Box) Cancel(id int64) {
	for i, j := range b.queue {
		if j.ID == id {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			return
		}
	}
	for i, j := range b.running {
		if j.ID == id {
			b.running = append(b.running[:i], b.running[i+1:]...)
			b.keep(j)
			return
		}
	}
}

// Next is when the box next has something to tell; +Inf: not before a job comes.
func (b *Box) Next() float64 {
	if b.stepEnds == 0 {
		return math.Inf(1)
	}
	return b.stepEnds
}

// Load is the box's report, which is refreshed now and then.
func (b *Box) Load(now float64) Report {
	if now-b.reportAt >= b.ReportEvery {
		used, unread := 0.0, 0.0
		for _, j := range b.running {
			used, unread = used+j.context(), unread+j.unread
		}
		for _, j := range b.queue {
			unread += j.Prompt
		}
		b.report = Report{Memory: used / max(1, b.Memory), Unread: unread / 1000, Slots: float64(len(b.running)) / float64(max(1, b.Slots))}
		b.reportAt = now
	}
	return b.report
}

// Advance ends the step that ends at now, and begins the next.
func (b *Box) Advance(now float64) []Progress {
	if b.stepEnds == 0 || now < b.stepEnds {
		return nil
	}
	var news []Progress
	live := b.running[:0]
	for _, j := range b.running {
		reading := b.reading[j.ID]
		j.unread -= reading
		if j.unread > 1e-9 {
			live = append(live, j)
			continue
		}
		j.made++
		p := Progress{ID: j.ID, First: j.made == 1, Tokens: 1, Done: j.made >= j.Out, Kept: j.kept}
		news = append(news, p)
		if p.Done {
			b.keep(j)
		} else {
			live = append(live, j)
		}
	}
	clear(b.running[len(live):])
	b.running = live
	b.shrink(0)
	b.begin(now)
	return news
}

// begin admits what there is room for, plans what the next step reads, and says when it ends.
func (b *Box) begin(now float64) {
	for len(b.queue) > 0 && len(b.running) < b.Slots {
		j := b.queue[0]
		if b.used()+j.Prompt > b.Memory && len(b.running) > 0 {
			break
		}
		b.queue = b.queue[1:]
		j.kept = b.found(j)
		j.unread = max(1, j.Prompt-j.kept)
		b.running = append(b.running, j)
		b.shrink(j.Prompt)
	}
	if len(b.running) == 0 {
		b.stepEnds = 0
		return
	}
	clear(b.reading)
	left, contexts := b.Chunk, 0.0
	for _, j := range b.running {
		contexts += j.context()
		if j.unread > 0 && left > 0 {
			n := min(left, j.unread)
			b.reading[j.ID] = n
			left -= n
		}
	}
	took := b.Step + b.PerSequence*float64(len(b.running)) + b.PerContext*contexts/1000 + (b.Chunk-left)/b.ReadPerS
	b.stepEnds = max(now, b.paused) + took*b.slow/b.Warmth(now)
}

func (b *Box) used() float64 {
	sum := 0.0
	for _, j := range b.running {
		sum += j.context()
	}
	return sum
}

// shrink makes room: kept prompts go first, the longest unused of them first; then the newest running job goes back to
// the queue, to be read again.
func (b *Box) shrink(more float64) {
	used := b.used()
	for used+b.keptSum > b.Memory && b.memory.Len() > 0 {
		last := b.memory.Back()
		k := b.memory.Remove(last).(kept)
		delete(b.byKey, k.key)
		b.keptSum -= k.tokens
	}
	for used > b.Memory && len(b.running) > 1 && more == 0 {
		j := b.running[len(b.running)-1]
		b.running = b.running[:len(b.running)-1]
		used -= j.context()
		j.unread = 0
		b.queue = append([]*job{j}, b.queue...)
	}
}

const prefixKey = 0x9d5a_77c1_0d1e_b0b5

// found is how much of a job's prompt is kept.
func (b *Box) found(j *job) float64 { return b.look(j, true) }

// look is found; with touch what is found counts as used.
func (b *Box) look(j *job, touch bool) float64 {
	tokens := 0.0
	for _, k := range []struct {
		key  uint64
		most float64
	}{{j.Session, j.Prompt}, {j.Prefix ^ prefixKey, j.Shared}} {
		if e := b.byKey[k.key]; e != nil && k.key != 0 && k.key != prefixKey {
			if touch {
				b.memory.MoveToFront(e)
			}
			tokens = max(tokens, min(k.most, e.Value.(kept).tokens))
		}
	}
	return tokens
}

// keep remembers what a job has read and made.
func (b *Box) keep(j *job) {
	read := j.Prompt - j.unread
	if j.Session != 0 {
		b.put(j.Session, read+float64(j.made))
	}
	if j.Prefix != 0 && read >= j.Shared {
		b.put(j.Prefix^prefixKey, j.Shared)
	}
}

func (b *Box) put(key uint64, tokens float64) {
	if e := b.byKey[key]; e != nil {
		b.keptSum -= e.Value.(kept).tokens
		b.memory.Remove(e)
	}
	b.byKey[key] = b.memory.PushFront(kept{key, tokens})
	b.keptSum += tokens
}

// Able estimates the requests a second that a warm box does within a token gap, for mean lengths of the prompt that is
// to be read, of the context and of the answer: the most requests at once with which a step stays within the gap.
func (f Figures) Able(unread, context, out, gap float64) float64 {
	best := 0.0
	for n := 1.0; n <= float64(f.Slots); n++ {
		begun := n / out // requests that begin in a step, where each running one makes a token
		step := f.Step + f.PerSequence*n + f.PerContext*n*context/1000 + begun*unread/f.ReadPerS
		if step > gap {
			break
		}
		best = begun / step
	}
	return best
}

// Scale makes steps take a factor longer than they do now.
func (b *Box) Scale(factor float64) { b.Slow(b.slow * factor) }

// Wait is what a job that came now would wait for its first token, in seconds, as the box's true state has it: what is
// unread before it and its own prompt, at the present speed, and, with all slots taken, the wait for one of them. It is
// for a policy that sees the truth.
func (b *Box) Wait(now float64, j Job) float64 {
	unread := j.Prompt - b.look(&job{Job: j}, false)
	left := math.Inf(1)
	for _, r := range b.running {
		unread += r.unread
		left = min(left, float64(r.Out-r.made))
	}
	for _, q := range b.queue {
		unread += q.Prompt
	}
	speed := b.Warmth(now) / b.slow
	step := b.Step + b.PerSequence*float64(len(b.running)+1)
	wait := unread/(b.ReadPerS*speed) + step/speed + max(0, b.paused-now)
	if over := len(b.running) + len(b.queue) + 1 - b.Slots; over > 0 {
		wait += float64(over) * max(1, left) * step / speed / float64(max(1, b.Slots)) * 4
	}
	if b.dead || b.draining || len(b.queue) >= b.Queue {
		return math.Inf(1)
	}
	return wait
}

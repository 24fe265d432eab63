package moves

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/control"
	"standpoint/internal/mover"
	"standpoint/internal/pool"
	"standpoint/internal/store"
)

// Keys of the store.
const (
	currentKey    = "move/current"
	historyPrefix = "move/history/"
)

const (
	historyMost = 50                     // moves that are over and kept
	followEvery = 100 * time.Millisecond // between two looks at the record
	liveFor     = 5 * time.Second        // a node that has not reported for longer does not count as live
	nodesMost   = 64                     // that may report
	reportTime  = 2 * time.Second        // for one report
	mailMost    = 64                     // wishes and reports that may wait
	awaitEvery  = 10 * time.Millisecond
	backlogMost = 5 // windows that a node keeps for a leader that does not answer
)

// Options are an actor's neighbours.
type Options struct {
	Name    string // of this node
	Tracker *Tracker
	Store   store.Store
	Plan    func() mover.Plan // the file's, as it is now
	Peers   map[string]string // control addresses of the store's members, by id
	Token   func() string     // for the other members
	Window  time.Duration     // mover.WindowTime but in tests
	Live    time.Duration     // after which a silent node does not count as live; 0: 5 s
	Log     *zap.Logger
}

// Actor carries moves on while this node leads the store, and follows the record in any case.
type Actor struct {
	Options
	mail chan any

	// The actor's alone.
	version uint64 // of the record that is followed, as the store counts
	record  mover.Record
	machine *mover.Machine // while this node leads and a move is not over
	written uint64         // the store's version that the machine's record was written as
	term    uint64
	heard   map[string]*heard
	unsent  []Report
	sending bool
	sent    chan error
	failing string        // the last failure of a report, so that it is logged once
	changed chan struct{} // closed at the next change of what is followed
	tookUp  time.Time     // when this node began to lead
}

// heard is the latest of a node, and what it saw since the last window.
type heard struct {
	at       time.Time
	version  uint64
	id       string
	digest   uint64
	from, to mover.Side
}

// Report is what a node tells the one that carries the move on.
type Report struct {
	Node    string     `json:"node"`
	Move    string     `json:"move"`
	Version uint64     `json:"version"` // of the shares that it has in force
	Digest  uint64     `json:"digest"`  // of its pools
	From    mover.Side `json:"from"`
	To      mover.Side `json:"to"`
}

type (
	wish struct {
		name  string // start, plan, pause, resume, undo
		start StartWish
		done  chan reply
	}
	look   struct{ done chan Status }
	listen struct{ done chan chan struct{} }
	reply  struct {
		record mover.Record
		err    error
	}
)

// StartWish is what a start may say. What it leaves out the operator's file says.
type StartWish struct {
	From        string    `json:"from,omitempty"`
	To          string    `json:"to"`
	Steps       []float64 `json:"steps,omitempty"`
	Hold        string    `json:"hold,omitempty"`
	Warm        string    `json:"warm,omitempty"`
	Trickle     float64   `json:"trickle,omitempty"`
	Samples     int       `json:"samples,omitempty"`
	Floor       float64   `json:"floor,omitempty"`
	OnWorse     string    `json:"on_worse,omitempty"`
	ReturnEvery string    `json:"return_every,omitempty"`
	By          string    `json:"by,omitempty"`
	Note        string    `json:"note,omitempty"`
}

// NodeStatus is a node as the one that carries the move on sees it.
type NodeStatus struct {
	Name    string  `json:"name"`
	Version uint64  `json:"version"`
	Age     float64 `json:"age_s"` // seconds since its last report
	Behind  bool    `json:"behind"`
}

// Status is how things stand.
type Status struct {
	Node     string        `json:"node"`
	Leads    bool          `json:"leads"`
	Leader   string        `json:"leader,omitempty"`
	Version  uint64        `json:"version"` // of the shares in force here
	Move     *mover.Record `json:"move,omitempty"`
	Evidence float64       `json:"evidence"` // of an alarm: 1 raises it
	Nodes    []NodeStatus  `json:"nodes,omitempty"`
}

// New makes the actor; Run starts it.
func New(o Options) *Actor {
	if o.Window == 0 {
		o.Window = mover.WindowTime
	}
	if o.Live == 0 {
		o.Live = liveFor
	}
	return &Actor{Options: o, mail: make(chan any, mailMost), heard: map[string]*heard{}, sent: make(chan error, 1),
		changed: make(chan struct{})}
}

// Await is called before Run. It gives a store that restarts the time to have its record again, so that no flow is
// assigned as though there had been no move: until the store has caught up with what it held, or most has passed.
func (a *Actor) Await(ctx context.Context, most time.Duration) {
	late, ok := a.Store.(interface{ CaughtUp() bool })
	for end := time.Now().Add(most); ok && !late.CaughtUp() && ctx.Err() == nil; time.Sleep(awaitEvery) {
		if time.Now().After(end) {
			a.Log.Warn("the store has not caught up; what it knows of moves holds, or else the file's shares")
			break
		}
	}
	a.follow()
}

// Run works until ctx ends.
func (a *Actor) Run(ctx context.Context) {
	window := time.NewTicker(a.Window)
	defer window.Stop()
	follow := time.NewTicker(min(followEvery, a.Window))
	defer follow.Stop()
	a.follow()
	for {
		select {
		case <-ctx.Done():
			return
		case <-follow.C:
			a.follow()
		case <-window.C:
			a.follow()
			a.window(ctx)
		case err := <-a.sent:
			a.reported(err)
		case m := <-a.mail:
			a.receive(ctx, m)
		}
	}
}

func (a *Actor) receive(ctx context.Context, m any) {
	switch m := m.(type) {
	case Report:
		a.hear(m)
	case wish:
		record, err := a.carryOut(ctx, m)
		m.done <- reply{record, err}
	case look:
		m.done <- a.status()
	case listen:
		m.done <- a.changed
	}
}

// follow takes on the record as the store has it. Every node does, the one that carries the move on too: what is
// written is in force, and nothing else is.
func (a *Actor) follow() {
	v := a.Store.Get(currentKey)
	if v.Version == a.version || v.Version == 0 {
		return // a store that has nothing yet, or is cut off, changes nothing here
	}
	var r mover.Record
	if err := json.Unmarshal(v.Data, &r); err != nil {
		a.Log.Error("the recorded move cannot be read; the shares stay as they are", zap.Error(err))
		a.version = v.Version
		return
	}
	if r.ID != a.record.ID || r.Version != a.record.Version || r.State != a.record.State {
		a.Log.Info("the traffic move", zap.String("id", r.ID), zap.String("from", r.Plan.From), zap.String("to", r.Plan.To),
			zap.String("state", string(r.State)), zap.Float64("share", r.Shares.Share), zap.Uint64("version", r.Version))
	}
	a.version, a.record = v.Version, r
	a.Tracker.Follow(r)
	close(a.changed)
	a.changed = make(chan struct{})
}

// leads tells whether this node carries moves on, and takes up what is recorded when it begins to.
func (a *Actor) leads() bool {
	term, ok := a.Store.Leads()
	if !ok || term != a.term {
		a.machine, a.heard = nil, map[string]*heard{}
		a.term = 0
	}
	if !ok {
		return false
	}
	if a.term != term {
		a.term, a.tookUp = term, time.Now()
	}
	a.follow()
	if a.machine == nil && a.record.State != "" && !a.record.State.Over() {
		a.machine, a.written = mover.Resume(a.record), a.version
	}
	return true
}

// window closes a window: this node's counts go to the one that carries the move on.
func (a *Actor) window(ctx context.Context) {
	now := time.Now()
	from, to := a.Tracker.Take(now)
	own := Report{Node: a.Name, Move: a.record.ID, Version: a.record.Version, Digest: a.Tracker.Digest(), From: from, To: to}
	if !a.leads() {
		a.report(ctx, own)
		return
	}
	a.unsent = nil
	a.hear(own)
	// One that has just begun to lead does not know yet who is live: it waits to hear all members, or for as long as a
	// silent one counts as live.
	if a.machine == nil || len(a.heard) < len(a.Peers) && now.Sub(a.tookUp) < a.Live {
		return
	}
	w := a.merge(now)
	if a.machine.Observe(now, w) {
		a.write(ctx)
	}
}

// hear takes a report in.
func (a *Actor) hear(r Report) {
	h := a.heard[r.Node]
	if h == nil {
		if len(a.heard) >= nodesMost {
			return
		}
		h = &heard{}
		a.heard[r.Node] = h
	}
	h.at, h.version, h.id, h.digest = time.Now(), r.Version, r.Move, r.Digest
	if r.Move == a.record.ID {
		h.from, h.to = h.from.Add(r.From), h.to.Add(r.To)
		// The latest view of the boxes holds, not the gloomiest of a backlog.
		h.from.Health, h.to.Health = r.From.Health, r.To.Health
	}
}

// merge makes one window of what all live nodes have told since the last.
func (a *Actor) merge(now time.Time) mover.Window {
	var w mover.Window
	own := a.Tracker.Digest()
	for name, h := range a.heard {
		if now.Sub(h.at) > a.Live {
			delete(a.heard, name)
			a.Log.Warn("a node is no longer heard; the move goes on without it", zap.String("node", name))
			continue
		}
		w.Nodes++
		switch {
		case h.digest != own: // its counts are of other pools
			w.Behind = append(w.Behind, name+" (its pools differ)")
			h.from, h.to = mover.Side{}, mover.Side{}
			continue
		case h.id != a.record.ID || h.version != a.record.Version:
			w.Behind = append(w.Behind, name)
		}
		w.From, w.To = w.From.Add(h.from), w.To.Add(h.to)
		h.from, h.to = mover.Side{Health: h.from.Health}, mover.Side{Health: h.to.Health}
	}
	slices.Sort(w.Behind)
	return w
}

// write records the machine's state; only then is it in force, here too. A record that another has changed meanwhile
// is taken up anew: whoever leads now carries it on.
func (a *Actor) write(ctx context.Context) error {
	r := a.machine.Record()
	raw, err := json.Marshal(r)
	if err == nil {
		ops := []store.Op{{Key: currentKey, Data: raw, If: a.written}}
		if r.State.Over() {
			ops = append(ops, a.history(r, raw)...)
		}
		var v uint64
		if v, err = a.Store.Write(ctx, ops...); err == nil {
			a.written = v
			if r.State.Over() {
				a.machine = nil
			}
			a.follow()
			return nil
		}
	}
	a.machine = nil // what was not written did not happen
	a.Log.Warn("the move's state was not recorded", zap.String("id", r.ID), zap.Error(err))
	return err
}

// history keeps a move that is over, and lets the oldest go.
func (a *Actor) history(r mover.Record, raw []byte) []store.Op {
	key := historyPrefix + r.ID
	ops := []store.Op{{Key: key, Data: raw, If: store.Any}}
	kept := slices.DeleteFunc(a.Store.List(historyPrefix), func(k string) bool { return k == key })
	for len(kept) >= historyMost {
		ops = append(ops, store.Op{Key: kept[0], If: store.Any})
		kept = kept[1:]
	}
	return ops
}

// report sends this node's windows to the leader, one call at a time.
func (a *Actor) report(ctx context.Context, own Report) {
	a.unsent = append(a.unsent, own)
	if n := len(a.unsent) - backlogMost; n > 0 {
		a.unsent = slices.Delete(a.unsent, 0, n)
	}
	address := a.Peers[a.Store.Leader()]
	if a.sending || address == "" {
		return
	}
	a.sending = true
	batch := slices.Clone(a.unsent)
	a.unsent = nil
	go func() {
		ctx, cancel := context.WithTimeout(ctx, reportTime)
		defer cancel()
		client := control.NewClient(address, a.Token())
		defer client.Close()
		a.sent <- client.Call(ctx, http.MethodPost, "/v1/move/report", batch, nil)
	}()
}

func (a *Actor) reported(err error) {
	a.sending = false
	said := ""
	if err != nil {
		said = err.Error()
	}
	if said != a.failing && said != "" {
		a.Log.Warn("the node that carries moves on was not told; the shares stay as they are", zap.Error(err))
	}
	a.failing = said
}

func (a *Actor) notLeader() error {
	e := &control.Error{Status: http.StatusMisdirectedRequest, Code: "not_leader", Message: "another member carries moves on",
		Leader: a.Peers[a.Store.Leader()]}
	if e.Leader == "" {
		e.Status, e.Message = http.StatusServiceUnavailable, "the store has no leader now"
	}
	return e
}

// carryOut does what an operator wishes.
func (a *Actor) carryOut(ctx context.Context, w wish) (mover.Record, error) {
	if w.name == "plan" {
		m, err := a.begin(w.start, a.record.Shares)
		if err != nil {
			return mover.Record{}, err
		}
		return m.Record(), nil
	}
	if !a.leads() {
		return mover.Record{}, a.notLeader()
	}
	now := time.Now()
	if w.name == "start" {
		if a.machine != nil {
			return mover.Record{}, &control.Error{Status: http.StatusConflict, Code: "move_running",
				Message: fmt.Sprintf("move %s from %s to %s is %s; undo it, or wait until it is over", a.record.ID, a.record.Plan.From,
					a.record.Plan.To, a.record.State)}
		}
		m, err := a.begin(w.start, a.record.Shares)
		if err != nil {
			return mover.Record{}, err
		}
		a.machine, a.written = m, a.version
	} else {
		if a.record.State == "" {
			return mover.Record{}, &control.Error{Status: http.StatusNotFound, Code: "no_move", Message: "no move was ever started"}
		}
		if a.machine == nil {
			a.machine, a.written = mover.Resume(a.record), a.version
		}
		if err := a.machine.Command(now, w.name); err != nil {
			if a.record.State.Over() {
				a.machine = nil
			}
			return mover.Record{}, &control.Error{Status: http.StatusConflict, Code: "not_now", Message: err.Error()}
		}
	}
	r := a.machine.Record()
	if err := a.write(ctx); err != nil {
		return mover.Record{}, fmt.Errorf("not recorded, and so not done: %w", err)
	}
	return r, nil
}

// begin plans a move.
func (a *Actor) begin(s StartWish, base pool.Shares) (*mover.Machine, error) {
	p, err := s.plan(a.Plan())
	if err != nil {
		return nil, err
	}
	fault := func(key, form string, args ...any) error {
		return &control.Error{Status: http.StatusBadRequest, Code: "bad_plan", Key: key, Message: fmt.Sprintf(form, args...)}
	}
	t := a.Tracker
	t.mu.Lock()
	set := t.set
	t.mu.Unlock()
	if p.From == "" {
		p.From = a.holder(set, base)
	}
	for _, k := range []struct{ key, name string }{{"from", p.From}, {"to", p.To}} {
		if set.Number(k.name) == 0 {
			var names []string
			for _, d := range set.Definitions() {
				names = append(names, d.Name)
			}
			return nil, fault(k.key, "%q is no pool; there are: %s", k.name, strings.Join(names, ", "))
		}
	}
	now := time.Now()
	m, err := mover.Start(fmt.Sprintf("m-%s", now.UTC().Format("20060102-150405.000")), p, pool.Shares{Moved: base.Moved},
		t.Health(p.From, now), t.Health(p.To, now), now)
	var wrong *mover.Fault
	if errors.As(err, &wrong) {
		return nil, fault(wrong.Key, "%s", wrong.Reason)
	}
	if err == nil {
		m.Sign(s.By, s.Note)
	}
	return m, err
}

// holder is the pool that has most of the flows now.
func (a *Actor) holder(set *pool.Set, base pool.Shares) string {
	share := map[string]float64{}
	best := ""
	for _, d := range set.Definitions() {
		name := d.Name
		if to, ok := base.Moved[name]; ok && set.Number(to) != 0 {
			name = to
		}
		share[name] += d.Share
		if best == "" || share[name] > share[best] {
			best = name
		}
	}
	return best
}

func (s StartWish) plan(p mover.Plan) (mover.Plan, error) {
	p.From, p.To = s.From, s.To
	if s.Steps != nil {
		if p.Steps = s.Steps; len(s.Steps) > 0 {
			p.Trickle = min(p.Trickle, s.Steps[0])
		}
	}
	for _, v := range []struct {
		key, text string
		to        *time.Duration
	}{{"hold", s.Hold, &p.Hold}, {"warm", s.Warm, &p.Warm}, {"return_every", s.ReturnEvery, &p.ReturnEvery}} {
		if v.text == "" {
			continue
		}
		d, err := time.ParseDuration(v.text)
		if err != nil {
			return p, &control.Error{Status: http.StatusBadRequest, Code: "bad_plan", Key: v.key,
				Message: fmt.Sprintf("%q is no span such as 30s", v.text)}
		}
		*v.to = d
	}
	if s.Trickle != 0 {
		p.Trickle = s.Trickle
	}
	if s.Samples != 0 {
		p.Samples = s.Samples
	}
	if s.Floor != 0 {
		p.Floor = s.Floor
	}
	if s.OnWorse != "" {
		p.OnWorse = s.OnWorse
	}
	return p, nil
}

func (a *Actor) status() Status {
	_, leads := a.Store.Leads()
	s := Status{Node: a.Name, Leads: leads, Leader: a.Store.Leader(), Version: a.record.Version}
	if a.record.State != "" {
		r := a.record
		s.Move, s.Evidence = &r, r.Level()
	}
	now := time.Now()
	for name, h := range a.heard {
		s.Nodes = append(s.Nodes, NodeStatus{Name: name, Version: h.version, Age: now.Sub(h.at).Seconds(),
			Behind: h.id != a.record.ID || h.version != a.record.Version})
	}
	slices.SortFunc(s.Nodes, func(x, y NodeStatus) int { return strings.Compare(x.Name, y.Name) })
	return s
}

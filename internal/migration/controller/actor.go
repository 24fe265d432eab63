package controller

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
	"standpoint/internal/migration"
	"standpoint/internal/pool"
	"standpoint/internal/store"
)

// Keys of the store.
const (
	currentKey    = "move/current"
	historyPrefix = "move/history/"
)

const (
	maxHistory     = 50                     // moves that are over and kept
	followInterval = 100 * time.Millisecond // between two looks at the record
	liveTimeout    = 5 * time.Second        // a node that has not reported for longer does not count as live
	maxNodes       = 64                     // that may report
	reportTimeout  = 2 * time.Second        // for one report
	mailboxSize    = 64                     // wishes and reports that may wait
	awaitInterval  = 10 * time.Millisecond
	maxBacklog     = 5 // windows that a node keeps for a leader that does not answer
)

// Options are an actor's neighbours.
type Options struct {
	Name    string // of this node
	Tracker *Tracker
	Store   store.Store
	Plan    func() migration.Plan // the file's, as it is now
	Peers   map[string]string     // control addresses of the store's members, by id
	Token   func() string         // for the other members
	Window  time.Duration         // mover.WindowTime but in tests
	Live    time.Duration         // after which a silent node does not count as live; 0: 5 s
	Log     *zap.Logger
}

// Controller carries moves on while this node leads the store, and follows the record in any case.
type Controller struct {
	Options
	mailbox chan any

	// The actor's alone.
	version         uint64 // of the record that is followed, as the store counts
	record          migration.Record
	machine         *migration.Machine // while this node leads and a move is not over
	recordVersion   uint64             // the store's version that the machine's record was written as
	term            uint64
	reports         map[string]*nodeReport
	unsent          []Report
	sending         bool
	reportResults   chan error
	lastReportError string        // the last failure of a report, so that it is logged once
	changed         chan struct{} // closed at the next change of what is followed
	leaderSince     time.Time     // when this node began to lead
}

// nodeReport is the latest of a node, and what it saw since the last window.
type nodeReport struct {
	receivedAt time.Time
	version    uint64
	migration  string
	digest     uint64
	from, to   migration.PoolWindow
}

// Report is what a node tells the one that carries the move on.
type Report struct {
	Node    string               `json:"node"`
	Move    string               `json:"move"`
	Version uint64               `json:"version"` // of the shares that it has in force
	Digest  uint64               `json:"digest"`  // of its pools
	From    migration.PoolWindow `json:"from"`
	To      migration.PoolWindow `json:"to"`
}

type (
	commandRequest struct {
		name  string // start, plan, pause, resume, undo
		start StartRequest
		done  chan commandReply
	}
	statusRequest struct{ done chan Status }
	changeRequest struct{ done chan chan struct{} }
	commandReply  struct {
		record migration.Record
		err    error
	}
)

// StartRequest is what a start may say. What it leaves out the operator's file says.
type StartRequest struct {
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
	Lagging bool    `json:"behind"`
}

// Status is how things stand.
type Status struct {
	Node     string            `json:"node"`
	Leads    bool              `json:"leads"`
	Leader   string            `json:"leader,omitempty"`
	Version  uint64            `json:"version"` // of the shares in force here
	Move     *migration.Record `json:"move,omitempty"`
	Evidence float64           `json:"evidence"` // of an alarm: 1 raises it
	Nodes    []NodeStatus      `json:"nodes,omitempty"`
}

// New makes the actor; Run starts it.
func New(o Options) *Controller {
	if o.Window == 0 {
		o.Window = migration.WindowTime
	}
	if o.Live == 0 {
		o.Live = liveTimeout
	}
	return &Controller{Options: o, mailbox: make(chan any, mailboxSize), reports: map[string]*nodeReport{}, reportResults: make(chan error, 1),
		changed: make(chan struct{})}
}

// AwaitStore is called before Run. It gives a store that restarts the time to have its record again, so that no flow is
// assigned as though there had been no move: until the store has caught up with what it held, or most has passed.
func (a *Controller) AwaitStore(ctx context.Context, most time.Duration) {
	late, ok := a.Store.(interface{ CaughtUp() bool })
	for end := time.Now().Add(most); ok && !late.CaughtUp() && ctx.Err() == nil; time.Sleep(awaitInterval) {
		if time.Now().After(end) {
			a.Log.Warn("the store has not caught up; what it knows of moves holds, or else the file's shares")
			break
		}
	}
	a.follow()
}

// Run works until ctx ends.
func (a *Controller) Run(ctx context.Context) {
	window := time.NewTicker(a.Window)
	defer window.Stop()
	follow := time.NewTicker(min(followInterval, a.Window))
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
			a.closeWindow(ctx)
		case err := <-a.reportResults:
			a.reportSent(err)
		case m := <-a.mailbox:
			a.receive(ctx, m)
		}
	}
}

func (a *Controller) receive(ctx context.Context, m any) {
	switch m := m.(type) {
	case Report:
		a.addReport(m)
	case commandRequest:
		record, err := a.execute(ctx, m)
		m.done <- commandReply{record, err}
	case statusRequest:
		m.done <- a.status()
	case changeRequest:
		m.done <- a.changed
	}
}

// follow takes on the record as the store has it. Every node does, the one that carries the move on too: what is
// written is in force, and nothing else is.
func (a *Controller) follow() {
	v := a.Store.Get(currentKey)
	if v.Version == a.version || v.Version == 0 {
		return // a store that has nothing yet, or is cut off, changes nothing here
	}
	var r migration.Record
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

// takeLead tells whether this node carries moves on, and takes up what is recorded when it begins to.
func (a *Controller) takeLead() bool {
	term, ok := a.Store.Leadership()
	if !ok || term != a.term {
		a.machine, a.reports = nil, map[string]*nodeReport{}
		a.term = 0
	}
	if !ok {
		return false
	}
	if a.term != term {
		a.term, a.leaderSince = term, time.Now()
	}
	a.follow()
	if a.machine == nil && a.record.State != "" && !a.record.State.Terminal() {
		a.machine, a.recordVersion = migration.Resume(a.record), a.version
	}
	return true
}

// closeWindow closes a window: this node's counts go to the one that carries the move on.
func (a *Controller) closeWindow(ctx context.Context) {
	now := time.Now()
	from, to := a.Tracker.TakeWindow(now)
	own := Report{Node: a.Name, Move: a.record.ID, Version: a.record.Version, Digest: a.Tracker.Digest(), From: from, To: to}
	if !a.takeLead() {
		a.sendReport(ctx, own)
		return
	}
	a.unsent = nil
	a.addReport(own)
	// One that has just begun to lead does not know yet who is live: it waits to hear all members, or for as long as a
	// silent one counts as live.
	if a.machine == nil || len(a.reports) < len(a.Peers) && now.Sub(a.leaderSince) < a.Live {
		return
	}
	w := a.mergeWindow(now)
	if a.machine.Observe(now, w) {
		_ = a.persist(ctx)
	}
}

// addReport takes a report in.
func (a *Controller) addReport(r Report) {
	h := a.reports[r.Node]
	if h == nil {
		if len(a.reports) >= maxNodes {
			return
		}
		h = &nodeReport{}
		a.reports[r.Node] = h
	}
	h.receivedAt, h.version, h.migration, h.digest = time.Now(), r.Version, r.Move, r.Digest
	if r.Move == a.record.ID {
		h.from, h.to = h.from.Add(r.From), h.to.Add(r.To)
		// The latest view of the boxes holds, not the gloomiest of a backlog.
		h.from.Health, h.to.Health = r.From.Health, r.To.Health
	}
}

// mergeWindow makes one window of what all live nodes have told since the last.
func (a *Controller) mergeWindow(now time.Time) migration.Window {
	var w migration.Window
	own := a.Tracker.Digest()
	for name, h := range a.reports {
		if now.Sub(h.receivedAt) > a.Live {
			delete(a.reports, name)
			a.Log.Warn("a node is no longer heard; the move goes on without it", zap.String("node", name))
			continue
		}
		w.Nodes++
		switch {
		case h.digest != own: // its counts are of other pools
			w.Lagging = append(w.Lagging, name+" (its pools differ)")
			h.from, h.to = migration.PoolWindow{}, migration.PoolWindow{}
			continue
		case h.migration != a.record.ID || h.version != a.record.Version:
			w.Lagging = append(w.Lagging, name)
		}
		w.From, w.To = w.From.Add(h.from), w.To.Add(h.to)
		h.from, h.to = migration.PoolWindow{Health: h.from.Health}, migration.PoolWindow{Health: h.to.Health}
	}
	slices.Sort(w.Lagging)
	return w
}

// persist records the machine's state; only then is it in force, here too. A record that another has changed meanwhile
// is taken up anew: whoever leads now carries it on.
func (a *Controller) persist(ctx context.Context) error {
	r := a.machine.Record()
	raw, err := json.Marshal(r)
	if err == nil {
		ops := []store.Op{{Key: currentKey, Data: raw, ExpectedVersion: a.recordVersion}}
		if r.State.Terminal() {
			ops = append(ops, a.archive(r, raw)...)
		}
		var v uint64
		if v, err = a.Store.Write(ctx, ops...); err == nil {
			a.recordVersion = v
			if r.State.Terminal() {
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

// archive keeps a move that is over, and lets the oldest go.
func (a *Controller) archive(r migration.Record, raw []byte) []store.Op {
	key := historyPrefix + r.ID
	ops := []store.Op{{Key: key, Data: raw, ExpectedVersion: store.AnyVersion}}
	kept := slices.DeleteFunc(a.Store.List(historyPrefix), func(k string) bool { return k == key })
	for len(kept) >= maxHistory {
		ops = append(ops, store.Op{Key: kept[0], ExpectedVersion: store.AnyVersion})
		kept = kept[1:]
	}
	return ops
}

// sendReport sends this node's windows to the leader, one call at a time.
func (a *Controller) sendReport(ctx context.Context, own Report) {
	a.unsent = append(a.unsent, own)
	if n := len(a.unsent) - maxBacklog; n > 0 {
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
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		client := control.NewClient(address, a.Token())
		defer client.Close()
		a.reportResults <- client.Call(ctx, http.MethodPost, "/v1/move/report", batch, nil)
	}()
}

func (a *Controller) reportSent(err error) {
	a.sending = false
	said := ""
	if err != nil {
		said = err.Error()
	}
	if said != a.lastReportError && said != "" {
		a.Log.Warn("the node that carries moves on was not told; the shares stay as they are", zap.Error(err))
	}
	a.lastReportError = said
}

func (a *Controller) notLeader() error {
	e := &control.Error{Status: http.StatusMisdirectedRequest, Code: "not_leader", Message: "another member carries moves on",
		Leader: a.Peers[a.Store.Leader()]}
	if e.Leader == "" {
		e.Status, e.Message = http.StatusServiceUnavailable, "the store has no leader now"
	}
	return e
}

// execute does what an operator wishes.
func (a *Controller) execute(ctx context.Context, w commandRequest) (migration.Record, error) {
	if w.name == "plan" {
		m, err := a.newMachine(w.start, a.record.Shares)
		if err != nil {
			return migration.Record{}, err
		}
		return m.Record(), nil
	}
	if !a.takeLead() {
		return migration.Record{}, a.notLeader()
	}
	now := time.Now()
	if w.name == "start" {
		if a.machine != nil {
			return migration.Record{}, &control.Error{Status: http.StatusConflict, Code: "move_running",
				Message: fmt.Sprintf("move %s from %s to %s is %s; undo it, or wait until it is over", a.record.ID, a.record.Plan.From,
					a.record.Plan.To, a.record.State)}
		}
		m, err := a.newMachine(w.start, a.record.Shares)
		if err != nil {
			return migration.Record{}, err
		}
		a.machine, a.recordVersion = m, a.version
	} else {
		if a.record.State == "" {
			return migration.Record{}, &control.Error{Status: http.StatusNotFound, Code: "no_move", Message: "no move was ever started"}
		}
		if a.machine == nil {
			a.machine, a.recordVersion = migration.Resume(a.record), a.version
		}
		if err := a.machine.Command(now, w.name); err != nil {
			if a.record.State.Terminal() {
				a.machine = nil
			}
			return migration.Record{}, &control.Error{Status: http.StatusConflict, Code: "not_now", Message: err.Error()}
		}
	}
	r := a.machine.Record()
	if err := a.persist(ctx); err != nil {
		return migration.Record{}, fmt.Errorf("not recorded, and so not done: %w", err)
	}
	return r, nil
}

// newMachine plans a move.
func (a *Controller) newMachine(s StartRequest, base pool.Shares) (*migration.Machine, error) {
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
		p.From = a.largestPool(set, base)
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
	m, err := migration.Start(fmt.Sprintf("m-%s", now.UTC().Format("20060102-150405.000")), p, pool.Shares{Moved: base.Moved},
		t.Health(p.From, now), t.Health(p.To, now), now)
	var wrong *migration.PlanError
	if errors.As(err, &wrong) {
		return nil, fault(wrong.Key, "%s", wrong.Reason)
	}
	if err == nil {
		m.SetAuthor(s.By, s.Note)
	}
	return m, err
}

// largestPool is the pool that has most of the flows now.
func (a *Controller) largestPool(set *pool.Set, base pool.Shares) string {
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

func (s StartRequest) plan(p migration.Plan) (migration.Plan, error) {
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

func (a *Controller) status() Status {
	_, leads := a.Store.Leadership()
	s := Status{Node: a.Name, Leads: leads, Leader: a.Store.Leader(), Version: a.record.Version}
	if a.record.State != "" {
		r := a.record
		s.Move, s.Evidence = &r, r.EvidenceLevel()
	}
	now := time.Now()
	for name, h := range a.reports {
		s.Nodes = append(s.Nodes, NodeStatus{Name: name, Version: h.version, Age: now.Sub(h.receivedAt).Seconds(),
			Lagging: h.migration != a.record.ID || h.version != a.record.Version})
	}
	slices.SortFunc(s.Nodes, func(x, y NodeStatus) int { return strings.Compare(x.Name, y.Name) })
	return s
}

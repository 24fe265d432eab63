package lab

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/lab/emulator"
	"standpoint/internal/node"
	"standpoint/internal/pool"
)

var nopLog = zap.NewNop()

func boxName(i int) string { return fmt.Sprintf("box-%03d", i) }

func poolDefinitions() []pool.Definition {
	var all []pool.Definition
	for name, text := range map[string]string{"old": `version == "v1"`, "new": `version == "v2"`} {
		s, err := pool.Parse(text)
		if err != nil {
			panic(err) // both are written above
		}
		all = append(all, pool.Definition{Name: name, Selector: s})
	}
	if all[0].Name != "old" {
		all[0], all[1] = all[1], all[0]
	}
	return all
}

// news tells the node of endpoints, as the core would.
func (g *gateway) news(l node.EndpointList) {
	entries := make([]node.Endpoint, len(l.Endpoints))
	copy(entries, l.Endpoints)
	l.Endpoints = entries
	list := &standpoint.EngineList{Kind: l.Kind}
	for i := range l.Endpoints {
		if g.tracker != nil {
			l.Endpoints[i].Pool = g.tracker.Place(&l.Endpoints[i])
		}
		list.Engines = append(list.Engines, l.Endpoints[i].Engine)
	}
	if g.tracker != nil {
		g.tracker.UpdateEndpoints(l)
	}
	g.handle(list)
}

// reckon has the node take there to be so many.
func (g *gateway) reckon(nodes int) {
	g.settings.Gateways = nodes
	if r, ok := g.router.(*standpoint.Router); ok {
		r.UpdateSettings(g.settings)
	}
}

// handle hands an event to the module and carries out what it wants.
func (g *gateway) handle(ev standpoint.Event) {
	g.pending = append(g.pending, ev)
	if g.handling {
		return
	}
	g.handling = true
	for len(g.pending) > 0 {
		ev, g.pending = g.pending[0], g.pending[1:]
		g.acts = g.router.Handle(g.w.clock(), ev, g.acts[:0])
		for _, act := range append([]standpoint.Action(nil), g.acts...) {
			g.carryOut(act)
		}
	}
	g.handling = false
}

func (g *gateway) carryOut(act standpoint.Action) {
	w, a := g.w, g.open[act.Request]
	switch act.Kind {
	case standpoint.Timer:
		w.At(w.now+float64(act.Wait)/1e9, func() { g.handle(&standpoint.TimerFired{Token: act.Token}) })
	case standpoint.Send:
		if a != nil {
			g.send(a, act)
		}
	case standpoint.Cancel:
		if a != nil && act.Attempt < len(a.tries) {
			if t := a.tries[act.Attempt]; t.out && t.begun == 0 && !t.called {
				t.called = true
				w.At(w.now, func() { g.end(t, standpoint.Cancelled, 0) })
			}
		}
	case standpoint.Shed, standpoint.Fail:
		if a == nil || a.done {
			return
		}
		a.done = true
		if g.tracker != nil {
			g.tracker.RecordRejected(&a.request)
		}
		w.Seconds[a.second].Shed++
		g.forget(a)
		w.comeAgain(a, max(0.3, float64(act.Wait)/1e9))
	}
}

// comeAgain has a client try once more after a wait, twice at the most.
func (w *World) comeAgain(a *ask, wait float64) {
	if a.again++; a.again > 2 {
		return
	}
	next := &ask{class: a.class, session: a.session, arrived: a.arrived, second: a.second, again: a.again, request: a.request}
	next.request.Retry = true
	w.At(w.now+wait*(0.8+0.4*w.rng.Float64()), func() { w.present(next) })
}

func (g *gateway) send(a *ask, act standpoint.Action) {
	w := g.w
	m := w.byName[act.Engine]
	t := &try{ask: a, leg: len(a.tries), box: m, sent: w.now, out: true}
	for _, other := range a.tries {
		if other.out {
			w.breaches["two attempts at once"]++
		}
	}
	if len(a.tries) >= 3 {
		w.breaches["a fourth attempt"]++
	}
	a.tries = append(a.tries, t)
	if g.tracker != nil {
		g.tracker.RecordSent(&a.request, act.Engine, t.leg)
	}
	until := float64(act.Deadline-epoch) / 1e9
	w.attempts++
	if s := w.second(w.now); s.Boxes != nil {
		s.Boxes[m.index]++
	}
	m.coming++
	lost := w.MessageLost > 0 && w.lost.Float64() < w.MessageLost
	w.At(w.now+hop, func() {
		m.coming--
		if t.out && !t.called && !lost {
			w.reach(t)
		}
	})
	w.At(until, func() {
		if t.out && t.begun == 0 {
			g.end(t, standpoint.NoAnswer, 0)
		}
	})
}

// reach is an attempt's arrival at its box.
func (w *World) reach(t *try) {
	m, a := t.box, t.ask
	w.trace++
	if m.drainedAt > 0 && w.now-m.drainedAt > 0.5 {
		w.lateSends++
	}
	t.id = int64(w.trace)
	out := max(2, int(w.logNormal(a.class.Out, a.class.OutSpread)))
	v, fell := m.Submit(w.now, emulator.Job{ID: t.id, Session: a.request.Session, Prefix: a.request.Prefix, Prompt: a.request.PromptTokens,
		Shared: a.request.PrefixTokens, Out: min(out, int(a.class.MaxOut))})
	if fell {
		m.fell = true
		w.lose(m, m.Kill())
	}
	back := func(code standpoint.OutcomeCode) {
		w.At(w.now+hop, func() { a.node.end(t, code, 0) })
	}
	switch v {
	case emulator.Taken:
		m.jobs[t.id] = t
		w.step(m)
	case emulator.Full:
		back(standpoint.Rejected)
	case emulator.Errored:
		back(standpoint.ServerError)
	case emulator.Dead:
		back(standpoint.NoConnection)
	}
}

// lose ends what a box had when it died.
func (w *World) lose(m *machine, ids []int64) {
	for _, id := range ids {
		t := m.jobs[id]
		delete(m.jobs, id)
		if t != nil {
			w.At(w.now+hop, func() { t.ask.node.end(t, standpoint.ConnectionLost, 0) })
		}
	}
}

// step waits for the end of a box's step. A step that was put off, or begun anew, is due under a later serial.
func (w *World) step(m *machine) {
	m.serial++
	serial, at := m.serial, m.Next()
	if at > 1e15 {
		return
	}
	w.At(at, func() {
		if m.serial != serial {
			return
		}
		for _, p := range m.Advance(w.now) {
			w.progress(m, p)
		}
		w.step(m)
	})
}

func (w *World) progress(m *machine, p emulator.Progress) {
	t := m.jobs[p.ID]
	if t == nil {
		return
	}
	t.made++
	if p.Done {
		delete(m.jobs, p.ID)
	}
	if p.First {
		w.At(w.now+hop, func() {
			if a := t.ask; t.out && !t.called && !a.done {
				t.begun, a.first = w.now, w.now
				w.firsts, w.firstsAt = append(w.firsts, w.now-a.arrived), append(w.firstsAt, a.arrived)
				a.node.handle(&standpoint.FirstToken{Request: a.request.ID, Attempt: t.leg, Elapsed: int64((w.now - t.sent) * 1e9)})
			}
		})
	}
	if p.Done {
		w.At(w.now+hop, func() { t.ask.node.end(t, standpoint.Served, p.Kept) })
	}
}

// end is an attempt's outcome at its node.
func (g *gateway) end(t *try, code standpoint.OutcomeCode, kept float64) {
	if !t.out {
		return
	}
	w, a := g.w, t.ask
	t.out = false
	if code == standpoint.Cancelled || code == standpoint.NoAnswer {
		if _, there := t.box.jobs[t.id]; there {
			delete(t.box.jobs, t.id)
			t.box.Cancel(t.id)
		}
	}
	o := node.Observation{Request: &a.request, Backend: t.box.name, Sent: time.Unix(0, epoch+int64(t.sent*1e9)), Inconclusive: code == standpoint.Cancelled,
		Result: node.Result{Code: code, CachedTokens: kept}}
	if t.begun > 0 {
		o.FirstToken, o.AttemptFirstToken, o.Decode = span(t.begun-a.arrivedHere()), span(t.begun-t.sent), span(w.now-t.begun)
	}
	if code == standpoint.Served && (w.ReportLost == 0 || w.lost.Float64() >= w.ReportLost) {
		o.Result.Report = w.reported(t.box)
	}
	if code == standpoint.Served {
		o.Result.OutputTokens = float64(t.made)
	}
	over := a.done || t.begun > 0
	if t.begun > 0 && !a.done {
		a.done = true
		if code == standpoint.Served {
			w.settle(a, t)
		} else {
			w.comeAgain(a, 0.1+0.15*w.rng.Float64())
		}
	}
	if g.tracker != nil {
		g.tracker.RecordFinished(o)
	}
	g.handle(&standpoint.Outcome{Request: a.request.ID, Attempt: t.leg, Last: over, Code: code, CachedTokens: kept, OutputTokens: o.Result.OutputTokens,
		Engine: t.box.name, Elapsed: int64((w.now - t.sent) * 1e9), Report: o.Result.Report})
	g.forget(a)
}

func span(seconds float64) time.Duration { return time.Duration(seconds * 1e9) }

// arrivedHere is when the client's present try came.
func (a *ask) arrivedHere() float64 { return a.deadline - float64(a.class.Deadline)/1e9 }

// settle counts an answer that came whole, from the client's first try on, and has the session go on.
func (w *World) settle(a *ask, t *try) {
	c := a.class
	aim := float64(c.TTFTObjective)/1e9 + float64(c.TTFTObjectivePer1000Tokens)/1e9*a.request.PromptTokens/1000
	pace := (w.now - t.begun) / max(1, float64(t.made-1))
	if t.begun-a.arrived <= aim && pace <= float64(c.TPOTObjective)/1e9 {
		w.Seconds[a.second].InTime += c.Weight
	}
	s := a.session
	s.length += float64(t.made)
	if s.left > 0 {
		w.At(w.now+c.Think*w.rng.ExpFloat64(), func() { w.turn(s) })
	}
}

func (g *gateway) forget(a *ask) {
	if !a.done {
		return
	}
	for _, t := range a.tries {
		if t.out {
			return
		}
	}
	delete(g.open, a.request.ID)
}

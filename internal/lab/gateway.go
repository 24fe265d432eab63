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

// backendName returns the name of the backend with the given index.
func backendName(i int) string { return fmt.Sprintf("box-%03d", i) }

// poolDefinitions returns the pools "old" and "new", in this order; they select backends by the label "version".
func poolDefinitions() []pool.Definition {
	var all []pool.Definition
	for name, text := range map[string]string{"old": `version == "v1"`, "new": `version == "v2"`} {
		s, err := pool.Parse(text)
		if err != nil {
			panic(err) // cannot happen: both expressions are constants above
		}
		all = append(all, pool.Definition{Name: name, Selector: s})
	}
	if all[0].Name != "old" {
		all[0], all[1] = all[1], all[0]
	}
	return all
}

// updateEndpoints passes an endpoint list to the tracker and the policy, as the daemon's core does.
func (n *simNode) updateEndpoints(l node.EndpointList) {
	entries := make([]node.Endpoint, len(l.Endpoints))
	copy(entries, l.Endpoints)
	l.Endpoints = entries
	list := &standpoint.EngineList{Kind: l.Kind}
	for i := range l.Endpoints {
		if n.tracker != nil {
			l.Endpoints[i].Pool = n.tracker.Place(&l.Endpoints[i])
		}
		list.Engines = append(list.Engines, l.Endpoints[i].Engine)
	}
	if n.tracker != nil {
		n.tracker.UpdateEndpoints(l)
	}
	n.handle(list)
}

// setNodeCount sets the number of nodes that the policy assumes.
func (n *simNode) setNodeCount(nodes int) {
	n.settings.Gateways = nodes
	if r, ok := n.policy.(*standpoint.Router); ok {
		r.UpdateSettings(n.settings)
	}
}

// handle passes an event to the policy and executes the resulting actions. Events that arise meanwhile are queued.
func (n *simNode) handle(ev standpoint.Event) {
	n.pendingEvents = append(n.pendingEvents, ev)
	if n.handling {
		return
	}
	n.handling = true
	for len(n.pendingEvents) > 0 {
		ev, n.pendingEvents = n.pendingEvents[0], n.pendingEvents[1:]
		n.actions = n.policy.Handle(n.sim.clock(), ev, n.actions[:0])
		for _, act := range append([]standpoint.Action(nil), n.actions...) {
			n.execute(act)
		}
	}
	n.handling = false
}

// execute executes an action of the policy.
func (n *simNode) execute(act standpoint.Action) {
	sim, req := n.sim, n.openRequests[act.Request]
	switch act.Kind {
	case standpoint.Timer:
		sim.At(sim.now+float64(act.Wait)/1e9, func() { n.handle(&standpoint.TimerFired{Token: act.Token}) })
	case standpoint.Send:
		if req != nil {
			n.send(req, act)
		}
	case standpoint.Cancel:
		if req != nil && act.Attempt < len(req.attempts) {
			if att := req.attempts[act.Attempt]; att.inFlight && att.firstTokenAt == 0 && !att.cancelled {
				att.cancelled = true
				sim.At(sim.now, func() { n.finish(att, standpoint.Cancelled, 0) })
			}
		}
	case standpoint.Shed, standpoint.Fail:
		if req == nil || req.done {
			return
		}
		req.done = true
		if n.tracker != nil {
			n.tracker.RecordRejected(&req.request)
		}
		sim.Seconds[req.arrivalSecond].Shed++
		n.removeIfFinished(req)
		sim.retryLater(req, max(0.3, float64(act.Wait)/1e9))
	}
}

// retryLater schedules a client's retry after about wait seconds. A client retries at most twice.
func (sim *Simulation) retryLater(req *clientRequest, wait float64) {
	if req.retries++; req.retries > 2 {
		return
	}
	next := &clientRequest{class: req.class, session: req.session, arrivedAt: req.arrivedAt,
		arrivalSecond: req.arrivalSecond, retries: req.retries, request: req.request}
	next.request.Retry = true
	sim.At(sim.now+wait*(0.8+0.4*sim.rng.Float64()), func() { sim.submit(next) })
}

// send starts an attempt and counts breaches of the rules on attempts.
func (n *simNode) send(req *clientRequest, act standpoint.Action) {
	sim := n.sim
	b := sim.backendsByName[act.Engine]
	att := &attempt{req: req, index: len(req.attempts), backend: b, sentAt: sim.now, inFlight: true}
	for _, other := range req.attempts {
		if other.inFlight {
			sim.breaches["two attempts at once"]++
		}
	}
	if len(req.attempts) >= 3 {
		sim.breaches["a fourth attempt"]++
	}
	req.attempts = append(req.attempts, att)
	if n.tracker != nil {
		n.tracker.RecordSent(&req.request, act.Engine, att.index)
	}
	deadline := float64(act.Deadline-epoch) / 1e9
	sim.attempts++
	if s := sim.secondAt(sim.now); s.AttemptsByBackend != nil {
		s.AttemptsByBackend[b.index]++
	}
	b.inTransit++
	dropped := sim.AttemptLossRate > 0 && sim.lossRNG.Float64() < sim.AttemptLossRate
	sim.At(sim.now+networkDelay, func() {
		b.inTransit--
		if att.inFlight && !att.cancelled && !dropped {
			sim.deliver(att)
		}
	})
	sim.At(deadline, func() {
		if att.inFlight && att.firstTokenAt == 0 {
			n.finish(att, standpoint.NoAnswer, 0)
		}
	})
}

// deliver submits an attempt to its backend.
func (sim *Simulation) deliver(att *attempt) {
	b, req := att.backend, att.req
	sim.lastID++
	if b.drainedAt > 0 && sim.now-b.drainedAt > 0.5 {
		sim.sendsAfterDrain++
	}
	att.jobID = int64(sim.lastID)
	out := max(2, int(sim.logNormal(req.class.OutputTokens, req.class.OutputSigma)))
	verdict, collapsed := b.Submit(sim.now, emulator.Job{ID: att.jobID, Session: req.request.Session,
		Prefix: req.request.Prefix, Prompt: req.request.PromptTokens,
		PrefixTokens: req.request.PrefixTokens, OutputTokens: min(out, int(req.class.MaxOutputTokens))})
	if collapsed {
		b.collapsed = true
		sim.failAttempts(b, b.Kill())
	}
	reply := func(code standpoint.OutcomeCode) {
		sim.At(sim.now+networkDelay, func() { req.node.finish(att, code, 0) })
	}
	switch verdict {
	case emulator.Accepted:
		b.attempts[att.jobID] = att
		sim.scheduleStep(b)
	case emulator.Rejected:
		reply(standpoint.Rejected)
	case emulator.Errored:
		reply(standpoint.ServerError)
	case emulator.Unreachable:
		reply(standpoint.NoConnection)
	}
}

// failAttempts ends the attempts of a backend that died, given their job IDs, as lost connections.
func (sim *Simulation) failAttempts(b *backend, ids []int64) {
	for _, id := range ids {
		att := b.attempts[id]
		delete(b.attempts, id)
		if att != nil {
			sim.At(sim.now+networkDelay, func() { att.req.node.finish(att, standpoint.ConnectionLost, 0) })
		}
	}
}

// scheduleStep schedules the end of the backend's step. When a step is delayed or restarted it gets a higher serial
// number, and the event of the earlier one is ignored.
func (sim *Simulation) scheduleStep(b *backend) {
	b.stepSerial++
	serial, at := b.stepSerial, b.NextStepEnd()
	if at > 1e15 {
		return
	}
	sim.At(at, func() {
		if b.stepSerial != serial {
			return
		}
		for _, p := range b.Advance(sim.now) {
			sim.handleProgress(b, p)
		}
		sim.scheduleStep(b)
	})
}

// handleProgress passes a token, and the end of a response, on to the node.
func (sim *Simulation) handleProgress(b *backend, p emulator.Progress) {
	att := b.attempts[p.ID]
	if att == nil {
		return
	}
	att.outputTokens++
	if p.Done {
		delete(b.attempts, p.ID)
	}
	if p.First {
		sim.At(sim.now+networkDelay, func() {
			if req := att.req; att.inFlight && !att.cancelled && !req.done {
				att.firstTokenAt, req.firstTokenAt = sim.now, sim.now
				sim.ttfts, sim.ttftArrivals = append(sim.ttfts, sim.now-req.arrivedAt),
					append(sim.ttftArrivals, req.arrivedAt)
				req.node.handle(&standpoint.FirstToken{Request: req.request.ID, Attempt: att.index,
					Elapsed: int64((sim.now - att.sentAt) * 1e9)})
			}
		})
	}
	if p.Done {
		sim.At(sim.now+networkDelay, func() { att.req.node.finish(att, standpoint.Served, p.CachedTokens) })
	}
}

// finish reports the outcome of an attempt to the tracker and the policy; a client whose stream broke off retries.
func (n *simNode) finish(att *attempt, code standpoint.OutcomeCode, cachedTokens float64) {
	if !att.inFlight {
		return
	}
	sim, req := n.sim, att.req
	att.inFlight = false
	if code == standpoint.Cancelled || code == standpoint.NoAnswer {
		if _, ok := att.backend.attempts[att.jobID]; ok {
			delete(att.backend.attempts, att.jobID)
			att.backend.Cancel(att.jobID)
		}
	}
	o := node.Observation{Request: &req.request, Backend: att.backend.name,
		Sent: time.Unix(0, epoch+int64(att.sentAt*1e9)), Inconclusive: code == standpoint.Cancelled,
		Result: node.Result{Code: code, CachedTokens: cachedTokens}}
	if att.firstTokenAt > 0 {
		o.FirstToken, o.AttemptFirstToken, o.Decode = secondsToDuration(att.firstTokenAt-req.submittedAt()),
			secondsToDuration(att.firstTokenAt-att.sentAt), secondsToDuration(sim.now-att.firstTokenAt)
	}
	if code == standpoint.Served && (sim.ReportLossRate == 0 || sim.lossRNG.Float64() >= sim.ReportLossRate) {
		o.Result.Report = sim.currentReport(att.backend)
	}
	if code == standpoint.Served {
		o.Result.OutputTokens = float64(att.outputTokens)
	}
	last := req.done || att.firstTokenAt > 0
	if att.firstTokenAt > 0 && !req.done {
		req.done = true
		if code == standpoint.Served {
			sim.recordCompletion(req, att)
		} else {
			sim.retryLater(req, 0.1+0.15*sim.rng.Float64())
		}
	}
	if n.tracker != nil {
		n.tracker.RecordFinished(o)
	}
	n.handle(&standpoint.Outcome{Request: req.request.ID, Attempt: att.index, Last: last, Code: code,
		CachedTokens: cachedTokens, OutputTokens: o.Result.OutputTokens,
		Engine: att.backend.name, Elapsed: int64((sim.now - att.sentAt) * 1e9), Report: o.Result.Report})
	n.removeIfFinished(req)
}

// secondsToDuration converts a number of seconds to a duration.
func secondsToDuration(seconds float64) time.Duration { return time.Duration(seconds * 1e9) }

// submittedAt returns the virtual time of the present submission, in seconds.
func (req *clientRequest) submittedAt() float64 {
	return req.deadline - float64(req.class.Deadline)/1e9
}

// recordCompletion counts a complete response, whose time to first token runs from the client's first submission, and
// schedules the session's next turn.
func (sim *Simulation) recordCompletion(req *clientRequest, att *attempt) {
	c := req.class
	ttftObjective := float64(c.TTFTObjective)/1e9 +
		float64(c.TTFTObjectivePer1000Tokens)/1e9*req.request.PromptTokens/1000
	tpot := (sim.now - att.firstTokenAt) / max(1, float64(att.outputTokens-1))
	if att.firstTokenAt-req.arrivedAt <= ttftObjective && tpot <= float64(c.TPOTObjective)/1e9 {
		sim.Seconds[req.arrivalSecond].OnTimeWeight += c.Weight
	}
	s := req.session
	s.contextTokens += float64(att.outputTokens)
	if s.turnsLeft > 0 {
		sim.At(sim.now+c.ThinkTime*sim.rng.ExpFloat64(), func() { sim.sendTurn(s) })
	}
}

// removeIfFinished removes a request that is done and has no attempt in flight.
func (n *simNode) removeIfFinished(req *clientRequest) {
	if !req.done {
		return
	}
	for _, att := range req.attempts {
		if att.inFlight {
			return
		}
	}
	delete(n.openRequests, req.request.ID)
}

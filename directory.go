package standpoint

// The load directory: messages between the gateways of a tier about the prompts that engines have yet to
// prefill, and those that they have cached. It exists because a gateway that is one of many observes little
// of an engine's load by itself, and load reports arrive late. Each engine has a directory owner: one of the
// gateways, by a hash that all agree on. A gateway that sends a prompt to an engine notifies the engine's
// directory owner, and does so again once the prompt has been prefilled. A gateway that is about to choose an
// engine queries the directory owners of the engines that rank highest. Their answers are one more input of
// the prediction: the only decision made here is whom to query. Messages may be lost, and a directory owner
// may be down: the gateway then uses what it knows itself.

import "math"

const (
	// maxConsultedEngines is the maximum number of engines whose directory owners are queried for one
	// request.
	maxConsultedEngines = 3
	// consultTimeout is the maximum time that a request waits for the answers of directory owners.
	consultTimeout = 80 * ms
	// directoryLoadLifetime is how long an engine's load from its directory owner is used in predictions.
	directoryLoadLifetime = 30 * ms
	// silentOwnerPause is how long a directory owner that did not answer is not queried.
	silentOwnerPause = 2 * second
	// minMeanPrefillBurden is the mean prefill burden of all requests from which the directory is used; see
	// prefillBurdenOf.
	minMeanPrefillBurden = 0.2
	// minPrefillBurden is the prefill burden of a request from which the directory is used for it.
	minPrefillBurden = 0.15
	// prefillBurdenWeight is the minimum weight of one request in the mean prefill burden.
	prefillBurdenWeight = 0.05
	// directoryAffinityPenalty, in seconds, takes the place of defaultAffinityPenalty for requests for which
	// directory owners have answered.
	directoryAffinityPenalty = 0.1
	// sparseMetObjectivesPerMiss is the number of met objectives that offset one missed objective at a
	// gateway with few requests that has a recent answer of a directory owner; otherwise it is
	// metObjectivesPerMiss.
	sparseMetObjectivesPerMiss = 10.0
	// directorySalt makes the hashes of the directory independent of others.
	directorySalt = 0xd6e8feb86659fd93
)

// directoryEnabled reports whether the gateways of this tier keep a load directory.
func (r *Router) directoryEnabled() bool {
	return r.settings.Peers && r.settings.Gateways > 1 && !r.lacksReports()
}

// prefillBurdenOf returns a request's prefill burden: the fraction of its latency objective that prefilling
// the whole prompt takes at the assumed prefill speed. It is 0 without a latency objective.
func (r *Router) prefillBurdenOf(q *request) float64 {
	if objective := r.latencyObjective(q); objective > 0 {
		return q.PromptTokens / assumedPrefillSpeed / objective
	}
	return 0
}

// usesDirectory reports whether the directory is used for a request: its prefill burden is high, and so is
// the mean of all requests. The load that short prompts add to an engine does not justify the messages.
func (r *Router) usesDirectory(q *request) bool {
	return r.directoryEnabled() &&
		r.meanPrefillBurden.value >= minMeanPrefillBurden &&
		r.prefillBurdenOf(q) >= minPrefillBurden
}

// hasRecentDirectoryAnswer reports whether this gateway has obtained an engine's load from the directory
// within the last pendingPromptTimeout.
func (r *Router) hasRecentDirectoryAnswer() bool {
	return r.lastDirectoryAnswerAt != 0 && r.now-r.lastDirectoryAnswerAt < pendingPromptTimeout
}

// directoryOwner returns the ordinal of the gateway that is an engine's directory owner.
func (r *Router) directoryOwner(e *engine) int {
	return int(mix(e.hash, directorySalt) % uint64(r.settings.Gateways))
}

// shortHash returns the hash that stands for a session or a shared prefix in messages, or 0 if there is none.
func shortHash(key uint64) uint32 {
	if key == 0 {
		return 0
	}
	return uint32(mix(key, directorySalt))
}

// shortEngineHash returns the hash that stands for an engine in messages.
func shortEngineHash(e *engine) uint32 { return uint32(e.hash) }

// engineByShortHash returns the engine with this hash in messages, or nil if there is none.
func (r *Router) engineByShortHash(hash uint32) *engine { return r.enginesByShortHash[hash] }

// notifyOwner sends a notification to an engine's directory owner, or applies it if that is this gateway.
func (r *Router) notifyOwner(e *engine, m directoryMessage) {
	m.engineHash = shortEngineHash(e)
	if owner := r.directoryOwner(e); owner != r.settings.Ordinal {
		r.emit(Action{Kind: SendPeer, Peer: owner, Data: m.encode()})
		return
	}
	r.initPrefillSpeed(e)
	r.applyNotification(r.settings.Ordinal, e, &m)
}

// initPrefillSpeed sets the prefill speed of an engine for which it is unknown: the assumed speed, scaled by
// the engine's registered size relative to the mean.
func (r *Router) initPrefillSpeed(e *engine) {
	if e.backlog.prefillSpeed == 0 {
		e.backlog.prefillSpeed = assumedPrefillSpeed * r.relativeSize(e)
	}
}

// applyNotification records a gateway's notification about an engine of which this gateway is the directory
// owner.
func (r *Router) applyNotification(from int, e *engine, m *directoryMessage) {
	switch m.kind {
	case directoryPromptSent:
		e.backlog.add(pendingPrompt{from, m.requestID, m.tokens, r.now})
		if m.sessionHash != 0 {
			r.storeMatch(directoryKey(e, m.sessionHash), m.promptTokens)
		}
		if key := directoryKey(e, m.prefixHash); m.prefixHash != 0 {
			r.storeMatch(key, max(m.prefixTokens, r.lookupMatch(key, e.firstSeenAt)))
		}
	case directoryPrefillDone, directoryPrefillAborted:
		e.backlog.remove(from, m.requestID, m.kind == directoryPrefillDone, r.now)
	}
}

// directoryKey returns the match table's key for a short hash at an engine.
func directoryKey(e *engine, hash uint32) uint64 { return mix(uint64(hash), e.hash+directorySalt) }

// cachedTokens returns how many tokens of a prompt an engine has cached, by the notifications that this
// gateway got as its directory owner.
func (r *Router) cachedTokens(e *engine, sessionHash, prefixHash uint32) float64 {
	tokens := 0.0
	if sessionHash != 0 {
		tokens = r.lookupMatch(directoryKey(e, sessionHash), e.firstSeenAt)
	}
	if prefixHash != 0 {
		tokens = max(tokens, r.lookupMatch(directoryKey(e, prefixHash), e.firstSeenAt))
	}
	return tokens
}

// onPeerMessage handles a directory message from another gateway. A message that is malformed, unexpected or
// about an unknown engine is ignored.
func (r *Router) onPeerMessage(from int, data string) {
	m, ok := decodeDirectoryMessage(data)
	if !ok || !r.directoryEnabled() || from < 0 || from >= r.settings.Gateways {
		return
	}
	e := r.engineByShortHash(m.engineHash)
	if e == nil {
		return
	}
	r.initPrefillSpeed(e)
	switch m.kind {
	case directoryAnswer:
		r.onAnswer(e, &m)
	case directoryQuery:
		r.sendAnswer(from, e, &m)
	default:
		r.applyNotification(from, e, &m)
	}
}

// sendAnswer answers a gateway's query about an engine of which this gateway is the directory owner.
func (r *Router) sendAnswer(to int, e *engine, query *directoryMessage) {
	m := directoryMessage{
		kind:       directoryAnswer,
		requestID:  query.requestID,
		engineHash: query.engineHash,
		load:       e.backlog.load(r.now),
	}
	m.tokens = r.cachedTokens(e, query.sessionHash, query.prefixHash)
	r.emit(Action{Kind: SendPeer, Peer: to, Data: m.encode()})
}

// consultDirectory queries the directory owners of the engines that rank highest for a request, and reports
// whether the request has to wait for their answers.
func (r *Router) consultDirectory(q *request) bool {
	if !r.usesDirectory(q) || q.consulted || len(q.attempts) > 0 {
		return false
	}
	q.consulted = true
	candidates := r.eligibleCandidates(q, r.sampleEngines(q), r.hasSharedFault())
	for range min(maxConsultedEngines, len(candidates)) {
		best := 0
		for i := range candidates {
			if candidates[i].rank > candidates[best].rank {
				best = i
			}
		}
		r.consultOwner(q, candidates[best].engine)
		candidates[best].rank = math.Inf(-1)
	}
	if len(q.awaitedEngines) == 0 {
		return false
	}
	r.awaitingDirectory[uint32(q.ID)] = q
	r.emit(Action{Kind: Timer, Wait: consultTimeout, Token: q.ID*tokenStep + tokenConsult})
	return true
}

// consultOwner queries an engine's directory owner for a request. If that is this gateway, its own records
// are used at once.
func (r *Router) consultOwner(q *request, e *engine) {
	owner := r.directoryOwner(e)
	if owner == r.settings.Ordinal {
		r.initPrefillSpeed(e)
		cachedTokens := r.cachedTokens(e, shortHash(q.Session), shortHash(q.Prefix))
		r.recordDirectoryLoad(q, e, e.backlog.load(r.now), cachedTokens)
		return
	}
	if r.now-r.silentOwners[owner] < silentOwnerPause && r.silentOwners[owner] != 0 {
		return
	}
	q.awaitedEngines = append(q.awaitedEngines, e)
	m := directoryMessage{kind: directoryQuery, requestID: uint32(q.ID), engineHash: shortEngineHash(e)}
	m.sessionHash, m.prefixHash = shortHash(q.Session), shortHash(q.Prefix)
	r.emit(Action{Kind: SendPeer, Peer: owner, Data: m.encode()})
}

// recordDirectoryLoad stores what a directory owner reported: the engine's load, and the tokens of the
// request's prompt that the engine has cached.
func (r *Router) recordDirectoryLoad(q *request, e *engine, load engineLoad, cachedTokens float64) {
	e.directoryLoad = load
	e.directoryLoadAt = r.now
	r.lastDirectoryAnswerAt = r.now
	if q.cachedByEngine == nil {
		q.cachedByEngine = map[*engine]float64{}
	}
	q.cachedByEngine[e] = min(cachedTokens, q.PromptTokens)
}

// onAnswer handles a directory owner's answer. The request is dispatched once the last answer has arrived.
func (r *Router) onAnswer(e *engine, m *directoryMessage) {
	q := r.awaitingDirectory[m.requestID]
	if q == nil || q.settled {
		return
	}
	for i, awaited := range q.awaitedEngines {
		if awaited == e {
			q.awaitedEngines = append(q.awaitedEngines[:i], q.awaitedEngines[i+1:]...)
			r.recordDirectoryLoad(q, e, m.load, m.tokens)
			break
		}
	}
	if len(q.awaitedEngines) == 0 {
		r.finishConsultation(q)
	}
}

// finishConsultation dispatches a request that waited for the answers of directory owners. Those that did not
// answer are not queried again for silentOwnerPause.
func (r *Router) finishConsultation(q *request) {
	if r.awaitingDirectory[uint32(q.ID)] != q {
		return
	}
	delete(r.awaitingDirectory, uint32(q.ID))
	for _, e := range q.awaitedEngines {
		r.silentOwners[r.directoryOwner(e)] = r.now
	}
	q.awaitedEngines = nil
	if !q.settled {
		r.dispatch(q)
	}
}

// notifyPromptSent notifies the directory owner that the attempt's prompt is sent to its engine.
func (r *Router) notifyPromptSent(a *attempt) {
	q := a.request
	if !r.usesDirectory(q) {
		return
	}
	a.inDirectory = true
	m := directoryMessage{kind: directoryPromptSent, requestID: uint32(q.ID)}
	m.promptTokens = q.PromptTokens
	m.prefixTokens = q.PrefixTokens
	m.sessionHash, m.prefixHash = shortHash(q.Session), shortHash(q.Prefix)
	m.tokens = q.PromptTokens * (1 - a.match)
	r.notifyOwner(a.engine, m)
}

// notifyPrefillEnd notifies the directory owner, once, that the prompt has been prefilled, or that the
// attempt ended before that was known.
func (r *Router) notifyPrefillEnd(a *attempt, done bool) {
	if !a.inDirectory {
		return
	}
	a.inDirectory = false
	m := directoryMessage{kind: directoryPrefillAborted, requestID: uint32(a.request.ID)}
	if done {
		m.kind = directoryPrefillDone
	}
	r.notifyOwner(a.engine, m)
}

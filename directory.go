package standpoint

// The load directory: what the gateways of a tier tell each other of the prompts that engines have yet to
// read, and of those that they keep. A gateway that is one of many sees little of an engine's load by
// itself, and its reports come late. Each engine has a directory owner, one of the gateways by a hash
// that all agree on. Whoever sends a prompt tells it so, and that the prompt has been read;

import "math"

// whoever is about to choose asks the directory owners of the engines that rank first. What is told is
// one more input of the predictor: nothing is decided here but whom to ask. A message may be lost, and a
// directory owner be gone: then a gateway goes by what it knows.

const (
	maxConsulted          = 3          // engines whose directory owners are asked for one request
	consultTimeout        = 80 * ms    // for their answers
	directoryLoadLifetime = 30 * ms    // an engine of which something was told so lately is not asked for
	silentOwnerPause      = 2 * second // a directory owner that did not answer is not asked for so long
	// Part of its objective that the reading of a prompt takes on average, from which there is a directory.
	minMeanPrefillBurden = 0.2
	minPrefillBurden     = 0.15 // and that of one prompt, from which the directory is kept of it
	prefillBurdenWeight  = 0.05 // of a request in the average
	// Seconds that the gated best may trail the best overall, where directory owners told of both.
	directoryAffinityPenalty = 0.1
	// Objectives that are foretold to be met, by what directory owners told, that undo one that is not.
	sparseMetObjectivesPerMiss = 10.0
	directorySalt              = 0xd6e8feb86659fd93
)

// directoryEnabled tells whether the gateways of this tier keep a directory.
func (r *Router) directoryEnabled() bool {
	return r.settings.Peers && r.settings.Gateways > 1 && !r.lacksReports()
}

// prefillBurdenOf is the part of a request's objective that the reading of its whole prompt takes.
func (r *Router) prefillBurdenOf(q *request) float64 {
	if aim := r.latencyObjective(q); aim > 0 {
		return q.PromptTokens / assumedPrefillSpeed / aim
	}
	return 0
}

// usesDirectory tells whether the directory is kept of a request: where reading its prompt takes a good
// part of its objective, as it does for most requests. What short prompts add to an engine's load is not
// worth the messages.
func (r *Router) usesDirectory(q *request) bool {
	return r.directoryEnabled() &&
		r.meanPrefillBurden.mean >= minMeanPrefillBurden &&
		r.prefillBurdenOf(q) >= minPrefillBurden
}

// hasRecentDirectoryAnswer tells that directory owners have told this gateway something lately.
func (r *Router) hasRecentDirectoryAnswer() bool {
	return r.directoryAnswerAt != 0 && r.now-r.directoryAnswerAt < pendingTimeout
}

// directoryOwner is the gateway that keeps an engine's place in the directory.
func (r *Router) directoryOwner(e *engine) int {
	return int(mix(e.hash, directorySalt) % uint64(r.settings.Gateways))
}

func shortHash(key uint64) uint32 {
	if key == 0 {
		return 0
	}
	return uint32(mix(key, directorySalt))
}

func shortEngine(e *engine) uint32 { return uint32(e.hash) }

// byShortHash finds an engine from a message.
func (r *Router) byShortHash(hash uint32) *engine { return r.enginesByShortHash[hash] }

// notifyOwner hands a message to an engine's directory owner, which may be this gateway itself.
func (r *Router) notifyOwner(e *engine, m directoryMessage) {
	m.engine = shortEngine(e)
	if to := r.directoryOwner(e); to != r.settings.Ordinal {
		r.emit(Action{Kind: SendPeer, Peer: to, Data: m.encode()})
		return
	}
	r.initReadingSpeed(e)
	r.register(r.settings.Ordinal, e, &m)
}

// initReadingSpeed assumes, before it is known, that an engine reads as fast as its registered size says
// beside the others'.
func (r *Router) initReadingSpeed(e *engine) {
	if e.backlog.speed == 0 {
		e.backlog.speed = assumedPrefillSpeed * r.relativeSize(e)
	}
}

// register takes in what a gateway tells of an engine that this one is the directory owner of.
func (r *Router) register(from int, e *engine, m *directoryMessage) {
	switch m.kind {
	case directorySent:
		e.backlog.add(pendingPrompt{from, m.id, m.tokens, r.now})
		if m.session != 0 {
			r.storeMatch(directoryKey(e, m.session), m.prompt)
		}
		if key := directoryKey(e, m.prefix); m.prefix != 0 {
			r.storeMatch(key, max(m.shared, r.lookupMatch(key, e.firstSeenAt)))
		}
	case directoryRead, directoryOver:
		e.backlog.end(from, m.id, m.kind == directoryRead, r.now)
	}
}

func directoryKey(e *engine, hash uint32) uint64 { return mix(uint64(hash), e.hash+directorySalt) }

// cachedTokens is how many tokens of a prompt an engine keeps, as its directory owner has it.
func (r *Router) cachedTokens(e *engine, session, prefix uint32) float64 {
	tokens := 0.0
	if session != 0 {
		tokens = r.lookupMatch(directoryKey(e, session), e.firstSeenAt)
	}
	if prefix != 0 {
		tokens = max(tokens, r.lookupMatch(directoryKey(e, prefix), e.firstSeenAt))
	}
	return tokens
}

// onPeer takes in a message of the directory.
func (r *Router) onPeer(from int, data string) {
	m, ok := decodeDirectory(data)
	if !ok || !r.directoryEnabled() || from < 0 || from >= r.settings.Gateways {
		return
	}
	e := r.byShortHash(m.engine)
	if e == nil {
		return
	}
	r.initReadingSpeed(e)
	switch m.kind {
	case directoryAnswer:
		r.onAnswer(e, &m)
	case directoryAsk:
		r.answer(from, e, &m)
	default:
		r.register(from, e, &m)
	}
}

// answer tells a gateway what this one knows of an engine that it is the directory owner of.
func (r *Router) answer(to int, e *engine, ask *directoryMessage) {
	m := directoryMessage{kind: directoryAnswer, id: ask.id, engine: ask.engine, load: e.backlog.load(r.now)}
	m.tokens = r.cachedTokens(e, ask.session, ask.prefix)
	r.emit(Action{Kind: SendPeer, Peer: to, Data: m.encode()})
}

// consultDirectory asks the directory owners of the engines that rank first for a request, and reports
// whether the request has to wait for their answers.
func (r *Router) consultDirectory(q *request) bool {
	if !r.usesDirectory(q) || q.consulted || len(q.attempts) > 0 {
		return false
	}
	q.consulted = true
	some := r.eligibleCandidates(q, r.sampleEngines(q), r.hasSharedFault())
	for range min(maxConsulted, len(some)) {
		best := 0
		for i := range some {
			if some[i].rank > some[best].rank {
				best = i
			}
		}
		r.consultOwner(q, some[best].engine)
		some[best].rank = math.Inf(-1)
	}
	if len(q.awaitedEngines) == 0 {
		return false
	}
	r.awaitingDirectory[uint32(q.ID)] = q
	r.emit(Action{Kind: Timer, Wait: consultTimeout, Token: q.ID*tokenStep + tokenConsult})
	return true
}

// consultOwner asks for one engine.
func (r *Router) consultOwner(q *request, e *engine) {
	to := r.directoryOwner(e)
	if to == r.settings.Ordinal {
		r.initReadingSpeed(e)
		kept := r.cachedTokens(e, shortHash(q.Session), shortHash(q.Prefix))
		r.recordDirectoryLoad(q, e, e.backlog.load(r.now), kept)
		return
	}
	if r.now-r.silentOwners[to] < silentOwnerPause && r.silentOwners[to] != 0 {
		return
	}
	q.awaitedEngines = append(q.awaitedEngines, e)
	m := directoryMessage{kind: directoryAsk, id: uint32(q.ID), engine: shortEngine(e)}
	m.session, m.prefix = shortHash(q.Session), shortHash(q.Prefix)
	r.emit(Action{Kind: SendPeer, Peer: to, Data: m.encode()})
}

// recordDirectoryLoad notes what is told of an engine, and of the request's prompt there.
func (r *Router) recordDirectoryLoad(q *request, e *engine, load engineLoad, kept float64) {
	e.directoryLoad = load
	e.directoryLoadAt = r.now
	r.directoryAnswerAt = r.now
	if q.cachedByEngine == nil {
		q.cachedByEngine = map[*engine]float64{}
	}
	q.cachedByEngine[e] = min(kept, q.PromptTokens)
}

func (r *Router) onAnswer(e *engine, m *directoryMessage) {
	q := r.awaitingDirectory[m.id]
	if q == nil || q.settled {
		return
	}
	for i, asked := range q.awaitedEngines {
		if asked == e {
			q.awaitedEngines = append(q.awaitedEngines[:i], q.awaitedEngines[i+1:]...)
			r.recordDirectoryLoad(q, e, m.load, m.tokens)
			break
		}
	}
	if len(q.awaitedEngines) == 0 {
		r.consultFinished(q)
	}
}

// consultFinished places a request that waited for directory owners' answers. Those that did not answer are
// left alone for a while.
func (r *Router) consultFinished(q *request) {
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

// notifySent tells an engine's directory owner of a prompt that goes there.
func (r *Router) notifySent(a *attempt) {
	q := a.request
	if !r.usesDirectory(q) {
		return
	}
	a.inDirectory = true
	m := directoryMessage{kind: directorySent, id: uint32(q.ID)}
	m.prompt = q.PromptTokens
	m.shared = q.PrefixTokens
	m.session, m.prefix = shortHash(q.Session), shortHash(q.Prefix)
	m.tokens = q.PromptTokens * (1 - a.match)
	r.notifyOwner(a.engine, m)
}

// notifyPrefillEnd tells it, once, that the prompt has been read, or that the attempt ended without.
func (r *Router) notifyPrefillEnd(a *attempt, read bool) {
	if !a.inDirectory {
		return
	}
	a.inDirectory = false
	m := directoryMessage{kind: directoryOver, id: uint32(a.request.ID)}
	if read {
		m.kind = directoryRead
	}
	r.notifyOwner(a.engine, m)
}

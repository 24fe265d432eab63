package standpoint

// What engines are taken to keep of prompts.

const (
	tableSize = 1 << 15 // match table entries of one generation
)

// match is the share of the prompt that the engine is taken to keep.
func (r *Router) match(q *request, e *engine) float64 {
	var tokens float64
	if q.Session != 0 {
		tokens = r.lookupMatch(mix(q.Session, e.hash+sessionSalt), e.firstSeenAt)
	}
	if q.Prefix != 0 && tokens < q.PrefixTokens {
		prefix := r.lookupMatch(mix(q.Prefix, e.hash+prefixSalt), e.firstSeenAt)
		tokens = max(tokens, min(q.PrefixTokens, prefix))
	}
	return min(1, max(tokens, q.cachedByEngine[e])/q.PromptTokens)
}

// expectedMatch is the share of the prompt that the session's home keeps, as far as the class has shown.
func (r *Router) expectedMatch(q *request) float64 {
	share := q.PrefixTokens / q.PromptTokens
	return share + (1-share)*r.sessionGain[r.classIndex(q)]
}

// observeMatch learns from the kept tokens that an answer told.
func (r *Router) observeMatch(a *attempt, told float64) {
	share := clamp(told/a.request.PromptTokens, 1)
	prefix := a.request.PrefixTokens / a.request.PromptTokens
	if a.home && prefix < 1 {
		g := &r.sessionGain[r.classIndex(a.request)]
		*g += 0.05 * (max(0, share-prefix)/(1-prefix) - *g)
	}
	if a.match >= 0.3 && !a.home {
		if share < a.match/2 {
			r.matchShortfalls++
		} else {
			r.matchShortfalls = 0
		}
		r.matchTrust += 0.1 * (min(1, share/a.match) - r.matchTrust)
		if r.matchShortfalls >= 4 { // a run of shortfalls: kept prompts were lost at once
			r.matchShortfalls = 0
			r.flushAt = r.now
			r.matchTrust = 0.2
		}
	}
}

type matchEntry struct {
	tokens float64
	at     int64
}

// storeMatch stores in the younger generation; a full one replaces the older, which bounds the table.
func (r *Router) storeMatch(key uint64, tokens float64) {
	if len(r.matchTable[0]) >= tableSize {
		r.matchTable[0], r.matchTable[1] = map[uint64]matchEntry{}, r.matchTable[0]
	}
	r.matchTable[0][key] = matchEntry{tokens, r.now}
}

func (r *Router) lookupMatch(key uint64, since int64) float64 {
	k, ok := r.matchTable[0][key]
	if !ok {
		k, ok = r.matchTable[1][key]
	}
	if !ok || k.at < since {
		return 0
	}
	if k.at < r.flushAt { // a flush was noticed: what was kept before it is doubtful
		return k.tokens * r.matchTrust
	}
	return k.tokens
}

// recordCachedPrompt records that an engine has the request's prompt cached. A process that has been replaced
// since took its cache with it, so nothing is recorded for it.
func (r *Router) recordCachedPrompt(q *request, e *engine, tokens float64) {
	if r.engines[e.Name] != e {
		return
	}
	if q.Session != 0 {
		r.storeMatch(mix(q.Session, e.hash+sessionSalt), tokens)
	}
	if q.Prefix != 0 {
		key := mix(q.Prefix, e.hash+prefixSalt)
		// Another's word for a shorter one takes nothing away.
		r.storeMatch(key, max(q.PrefixTokens, r.lookupMatch(key, e.firstSeenAt)))
	}
}

// forgetCachedPrompt forgets that an engine keeps the prompt of an attempt that never reached it, unless that
// was noted anew since.
func (r *Router) forgetCachedPrompt(a *attempt) {
	keys := []uint64{
		mix(a.request.Session, a.engine.hash+sessionSalt),
		mix(a.request.Prefix, a.engine.hash+prefixSalt),
	}
	for _, key := range keys {
		if k, known := r.matchTable[0][key]; known && k.at == a.sent {
			delete(r.matchTable[0], key)
		}
	}
}

// RecordCachedPrompt records that another gateway reported a process of an engine, identified by its start,
// to have this many tokens of a request's prompt cached.
func (r *Router) RecordCachedPrompt(q *Request, engine string, readyAt int64, tokens float64, now int64) {
	if e := r.engines[engine]; e != nil && e.ReadyAt == readyAt {
		r.now = max(r.now, now)
		r.recordCachedPrompt(&request{Request: *q}, e, clamp(tokens, 1e9))
	}
}

package standpoint

// Estimates of how much of a prompt each engine has cached.

const (
	// matchTableSize is the maximum number of entries in each of the two generations of the match table.
	matchTableSize = 1 << 15
)

// match returns the estimated fraction of the prompt that the engine has cached.
func (r *Router) match(q *request, e *engine) float64 {
	var cachedTokens float64
	if q.Session != 0 {
		cachedTokens = r.lookupMatch(mix(q.Session, e.hash+sessionSalt), e.firstSeenAt)
	}
	if q.Prefix != 0 && cachedTokens < q.PrefixTokens {
		cachedPrefixTokens := r.lookupMatch(mix(q.Prefix, e.hash+prefixSalt), e.firstSeenAt)
		cachedTokens = max(cachedTokens, min(q.PrefixTokens, cachedPrefixTokens))
	}
	return min(1, max(cachedTokens, q.cachedByEngine[e])/q.PromptTokens)
}

// expectedHomeMatch returns the fraction of the prompt that the request's home engine is expected to have
// cached: the shared prefix, and of the rest the mean fraction that was observed for the request's class.
func (r *Router) expectedHomeMatch(q *request) float64 {
	prefixFraction := q.PrefixTokens / q.PromptTokens
	return prefixFraction + (1-prefixFraction)*r.homeCachedFraction[r.classIndex(q)]
}

// observeMatch learns from the cached tokens that a response reported: at the assumed home the usual cached
// fraction, and at other engines with an expected match how far the match table can be trusted.
func (r *Router) observeMatch(a *attempt, cachedTokens float64) {
	cachedFraction := clamp(cachedTokens/a.request.PromptTokens, 1)
	prefixFraction := a.request.PrefixTokens / a.request.PromptTokens
	if a.home && prefixFraction < 1 {
		homeFraction := &r.homeCachedFraction[r.classIndex(a.request)]
		*homeFraction += 0.05 * (max(0, cachedFraction-prefixFraction)/(1-prefixFraction) - *homeFraction)
	}
	if a.match >= 0.3 && !a.home {
		if cachedFraction < a.match/2 {
			r.matchShortfalls++
		} else {
			r.matchShortfalls = 0
		}
		r.matchTrust += 0.1 * (min(1, cachedFraction/a.match) - r.matchTrust)
		if r.matchShortfalls >= 4 { // consecutive shortfalls: engines lost their caches all at once
			r.matchShortfalls = 0
			r.cacheFlushAt = r.now
			r.matchTrust = 0.2
		}
	}
}

// matchEntry is an entry of the match table.
type matchEntry struct {
	tokens   float64 // prompt tokens that an engine has cached for a session or a shared prefix
	storedAt int64   // in nanoseconds
}

// storeMatch stores an entry in the younger generation of the match table. A full generation replaces the
// older one, which bounds the table.
func (r *Router) storeMatch(key uint64, tokens float64) {
	if len(r.matchTable[0]) >= matchTableSize {
		r.matchTable[0], r.matchTable[1] = map[uint64]matchEntry{}, r.matchTable[0]
	}
	r.matchTable[0][key] = matchEntry{tokens, r.now}
}

// lookupMatch returns the cached tokens of an entry, or 0 if there is none that was stored at notBefore or
// later. Callers pass the engine's firstSeenAt as notBefore. Entries from before the time at which caches
// were last found to be lost are scaled by matchTrust.
func (r *Router) lookupMatch(key uint64, notBefore int64) float64 {
	entry, ok := r.matchTable[0][key]
	if !ok {
		entry, ok = r.matchTable[1][key]
	}
	if !ok || entry.storedAt < notBefore {
		return 0
	}
	if entry.storedAt < r.cacheFlushAt { // the engine's cache may have been lost
		return entry.tokens * r.matchTrust
	}
	return entry.tokens
}

// recordCachedPrompt records that an engine has cached, or is about to cache, this many tokens of the
// request's prompt. Nothing is recorded for a process that has been replaced in the meantime, because its
// cache is lost.
func (r *Router) recordCachedPrompt(q *request, e *engine, tokens float64) {
	if r.engines[e.Name] != e {
		return
	}
	if q.Session != 0 {
		r.storeMatch(mix(q.Session, e.hash+sessionSalt), tokens)
	}
	if q.Prefix != 0 {
		key := mix(q.Prefix, e.hash+prefixSalt)
		// A request that states a shorter prefix does not reduce the tokens that are already recorded.
		r.storeMatch(key, max(q.PrefixTokens, r.lookupMatch(key, e.firstSeenAt)))
	}
}

// forgetCachedPrompt removes the entries that recordCachedPrompt stored for an attempt that never reached its
// engine, unless they have been stored again later.
func (r *Router) forgetCachedPrompt(a *attempt) {
	keys := []uint64{
		mix(a.request.Session, a.engine.hash+sessionSalt),
		mix(a.request.Prefix, a.engine.hash+prefixSalt),
	}
	for _, key := range keys {
		if entry, known := r.matchTable[0][key]; known && entry.storedAt == a.sentAt {
			delete(r.matchTable[0], key)
		}
	}
}

// RecordCachedPrompt records the report of another gateway that a process of an engine, identified by its
// start time, has this many tokens of a request's prompt cached.
func (r *Router) RecordCachedPrompt(q *Request, engine string, startedAt int64, tokens float64, now int64) {
	if e := r.engines[engine]; e != nil && e.StartedAt == startedAt {
		r.now = max(r.now, now)
		r.recordCachedPrompt(&request{Request: *q}, e, clamp(tokens, 1e9))
	}
}

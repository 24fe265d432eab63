package standpoint

// What the time to the first token and the token pace are predicted from, and how that is learned.

import (
	"math"
)

const (
	refitInterval      = 12   // new samples between two fits
	reportHalfLife     = 1.0  // seconds after which a report counts half against the fleet's mean
	unreadHalfLife     = 0.4  // seconds in which half of the unread tokens are taken to be read
	fullLengthFraction = 0.01 // share of answers taken to run to their limit
	tokenGapStep       = 0.05 // step of the token gap's estimate, in logarithm
	slownessWeight     = 0.1  // of a sample in an engine's ratio of observed to predicted
	stillGap           = 0.4
	usualGapWeight     = 0.01 // rates of the usual and the present pace
	recentGapWeight    = 0.08
	engineGapWeight    = 0.15 // and of a single engine's, where gaps are told
	engineGapPrior     = 3.0  // gaps told of an engine that count half against what all show
	minGapTokens       = 5.0  // tokens of an answer that shows a gap
	minStreams         = 20.0 // streams that must have ended before their usual length is trusted
	streamExcessNoise  = 0.1  // of that sign taken to be chance
	streamPrior        = 6.0  // streams by which both counts are padded against chance
)

// Priors grow with load; they decide until samples do, and for what samples do not cover.
var (
	ttftPrior = featureVector{0.06, 0.05, 0.08, 0.1, 0.005, 0.08, 0.01} // seconds
	tpotPrior = featureVector{0.6, 0.3, 0.02, 1, 0.005, 0, 0.01}        // shares of the class's mean
)

func bucketOf(x *featureVector) int {
	memory := min(9, max(0, int(x[1]*10)))
	match := 0
	if x[4] > 0 {
		match = min(3, max(0, int((1-x[5]/x[4])*4)))
	}
	unread := min(2, max(0, int(math.Log2(max(x[2], 0.01)/2)+1)))
	return (memory*4+match)*3 + unread
}

func (r *Router) predict(q *request, o *option) {
	o.features = r.features(q, o.engine, o.match)
	k := r.kindIndex(o.engine)
	f := math.Exp(o.engine.slowness)
	o.ttft = max(r.ttftModels[k].at(&o.features)*f, r.wastedWaitOf(o.engine))
	sway := r.tpotDrift() + max(0, o.engine.slowness)
	own := o.engine.tpotSlowness.n / (o.engine.tpotSlowness.n + engineGapPrior)
	if own > 0 { // answers of known length show this engine's own gap
		sway += own * (o.engine.tpotSlowness.mean - sway)
	}
	o.tpot = r.tpotModels[k].at(&o.features) * r.baseTPOT * math.Exp(sway)
	if r.hasDirectoryLoad(o.engine) {
		o.unloadedTTFT = o.ttft
		rest := 1 - min(0.9, o.engine.directoryLoad.reading)
		o.ttft /= rest * rest
		objective := seconds(r.class(q).TPOTObjective)
		o.tpot = stillGap * objective * assumedPrefillSpeed / o.engine.directoryLoad.speed / rest
	}
	o.ttftUpper = o.ttft * (1 + r.ttftModels[k].err)
	o.tpotUpper = o.tpot
	if r.outputLengthsKnown || r.decodeTime.n < minStreams { // else the error is that of the unknown lengths
		o.tpotUpper *= 1 + r.tpotModels[k].err
	}
}

// hasDirectoryLoad tells that an engine's directory owner has told of it just now.
func (r *Router) hasDirectoryLoad(e *engine) bool {
	return e.directoryLoadAt != 0 && r.now-e.directoryLoadAt < directoryLoadLifetime
}

func (r *Router) features(q *request, e *engine, match float64) featureVector {
	load := r.load(e)
	prompt := q.PromptTokens / 1000
	unkept := prompt * (1 - match)
	if r.hasDirectoryLoad(e) {
		unkept *= assumedPrefillSpeed / e.directoryLoad.speed
	}
	inFlight := e.tokensInFlight / 1000
	return featureVector{1, load.MemoryUsage, load.PrefillBacklog, load.SlotUsage, prompt, unkept, inFlight}
}

func (r *Router) observeTTFT(a *attempt, took float64) {
	r.train(r.ttftModels, a, took)
	k := r.kindIndex(a.engine)
	off := min(2.5, max(-2.5, math.Log(max(took, 1e-4)/r.ttftModels[k].at(&a.features))))
	a.engine.slowness = min(2.3, max(-0.7, a.engine.slowness+slownessWeight*(off-a.engine.slowness)))
}

// observeTPOT learns the token gap: decode time over tokens, where it is told how long the answer was. Else
// only the answer's limit is known, and decode time over it falls short of the gap by an unknown share, which
// differs by class. The model learns how load stretches a class's mean; answers that run to their limit, the
// top one in a hundred, show the gap itself.
func (r *Router) observeTPOT(a *attempt, decode, tokens float64) {
	overLimit := decode / a.request.MaxTokens
	if !(overLimit > 0) || overLimit > 100 {
		return
	}
	c := &r.classTPOTRatios[r.classIndex(a.request)]
	y := math.Log(overLimit)
	c.add(y, usualGapWeight)
	stretch := r.tpotModels[r.kindIndex(a.engine)].at(&a.features)
	if tokens > minGapTokens && !a.request.Resumed { // the rest of a broken answer is told as a whole one
		r.outputLengthsKnown = true
		gap := decode / tokens / r.baseTPOT
		d := min(1.5, max(-1.5, math.Log(gap/stretch)))
		a.engine.tpotSlowness.add(d, engineGapWeight)
		r.observeTPOTError(d)
		r.train(r.tpotModels, a, gap)
		return
	}
	d := y - c.mean - math.Log(stretch)
	r.observeTPOTError(d)
	if overLimit/stretch/math.Exp(r.tpotDrift()) > r.baseTPOT {
		r.baseTPOT *= math.Exp(tokenGapStep * (1 - fullLengthFraction))
	} else {
		r.baseTPOT *= math.Exp(-tokenGapStep * fullLengthFraction)
	}
	r.train(r.tpotModels, a, math.Exp(y-c.mean))
}

// tpotDrift is how far tokens come slower of late than the model knows, in logarithm.
func (r *Router) tpotDrift() float64 {
	sway := r.recentTPOTError.mean - r.longTermTPOTError.mean
	if r.decodeTime.n >= minStreams { // streams that run on show a slowdown before any of them ends
		sway = max(sway, r.streamExcess()-r.usualStreamExcess.mean-streamExcessNoise)
	}
	return min(2, max(-0.5, sway))
}

func (r *Router) train(models []model, a *attempt, y float64) {
	if !(y >= 0) || y > 1e4 {
		return
	}
	all := len(models) - 1
	models[all].add(&a.features, y)
	if models[all].samplesSinceFit >= refitInterval {
		models[all].fit(models[all].base)
	}
	if k := r.kindIndex(a.engine); k < all {
		models[k].add(&a.features, y)
		if models[k].samplesSinceFit >= refitInterval {
			models[k].fit(models[all].coef)
		}
	}
}

func (r *Router) observeServed(a *attempt, ev *Outcome) {
	took := seconds(ev.Elapsed)
	if a.firstTokenAt != 0 && !ev.ClientStalled {
		decode := took - seconds(a.firstTokenAt-a.sent)
		r.observeTPOT(a, max(0, decode), ev.OutputTokens)
		r.decodeTime.add(max(0, decode), usualGapWeight)
		r.usualStreamExcess.add(r.streamExcess(), usualGapWeight)
	} else if a.firstTokenAt == 0 && !r.class(a.request).Streamed {
		r.observeTTFT(a, took)
	}
	r.observeMatch(a, clamp(ev.CachedTokens, 1e9))
	r.recordCachedPrompt(a.request, a.engine, a.request.PromptTokens)
}

// load is the engine's state as far as known: its report, faded by age towards the fleet's mean, and what
// this gateway sent since.
func (r *Router) load(e *engine) Report {
	rep := r.meanReport
	if e.reportAt != 0 {
		age := seconds(r.now - e.reportAt)
		w := math.Exp2(-age / reportHalfLife)
		rep.MemoryUsage += w * (e.report.MemoryUsage - rep.MemoryUsage)
		rep.SlotUsage += w * (e.report.SlotUsage - rep.SlotUsage)
		rep.PrefillBacklog += math.Exp2(-age/unreadHalfLife) * (e.report.PrefillBacklog - rep.PrefillBacklog)
	}
	rep.PrefillBacklog += r.unreportedPrefill(e) / 1000
	if r.hasDirectoryLoad(e) {
		rep.PrefillBacklog = e.directoryLoad.wait / ttftPrior[prefillBacklogFeature]
	}
	return rep
}

// tightestTPOTObjective is the tightest token gap that any class wants, in seconds.
func (r *Router) tightestTPOTObjective() float64 {
	least := 0.0
	for _, c := range r.settings.Classes {
		if aim := seconds(c.TPOTObjective); aim > 0 && (least == 0 || aim < least) {
			least = aim
		}
	}
	return least
}

func (r *Router) kindIndex(e *engine) int { return min(max(0, e.Kind), len(r.ttftModels)-1) }

// blend goes a part of the way to another report.
func (a *Report) blend(b *Report, part float64) {
	a.MemoryUsage += part * (b.MemoryUsage - a.MemoryUsage)
	a.PrefillBacklog += part * (b.PrefillBacklog - a.PrefillBacklog)
	a.SlotUsage += part * (b.SlotUsage - a.SlotUsage)
}

func (r *Router) unreportedPrefill(e *engine) float64 {
	return e.unreportedPrefill * math.Exp2(-seconds(r.now-e.unreportedPrefillAt)/unreadHalfLife)
}

// streamExcess compares, in logarithm, the own streams that run with those that would if each took the
// usual time.
func (r *Router) streamExcess() float64 {
	return math.Log((float64(r.streams) + streamPrior) / (r.usualStreams() + streamPrior))
}

func (r *Router) usualStreams() float64 {
	return r.expectedStreams * math.Exp(-seconds(r.now-r.expectedStreamsAt)/max(0.1, r.decodeTime.mean))
}

// observeTPOTError takes in how much slower tokens came than the model knew, in logarithm.
func (r *Router) observeTPOTError(d float64) {
	r.longTermTPOTError.add(d, usualGapWeight)
	r.recentTPOTError.add(d, recentGapWeight)
}

func (r *Router) recordReport(e *engine, rep *Report) {
	e.report = Report{clamp(rep.MemoryUsage, 2), clamp(rep.PrefillBacklog, 1000), clamp(rep.SlotUsage, 2)}
	e.reportAt = r.now
	e.unreportedPrefill = 0
	r.meanReport.blend(&e.report, 0.05)
}

package standpoint

// Prediction of the time to the first token (TTFT) and the time per output token (TPOT): the features that
// they are predicted from, and how the models learn from attempts. Logarithms are natural.

import (
	"math"
)

const (
	// samplesPerRefit is the number of new samples after which a model is fitted again.
	samplesPerRefit = 12
	// reportHalfLife is the age in seconds at which an engine's load report and the fleet's mean report count
	// the same in its estimated load, except for the prefill backlog.
	reportHalfLife = 1.0
	// prefillBacklogHalfLife is the time in seconds in which an engine is assumed to prefill half of its
	// backlog.
	prefillBacklogHalfLife = 0.4
	// maxTokensReachedFraction is the fraction of responses assumed to run to their token limit.
	maxTokensReachedFraction = 0.01
	// baseTPOTStep scales the steps, up or down, by which each response moves the logarithm of baseTPOT.
	baseTPOTStep = 0.05
	// slownessWeight is the weight of one sample in an engine's ttftSlowness.
	slownessWeight = 0.1
	// unloadedTPOTFraction is the assumed TPOT of an engine that does no prefill, as a fraction of the TPOT
	// objective.
	unloadedTPOTFraction = 0.4
	// longTermWeight is the minimum weight of one sample in the long-term means.
	longTermWeight = 0.01
	// recentTPOTWeight is the minimum weight of one sample in the recent mean of the TPOT error.
	recentTPOTWeight = 0.08
	// engineTPOTWeight is the minimum weight of one sample in an engine's tpotSlowness.
	engineTPOTWeight = 0.15
	// engineTPOTPriorCount is the number of samples at which an engine's tpotSlowness and the drift of the
	// whole fleet count the same.
	engineTPOTPriorCount = 3.0
	// minTPOTTokens is the output length in tokens above which a response is a direct sample of the TPOT.
	minTPOTTokens = 5.0
	// minEndedStreams is the number of streams that must have ended before their mean decode time is used.
	minEndedStreams = 20.0
	// streamExcessNoise is the excess of streamExcess over its long-term mean that is attributed to chance.
	streamExcessNoise = 0.1
	// streamPriorCount is added to the number of open streams and to the expected number before they are
	// compared, so that chance matters less when there are few.
	streamPriorCount = 6.0
)

// ttftPrior and tpotPrior are the coefficients that the models start from, per unit of each feature. None is
// negative, so that predictions grow with load. Predictions rest on them until there are samples, and in
// regimes that no sample covers.
var (
	ttftPrior = featureVector{0.06, 0.05, 0.08, 0.1, 0.005, 0.08, 0.01} // in seconds
	tpotPrior = featureVector{0.6, 0.3, 0.02, 1, 0.005, 0, 0.01}        // in multiples of baseTPOT
)

// bucketIndex returns the index of a sample's bucket: by memory usage in tenths, by the cached fraction of
// the prompt in quarters, and by whether the prefill backlog is below 2,000 tokens, from there to below
// 4,000, or at least 4,000.
func bucketIndex(x *featureVector) int {
	memory := min(9, max(0, int(x[1]*10)))
	match := 0
	if x[4] > 0 {
		match = min(3, max(0, int((1-x[5]/x[4])*4)))
	}
	backlog := min(2, max(0, int(math.Log2(max(x[2], 0.01)/2)+1)))
	return (memory*4+match)*3 + backlog
}

// predict sets an option's features, its predicted TTFT and TPOT, and their upper bounds, which add the
// models' mean errors. Where there is a recent load from the engine's directory owner, the TTFT grows with
// the fraction of its time that the engine spends on prefill, and the TPOT follows from that fraction and the
// engine's prefill speed instead of from the model.
func (r *Router) predict(q *request, o *option) {
	o.features = r.features(q, o.engine, o.match)
	kind := r.kindIndex(o.engine)
	slowdown := math.Exp(o.engine.ttftSlowness)
	o.ttft = max(r.ttftModels[kind].predict(&o.features)*slowdown, r.minExpectedTTFT(o.engine))
	drift := r.tpotDrift() + max(0, o.engine.ttftSlowness)
	engineWeight := o.engine.tpotSlowness.count / (o.engine.tpotSlowness.count + engineTPOTPriorCount)
	if engineWeight > 0 { // responses of known length show this engine's own TPOT
		drift += engineWeight * (o.engine.tpotSlowness.value - drift)
	}
	o.tpot = r.tpotModels[kind].predict(&o.features) * r.baseTPOT * math.Exp(drift)
	if r.hasRecentDirectoryLoad(o.engine) {
		o.unloadedTTFT = o.ttft
		decodeFraction := 1 - min(0.9, o.engine.directoryLoad.prefillFraction)
		o.ttft /= decodeFraction * decodeFraction
		objective := seconds(r.class(q).TPOTObjective)
		o.tpot = unloadedTPOTFraction * objective * assumedPrefillSpeed /
			o.engine.directoryLoad.prefillSpeed / decodeFraction
	}
	o.ttftUpper = o.ttft * (1 + r.ttftModels[kind].relativeError)
	o.tpotUpper = o.tpot
	if r.outputLengthsKnown || r.decodeTime.count < minEndedStreams {
		// In all other cases the model's measured error is due to the unknown output lengths.
		o.tpotUpper *= 1 + r.tpotModels[kind].relativeError
	}
}

// hasRecentDirectoryLoad reports whether the engine's directory owner has reported its load within the last
// directoryLoadLifetime.
func (r *Router) hasRecentDirectoryLoad(e *engine) bool {
	return e.directoryLoadAt != 0 && r.now-e.directoryLoadAt < directoryLoadLifetime
}

// features returns the inputs of a prediction for a request at an engine that has the fraction match of its
// prompt cached. Where the engine's prefill speed is known from its directory owner, the uncached tokens are
// scaled to those that take as long at the assumed prefill speed.
func (r *Router) features(q *request, e *engine, match float64) featureVector {
	load := r.estimatedLoad(e)
	prompt := q.PromptTokens / 1000
	uncached := prompt * (1 - match)
	if r.hasRecentDirectoryLoad(e) {
		uncached *= assumedPrefillSpeed / e.directoryLoad.prefillSpeed
	}
	inFlight := e.tokensInFlight / 1000
	return featureVector{1, load.MemoryUsage, load.PrefillBacklog, load.SlotUsage, prompt, uncached, inFlight}
}

// observeTTFT learns from how long an attempt's first token took, in seconds, or its whole response where
// that is not streamed.
func (r *Router) observeTTFT(a *attempt, elapsed float64) {
	r.train(r.ttftModels, a, elapsed)
	kind := r.kindIndex(a.engine)
	logRatio := min(2.5, max(-2.5, math.Log(max(elapsed, 1e-4)/r.ttftModels[kind].predict(&a.features))))
	a.engine.ttftSlowness = min(2.3, max(-0.7,
		a.engine.ttftSlowness+slownessWeight*(logRatio-a.engine.ttftSlowness)))
}

// observeTPOT learns from a response, given its decode time in seconds and its output tokens, or 0 if their
// number is not known. Where it is known, the TPOT is decode time over output tokens. Otherwise only the
// request's token limit is known, and decode time over that limit is less than the TPOT by an unknown factor,
// which differs by class. The model then learns by how much load raises that ratio above the class's mean.
// Responses that run to their limit show the TPOT itself; they are assumed to be the one in a hundred with
// the highest ratio, so baseTPOT is a running estimate of that quantile.
func (r *Router) observeTPOT(a *attempt, decodeTime, tokens float64) {
	timePerMaxToken := decodeTime / a.request.MaxTokens
	if !(timePerMaxToken > 0) || timePerMaxToken > 100 {
		return
	}
	classRatio := &r.classTPOTRatios[r.classIndex(a.request)]
	logTimePerMaxToken := math.Log(timePerMaxToken)
	classRatio.add(logTimePerMaxToken, longTermWeight)
	predicted := r.tpotModels[r.kindIndex(a.engine)].predict(&a.features)
	if tokens > minTPOTTokens && !a.request.Resumed {
		// A resumed request is left out: the tokens reported for it are those of the whole response.
		r.outputLengthsKnown = true
		relativeTPOT := decodeTime / tokens / r.baseTPOT
		logError := min(1.5, max(-1.5, math.Log(relativeTPOT/predicted)))
		a.engine.tpotSlowness.add(logError, engineTPOTWeight)
		r.observeTPOTError(logError)
		r.train(r.tpotModels, a, relativeTPOT)
		return
	}
	logError := logTimePerMaxToken - classRatio.value - math.Log(predicted)
	r.observeTPOTError(logError)
	if timePerMaxToken/predicted/math.Exp(r.tpotDrift()) > r.baseTPOT {
		r.baseTPOT *= math.Exp(baseTPOTStep * (1 - maxTokensReachedFraction))
	} else {
		r.baseTPOT *= math.Exp(-baseTPOTStep * maxTokensReachedFraction)
	}
	r.train(r.tpotModels, a, math.Exp(logTimePerMaxToken-classRatio.value))
}

// tpotDrift returns the logarithm of the factor by which the ratio of observed to predicted TPOT is above its
// long-term mean at present.
func (r *Router) tpotDrift() float64 {
	drift := r.recentTPOTError.value - r.longTermTPOTError.value
	if r.decodeTime.count >= minEndedStreams {
		// Streams that last longer than usual show a slowdown before any of them ends.
		drift = max(drift, r.streamExcess()-r.longTermStreamExcess.value-streamExcessNoise)
	}
	return min(2, max(-0.5, drift))
}

// train adds an attempt's observed value y to the fleet's model and to that of its engine's kind, and fits
// each again after samplesPerRefit samples. The fleet's coefficients are the prior of a kind's model.
func (r *Router) train(models []model, a *attempt, y float64) {
	if !(y >= 0) || y > 1e4 {
		return
	}
	fleet := len(models) - 1
	models[fleet].add(&a.features, y)
	if models[fleet].samplesSinceFit >= samplesPerRefit {
		models[fleet].fit(models[fleet].prior)
	}
	if kind := r.kindIndex(a.engine); kind < fleet {
		models[kind].add(&a.features, y)
		if models[kind].samplesSinceFit >= samplesPerRefit {
			models[kind].fit(models[fleet].coefficients)
		}
	}
}

// observeServed learns from an attempt whose response was complete.
func (r *Router) observeServed(a *attempt, outcome *Outcome) {
	elapsed := seconds(outcome.Elapsed)
	if a.firstTokenAt != 0 && !outcome.ClientStalled {
		decodeTime := elapsed - seconds(a.firstTokenAt-a.sentAt)
		r.observeTPOT(a, max(0, decodeTime), outcome.OutputTokens)
		r.decodeTime.add(max(0, decodeTime), longTermWeight)
		r.longTermStreamExcess.add(r.streamExcess(), longTermWeight)
	} else if a.firstTokenAt == 0 && !r.class(a.request).Streamed {
		r.observeTTFT(a, elapsed)
	}
	r.observeMatch(a, clamp(outcome.CachedTokens, 1e9))
	r.recordCachedPrompt(a.request, a.engine, a.request.PromptTokens)
}

// estimatedLoad returns the estimated load of an engine: its latest report, which with age gives way to the
// fleet's mean report, plus the prompts that this gateway has sent since then. Where there is a recent load
// from the engine's directory owner, the prefill backlog follows from that alone.
func (r *Router) estimatedLoad(e *engine) Report {
	load := r.meanReport
	if e.reportAt != 0 {
		age := seconds(r.now - e.reportAt)
		weight := math.Exp2(-age / reportHalfLife)
		load.MemoryUsage += weight * (e.report.MemoryUsage - load.MemoryUsage)
		load.SlotUsage += weight * (e.report.SlotUsage - load.SlotUsage)
		load.PrefillBacklog += math.Exp2(-age/prefillBacklogHalfLife) *
			(e.report.PrefillBacklog - load.PrefillBacklog)
	}
	load.PrefillBacklog += r.unreportedPrefill(e) / 1000
	if r.hasRecentDirectoryLoad(e) {
		load.PrefillBacklog = e.directoryLoad.prefillDelay / ttftPrior[prefillBacklogFeature]
	}
	return load
}

// tightestTPOTObjective returns the lowest TPOT objective of any class in seconds, or 0 if no class has one.
func (r *Router) tightestTPOTObjective() float64 {
	tightest := 0.0
	for _, c := range r.settings.Classes {
		if objective := seconds(c.TPOTObjective); objective > 0 && (tightest == 0 || objective < tightest) {
			tightest = objective
		}
	}
	return tightest
}

// kindIndex returns the index of the models of an engine's kind. A kind beyond the configured ones has the
// fleet's models, which are the last.
func (r *Router) kindIndex(e *engine) int { return min(max(0, e.Kind), len(r.ttftModels)-1) }

// moveTowards moves each number of a report towards that of the target, by the fraction weight of their
// difference.
func (report *Report) moveTowards(target *Report, weight float64) {
	report.MemoryUsage += weight * (target.MemoryUsage - report.MemoryUsage)
	report.PrefillBacklog += weight * (target.PrefillBacklog - report.PrefillBacklog)
	report.SlotUsage += weight * (target.SlotUsage - report.SlotUsage)
}

// unreportedPrefill returns the estimated number of prompt tokens that this gateway has sent to an engine
// since its latest report and that the engine has yet to prefill.
func (r *Router) unreportedPrefill(e *engine) float64 {
	return e.unreportedPrefill * math.Exp2(-seconds(r.now-e.unreportedPrefillAt)/prefillBacklogHalfLife)
}

// streamExcess returns the logarithm of the ratio of this gateway's open streams to those that would be open
// if each took the mean decode time.
func (r *Router) streamExcess() float64 {
	return math.Log((float64(r.openStreams) + streamPriorCount) /
		(r.expectedOpenStreams() + streamPriorCount))
}

// expectedOpenStreams returns how many of this gateway's streams would be open if each took the mean decode
// time: without new streams, the expected number decays exponentially with that time constant.
func (r *Router) expectedOpenStreams() float64 {
	return r.expectedStreams * math.Exp(-seconds(r.now-r.expectedStreamsAt)/max(0.1, r.decodeTime.value))
}

// observeTPOTError records the logarithm of the ratio of an observed to a predicted TPOT.
func (r *Router) observeTPOTError(logError float64) {
	r.longTermTPOTError.add(logError, longTermWeight)
	r.recentTPOTError.add(logError, recentTPOTWeight)
}

// recordReport stores an engine's load report, bounded to plausible values, and resets the unreported prefill
// tokens.
func (r *Router) recordReport(e *engine, report *Report) {
	e.report = Report{
		clamp(report.MemoryUsage, 2),
		clamp(report.PrefillBacklog, 1000),
		clamp(report.SlotUsage, 2),
	}
	e.reportAt = r.now
	e.unreportedPrefill = 0
	r.meanReport.moveTowards(&e.report, 0.05)
}

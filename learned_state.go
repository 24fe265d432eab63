package standpoint

// The learned state that a router passes to the one that replaces it on the same machine. No decisions are
// made in this file.

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

const (
	// learnedVersion is the version of the format of Learned.
	learnedVersion = 1
	// maxLearnedPrompts is the maximum number of match table entries in Learned. The newest are kept.
	maxLearnedPrompts = 8192
	// maxLearnedEngines is the maximum number of engines in Learned.
	maxLearnedEngines = 4096
	// maxLearnedAge is the age above which learned state is rejected.
	maxLearnedAge = 60 * second
)

// Learned is the learned state of a router. It is valid for the classes and kinds that it was learned with,
// of which Check compares the numbers. Points in time are in nanoseconds, and logarithms are natural.
type Learned struct {
	Version    int   `json:"version"`
	ExportedAt int64 `json:"at"`
	ClassCount int   `json:"classes"`
	KindCount  int   `json:"kinds"`

	// TTFTModels and TPOTModels hold a model for each machine kind, and the fleet's as the last.
	TTFTModels []LearnedModel `json:"ttft"`
	TPOTModels []LearnedModel `json:"pace"`
	// BaseTPOT is the TPOT, in seconds, that the TPOTModels express as 1.
	BaseTPOT float64 `json:"gap"`
	// OutputLengthsKnown says whether a response stated its number of output tokens.
	OutputLengthsKnown bool `json:"told"`
	// ClassTPOTRatios are the means, by class, of the logarithm of a response's decode time in seconds over
	// its token limit. The last class stands for requests of an unknown class.
	ClassTPOTRatios []LearnedMean `json:"gaps"`
	// LongTermTPOTError is the long-term mean of the logarithm of the ratio of observed to predicted TPOT.
	LongTermTPOTError LearnedMean `json:"gap_usual"`
	// RecentTPOTError is the mean of that logarithm over the latest responses.
	RecentTPOTError LearnedMean `json:"gap_now"`
	// DecodeTime is the mean time from a response's first token to its last, in seconds.
	DecodeTime LearnedMean `json:"decode"`
	// HomeCachedFraction is, by class, the mean fraction of the prompt beyond the shared prefix that a
	// session's home engine had cached. The last class stands for requests of an unknown class.
	HomeCachedFraction []float64 `json:"gain"`
	// MeanReport is a moving average of the fleet's load reports.
	MeanReport Report `json:"fleet"`
	// MatchTrust is a moving average of the ratio of cached to expected tokens.
	MatchTrust float64 `json:"trust"`
	// CacheFlushAt is when engines were last found to have lost their caches.
	CacheFlushAt int64 `json:"flush_at"`
	// UsualReadyCount is the largest number of ready engines in the recent past, which decays with time.
	UsualReadyCount float64 `json:"usual"`
	// RequestRate is the rate of the requests that this gateway accepts, per second.
	RequestRate float64 `json:"rate"`
	// ShedFraction is the fraction of the requests, those of the lowest value density, that is shed.
	ShedFraction float64 `json:"cut"`
	// RecentValueDensities are the value densities of the latest requests.
	RecentValueDensities []float64       `json:"lately"`
	Engines              []LearnedEngine `json:"engines"`
	CachedPrompts        []LearnedPrompt `json:"prompts"`
}

// LearnedMean is a running mean.
type LearnedMean struct {
	Mean  float64 `json:"mean"`
	Count float64 `json:"n"` // number of values added
}

// LearnedModel is a model's fit and its samples. A sample consists of its features, followed by the observed
// value.
type LearnedModel struct {
	Prior         featureVector `json:"base"`
	Coefficients  featureVector `json:"coef"`
	RelativeError float64       `json:"err"`
	Samples       [][]float32   `json:"samples"`
}

// LearnedEngine is the learned state of an engine's process, which is identified by name and start time.
type LearnedEngine struct {
	Name        string `json:"name"`
	StartedAt   int64  `json:"ready_at"`
	FirstSeenAt int64  `json:"since"`
	// Slowness is a moving average of the logarithm of the ratio of observed to predicted TTFT.
	Slowness float64 `json:"speed"`
	// TPOTSlowness is the mean logarithm of the ratio of observed to predicted TPOT.
	TPOTSlowness LearnedMean `json:"drag"`
	// ErrorRate is a moving average of errors, rejections and lost connections among the responses.
	ErrorRate   float64 `json:"sour"`
	Suspect     bool    `json:"suspect"`
	Unreachable bool    `json:"down"`
	LastTrialAt int64   `json:"trial_at"`
	Report      Report  `json:"report"`
	ReportAt    int64   `json:"report_at"`
	// SlowStartBudget is the number of requests that may be sent while the engine warms up, as of
	// SlowStartBudgetAt.
	SlowStartBudget   float64 `json:"cold_tokens"`
	SlowStartBudgetAt int64   `json:"cold_at"`
	// Reinstated says whether an operator put the engine back into service and no attempt was sent since.
	Reinstated bool `json:"due"`
}

// LearnedPrompt is an entry of the match table.
type LearnedPrompt struct {
	Key      uint64  `json:"key"`
	Tokens   float32 `json:"tokens"` // prompt tokens that the engine has cached
	StoredAt int64   `json:"at"`
}

// Learned returns a copy of the router's learned state.
func (r *Router) Learned() *Learned {
	learned := &Learned{
		Version:              learnedVersion,
		ExportedAt:           r.now,
		ClassCount:           len(r.settings.Classes),
		KindCount:            r.settings.Kinds,
		BaseTPOT:             r.baseTPOT,
		OutputLengthsKnown:   r.outputLengthsKnown,
		LongTermTPOTError:    learnedMean(r.longTermTPOTError),
		RecentTPOTError:      learnedMean(r.recentTPOTError),
		DecodeTime:           learnedMean(r.decodeTime),
		HomeCachedFraction:   slices.Clone(r.homeCachedFraction),
		MeanReport:           r.meanReport,
		MatchTrust:           r.matchTrust,
		CacheFlushAt:         r.cacheFlushAt,
		UsualReadyCount:      r.usualReadyCount,
		RequestRate:          r.requestRate,
		ShedFraction:         r.shedFraction,
		RecentValueDensities: slices.Clone(r.recentValueDensities),
	}
	for i := range r.ttftModels {
		learned.TTFTModels = append(learned.TTFTModels, r.ttftModels[i].learned())
		learned.TPOTModels = append(learned.TPOTModels, r.tpotModels[i].learned())
	}
	for _, m := range r.classTPOTRatios {
		learned.ClassTPOTRatios = append(learned.ClassTPOTRatios, learnedMean(m))
	}
	for _, e := range r.engines {
		if len(learned.Engines) < maxLearnedEngines && e.State != Removed {
			learned.Engines = append(learned.Engines, e.learned())
		}
	}
	for _, table := range r.matchTable {
		for key, entry := range table {
			learned.CachedPrompts = append(learned.CachedPrompts,
				LearnedPrompt{key, float32(entry.tokens), entry.storedAt})
		}
	}
	slices.SortFunc(learned.CachedPrompts, func(a, b LearnedPrompt) int {
		return int(min(1, max(-1, b.StoredAt-a.StoredAt)))
	})
	learned.CachedPrompts = learned.CachedPrompts[:min(len(learned.CachedPrompts), maxLearnedPrompts)]
	return learned
}

// learned returns a copy of the learned state of an engine's process.
func (e *engine) learned() LearnedEngine {
	return LearnedEngine{
		Name:              e.Name,
		StartedAt:         e.StartedAt,
		FirstSeenAt:       e.firstSeenAt,
		Slowness:          e.ttftSlowness,
		TPOTSlowness:      learnedMean(e.tpotSlowness),
		ErrorRate:         e.errorRate,
		Suspect:           e.suspect,
		Unreachable:       e.unreachable,
		LastTrialAt:       e.lastTrialAt,
		Report:            e.report,
		ReportAt:          e.reportAt,
		SlowStartBudget:   e.slowStartBudget,
		SlowStartBudgetAt: e.slowStartBudgetAt,
		Reinstated:        e.reinstated,
	}
}

// learnedMean returns a copy of a running mean.
func learnedMean(m mean) LearnedMean { return LearnedMean{m.value, m.count} }

// learned returns a copy of a model's fit and samples.
func (m *model) learned() LearnedModel {
	l := LearnedModel{Prior: m.prior, Coefficients: m.coefficients, RelativeError: m.relativeError}
	for i := range m.buckets {
		for _, s := range m.buckets[i].samples {
			row := make([]float32, 0, featureCount+1)
			for _, x := range s.x {
				row = append(row, float32(x))
			}
			l.Samples = append(l.Samples, append(row, float32(s.y)))
		}
	}
	return l
}

// Check returns an error if a router with these settings cannot restore the learned state at the time now.
func (l *Learned) Check(settings *Settings, now int64) error {
	modelCount := settings.Kinds + 1
	switch {
	case l.Version != learnedVersion:
		return fmt.Errorf("learned state has version %d, supported is version %d", l.Version, learnedVersion)
	case l.ExportedAt > now+second || now-l.ExportedAt > maxLearnedAge:
		return errors.New("learned state is too old, or its time lies in the future")
	case l.ClassCount != len(settings.Classes) || l.KindCount != settings.Kinds:
		return errors.New("learned state is for other numbers of classes or kinds")
	case len(l.TTFTModels) != modelCount || len(l.TPOTModels) != modelCount,
		len(l.ClassTPOTRatios) != len(settings.Classes)+1 ||
			len(l.HomeCachedFraction) != len(settings.Classes)+1,
		len(l.RecentValueDensities) > maxRankedRequests, len(l.Engines) > maxLearnedEngines,
		len(l.CachedPrompts) > maxLearnedPrompts:
		return errors.New("learned state has a list with missing or too many entries")
	}
	for _, m := range append(slices.Clone(l.TTFTModels), l.TPOTModels...) {
		for _, row := range m.Samples {
			if len(row) != featureCount+1 {
				return errors.New("learned state has a sample of the wrong length")
			}
		}
	}
	invalid := func(v float64) bool { return math.IsNaN(v) || math.Abs(v) > 1e9 }
	if slices.ContainsFunc(l.boundedNumbers(), invalid) || l.BaseTPOT <= 0 {
		return errors.New("learned state has a number out of range")
	}
	return nil
}

// boundedNumbers returns all numbers that Check requires to be within bounds.
func (l *Learned) boundedNumbers() []float64 {
	numbers := append(slices.Clone(l.HomeCachedFraction),
		l.BaseTPOT, l.MatchTrust, l.UsualReadyCount, l.RequestRate, l.ShedFraction)
	numbers = append(numbers, l.MeanReport.MemoryUsage, l.MeanReport.PrefillBacklog, l.MeanReport.SlotUsage)
	numbers = append(numbers, l.RecentValueDensities...)
	for _, m := range append(slices.Clone(l.ClassTPOTRatios),
		l.LongTermTPOTError, l.RecentTPOTError, l.DecodeTime) {
		numbers = append(numbers, m.Mean, m.Count)
	}
	for _, m := range append(slices.Clone(l.TTFTModels), l.TPOTModels...) {
		numbers = append(append(append(numbers, m.Prior[:]...), m.Coefficients[:]...), m.RelativeError)
		for _, row := range m.Samples {
			for _, v := range row {
				numbers = append(numbers, float64(v))
			}
		}
	}
	for _, e := range l.Engines {
		numbers = append(numbers,
			e.Slowness, e.TPOTSlowness.Mean, e.TPOTSlowness.Count, e.ErrorRate, e.SlowStartBudget)
		numbers = append(numbers, e.Report.MemoryUsage, e.Report.PrefillBacklog, e.Report.SlotUsage)
	}
	return numbers
}

// RestoreLearned replaces the router's learned state by that of another router, or returns an error if that
// does not pass Check. The state of an engine is restored where this router lists the same process.
func (r *Router) RestoreLearned(learned *Learned, now int64) error {
	if err := learned.Check(&r.settings, now); err != nil {
		return err
	}
	r.now = now
	for i := range r.ttftModels {
		r.ttftModels[i].restore(&learned.TTFTModels[i])
		r.tpotModels[i].restore(&learned.TPOTModels[i])
	}
	for i, m := range learned.ClassTPOTRatios {
		r.classTPOTRatios[i] = mean{m.Mean, m.Count}
	}
	r.baseTPOT, r.outputLengthsKnown, r.homeCachedFraction =
		learned.BaseTPOT, learned.OutputLengthsKnown, slices.Clone(learned.HomeCachedFraction)
	r.longTermTPOTError = mean{learned.LongTermTPOTError.Mean, learned.LongTermTPOTError.Count}
	r.recentTPOTError = mean{learned.RecentTPOTError.Mean, learned.RecentTPOTError.Count}
	// The usual stream excess is learned again: the running streams belong to the other router.
	r.decodeTime = mean{learned.DecodeTime.Mean, learned.DecodeTime.Count}
	r.meanReport = learned.MeanReport
	r.matchTrust = learned.MatchTrust
	r.cacheFlushAt = learned.CacheFlushAt
	r.usualReadyCount = max(r.usualReadyCount, learned.UsualReadyCount)
	r.usualReadyAt = now
	r.requestRate = learned.RequestRate
	r.requestRateAt = now
	r.firstRequestAt = now - int64(requestRateSpan*1e9)
	r.shedFraction = learned.ShedFraction
	r.shedFractionAt = now
	r.recentValueDensities = slices.Clone(learned.RecentValueDensities)
	r.nextValueDensity = 0
	for _, saved := range learned.Engines {
		e := r.engines[saved.Name]
		if e == nil || e.StartedAt != saved.StartedAt {
			continue
		}
		e.firstSeenAt = saved.FirstSeenAt
		e.ttftSlowness = saved.Slowness
		e.tpotSlowness = mean{saved.TPOTSlowness.Mean, saved.TPOTSlowness.Count}
		e.errorRate = saved.ErrorRate
		e.suspect = saved.Suspect
		e.unreachable = saved.Unreachable
		e.lastTrialAt = saved.LastTrialAt
		e.reinstated = saved.Reinstated
		e.report = saved.Report
		e.reportAt = saved.ReportAt
		e.slowStartBudget = saved.SlowStartBudget
		e.slowStartBudgetAt = saved.SlowStartBudgetAt
	}
	for _, prompt := range learned.CachedPrompts {
		r.matchTable[0][prompt.Key] = matchEntry{float64(prompt.Tokens), prompt.StoredAt}
	}
	return nil
}

// restore replaces a model's fit and samples by those of l.
func (m *model) restore(l *LearnedModel) {
	*m = model{prior: l.Prior, coefficients: l.Coefficients, relativeError: l.RelativeError}
	for _, row := range l.Samples {
		var s sample
		for i := range s.x {
			s.x[i] = float64(row[i])
		}
		s.y = float64(row[featureCount])
		if b := &m.buckets[bucketIndex(&s.x)]; len(b.samples) < bucketDepth {
			b.samples = append(b.samples, s)
		}
	}
}

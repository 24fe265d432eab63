package standpoint

// What a router hands to another that takes its place on the same machine. Nothing in this file decides.

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

const (
	learnedVersion = 1
	learnedPrompts = 8192        // kept prompts that go over, the newest
	learnedEngines = 4096        // engines that may
	learnedAge     = 60 * second // beyond which nothing of it is taken
)

// Learned is what a router has learned. It holds for the settings that it was learned under.
type Learned struct {
	Version int   `json:"version"`
	At      int64 `json:"at"`
	Classes int   `json:"classes"`
	Kinds   int   `json:"kinds"`

	TTFT     []LearnedModel  `json:"ttft"`
	Pace     []LearnedModel  `json:"pace"`
	Gap      float64         `json:"gap"`
	Told     bool            `json:"told"`
	Gaps     []LearnedMean   `json:"gaps"`
	GapUsual LearnedMean     `json:"gap_usual"`
	GapNow   LearnedMean     `json:"gap_now"`
	Decode   LearnedMean     `json:"decode"`
	Gain     []float64       `json:"gain"`
	Fleet    Report          `json:"fleet"`
	Trust    float64         `json:"trust"`
	FlushAt  int64           `json:"flush_at"`
	Usual    float64         `json:"usual"`
	Rate     float64         `json:"rate"`
	Cut      float64         `json:"cut"`
	Lately   []float64       `json:"lately"`
	Engines  []LearnedEngine `json:"engines"`
	Prompts  []LearnedPrompt `json:"prompts"`
}

// LearnedMean is a running mean.
type LearnedMean struct {
	Mean float64 `json:"mean"`
	N    float64 `json:"n"`
}

// LearnedModel is a model's fit and its samples: each is what it was predicted from, and at its end what
// came.
type LearnedModel struct {
	Base    featureVector `json:"base"`
	Coef    featureVector `json:"coef"`
	Err     float64       `json:"err"`
	Samples [][]float32   `json:"samples"`
}

// LearnedEngine is what is believed of an engine's process.
type LearnedEngine struct {
	Name       string      `json:"name"`
	ReadyAt    int64       `json:"ready_at"`
	Since      int64       `json:"since"`
	Speed      float64     `json:"speed"`
	Drag       LearnedMean `json:"drag"`
	Sour       float64     `json:"sour"`
	Suspect    bool        `json:"suspect"`
	Down       bool        `json:"down"`
	TrialAt    int64       `json:"trial_at"`
	Report     Report      `json:"report"`
	ReportAt   int64       `json:"report_at"`
	ColdTokens float64     `json:"cold_tokens"`
	ColdAt     int64       `json:"cold_at"`
	Due        bool        `json:"due"`
}

// LearnedPrompt is an entry of the match table.
type LearnedPrompt struct {
	Key    uint64  `json:"key"`
	Tokens float32 `json:"tokens"`
	At     int64   `json:"at"`
}

// Learned copies what the router has learned.
func (r *Router) Learned() *Learned {
	l := &Learned{
		Version:  learnedVersion,
		At:       r.now,
		Classes:  len(r.settings.Classes),
		Kinds:    r.settings.Kinds,
		Gap:      r.baseTPOT,
		Told:     r.outputLengthsKnown,
		GapUsual: learnedMean(r.longTermTPOTError),
		GapNow:   learnedMean(r.recentTPOTError),
		Decode:   learnedMean(r.decodeTime),
		Gain:     slices.Clone(r.sessionGain),
		Fleet:    r.meanReport,
		Trust:    r.matchTrust,
		FlushAt:  r.flushAt,
		Usual:    r.usualReadyCount,
		Rate:     r.requestRate,
		Cut:      r.shedFraction,
		Lately:   slices.Clone(r.recentValueDensities),
	}
	for i := range r.ttftModels {
		l.TTFT = append(l.TTFT, r.ttftModels[i].learned())
		l.Pace = append(l.Pace, r.tpotModels[i].learned())
	}
	for _, m := range r.classTPOTRatios {
		l.Gaps = append(l.Gaps, learnedMean(m))
	}
	for _, e := range r.engines {
		if len(l.Engines) < learnedEngines && e.State != Gone {
			l.Engines = append(l.Engines, e.learned())
		}
	}
	for _, table := range r.matchTable {
		for key, k := range table {
			l.Prompts = append(l.Prompts, LearnedPrompt{key, float32(k.tokens), k.at})
		}
	}
	slices.SortFunc(l.Prompts, func(a, b LearnedPrompt) int { return int(min(1, max(-1, b.At-a.At))) })
	l.Prompts = l.Prompts[:min(len(l.Prompts), learnedPrompts)]
	return l
}

// learned copies what is believed of an engine's process.
func (e *engine) learned() LearnedEngine {
	return LearnedEngine{
		Name:       e.Name,
		ReadyAt:    e.ReadyAt,
		Since:      e.firstSeenAt,
		Speed:      e.slowness,
		Drag:       learnedMean(e.tpotSlowness),
		Sour:       e.errorRate,
		Suspect:    e.suspect,
		Down:       e.unreachable,
		TrialAt:    e.lastTrialAt,
		Report:     e.report,
		ReportAt:   e.reportAt,
		ColdTokens: e.slowStartBudget,
		ColdAt:     e.slowStartBudgetAt,
		Due:        e.reinstated,
	}
}

func learnedMean(m mean) LearnedMean { return LearnedMean{m.mean, m.n} }

func (m *model) learned() LearnedModel {
	l := LearnedModel{Base: m.base, Coef: m.coef, Err: m.err}
	for i := range m.buckets {
		for _, s := range m.buckets[i].ring {
			row := make([]float32, 0, featureCount+1)
			for _, x := range s.x {
				row = append(row, float32(x))
			}
			l.Samples = append(l.Samples, append(row, float32(s.y)))
		}
	}
	return l
}

// Check tells whether what was learned can be taken by a router with these settings, at this time.
func (l *Learned) Check(s *Settings, now int64) error {
	models := s.Kinds + 1
	switch {
	case l.Version != learnedVersion:
		return fmt.Errorf("it is of version %d, this program knows %d", l.Version, learnedVersion)
	case l.At > now+second || now-l.At > learnedAge:
		return errors.New("it is too old")
	case l.Classes != len(s.Classes) || l.Kinds != s.Kinds:
		return errors.New("it was learned under other settings")
	case len(l.TTFT) != models || len(l.Pace) != models,
		len(l.Gaps) != len(s.Classes)+1 || len(l.Gain) != len(s.Classes)+1,
		len(l.Lately) > maxRankedRequests, len(l.Engines) > learnedEngines, len(l.Prompts) > learnedPrompts:
		return errors.New("parts of it are missing, or too many")
	}
	for _, m := range append(slices.Clone(l.TTFT), l.Pace...) {
		for _, row := range m.Samples {
			if len(row) != featureCount+1 {
				return errors.New("a sample of it has another length")
			}
		}
	}
	invalid := func(v float64) bool { return math.IsNaN(v) || math.Abs(v) > 1e9 }
	if slices.ContainsFunc(l.numbers(), invalid) || l.Gap <= 0 {
		return errors.New("a number of it cannot be")
	}
	return nil
}

// numbers are all numbers that have to be within bounds.
func (l *Learned) numbers() []float64 {
	numbers := append(slices.Clone(l.Gain), l.Gap, l.Trust, l.Usual, l.Rate, l.Cut)
	numbers = append(numbers, l.Fleet.MemoryUsage, l.Fleet.PrefillBacklog, l.Fleet.SlotUsage)
	numbers = append(numbers, l.Lately...)
	for _, m := range append(slices.Clone(l.Gaps), l.GapUsual, l.GapNow, l.Decode) {
		numbers = append(numbers, m.Mean, m.N)
	}
	for _, m := range append(slices.Clone(l.TTFT), l.Pace...) {
		numbers = append(append(append(numbers, m.Base[:]...), m.Coef[:]...), m.Err)
		for _, row := range m.Samples {
			for _, v := range row {
				numbers = append(numbers, float64(v))
			}
		}
	}
	for _, e := range l.Engines {
		numbers = append(numbers, e.Speed, e.Drag.Mean, e.Drag.N, e.Sour, e.ColdTokens)
		numbers = append(numbers, e.Report.MemoryUsage, e.Report.PrefillBacklog, e.Report.SlotUsage)
	}
	return numbers
}

// RestoreLearned takes what another router has learned, in place of what this one has. What is believed of an
// engine is taken where this router lists the same process.
func (r *Router) RestoreLearned(l *Learned, now int64) error {
	if err := l.Check(&r.settings, now); err != nil {
		return err
	}
	r.now = now
	for i := range r.ttftModels {
		r.ttftModels[i].recall(&l.TTFT[i])
		r.tpotModels[i].recall(&l.Pace[i])
	}
	for i, m := range l.Gaps {
		r.classTPOTRatios[i] = mean{m.Mean, m.N}
	}
	r.baseTPOT, r.outputLengthsKnown, r.sessionGain = l.Gap, l.Told, slices.Clone(l.Gain)
	r.longTermTPOTError = mean{l.GapUsual.Mean, l.GapUsual.N}
	r.recentTPOTError = mean{l.GapNow.Mean, l.GapNow.N}
	// How many streams are usual is learned anew: those that run are not this router's own.
	r.decodeTime = mean{l.Decode.Mean, l.Decode.N}
	r.meanReport = l.Fleet
	r.matchTrust = l.Trust
	r.flushAt = l.FlushAt
	r.usualReadyCount = max(r.usualReadyCount, l.Usual)
	r.usualReadyAt = now
	r.requestRate = l.Rate
	r.requestRateAt = now
	r.firstRequestAt = now - int64(rateSpan*1e9)
	r.shedFraction = l.Cut
	r.shedFractionAt = now
	r.recentValueDensities = slices.Clone(l.Lately)
	r.nextValueDensity = 0
	for _, p := range l.Engines {
		e := r.engines[p.Name]
		if e == nil || e.ReadyAt != p.ReadyAt {
			continue
		}
		e.firstSeenAt = p.Since
		e.slowness = p.Speed
		e.tpotSlowness = mean{p.Drag.Mean, p.Drag.N}
		e.errorRate = p.Sour
		e.suspect = p.Suspect
		e.unreachable = p.Down
		e.lastTrialAt = p.TrialAt
		e.reinstated = p.Due
		e.report = p.Report
		e.reportAt = p.ReportAt
		e.slowStartBudget = p.ColdTokens
		e.slowStartBudgetAt = p.ColdAt
	}
	for _, p := range l.Prompts {
		r.matchTable[0][p.Key] = matchEntry{float64(p.Tokens), p.At}
	}
	return nil
}

func (m *model) recall(l *LearnedModel) {
	*m = model{base: l.Base, coef: l.Coef, err: l.Err}
	for _, row := range l.Samples {
		var s sample
		for i := range s.x {
			s.x[i] = float64(row[i])
		}
		s.y = float64(row[featureCount])
		if b := &m.buckets[bucketOf(&s.x)]; len(b.ring) < bucketDepth {
			b.ring = append(b.ring, s)
		}
	}
}

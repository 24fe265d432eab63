package mover

import (
	"math"
)

// The judge gathers evidence that the new pool is worse than the old one, seen in the same windows. Each of its
// processes is an e-detector (Shin, Ramdas, Rinaldo 2022): in every window a bet against "the new pool is no worse"
// multiplies a capital by a factor of mean 1 at the most, where that is true; the capital begins anew at 1 whenever
// it has fallen below. So the mean number of windows up to a false alarm is at least the capital that raises one,
// however often it is looked at. Limiting what one window may win keeps that, and lets no short stall win enough.
//
//   - errors: failed attempts, one by one, against the old pool's share of them and what is allowed beyond it;
//   - service: the part of the worth not answered in time, against the old pool's and the floor;
//   - first, pace: each answer against those of the old pool that are alike, nearest in time: the same class, prompt
//     tokens to read and load. It asks only which is slower by more than the factor allowed, so that no heavy
//     tail and no single long prompt weighs more than any other answer.

// Names of the processes, in the order of Evidence.
const (
	byErrors = iota
	byService
	byFirst
	byPace
	processes
)

var processNames = [processes]string{"errors", "worth in time", "first token", "token pace"}

// bets are the parts of the capital that are staked, one detector each.
var bets = [...]float64{0.2, 0.5, 0.9}

const (
	doubt       = 0.1 // mean advantage, from -1 to 1, that the old pool may have without meaning
	pairsMost   = 24  // answers of the old pool that one of the new is compared with
	pairsLeast  = 4
	keepWindows = 45 // for which the old pool's answers are kept to compare with
	keepMost    = 4096
	loadNear    = 0.12 // difference in load within which answers are alike
	refWindows  = 15   // over which the old pool's share of errors and worth is taken
	refLeast    = 12.0 // flows or attempts that it must rest on; else the longer memory is used
	refFade     = 0.98 // of that memory, a window
)

// Evidence is what a judge holds: the logarithms of its capitals.
type Evidence [processes][len(bets)]float64

// level is the logarithm of the mean capital.
func (e *Evidence) level() float64 {
	sum := 0.0
	for i := range e {
		for _, l := range e[i] {
			sum += math.Exp(min(l, 600))
		}
	}
	return math.Log(sum / float64(processes*len(bets)))
}

// strongest is the process with the most evidence.
func (e *Evidence) strongest() int {
	best, at := math.Inf(-1), 0
	for i := range e {
		for _, l := range e[i] {
			if l > best {
				best, at = l, i
			}
		}
	}
	return at
}

// tally is a share that fades.
type tally struct {
	Bad float64 `json:"bad"`
	All float64 `json:"all"`
}

func (t *tally) add(bad, all float64) {
	t.Bad, t.All = t.Bad*refFade+bad, t.All*refFade+all
}

// share pads against chance by a half of one in one.
func (t tally) share(prior float64) float64 { return (t.Bad + prior) / (t.All + 1) }

// dated is an answer of the old pool with its window.
type dated struct {
	Sample
	at int
}

type judge struct {
	plan     Plan
	evidence Evidence
	// Of the old pool: what it does over the move, and in the last windows.
	longErrors, longLate tally
	errors, late         [refWindows]tally
	old                  []dated
	at                   int // windows seen
}

func newJudge(p Plan) *judge { return &judge{plan: p} }

// limit is the logarithm of the mean capital that raises an alarm.
func (j *judge) limit() float64 { return math.Log(j.plan.Alarm) }

// burst is the most that one window may add to one capital. One that stands alone has to make up for the others'
// parts in the mean too.
func (j *judge) burst() float64 {
	alone := j.limit() + math.Log(float64(processes*len(bets)))
	return alone / float64(windows(j.plan.Stall)+1)
}

// see takes a window in.
func (j *judge) see(w *Window) {
	j.at++
	slot := j.at % refWindows
	j.errors[slot] = tally{float64(w.From.Errors), float64(w.From.Attempts)}
	j.late[slot] = tally{w.From.Asked - w.From.InTime, w.From.Asked}
	j.longErrors.add(float64(w.From.Errors), float64(w.From.Attempts))
	j.longLate.add(w.From.Asked-w.From.InTime, w.From.Asked)
	for _, s := range w.From.Samples {
		j.old = append(j.old, dated{s, j.at})
	}
	drop := max(0, len(j.old)-keepMost)
	for drop < len(j.old) && j.old[drop].at <= j.at-keepWindows {
		drop++
	}
	j.old = j.old[drop:]
	j.betOnErrors(w)
	j.betOnService(w)
	j.betOnAnswers(w)
}

// reference is the old pool's share, of late or over the move.
func reference(recent *[refWindows]tally, long tally, least float64) float64 {
	var sum tally
	for _, t := range recent {
		sum.Bad, sum.All = sum.Bad+t.Bad, sum.All+t.All
	}
	if sum.All >= least {
		return sum.share(0.02)
	}
	return long.share(0.02)
}

// wins adds to a process's capitals what its bets have won in this window.
func (j *judge) wins(process int, won func(bet float64) float64) {
	most := j.burst()
	for i, bet := range bets {
		l := &j.evidence[process][i]
		*l = max(0, *l) + min(most, won(bet))
	}
}

// betOnErrors takes a flow that fell over for a failed attempt, once the new pool is warm: nothing there was fit.
func (j *judge) betOnErrors(w *Window) {
	bad, all := w.To.Errors, w.To.Attempts
	if w.To.Health.Able >= warmEnough*w.To.Health.Size {
		bad, all = bad+w.To.Fallen, all+w.To.Fallen
	}
	if all == 0 {
		return
	}
	usual := min(0.9, reference(&j.errors, j.longErrors, refLeast)+j.plan.Errors)
	j.wins(byErrors, func(bet float64) float64 {
		return float64(bad)*math.Log1p(bet*(1-usual)/usual) + float64(all-bad)*math.Log1p(-bet)
	})
}

func (j *judge) betOnService(w *Window) {
	if w.To.Asked <= 0 {
		return
	}
	usual := reference(&j.late, j.longLate, refLeast*w.To.Asked/float64(max(1, w.To.Flows)))
	allowed := 1 - j.plan.Floor*(1-usual)
	late := 1 - w.To.InTime/w.To.Asked
	j.wins(byService, func(bet float64) float64 {
		return math.Log1p(bet * (late - allowed) / max(allowed, 0.05))
	})
}

func (j *judge) betOnAnswers(w *Window) {
	var first, pace, firsts, paces float64
	for _, s := range w.To.Samples {
		if z, ok := j.compare(s, j.plan.FirstToken, firstOf, alikeToRead); ok {
			first, firsts = first+z, firsts+1
		}
		if s.Gap <= 0 {
			continue
		}
		if z, ok := j.compare(s, j.plan.Pace, gapOf, alikeToMake); ok {
			pace, paces = pace+z, paces+1
		}
	}
	for _, p := range []struct {
		process int
		z, n    float64
	}{{byFirst, first, firsts}, {byPace, pace, paces}} {
		if p.n > 0 {
			z := p.z / p.n
			j.wins(p.process, func(bet float64) float64 { return math.Log1p(bet * (z - doubt) / (1 + doubt)) })
		}
	}
}

func firstOf(s Sample) float64 { return s.First }
func gapOf(s Sample) float64   { return s.Gap }

// alikeToRead: the first token waits for the prompt to be read, behind what else runs.
func alikeToRead(a, b Sample) bool {
	return math.Abs(a.Load-b.Load) <= loadNear && math.Abs(math.Log2((a.Unread+64)/(b.Unread+64))) <= 0.5
}

// alikeToMake: tokens come in steps that take the longer the more runs.
func alikeToMake(a, b Sample) bool {
	return a.Class == b.Class && math.Abs(a.Load-b.Load) <= loadNear
}

// compare is how far an answer is slower than those of the old pool that are alike, from -1 to 1: the part that it is
// slower than, less the part that is slower. Boxes of the same kind are preferred; where the old pool has none, those
// of other kinds serve. false: there are too few.
func (j *judge) compare(s Sample, factor float64, of func(Sample) float64, alike func(a, b Sample) bool) (float64, bool) {
	var z, n [2]float64 // of the same kind; of any
	x := of(s)
	for i := len(j.old) - 1; i >= 0 && n[0] < pairsMost && (n[1] < pairsMost || n[0] > 0); i-- {
		o := j.old[i].Sample
		y := of(o)
		if y <= 0 || !alike(s, o) {
			continue
		}
		sign := 0.0
		if x > factor*y {
			sign = 1
		} else if y > factor*x {
			sign = -1
		}
		if o.Kind == s.Kind {
			z[0], n[0] = z[0]+sign, n[0]+1
		}
		z[1], n[1] = z[1]+sign, n[1]+1
	}
	for k := range z {
		if n[k] >= pairsLeast {
			return z[k] / n[k], true
		}
	}
	return 0, false
}

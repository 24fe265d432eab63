package metrics

import (
	"testing"

	"standpoint/internal/testpeer/golden"
)

// The counters as the console shows them: names, order and form. Each has another value, so that exchanged ones show.
func TestGoldenText(t *testing.T) {
	f := New([]string{"chat", "import"}, func() int { return 70 })
	times := 0
	count := func(what func()) {
		times++
		for range times {
			what()
		}
	}
	for class := range 2 {
		for e := range outcomeCount {
			count(func() { f.CountRequest(class, e) })
		}
	}
	for why := range unsentCauseCount {
		count(func() { f.CountFailedUnsent(why) })
	}
	for why := range silentCloseCauseCount {
		count(func() { f.CountSilentClose(why) })
	}
	count(f.CountAttempt)
	f.SetBackends(80, 81)
	golden.Bytes(t, "figures.txt", f.Text())
}

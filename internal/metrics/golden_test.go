package metrics

import (
	"testing"

	"standpoint/internal/testpeer/golden"
)

// TestGoldenText compares the names, order and format of the counters at the console with a golden file. Each counter
// has a different value, so that exchanged ones show.
func TestGoldenText(t *testing.T) {
	counters := New([]string{"chat", "import"}, func() int { return 70 })
	repetitions := 0
	count := func(increment func()) {
		repetitions++
		for range repetitions {
			increment()
		}
	}
	for class := range 2 {
		for outcome := range outcomeCount {
			count(func() { counters.CountRequest(class, outcome) })
		}
	}
	for cause := range unsentCauseCount {
		count(func() { counters.CountFailedUnsent(cause) })
	}
	for cause := range silentCloseCauseCount {
		count(func() { counters.CountSilentClose(cause) })
	}
	count(counters.CountAttempt)
	counters.SetBackends(80, 81)
	golden.Bytes(t, "figures.txt", counters.Text())
}

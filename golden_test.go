package standpoint

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"standpoint/internal/testpeer/golden"
)

// Guards the stored form of learned state, which a router hands to the process that replaces it.
func TestGoldenLearned(t *testing.T) {
	model := LearnedModel{RelativeError: 0.125, Samples: [][]float32{{1, 2, 3}}}
	for i := range model.Prior {
		model.Prior[i] = float64(i) + 0.5
		model.Coefficients[i] = float64(i) + 0.75
	}
	second := model
	second.RelativeError = 0.25
	learned := Learned{
		Version:              learnedVersion,
		ExportedAt:           11,
		ClassCount:           2,
		KindCount:            3,
		TTFTModels:           []LearnedModel{model},
		TPOTModels:           []LearnedModel{second},
		BaseTPOT:             0.02,
		OutputLengthsKnown:   true,
		ClassTPOTRatios:      []LearnedMean{{Mean: 1.5, Count: 2.5}},
		LongTermTPOTError:    LearnedMean{Mean: 3.5, Count: 4.5},
		RecentTPOTError:      LearnedMean{Mean: 5.5, Count: 6.5},
		DecodeTime:           LearnedMean{Mean: 7.5, Count: 8.5},
		HomeCachedFraction:   []float64{0.5},
		MeanReport:           Report{MemoryUsage: 0.1, PrefillBacklog: 0.2, SlotUsage: 0.3},
		MatchTrust:           0.9,
		CacheFlushAt:         12,
		UsualReadyCount:      13.5,
		RequestRate:          14.5,
		ShedFraction:         0.15,
		RecentValueDensities: []float64{0.16},
		Engines: []LearnedEngine{{
			Name:              "a",
			StartedAt:         17,
			FirstSeenAt:       18,
			Slowness:          0.19,
			TPOTSlowness:      LearnedMean{Mean: 9.5, Count: 10.5},
			ErrorRate:         0.2,
			Suspect:           true,
			Unreachable:       true,
			LastTrialAt:       21,
			Report:            Report{MemoryUsage: 0.4, PrefillBacklog: 0.5, SlotUsage: 0.6},
			ReportAt:          22,
			SlowStartBudget:   23.5,
			SlowStartBudgetAt: 24,
			Reinstated:        true,
		}},
		CachedPrompts: []LearnedPrompt{{Key: 25, Tokens: 26.5, StoredAt: 27}},
	}
	golden.RoundTrip(t, "learned.json", learned,
		func(l Learned) ([]byte, error) { return json.MarshalIndent(l, "", "  ") },
		func(raw []byte) (l Learned, err error) { err = json.Unmarshal(raw, &l); return l, err })
}

// Guards the wire form of the load directory's messages, one line per message.
func TestGoldenDirectoryMessages(t *testing.T) {
	messages := []directoryMessage{
		{kind: directoryQuery, requestID: 1, engineHash: 2, sessionHash: 3, prefixHash: 4},
		{kind: directoryAnswer, requestID: 5, engineHash: 6, tokens: 64,
			load: engineLoad{prefillDelay: 0.5, prefillFraction: 0.25, prefillSpeed: 800}},
		{kind: directoryPromptSent, requestID: 7, engineHash: 8, sessionHash: 9, prefixHash: 10,
			tokens: 160, promptTokens: 320, prefixTokens: 480},
		{kind: directoryPrefillDone, requestID: 11, engineHash: 12},
		{kind: directoryPrefillAborted, requestID: 13, engineHash: 14},
	}
	var lines strings.Builder
	for _, m := range messages {
		fmt.Fprintln(&lines, m.encode())
	}
	golden.Bytes(t, "directory.txt", []byte(lines.String()))
	for i, line := range strings.Fields(lines.String()) {
		decoded, ok := decodeDirectoryMessage(line)
		if !ok || decoded != messages[i] {
			t.Errorf("%s decoded as %+v, want %+v", line, decoded, messages[i])
		}
	}
}

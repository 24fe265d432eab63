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
	model := LearnedModel{Err: 0.125, Samples: [][]float32{{1, 2, 3}}}
	for i := range model.Base {
		model.Base[i] = float64(i) + 0.5
		model.Coef[i] = float64(i) + 0.75
	}
	second := model
	second.Err = 0.25
	learned := Learned{
		Version:  learnedVersion,
		At:       11,
		Classes:  2,
		Kinds:    3,
		TTFT:     []LearnedModel{model},
		Pace:     []LearnedModel{second},
		Gap:      0.02,
		Told:     true,
		Gaps:     []LearnedMean{{Mean: 1.5, N: 2.5}},
		GapUsual: LearnedMean{Mean: 3.5, N: 4.5},
		GapNow:   LearnedMean{Mean: 5.5, N: 6.5},
		Decode:   LearnedMean{Mean: 7.5, N: 8.5},
		Gain:     []float64{0.5},
		Fleet:    Report{MemoryUsage: 0.1, PrefillBacklog: 0.2, SlotUsage: 0.3},
		Trust:    0.9,
		FlushAt:  12,
		Usual:    13.5,
		Rate:     14.5,
		Cut:      0.15,
		Lately:   []float64{0.16},
		Engines: []LearnedEngine{{
			Name:       "a",
			ReadyAt:    17,
			Since:      18,
			Speed:      0.19,
			Drag:       LearnedMean{Mean: 9.5, N: 10.5},
			Sour:       0.2,
			Suspect:    true,
			Down:       true,
			TrialAt:    21,
			Report:     Report{MemoryUsage: 0.4, PrefillBacklog: 0.5, SlotUsage: 0.6},
			ReportAt:   22,
			ColdTokens: 23.5,
			ColdAt:     24,
			Due:        true,
		}},
		Prompts: []LearnedPrompt{{Key: 25, Tokens: 26.5, At: 27}},
	}
	golden.RoundTrip(t, "learned.json", learned,
		func(l Learned) ([]byte, error) { return json.MarshalIndent(l, "", "  ") },
		func(raw []byte) (l Learned, err error) { err = json.Unmarshal(raw, &l); return l, err })
}

// Guards the wire form of the load directory's messages, one line per message.
func TestGoldenDirectoryMessages(t *testing.T) {
	messages := []directoryMessage{
		{kind: directoryAsk, id: 1, engine: 2, session: 3, prefix: 4},
		{kind: directoryAnswer, id: 5, engine: 6, tokens: 64, load: engineLoad{wait: 0.5, reading: 0.25, speed: 800}},
		{kind: directorySent, id: 7, engine: 8, session: 9, prefix: 10, tokens: 160, prompt: 320, shared: 480},
		{kind: directoryRead, id: 11, engine: 12},
		{kind: directoryOver, id: 13, engine: 14},
	}
	var lines strings.Builder
	for _, m := range messages {
		fmt.Fprintln(&lines, m.encode())
	}
	golden.Bytes(t, "directory.txt", []byte(lines.String()))
	for i, line := range strings.Fields(lines.String()) {
		decoded, ok := decodeDirectory(line)
		if !ok || decoded != messages[i] {
			t.Errorf("%s decoded as %+v, want %+v", line, decoded, messages[i])
		}
	}
}

package connectivity

import (
	"fmt"
	"testing"

	"standpoint/internal/testpeer/golden"
)

// The words stand in what operators and the laboratory read.
func TestGoldenWords(t *testing.T) {
	var text []byte
	for _, m := range []State{Joining, Standalone, Majority, Minority, Isolated, Recovering} {
		text = fmt.Appendf(text, "%d %s\n", m, m)
	}
	golden.Bytes(t, "words.txt", text)
}

package site

import (
	"fmt"
	"testing"

	"standpoint/internal/testpeer/golden"
)

// Operators and the test laboratory read the state names, so they do not change.
func TestGoldenStateNames(t *testing.T) {
	var text []byte
	for _, state := range []State{Connected, Suspect, Isolated, Reconciling} {
		text = fmt.Appendf(text, "%d %s\n", state, state)
	}
	golden.Bytes(t, "words.txt", text)
}

package invariant

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer/golden"
)

// The words are keys of what operators read, and labels of what is logged.
func TestGoldenWords(t *testing.T) {
	text := fmt.Appendf(nil, "exit %d\n", ExitCode)
	var g Monitor
	for r := range ruleCount {
		g.Violated(r, "in this test")
		text = fmt.Appendf(text, "%d %s\n", r, r)
		require.EqualValues(t, 1, g.Violations()[r.String()])
	}
	golden.Bytes(t, "words.txt", text)
}

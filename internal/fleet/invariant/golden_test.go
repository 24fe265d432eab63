package invariant

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer/golden"
)

// The words are keys of what operators read, and labels of what is logged.
func TestGoldenWords(t *testing.T) {
	text := fmt.Appendf(nil, "exit %d\n", Exit)
	var g Guard
	for r := range rules {
		g.Broken(r, "in this test")
		text = fmt.Appendf(text, "%d %s\n", r, r)
		require.EqualValues(t, 1, g.Counts()[r.String()])
	}
	golden.Bytes(t, "words.txt", text)
}

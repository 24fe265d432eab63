package invariant

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer/golden"
)

// The rule names are keys in the status that operators read, and values in log lines, so they do not change.
func TestGoldenRuleNames(t *testing.T) {
	text := fmt.Appendf(nil, "exit %d\n", ExitCode)
	var monitor Monitor
	for rule := range ruleCount {
		monitor.RecordViolation(rule, "in this test")
		text = fmt.Appendf(text, "%d %s\n", rule, rule)
		require.EqualValues(t, 1, monitor.Violations()[rule.String()])
	}
	golden.Bytes(t, "words.txt", text)
}

package backend

import (
	"testing"

	"github.com/stretchr/testify/require"

	"standpoint"
)

// The last events tell the tokens found kept and made, and the load; a report that is half readable tells nothing.
func TestAnswerSummary(t *testing.T) {
	var end responseSummary
	require.NoError(
		t,
		end.scan([]byte(`data: {"usage":{"completion_tokens":7,"prompt_tokens_details":{"cached_tokens":4}}}`+
			"\n\ndata: [DONE]\n\n: Endpoint-Load-Metrics: TEXT x0=0.25, x1=1.5, util=0.5\n\n")),
	)
	require.NoError(t, end.scan([]byte(": Endpoint-Load-Metrics: TEXT x0=0.5, x1=inf\n\n")))
	require.Equal(
		t,
		responseSummary{
			cachedTokens: 4,
			outputTokens: 7,
			report:       &standpoint.Report{MemoryUsage: 0.25, PrefillBacklog: 1.5, SlotUsage: 0.5},
			done:         true,
			events:       2,
		},
		end,
	)
	require.Error(t, end.scan([]byte("data: {}\n\n")), "behind the last")
}

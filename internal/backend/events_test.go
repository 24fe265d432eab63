package backend

import (
	"testing"

	"github.com/stretchr/testify/require"

	"standpoint"
)

// The last events report the cached and generated tokens and the load. A load report with an invalid value is ignored.
func TestResponseSummary(t *testing.T) {
	var summary responseSummary
	require.NoError(
		t,
		summary.scan([]byte(`data: {"usage":{"completion_tokens":7,"prompt_tokens_details":{"cached_tokens":4}}}`+
			"\n\ndata: [DONE]\n\n: Endpoint-Load-Metrics: TEXT x0=0.25, x1=1.5, util=0.5\n\n")),
	)
	require.NoError(t, summary.scan([]byte(": Endpoint-Load-Metrics: TEXT x0=0.5, x1=inf\n\n")))
	require.Equal(
		t,
		responseSummary{
			cachedTokens: 4,
			outputTokens: 7,
			report:       &standpoint.Report{MemoryUsage: 0.25, PrefillBacklog: 1.5, SlotUsage: 0.5},
			done:         true,
			events:       2,
		},
		summary,
	)
	require.Error(t, summary.scan([]byte("data: {}\n\n")), "event after the last")
}

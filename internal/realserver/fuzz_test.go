package realserver

import (
	"math"
	"testing"
)

// Whatever a real server writes into its events, what is believed of it is a number within bounds.
func FuzzEvents(f *testing.F) {
	for _, s := range []string{
		"data: {\"choices\":[]}\n\ndata: {\"usage\":{\"completion_tokens\":200,\"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\ndata: [DONE]\n\n",
		"data: {\"usage\":{\"completion_tokens\":-1e308,\"prompt_tokens_details\":{\"cached_tokens\":1e308}}}\n\n",
		": Endpoint-Load-Metrics: TEXT x0=0.4, x1=1.2, util=0.61\n\n",
		": Endpoint-Load-Metrics: TEXT x0=Inf, x1=0x1p99, util=-0\n\n: note\nevent: x\nid: 1\nretry: 5\r\n\r\n",
		"data: [DONE]\n\ndata: {}\n\n", "data:\n", "\x00",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var end tail
		_ = end.note(raw)
		all := []float64{end.kept, end.tokens}
		for _, r := range []string{string(raw), "TEXT " + string(raw)} {
			if r := parseReport(r); r != nil {
				all = append(all, r.Memory, r.Unread, r.Slots)
			}
		}
		if end.report != nil {
			all = append(all, end.report.Memory, end.report.Unread, end.report.Slots)
		}
		for _, v := range all {
			if math.IsNaN(v) || v < 0 || v > countMost {
				t.Fatalf("believed: %v", v)
			}
		}
	})
}

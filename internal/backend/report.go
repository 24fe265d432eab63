package backend

import (
	"strconv"
	"strings"

	"standpoint"
)

// LoadHeader is the name of the load report, as a header and in the comment line at a stream's end.
const LoadHeader = "Endpoint-Load-Metrics"

// parseReport parses a load report in its text form: TEXT x0=0.4, x1=1.2, util=0.61. It is nil if there is none, or
// it is not readable: half a report would pass for a load that nobody reported.
func parseReport(s string) *standpoint.Report {
	s, ok := strings.CutPrefix(strings.TrimSpace(s), "TEXT ")
	if !ok {
		return nil
	}
	var r standpoint.Report
	found := false
	for _, pair := range strings.Split(s, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		to := map[string]*float64{"x0": &r.MemoryUsage, "x1": &r.PrefillBacklog, "util": &r.SlotUsage, "load_share": &r.SlotUsage}[name]
		if to == nil {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= maxReportValue) {
			return nil
		}
		*to = v
		found = true
	}
	if !found {
		return nil
	}
	return &r
}

// maxReportValue is above any load: the largest is thousands of unread tokens.
const maxReportValue = 1e6

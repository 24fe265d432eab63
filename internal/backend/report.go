package backend

import (
	"strconv"
	"strings"

	"standpoint"
)

// LoadHeader is the name of the response header with a backend's load report. The comment line with the report at the
// end of a stream has the same name.
const LoadHeader = "Endpoint-Load-Metrics"

// parseReport parses a load report in its text form: TEXT x0=0.4, x1=1.2, util=0.61. It returns nil if there is no
// report or any of its values is invalid, since a partial report would stand for a load that the backend did not
// report.
func parseReport(s string) *standpoint.Report {
	s, ok := strings.CutPrefix(strings.TrimSpace(s), "TEXT ")
	if !ok {
		return nil
	}
	var r standpoint.Report
	found := false
	for _, pair := range strings.Split(s, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		target := map[string]*float64{
			"x0":         &r.MemoryUsage,
			"x1":         &r.PrefillBacklog,
			"util":       &r.SlotUsage,
			"load_share": &r.SlotUsage,
		}[name]
		if target == nil {
			continue
		}
		number, err := strconv.ParseFloat(value, 64)
		if err != nil || !(number >= 0 && number <= maxReportValue) {
			return nil
		}
		*target = number
		found = true
	}
	if !found {
		return nil
	}
	return &r
}

// maxReportValue is the maximum of a value in a load report. It is above any actual load: the largest is a prefill
// backlog of thousands of tokens.
const maxReportValue = 1e6

package metrics

import (
	"bytes"
	"fmt"
)

// Text returns all counters in the format of the console: one line "name=value" for each.
func (c *Counters) Text() []byte {
	var text bytes.Buffer
	for _, class := range c.Classes() {
		for outcome, name := range OutcomeNames {
			fmt.Fprintf(&text, "app.calls.%s.%s=%d\n", class.Name, name, class.Count(Outcome(outcome)))
		}
	}
	fmt.Fprintf(&text, "app.backend_calls=%d\n", c.Attempts())
	fmt.Fprintf(&text, "app.inflight=%d\n", c.OpenRequests())
	fmt.Fprintf(&text, "app.hosts_listed=%d\n", c.Listed())
	fmt.Fprintf(&text, "app.hosts_down=%d\n", c.Avoided())
	for cause, name := range UnsentCauseNames {
		fmt.Fprintf(&text, "app.failed_unsent.%s=%d\n", name, c.FailedUnsentCount(UnsentCause(cause)))
	}
	for cause, name := range SilentCloseCauseNames {
		fmt.Fprintf(&text, "app.closed_unheard.%s=%d\n", name, c.SilentCloseCount(SilentCloseCause(cause)))
	}
	return text.Bytes()
}

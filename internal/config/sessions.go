package config

import (
	"slices"
	"time"
)

// What happens to an answer that calls a tool.
const (
	ToolPause       = "pause"  // the session pauses until the result comes
	ToolPassThrough = "keep"   // the call is passed on, and the session goes on
	ToolReject      = "refuse" // the request fails
)

var toolActions = []string{ToolPause, ToolPassThrough, ToolReject}

// Tool is a [[tool]] that the model may call.
type Tool struct {
	Name          string   `toml:"name"`
	Action        string   `toml:"does"`      // ToolPause, ToolPassThrough or ToolReject
	ResultTimeout Duration `toml:"wait"`      // after which a paused session ends
	MaxResultKB   int      `toml:"result_kb"` // KiB
	Class         string   `toml:"class"`     // of the requests that continue the session; "" for its own
}

// Sessions is the section [sessions]: the bounds of paused sessions. Without a [[tool]] no session pauses.
type Sessions struct {
	MaxPaused          int      `toml:"most"`        // paused or claimed at once, over all nodes
	MaxPausedPerTenant int      `toml:"most_tenant"` // likewise, of one tenant
	Retention          Duration `toml:"keep"`        // of the record of a session that has ended
	DecodeTimeout      Duration `toml:"decode"`      // in which the answer to a result must have been decoded
	ResumeRate         float64  `toml:"resumes"`     // a second, at each node
}

func (t *Tool) setDefaults() {
	setDefault(&t.Action, ToolPause)
	setDefault(&t.ResultTimeout, Duration(30*time.Second))
	setDefault(&t.MaxResultKB, 64)
}

func (s *Sessions) setDefaults() {
	setDefault(&s.MaxPaused, 10_000)
	setDefault(&s.MaxPausedPerTenant, max(1, s.MaxPaused/2))
	setDefault(&s.Retention, Duration(10*time.Minute))
	setDefault(&s.DecodeTimeout, Duration(time.Minute))
	setDefault(&s.ResumeRate, 50)
}

// validateTools completes and validates the tools and [sessions], where there are tools.
func (o *OperatorFile) validateTools() error {
	if len(o.Tools) == 0 {
		return nil
	}
	o.Sessions.setDefaults()
	seen := map[string]bool{}
	for i := range o.Tools {
		t := &o.Tools[i]
		t.setDefaults()
		if t.Name == "" || seen[t.Name] {
			return keyError(indexed("tool", i, "name"), "%q is missing, or there twice", t.Name)
		}
		seen[t.Name] = true
		if err := o.validateTool(i); err != nil {
			return err
		}
	}
	return o.validateSessions()
}

func (o *OperatorFile) validateTool(i int) error {
	t := &o.Tools[i]
	key := func(name string) string { return indexed("tool", i, name) }
	switch {
	case !slices.Contains(toolActions, t.Action):
		return keyError(key("does"), "%q is none of \"pause\", \"keep\" and \"refuse\"", t.Action)
	case !t.ResultTimeout.between(100*time.Millisecond, 24*time.Hour):
		return keyError(key("wait"), "%v is not from 100ms to 24h", time.Duration(t.ResultTimeout))
	case !between(t.MaxResultKB, 1, 256):
		return keyError(key("result_kb"), "%d is not from 1 to 256", t.MaxResultKB)
	case t.Class != "" && !o.hasClass(t.Class):
		return keyError(key("class"), "%q is no class of this file", t.Class)
	}
	return nil
}

func (o *OperatorFile) validateSessions() error {
	s := &o.Sessions
	switch {
	case !between(s.MaxPaused, 1, 100_000):
		return keyError("sessions.most", "%d is not from 1 to 100,000", s.MaxPaused)
	case s.MaxPausedPerTenant < 1:
		return keyError("sessions.most_tenant", "%d is not positive", s.MaxPausedPerTenant)
	case !s.Retention.between(time.Second, 24*time.Hour):
		return keyError("sessions.keep", "%v is not from 1s to 24h", time.Duration(s.Retention))
	case !s.DecodeTimeout.between(5*time.Second, time.Hour) || s.DecodeTimeout <= 4*o.Fleet.ClockError:
		return keyError("sessions.decode", "%v is not from 5s to 1h, or not well over fleet.clock_error",
			time.Duration(s.DecodeTimeout))
	case !between(s.ResumeRate, 0, 10_000) || s.ResumeRate == 0:
		return keyError("sessions.resumes", "%g is not from 0 to 10,000 a second", s.ResumeRate)
	case o.Fleet.Listen == "":
		return keyError("tool", "sessions that pause need a [fleet]: fleet.listen is missing")
	}
	return nil
}

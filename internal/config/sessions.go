package config

import (
	"slices"
	"time"
)

// Actions for a response that calls a tool.
const (
	ToolPause       = "pause"  // the session pauses until the result of the call arrives
	ToolPassThrough = "keep"   // the call is passed on to the client, and the session does not pause
	ToolReject      = "refuse" // the request fails
)

var toolActions = []string{ToolPause, ToolPassThrough, ToolReject}

// Tool is a [[tool]] that the model may call.
type Tool struct {
	Name          string   `toml:"name"`
	Action        string   `toml:"does"`      // ToolPause, ToolPassThrough or ToolReject
	ResultTimeout Duration `toml:"wait"`      // time without a result after which a paused session ends
	MaxResultKB   int      `toml:"result_kb"` // maximum size of a result, in KiB
	Class         string   `toml:"class"`     // class of the requests that resume the session; "" for its own class
}

// Sessions is the section [sessions]: the limits of paused sessions. Without a [[tool]] no session pauses.
type Sessions struct {
	MaxPaused          int      `toml:"most"`        // maximum number of paused or claimed sessions, over all nodes
	MaxPausedPerTenant int      `toml:"most_tenant"` // maximum number of them for one tenant
	Retention          Duration `toml:"keep"`        // time for which the record of an ended session is retained
	DecodeTimeout      Duration `toml:"decode"`      // time within which the response to a result must be complete
	ResumeRate         float64  `toml:"resumes"`     // maximum number of resumed sessions per second at each node
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

// validateTools sets the defaults of the tools and of [sessions] and validates them, if there are tools.
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
			return keyError(indexed("tool", i, "name"), "%q is empty or a duplicate", t.Name)
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
		return keyError(key("does"), "%q is not one of \"pause\", \"keep\", \"refuse\"", t.Action)
	case !t.ResultTimeout.between(100*time.Millisecond, 24*time.Hour):
		return keyError(key("wait"), "%v is not from 100ms to 24h", time.Duration(t.ResultTimeout))
	case !between(t.MaxResultKB, 1, 256):
		return keyError(key("result_kb"), "%d is not from 1 to 256", t.MaxResultKB)
	case t.Class != "" && !o.hasClass(t.Class):
		return keyError(key("class"), "%q is not among the class names", t.Class)
	}
	return nil
}

func (o *OperatorFile) validateSessions() error {
	s := &o.Sessions
	switch {
	case !between(s.MaxPaused, 1, 100_000):
		return keyError("sessions.most", "%d is not from 1 to 100000", s.MaxPaused)
	case s.MaxPausedPerTenant < 1:
		return keyError("sessions.most_tenant", "%d is not positive", s.MaxPausedPerTenant)
	case !s.Retention.between(time.Second, 24*time.Hour):
		return keyError("sessions.keep", "%v is not from 1s to 24h", time.Duration(s.Retention))
	case !s.DecodeTimeout.between(5*time.Second, time.Hour) || s.DecodeTimeout <= 4*o.Fleet.ClockError:
		return keyError("sessions.decode", "%v is not from 5s to 1h, or not more than 4 times fleet.clock_error",
			time.Duration(s.DecodeTimeout))
	case !between(s.ResumeRate, 0, 10_000) || s.ResumeRate == 0:
		return keyError("sessions.resumes", "%g is not above 0 and at most 10000 per second", s.ResumeRate)
	case o.Fleet.Listen == "":
		return keyError("tool", "requires [fleet], but fleet.listen is missing")
	}
	return nil
}

package service

import (
	"bytes"
	"slices"
	"time"
)

// ToolAction is the action taken when the model calls a tool.
type ToolAction uint8

// The actions.
const (
	PauseSession ToolAction = iota // stops the decoding; the session waits for the result
	PassThrough                    // forwards the call to the client and continues the decoding
	RejectCall                     // ends the response with an error
)

// Tool is a tool from the operator's configuration.
type Tool struct {
	Name           string
	Action         ToolAction
	ResultTimeout  time.Duration // maximum wait for the result
	MaxResultBytes int           // maximum size of the result
	Class          int           // class in which the session is resumed; -1 keeps the session's class
}

// tool returns the configured tool with a name, nil if there is none.
func (s *Service) tool(name string) *Tool {
	i := slices.IndexFunc(s.Tools, func(t Tool) bool { return t.Name == name })
	if i < 0 {
		return nil
	}
	return &s.Tools[i]
}

// InspectsResponse reports whether a hook has to inspect the response to a request: tools are configured, and the
// request's body contains tools.
func (s *Service) InspectsResponse(body []byte) bool {
	return len(s.Tools) > 0 && bytes.Contains(body, []byte(`"tools"`))
}

package service

import (
	"bytes"
	"slices"
	"time"
)

// ToolAction is what happens at a call of a tool.
type ToolAction uint8

// What a call may do.
const (
	PauseSession ToolAction = iota // the decoding ends, and the session waits for the result
	PassThrough                    // the decoding continues, and the client sees the call
	RejectCall                     // the answer ends there
)

// Tool is a tool that the operator's file names.
type Tool struct {
	Name           string
	Action         ToolAction
	ResultTimeout  time.Duration // the longest wait for its result
	MaxResultBytes int
	Class          int // by whose rules the session is resumed; -1: by its own
}

// tool returns the tool of a name, nil where the operator's file names none.
func (s *Service) tool(name string) *Tool {
	i := slices.IndexFunc(s.Tools, func(t Tool) bool { return t.Name == name })
	if i < 0 {
		return nil
	}
	return &s.Tools[i]
}

// InspectsResponse reports whether the answer to a request is inspected by a hook: the request's body names tools.
func (s *Service) InspectsResponse(body []byte) bool {
	return len(s.Tools) > 0 && bytes.Contains(body, []byte(`"tools"`))
}

package service

import (
	"encoding/json"

	"standpoint/internal/fleet/session"
)

const (
	maxBodyBytes       = 256 << 10 // of a rebuilt request, as of any
	maxDecodedBytes    = 4 << 20   // of a record's data, decompressed
	charactersPerToken = 4
)

// continuation is what a node needs to resume a session: the data of its record, as compressed JSON.
type continuation struct {
	Body           json.RawMessage `json:"body"` // the request's, with all messages up to the call
	Class          int             `json:"class"`
	Tenant         int             `json:"tenant"`
	Session        uint64          `json:"session"`
	Prefix         uint64          `json:"prefix"`
	PrefixTokens   float64         `json:"shared"`
	MaxTokens      float64         `json:"most"`   // that are left for the answer
	Backend        string          `json:"server"` // that decoded the session last
	BackendStart   int64           `json:"start"`
	PromptTokens   float64         `json:"prompt"`   // that the backend has read and produced
	ProducedTokens float64         `json:"produced"` // of all parts, each charged by the node that produced it
	Parts          int             `json:"parts"`    // times that the session was paused
	MaxResultBytes int             `json:"result"`   // of all results together
}

// encode returns a continuation as a record holds it.
func (s *Service) encode(c continuation) ([]byte, error) {
	raw, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	return s.compressor.EncodeAll(raw, nil), nil
}

func (s *Service) decode(data []byte) (continuation, error) {
	var c continuation
	raw, err := s.decompressor.DecodeAll(data, nil)
	if err == nil {
		err = json.Unmarshal(raw, &c)
	}
	return c, err
}

// appendMessages returns a request's body with messages added, otherwise unchanged. The error is session.ErrTooLarge
// where it would be larger than a request may be.
func appendMessages(body []byte, added ...any) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(fields["messages"], &messages); err != nil {
		return nil, err
	}
	for _, message := range added {
		raw, err := json.Marshal(message)
		if err != nil {
			return nil, err
		}
		messages = append(messages, raw)
	}
	var err error
	if fields["messages"], err = json.Marshal(messages); err != nil {
		return nil, err
	}
	raw, err := json.Marshal(fields)
	if err == nil && len(raw) > maxBodyBytes {
		err = session.ErrTooLarge
	}
	return raw, err
}

// tokensOf estimates the tokens of a text by its length in characters.
func tokensOf(characters int) float64 {
	return float64((characters + charactersPerToken - 1) / charactersPerToken)
}

package service

import (
	"encoding/json"

	"standpoint/internal/fleet/session"
)

const (
	maxBodyBytes       = 256 << 10 // maximum size of a rebuilt request's body, the same as of any request
	maxDecodedBytes    = 4 << 20   // maximum size of a record's data after decompression
	charactersPerToken = 4         // estimate
)

// continuation is what a node needs to resume a session. It is stored as compressed JSON in the data of the session's
// record.
type continuation struct {
	Body           json.RawMessage `json:"body"` // body of the request, with all messages up to the calls
	Class          int             `json:"class"`
	Tenant         int             `json:"tenant"`
	Session        uint64          `json:"session"`
	Prefix         uint64          `json:"prefix"`
	PrefixTokens   float64         `json:"shared"`
	MaxTokens      float64         `json:"most"`     // tokens that remain for the response
	Backend        string          `json:"server"`   // backend that last decoded the session
	BackendStart   int64           `json:"start"`    // start time of the backend in Unix nanoseconds; 0 if not known
	PromptTokens   float64         `json:"prompt"`   // tokens that the backend has read and produced so far
	ProducedTokens float64         `json:"produced"` // tokens of all parts, each charged by the node that produced it
	PauseCount     int             `json:"parts"`    // number of times that the session has paused
	MaxResultBytes int             `json:"result"`   // maximum size of all results together
}

// encode encodes and compresses a continuation.
func (s *Service) encode(c continuation) ([]byte, error) {
	raw, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	return s.compressor.EncodeAll(raw, nil), nil
}

// decode decompresses and decodes a continuation.
func (s *Service) decode(data []byte) (continuation, error) {
	var c continuation
	raw, err := s.decompressor.DecodeAll(data, nil)
	if err == nil {
		err = json.Unmarshal(raw, &c)
	}
	return c, err
}

// appendMessages returns a request's body with messages appended and all other fields unchanged. The error is
// session.ErrTooLarge if the result exceeds maxBodyBytes.
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

// tokensOf estimates the number of tokens in a text from its length in characters.
func tokensOf(characters int) float64 {
	return float64((characters + charactersPerToken - 1) / charactersPerToken)
}

package batch

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// maxResponseBytes is the maximum size of a response's text.
const maxResponseBytes = 4 << 20

var (
	errResponseTooLarge = errors.New("response is larger than 4 MiB")

	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
	jsonNull   = []byte("null")
)

// responseCollector is the client connection of a line's request: it assembles a streamed response. It implements
// node.ClientConnection.
type responseCollector struct {
	content      bytes.Buffer
	model        string
	finishReason string
	usage        json.RawMessage
}

// responseChunk holds the fields of an event that the responseCollector uses.
type responseChunk struct {
	Model   string `json:"model"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
	Usage json.RawMessage `json:"usage"`
}

// Begin implements node.ClientConnection.
func (c *responseCollector) Begin() error { return nil }

// Event implements node.ClientConnection.
func (c *responseCollector) Event(event []byte) error {
	for line := range bytes.Lines(event) {
		data, ok := bytes.CutPrefix(line, dataPrefix)
		data = bytes.TrimSpace(data)
		if !ok || bytes.Equal(data, doneMarker) {
			continue
		}
		var chunk responseChunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return fmt.Errorf("decode event of a response: %w", err)
		}
		c.add(&chunk)
		if c.content.Len() > maxResponseBytes {
			return errResponseTooLarge
		}
	}
	return nil
}

func (c *responseCollector) add(chunk *responseChunk) {
	if chunk.Model != "" {
		c.model = chunk.Model
	}
	if len(chunk.Usage) > 0 && !bytes.Equal(chunk.Usage, jsonNull) {
		c.usage = chunk.Usage
	}
	for _, choice := range chunk.Choices {
		c.content.WriteString(choice.Delta.Content)
		if choice.Finish != nil {
			c.finishReason = *choice.Finish
		}
	}
}

// completion is a chat completion object as in a response that is not streamed.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"` // Unix seconds
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   json.RawMessage    `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completion returns the response as one chat completion object. model is the requested model, which is used if the
// response names none. created is in Unix seconds.
func (c *responseCollector) completion(id, model string, created int64) (json.RawMessage, error) {
	if c.model != "" {
		model = c.model
	}
	message := completionMessage{Role: "assistant", Content: c.content.String()}
	return json.Marshal(completion{
		ID:      "chatcmpl-" + id,
		Object:  "chat.completion",
		Created: created,
		Model:   model,
		Choices: []completionChoice{{Index: 0, Message: message, FinishReason: c.finishReason}},
		Usage:   c.usage,
	})
}

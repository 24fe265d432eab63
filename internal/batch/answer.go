package batch

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

const maxAnswerBytes = 4 << 20

var (
	errAnswerTooLarge = errors.New("the answer is larger than 4 MiB")

	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
	jsonNull   = []byte("null")
)

// collector is the client connection of a line: it puts a streamed answer together. It implements
// node.ClientConnection.
type collector struct {
	content bytes.Buffer
	model   string
	finish  string
	usage   json.RawMessage
}

// answerChunk is what the collector reads of an event.
type answerChunk struct {
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
func (c *collector) Begin() error { return nil }

// Event implements node.ClientConnection.
func (c *collector) Event(event []byte) error {
	for line := range bytes.Lines(event) {
		data, ok := bytes.CutPrefix(line, dataPrefix)
		data = bytes.TrimSpace(data)
		if !ok || bytes.Equal(data, doneMarker) {
			continue
		}
		var chunk answerChunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return fmt.Errorf("event of an answer: %w", err)
		}
		c.add(&chunk)
		if c.content.Len() > maxAnswerBytes {
			return errAnswerTooLarge
		}
	}
	return nil
}

func (c *collector) add(chunk *answerChunk) {
	if chunk.Model != "" {
		c.model = chunk.Model
	}
	if len(chunk.Usage) > 0 && !bytes.Equal(chunk.Usage, jsonNull) {
		c.usage = chunk.Usage
	}
	for _, choice := range chunk.Choices {
		c.content.WriteString(choice.Delta.Content)
		if choice.Finish != nil {
			c.finish = *choice.Finish
		}
	}
}

// completion is a chat completion as a backend answers that does not stream.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"` // Unix seconds
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   json.RawMessage    `json:"usage,omitempty"`
}

type completionChoice struct {
	Index   int               `json:"index"`
	Message completionMessage `json:"message"`
	Finish  string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completion returns the answer as one chat completion. model is the request's, for an answer that names none.
func (c *collector) completion(id, model string, created int64) (json.RawMessage, error) {
	if c.model != "" {
		model = c.model
	}
	message := completionMessage{Role: "assistant", Content: c.content.String()}
	return json.Marshal(completion{
		ID:      "chatcmpl-" + id,
		Object:  "chat.completion",
		Created: created,
		Model:   model,
		Choices: []completionChoice{{Index: 0, Message: message, Finish: c.finish}},
		Usage:   c.usage,
	})
}

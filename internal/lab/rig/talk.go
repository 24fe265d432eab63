package rig

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// message is one message of a conversation.
type message struct {
	Role      string `json:"role"`
	Content   string `json:"content"`
	ToolCalls []struct {
		ID       string `json:"id"`
		Function struct {
			Name      string `json:"name"`
			Arguments string `json:"arguments"`
		} `json:"function"`
	} `json:"tool_calls"`
	ToolCallID string `json:"tool_call_id"`
}

// parseConversation parses the first message of a conversation that calls tools. It returns the conversation's name and
// the number of its turns that end in tool calls, which the last turn follows. ok reports whether it is such a message.
func parseConversation(content string) (name string, callingTurns int, ok bool) {
	n, err := fmt.Sscanf(content, "talk %s calls %d", &name, &callingTurns)
	return name, callingTurns, err == nil && n == 2
}

// tokenText returns a token of a turn. Each token has four characters, which nodes count as one token.
func tokenText(turn, i int) string { return fmt.Sprintf("%d%02d ", turn%10, i%100) }

// turnText returns the text of a turn. Backends and clients derive it from the conversation's name and the turn's
// number, so that they notice lost and duplicated parts of it.
func turnText(name string, turn int) string {
	var b strings.Builder
	for i := range 5 + (len(name)*3+turn*7)%20 {
		b.WriteString(tokenText(turn, i))
	}
	return b.String()
}

// callID returns the id of the n-th tool call of a turn, from 0.
func callID(name string, turn, n int) string { return fmt.Sprintf("call-%s-%d-%d", name, turn, n) }

// toolCallCount returns the number of tool calls at the end of a turn: one or two.
func toolCallCount(turn int) int { return 1 + turn%2 }

// toolResult returns the result of the n-th tool call of a turn, from 0.
func toolResult(name string, turn, n int) string {
	return fmt.Sprintf("result %d of %s, part %d", n, name, turn)
}

// toolWaitTime is how long a backend keeps a response open after its tool calls if nobody ends the request, as a
// backend does that waits for its tool.
const toolWaitTime = 4 * time.Second

// serveTurn streams the next turn of a conversation: its text, then either tool calls or, in the last turn, the end.
// Before that it compares the prompt with what the conversation must consist of so far.
func (b *Backend) serveTurn(w http.ResponseWriter, r *http.Request, name string, callingTurns int, prompt []message) {
	turn, wrong := 0, ""
	next := 1
	for next < len(prompt) {
		m := prompt[next]
		next++
		if m.Role != "assistant" || m.Content != turnText(name, turn) || len(m.ToolCalls) != toolCallCount(turn) {
			wrong = fmt.Sprintf("%s: text of turn %d is %q with %d tool calls", name, turn, m.Content, len(m.ToolCalls))
			break
		}
		for i := range toolCallCount(turn) {
			if next >= len(prompt) || prompt[next].Role != "tool" || prompt[next].ToolCallID != callID(name, turn, i) ||
				prompt[next].Content != toolResult(name, turn, i) {
				wrong = fmt.Sprintf("%s: result %d of turn %d is missing or wrong", name, i, turn)
				break
			}
			next++
		}
		turn++
	}
	record := b.Record
	record.mu.Lock()
	record.Turns++
	if wrong != "" {
		record.WrongPrompts = append(record.WrongPrompts, wrong)
	}
	if record.decoding[name]++; record.decoding[name] > 1 {
		record.ConcurrentDecodes = append(record.ConcurrentDecodes, fmt.Sprintf("%s, turn %d", name, turn))
	}
	record.mu.Unlock()
	defer func() {
		record.mu.Lock()
		record.decoding[name]--
		record.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	writeEvent := func(format string, args ...any) bool {
		_, err := fmt.Fprintf(w, "data: "+format+"\n\n", args...)
		w.(http.Flusher).Flush()
		return err == nil
	}
	text := turnText(name, turn)
	for i := 0; i < len(text); i += 4 {
		if !writeEvent(`{"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`, text[i:i+4]) {
			return
		}
		select {
		case <-time.After(b.TokenInterval):
		case <-r.Context().Done():
			return
		}
	}
	if turn >= callingTurns {
		record.mu.Lock()
		record.SessionTokens[name] += len(text) / 4
		record.mu.Unlock()
		writeEvent(`{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`)
		writeEvent(
			`{"choices":[],"usage":{"prompt_tokens":10,"completion_tokens":%d,`+
				`"prompt_tokens_details":{"cached_tokens":0}}}`,
			len(text)/4,
		)
		writeEvent("[DONE]")
		return
	}
	record.mu.Lock()
	record.SessionTokens[name] += len(text) / 4
	record.mu.Unlock()
	for i := range toolCallCount(turn) {
		writeEvent(
			`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":%d,"id":%q,"type":"function",`+
				`"function":{"name":"hours","arguments":""}}]},"finish_reason":null}]}`,
			i,
			callID(name, turn, i),
		)
	}
	writeEvent(`{"choices":[{"index":0,"delta":{},"finish_reason":"tool_calls"}]}`)
	select { // the request stays in flight while its tool calls run
	case <-time.After(toolWaitTime):
	case <-r.Context().Done():
	}
}

package rig

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// message is one of a conversation.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
	Calls   []struct {
		ID       string `json:"id"`
		Function struct {
			Name      string `json:"name"`
			Arguments string `json:"arguments"`
		} `json:"function"`
	} `json:"tool_calls"`
	Answers string `json:"tool_call_id"`
}

// talk reads the first message of a conversation that calls tools: its name, and how many parts it has before the last.
func talk(content string) (name string, calls int, ok bool) {
	n, err := fmt.Sscanf(content, "talk %s calls %d", &name, &calls)
	return name, calls, err == nil && n == 2
}

// word is one token of a part of a talk, four characters as the page counts them.
func word(part, i int) string { return fmt.Sprintf("%d%02d ", part%10, i%100) }

// partText is what a part of a talk says: all know it, so that nothing of it can be lost or doubled unseen.
func partText(name string, part int) string {
	var b strings.Builder
	for i := range 5 + (len(name)*3+part*7)%20 {
		b.WriteString(word(part, i))
	}
	return b.String()
}

func callID(name string, part, k int) string { return fmt.Sprintf("call-%s-%d-%d", name, part, k) }

// callsOf is how many tools a part calls at its end: one or two.
func callsOf(part int) int { return 1 + part%2 }

func result(name string, part, k int) string {
	return fmt.Sprintf("result %d of %s, part %d", k, name, part)
}

// holdTime is for how long a box goes on with a call that nobody ends, as one does that waits for its tool.
const holdTime = 4 * time.Second

// talk answers the next part of a conversation: some words, and calls of tools or the end. Before that it holds the
// prompt against what the conversation must have come to.
func (b *Backend) talk(w http.ResponseWriter, r *http.Request, name string, calls int, all []message) {
	part, wrong := 0, ""
	at := 1
	for at < len(all) {
		m := all[at]
		at++
		if m.Role != "assistant" || m.Content != partText(name, part) || len(m.Calls) != callsOf(part) {
			wrong = fmt.Sprintf("%s: part %d is %q with %d calls", name, part, m.Content, len(m.Calls))
			break
		}
		for k := range callsOf(part) {
			if at >= len(all) || all[at].Role != "tool" || all[at].Answers != callID(name, part, k) ||
				all[at].Content != result(name, part, k) {
				wrong = fmt.Sprintf("%s: result %d of part %d is missing or another", name, k, part)
				break
			}
			at++
		}
		part++
	}
	l := b.Ledger
	l.mu.Lock()
	l.Parts++
	if wrong != "" {
		l.Wrong = append(l.Wrong, wrong)
	}
	if l.decoding[name]++; l.decoding[name] > 1 {
		l.Double = append(l.Double, fmt.Sprintf("%s, part %d", name, part))
	}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.decoding[name]--
		l.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	say := func(format string, args ...any) bool {
		_, err := fmt.Fprintf(w, "data: "+format+"\n\n", args...)
		w.(http.Flusher).Flush()
		return err == nil
	}
	text := partText(name, part)
	for i := 0; i < len(text); i += 4 {
		if !say(`{"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`, text[i:i+4]) {
			return
		}
		select {
		case <-time.After(b.Token):
		case <-r.Context().Done():
			return
		}
	}
	if part >= calls {
		l.mu.Lock()
		l.Tokens[name] += len(text) / 4
		l.mu.Unlock()
		say(`{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`)
		say(
			`{"choices":[],"usage":{"prompt_tokens":10,"completion_tokens":%d,"prompt_tokens_details":{"cached_tokens":0}}}`,
			len(text)/4,
		)
		say("[DONE]")
		return
	}
	l.mu.Lock()
	l.Tokens[name] += len(text) / 4
	l.mu.Unlock()
	for k := range callsOf(part) {
		say(
			`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":%d,"id":%q,"type":"function","function":{"name":"hours","arguments":""}}]},"finish_reason":null}]}`,
			k,
			callID(name, part, k),
		)
	}
	say(`{"choices":[{"index":0,"delta":{},"finish_reason":"tool_calls"}]}`)
	select { // its place is held while it waits
	case <-time.After(holdTime):
	case <-r.Context().Done():
	}
}

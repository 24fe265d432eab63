package batch

import (
	"encoding/json"
	"math"
	"testing"
)

// Whatever a file holds, each line is a task with its flow, or has a fault that names a line of the file.
func FuzzLines(f *testing.F) {
	const good = `{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"m","messages":[{"content":"x"},{"content":[1]}],"max_tokens":5,"metadata":{"class":"chat"}}}`
	for _, s := range []string{good, good + "\n" + good, "{not json\n\r\n\x00", `{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"messages":[{}],"max_tokens":1e308}}`,
		`{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"messages":[{}],"max_tokens":-5,"metadata":{"class":3}}}`} {
		f.Add([]byte(s))
	}
	front := New(Options{Classes: []string{"chat"}, Fields: RequestFields{Class: "class", Prefix: "prefix"}, Defaults: RequestFields{Class: "chat", MaxTokens: 64}})
	f.Fuzz(func(t *testing.T, content []byte) {
		tasks, faults := front.validate(content, Endpoint)
		for _, fault := range faults {
			if fault.Message == "" || fault.Line < 0 {
				t.Fatalf("%+v", fault)
			}
		}
		if len(faults) > 0 {
			return
		}
		for _, task := range tasks {
			q, body, err := front.requestFor(task.Body)
			if err != nil || !json.Valid(body) || math.IsInf(q.PromptTokens+q.PrefixTokens+q.MaxTokens, 0) || q.MaxTokens <= 0 {
				t.Fatalf("%+v %+v %s", q, err, body)
			}
		}
	})
}

// Whatever events a line's answer is made of, it is put together or refused.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("data: {\"model\":\"m\",\"choices\":[{\"delta\":{\"content\":\"x\"},\"finish_reason\":\"stop\"}],\"usage\":{\"a\":1}}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\"usage\":null}\n\ndata: [1]\n\n"))
	f.Fuzz(func(t *testing.T, events []byte) {
		c := &collector{}
		if c.Event(events) != nil {
			return
		}
		if raw, err := c.completion("id", "m", 1); err != nil || !json.Valid(raw) {
			t.Fatalf("%s: %v", raw, err)
		}
	})
}

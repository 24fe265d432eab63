package batch

import (
	"encoding/json"
	"math"
	"testing"
)

// Each line of an arbitrary file must be a task with a valid request, or the file has errors with a message and a line.
func FuzzLines(f *testing.F) {
	const (
		begin = `{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":`
		valid = begin + `{"model":"m","messages":[{"content":"x"},{"content":[1]}],` +
			`"max_tokens":5,"metadata":{"class":"chat"}}}`
	)
	for _, seed := range []string{
		valid,
		valid + "\n" + valid,
		"{not json\n\r\n\x00",
		begin + `{"messages":[{}],"max_tokens":1e308}}`,
		begin + `{"messages":[{}],"max_tokens":-5,"metadata":{"class":3}}}`,
	} {
		f.Add([]byte(seed))
	}
	service := New(Options{
		Classes:  []string{"chat"},
		Fields:   RequestFields{Class: "class", Prefix: "prefix"},
		Defaults: RequestFields{Class: "chat", MaxTokens: 64},
	})
	f.Fuzz(func(t *testing.T, content []byte) {
		tasks, invalid := service.validate(content, Endpoint)
		for _, e := range invalid {
			if e.Message == "" || e.Line < 0 {
				t.Fatalf("%+v", e)
			}
		}
		if len(invalid) > 0 {
			return
		}
		for _, task := range tasks {
			request, body, err := service.requestFor(task.Body)
			tokens := request.PromptTokens + request.PrefixTokens + request.MaxTokens
			if err != nil || !json.Valid(body) || math.IsInf(tokens, 0) || request.MaxTokens <= 0 {
				t.Fatalf("%+v %+v %s", request, err, body)
			}
		}
	})
}

// Arbitrary events of a response must be assembled to a valid completion or rejected.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("data: {\"model\":\"m\",\"choices\":[{\"delta\":{\"content\":\"x\"},\"finish_reason\":\"stop\"}]," +
		"\"usage\":{\"a\":1}}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\"usage\":null}\n\ndata: [1]\n\n"))
	f.Fuzz(func(t *testing.T, events []byte) {
		c := &responseCollector{}
		if c.Event(events) != nil {
			return
		}
		if raw, err := c.completion("id", "m", 1); err != nil || !json.Valid(raw) {
			t.Fatalf("%s: %v", raw, err)
		}
	})
}

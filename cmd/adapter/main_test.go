package main

import (
	"bytes"
	"strings"
	"testing"
)

// open is the lines that open an instance with one ready engine.
const open = `{"verb":"openInstance","node":1,"seed":5,"settings":{"balancers":1,"classes":[{"semantics":"safe",` +
	`"streamed":true,"onTime":1000000000}],"zones":["z"],"shapes":["k"],"limits":{"sendCap":3}}}` + "\n" +
	`{"verb":"members","node":1,"kind":"warm_copy","members":[{"engine":"e:1","state":"ready","nominal":1}]}` + "\n"

// request is the line of one request.
const request = `{"verb":"incoming","node":1,"handle":42,"expires":9000000000,"nPrompt":10,"maxTokens":5}` + "\n"

// batch frames lines as a batch.
func batch(lines string) string {
	return `{"verb":"batch","t":1000}` + "\n" + lines + `{"verb":"overToYou"}` + "\n"
}

func TestRun(t *testing.T) {
	cases := []struct{ name, input, want, unwanted string }{
		{"empty batch", batch(""), `{"verb":"ok"}`, "send"},
		{"request", batch(open + request), `{"verb":"send","node":1,"handle":42,`, "node\":2"},
		{"restart inside one batch", batch(open+request+`{"verb":"teardown","node":1}`+"\n"+open) + batch(""),
			`"verb":"setTimer","node":1`, "send"},
	}
	for _, c := range cases {
		var out bytes.Buffer
		if err := run(strings.NewReader(c.input), &out); err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		if got := out.String(); !strings.Contains(got, c.want) || strings.Contains(got, c.unwanted) {
			t.Errorf("%s: got %s; want %q in it and not %q", c.name, got, c.want, c.unwanted)
		}
	}
}

func TestRunRejectsMalformedInput(t *testing.T) {
	for input, want := range map[string]string{
		"nonsense\n":     "line 1: not a valid message",
		batch("{\n"):     "line 2:",
		batch(request):   "line 2: node 1 is not open",
		request:          "line 1: \"incoming\" out of place",
		batch("")[:25]:   "line 2: input ends inside a batch",
		batch(batch("")): "line 2: \"batch\" out of place",
		batch(`{"verb":"teardown","node":9}` + "\n"): "line 2: node 9 is not open",
	} {
		var out bytes.Buffer
		err := run(strings.NewReader(input), &out)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", input, err, want)
		}
	}
}

func TestLineLongerThanBuffer(t *testing.T) {
	longRequest := strings.Replace(request, `"nPrompt"`, `"odd":"`+strings.Repeat("x", 3<<20)+`","nPrompt"`, 1)
	var out bytes.Buffer
	if err := run(strings.NewReader(batch(open+longRequest)), &out); err != nil ||
		!strings.Contains(out.String(), "send") {
		t.Fatalf("%v", err)
	}
}

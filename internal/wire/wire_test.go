package wire

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"standpoint"
)

const settingsText = `{"balancers":3,"ordinal":2,"zone":1,"zones":["x","y"],"shapes":["k"],"surprise":{"a":[1]},
"classes":[{"name":"c","onTime":300000000,"hardLimit":1500000000,"semantics":"keyed","group":"cell","streamed":true,
"window":5000000000,"worth":5.0,"lateWorth":0.25}],"discovery":"on_request",
"familyInfo":{"aimUsPer1000PromptTokens":[60000.0],"resume":true,"tokenAim":[100000000]},
"limits":{"cancel":true,"secondCopies":true,"sendCap":6,"probes":true},"report":{"how":"pull"},
"prices":{"crossZone":0.02},"rules":{"overloadFactor":3.0,"startCapacity":0.39,"stopSendingWithin":500000000,
"warmUp":8600000000,"fall":3000000000,"askWithin":10000000000},
"tenants":[{"share":0.5,"quotaRps":7.0}],"period":4000000}`

func TestDecodeEvents(t *testing.T) {
	report := &standpoint.Report{MemoryUsage: 0.5, PrefillBacklog: 2.5, SlotUsage: 0.25}
	cases := []struct {
		name, text string
		want       standpoint.Event
	}{
		{"request", `{"verb":"incoming","node":3,"handle":4503599627370495,"expires":8652250000,"odd":[1,{"x":2}],
			"sharedPrefix":"00000000000000ff","nPrompt":1800,"profile":1,"nPrefix":1200,"targetKey":"ffffffffffffffff",
			"maxTokens":256,"realm":2,"retry":true}`,
			&standpoint.Request{ID: 4503599627370495, Deadline: 8652250000, Prefix: 255, Session: 1<<64 - 1,
				PromptTokens: 1800, PrefixTokens: 1200, MaxTokens: 256, Class: 1, Tenant: 2, Retry: true}},
		{"outcome", `{"verb":"attemptEnd","node":3,"handle":7,"last":true,"code":"served","engine":"1.2.3.4:5","leg":1,
			"timeTaken":18500000,"info":640,"gauge":{"x0":0.5,"x1":2.5,"load_share":0.25,"tps":4}}`,
			&standpoint.Outcome{Request: 7, Attempt: 1, Last: true, CachedTokens: 640, Engine: "1.2.3.4:5",
				Elapsed: 18500000, Report: report}},
		{"first", `{"verb":"first","node":3,"handle":7,"leg":2,"timeTaken":5}`,
			&standpoint.FirstToken{Request: 7, Attempt: 2, Elapsed: 5}},
		{"left", `{"verb":"left","node":3,"handle":7}`, &standpoint.ClientDisconnected{Request: 7}},
		{"timer", `{"verb":"deadlineHit","node":3,"ctx":9223372036854775807}`,
			&standpoint.TimerFired{Token: 1<<63 - 1}},
		{"probe", `{"verb":"probed","node":3,"engine":"e","code":"no_answer","timeTaken":5}`,
			&standpoint.ProbeResult{Engine: "e", Elapsed: 5}},
		{"peer", `{"verb":"message","node":3,"src":4,"data":"hi"}`, &standpoint.PeerMessage{From: 4, Data: "hi"}},
		{"list", `{"verb":"members","node":3,"kind":"incr","revision":4,"members":[{"engine":"e","failureDomain":1,
			"type":2,"bay":3,"state":"draining","nominal":1.5,"readyAt":9}]}`,
			&standpoint.EngineList{Kind: standpoint.ListDelta, Engines: []standpoint.Engine{{Name: "e", Zone: 1,
				Kind: 2, Cell: 3, State: standpoint.Draining, Size: 1.5, StartedAt: 9}}}},
		{"lost", `{"verb":"members","node":3,"kind":"lost"}`, &standpoint.EngineList{Kind: standpoint.ListFailed}},
	}
	for _, c := range cases {
		m, err := Decode([]byte(c.text))
		if err != nil || m.Node != 3 || !reflect.DeepEqual(m.Event, c.want) {
			t.Errorf("%s: %+v, %v; want %+v", c.name, m.Event, err, c.want)
		}
	}
}

func TestDecodeSettings(t *testing.T) {
	m, err := Decode([]byte(`{"verb":"openInstance","node":0,"seed":18446744073709551615,"settings":` +
		strings.ReplaceAll(settingsText, "\n", "") + `}`))
	if err != nil {
		t.Fatal(err)
	}
	s := m.Settings
	want := standpoint.Class{Effect: standpoint.Keyed, DedupScope: standpoint.GroupCell, DedupWindow: 5e9, Streamed: true,
		TTFTObjective: 3e8, TTFTObjectivePer1000Tokens: 6e7, TPOTObjective: 1e8, Deadline: 15e8, Weight: 5,
		LateWeight: 0.25, Name: "c"}
	if m.Seed != -1 || len(s.Classes) != 1 || s.Classes[0] != want {
		t.Fatalf("seed %d, classes %+v", m.Seed, s.Classes)
	}
	if !s.SubscribeDiscovery || !s.Resume || s.Zones != 2 || s.Kinds != 1 || s.Reports != standpoint.ReportProbes ||
		s.ColdCapacityFraction != 0.39 || s.MaxAttempts != 6 || s.Tenants[0].QuotaRPS != 7 || s.Peers {
		t.Fatalf("settings %+v", s)
	}
}

func TestDecodeRejectsMalformedLines(t *testing.T) {
	for _, text := range []string{"", "{", "[]", `{"verb":"batch"}`, `{"verb":"incoming","handle":1,"expires":2}`,
		`{"verb":"incoming","node":1,"handle":1}`, `{"verb":"dance","node":1}`, `{"verb":"first","node":1}`,
		`{"verb":"attemptEnd","node":1,"handle":1,"code":"odd"}`, `{"verb":"members","node":1,"kind":"odd"}`,
		`{"verb":"members","node":1,"kind":"incr","members":[{"engine":"e","state":"odd"}]}`,
		`{"verb":"openInstance","node":1,"seed":1}`, `{"verb":"openInstance","node":1,"seed":1.5,"settings":{}}`,
		`{"verb":"incoming","node":1,"handle":1.5,"expires":2}`, `{"verb":"deadlineHit","node":1}`,
		`{"verb":"incoming","node":1,"handle":1,"expires":2,"targetKey":"xyz"}`} {
		if m, err := Decode([]byte(text)); err == nil {
			t.Errorf("%s was accepted as %+v", text, m)
		}
	}
}

func TestAppendActionEncodesEachKind(t *testing.T) {
	cases := map[string]standpoint.Action{
		`{"verb":"send","node":3,"handle":9,"tryUntil":11,"engine":"a\"b:1"}`: {Kind: standpoint.Send, Request: 9,
			Deadline: 11, Engine: `a"b:1`},
		`{"verb":"send","node":3,"handle":9,"engine":"e"}`:    {Kind: standpoint.Send, Request: 9, Engine: "e"},
		`{"verb":"undoSend","node":3,"handle":9,"leg":2}`:     {Kind: standpoint.Cancel, Request: 9, Attempt: 2},
		`{"verb":"shed","node":3,"handle":9}`:                 {Kind: standpoint.Shed, Request: 9},
		`{"verb":"endFailed","node":3,"handle":9}`:            {Kind: standpoint.Fail, Request: 9},
		`{"verb":"setTimer","node":3,"wait":5,"ctx":77}`:      {Kind: standpoint.Timer, Wait: 5, Token: 77},
		`{"verb":"test","node":3,"engine":"e"}`:               {Kind: standpoint.Probe, Engine: "e"},
		`{"verb":"listen","node":3,"active":true}`:            {Kind: standpoint.Subscribe},
		`{"verb":"writePeer","node":3,"target":4,"data":"x"}`: {Kind: standpoint.SendPeer, Peer: 4, Data: "x"},
	}
	for want, a := range cases {
		if got := string(AppendAction(nil, 3, a)); got != want+"\n" {
			t.Errorf("%s, want %s", got, want)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(`{"verb":"incoming","node":3,"handle":7,"expires":9,"nPrompt":10}`)
	f.Add(`{"verb":"members","node":0,"kind":"total","members":[{"engine":"e","state":"ready"}]}`)
	f.Add(`{"verb":"openInstance","node":0,"seed":1,"settings":{"classes":[{}]}}`)
	f.Fuzz(func(t *testing.T, text string) {
		m, err := Decode([]byte(text))
		if err != nil {
			return
		}
		if m.Verb == "" || !json.Valid([]byte(text)) {
			t.Fatalf("%q was accepted", text)
		}
		r := standpoint.New(m.Settings, m.Seed)
		for _, ev := range []standpoint.Event{m.Event, m.Event} {
			if ev == nil {
				continue
			}
			for _, a := range r.Handle(1, ev, nil) {
				if line := AppendAction(nil, 1, a); !json.Valid(line) {
					t.Fatalf("action %+v was encoded as invalid JSON: %s", a, line)
				}
			}
		}
	})
}

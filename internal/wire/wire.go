// Package wire translates between the line protocol and the events and actions of package standpoint.
// It decides nothing.
package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"standpoint"
	"standpoint/internal/config"
)

// Verbs of the messages that frame a batch or concern a whole instance.
const (
	VerbBatch = "batch"
	VerbEnd   = "overToYou"
	VerbOpen  = "openInstance"
	VerbStop  = "teardown"
)

// Message is one decoded line. Event is nil for the framing and instance verbs.
type Message struct {
	Verb     string
	Node     int
	Time     int64
	Seed     int64
	Settings standpoint.Settings
	Event    standpoint.Event
}

type member struct {
	Engine  string  `json:"engine"`
	Zone    int     `json:"failureDomain"`
	Kind    int     `json:"type"`
	Cell    int     `json:"bay"`
	State   string  `json:"state"`
	Nominal float64 `json:"nominal"`
	ReadyAt int64   `json:"readyAt"`
}

type gauge struct {
	X0   float64 `json:"x0"`
	X1   float64 `json:"x1"`
	Util float64 `json:"load_share"`
}

// line holds the fields of every verb; pointers are fields that some verb requires.
type line struct {
	Verb         string          `json:"verb"`
	T            *int64          `json:"t"`
	Node         *int            `json:"node"`
	Seed         json.Number     `json:"seed"`
	Settings     json.RawMessage `json:"settings"`
	Kind         string          `json:"kind"`
	Members      []member        `json:"members"`
	Handle       *int64          `json:"handle"`
	Expires      *int64          `json:"expires"`
	SharedPrefix string          `json:"sharedPrefix"`
	TargetKey    string          `json:"targetKey"`
	Realm        int             `json:"realm"`
	NPrompt      float64         `json:"nPrompt"`
	NPrefix      float64         `json:"nPrefix"`
	MaxTokens    float64         `json:"maxTokens"`
	Profile      int             `json:"profile"`
	Again        bool            `json:"again"`
	Retry        bool            `json:"retry"`
	Src          int             `json:"src"`
	Data         string          `json:"data"`
	Engine       string          `json:"engine"`
	Code         string          `json:"code"`
	TimeTaken    int64           `json:"timeTaken"`
	Gauge        *gauge          `json:"gauge"`
	Ctx          *int64          `json:"ctx"`
	Last         bool            `json:"last"`
	Info         float64         `json:"info"`
	Leg          int             `json:"leg"`
}

var codes = func() map[string]standpoint.Code {
	all := map[string]standpoint.Code{}
	for c := standpoint.Served; c <= standpoint.NotSent; c++ {
		all[c.String()] = c
	}
	return all
}()

// Decode reads one line.
func Decode(text []byte) (Message, error) {
	var l line
	if err := json.Unmarshal(text, &l); err != nil {
		return Message{}, fmt.Errorf("not a valid message: %w", err)
	}
	m := Message{Verb: l.Verb}
	switch l.Verb {
	case VerbEnd:
		return m, nil
	case VerbBatch:
		if l.T == nil {
			return m, errors.New("batch without t")
		}
		m.Time = *l.T
		return m, nil
	}
	if l.Node == nil {
		return m, fmt.Errorf("%q without node", l.Verb)
	}
	m.Node = *l.Node
	var err error
	switch l.Verb {
	case VerbStop:
	case VerbOpen:
		if m.Seed, err = parseSeed(l.Seed); err == nil {
			m.Settings, _, err = config.DecodeSettings(l.Settings)
		}
	case "members":
		m.Event, err = l.members()
	case "incoming":
		m.Event, err = l.incoming()
	case "attemptEnd":
		m.Event, err = l.outcome()
	case "first":
		if l.Handle == nil {
			return m, errors.New("first without handle")
		}
		m.Event = &standpoint.FirstToken{Request: *l.Handle, Attempt: l.Leg, Elapsed: l.TimeTaken}
	case "left":
		if l.Handle == nil {
			return m, errors.New("left without handle")
		}
		m.Event = &standpoint.Left{Request: *l.Handle}
	case "probed":
		if l.Engine == "" {
			return m, errors.New("probed without engine")
		}
		m.Event = &standpoint.Probed{Engine: l.Engine, OK: l.Code == "served", Elapsed: l.TimeTaken,
			Report: l.report()}
	case "message":
		m.Event = &standpoint.PeerMessage{From: l.Src, Data: l.Data}
	case "deadlineHit":
		if l.Ctx == nil {
			return m, errors.New("deadlineHit without ctx")
		}
		m.Event = &standpoint.TimerFired{Token: *l.Ctx}
	default:
		err = fmt.Errorf("unknown verb %q", l.Verb)
	}
	return m, err
}

func parseSeed(n json.Number) (int64, error) {
	if s, err := strconv.ParseInt(n.String(), 10, 64); err == nil {
		return s, nil
	}
	u, err := strconv.ParseUint(n.String(), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("openInstance without a whole-number seed: %q", n.String())
	}
	return int64(u), nil
}

func (l *line) report() *standpoint.Report {
	if l.Gauge == nil {
		return nil
	}
	return &standpoint.Report{Memory: l.Gauge.X0, Unread: l.Gauge.X1, Slots: l.Gauge.Util}
}

func (l *line) members() (standpoint.Event, error) {
	list := &standpoint.EngineList{}
	switch l.Kind {
	case "incr":
		list.Kind = standpoint.ListDelta
	case "total", "warm_copy":
		list.Kind = standpoint.ListFull
	case "lost":
		list.Kind = standpoint.ListLost
	default:
		return nil, fmt.Errorf("members of unknown kind %q", l.Kind)
	}
	for _, e := range l.Members {
		if e.Engine == "" {
			return nil, errors.New("members entry without engine")
		}
		state := standpoint.Ready
		switch e.State {
		case "ready":
		case "draining":
			state = standpoint.Draining
		case "gone":
			state = standpoint.Gone
		default:
			return nil, fmt.Errorf("engine %s in unknown state %q", e.Engine, e.State)
		}
		list.Engines = append(list.Engines, standpoint.Engine{Name: e.Engine, Zone: e.Zone, Kind: e.Kind,
			Cell: e.Cell, State: state, Size: e.Nominal, ReadyAt: e.ReadyAt})
	}
	return list, nil
}

func (l *line) incoming() (standpoint.Event, error) {
	if l.Handle == nil || l.Expires == nil {
		return nil, errors.New("incoming without handle or expires")
	}
	session, err := parseKey(l.TargetKey)
	if err != nil {
		return nil, fmt.Errorf("targetKey: %w", err)
	}
	prefix, err := parseKey(l.SharedPrefix)
	if err != nil {
		return nil, fmt.Errorf("sharedPrefix: %w", err)
	}
	return &standpoint.Request{ID: *l.Handle, Expires: *l.Expires, Class: l.Profile, Tenant: l.Realm,
		Session: session, Prefix: prefix, PromptTokens: l.NPrompt, PrefixTokens: l.NPrefix,
		MaxTokens: l.MaxTokens, Retry: l.Retry, Again: l.Again}, nil
}

func parseKey(s string) (uint64, error) {
	if s == "" {
		return 0, nil
	}
	return strconv.ParseUint(s, 16, 64)
}

func (l *line) outcome() (standpoint.Event, error) {
	if l.Handle == nil {
		return nil, errors.New("attemptEnd without handle")
	}
	code, ok := codes[l.Code]
	if !ok {
		return nil, fmt.Errorf("attemptEnd with unknown code %q", l.Code)
	}
	return &standpoint.Outcome{Request: *l.Handle, Attempt: l.Leg, Last: l.Last, Code: code, Kept: l.Info,
		Engine: l.Engine, Elapsed: l.TimeTaken, Report: l.report()}, nil
}

// AppendAction appends the action's line, with its newline, to b.
func AppendAction(b []byte, node int, a standpoint.Action) []byte {
	open := func(verb string) {
		b = append(b, `{"verb":"`...)
		b = append(b, verb...)
		b = append(b, `","node":`...)
		b = strconv.AppendInt(b, int64(node), 10)
	}
	num := func(key string, v int64) {
		b = append(b, ',', '"')
		b = append(b, key...)
		b = append(b, `":`...)
		b = strconv.AppendInt(b, v, 10)
	}
	str := func(key, v string) {
		b = append(b, ',', '"')
		b = append(b, key...)
		b = append(b, `":`...)
		b = appendString(b, v)
	}
	switch a.Kind {
	case standpoint.Send:
		open("send")
		num("handle", a.Request)
		if a.Until > 0 {
			num("tryUntil", a.Until)
		}
		str("engine", a.Engine)
	case standpoint.Cancel:
		open("undoSend")
		num("handle", a.Request)
		num("leg", int64(a.Attempt))
	case standpoint.Shed:
		open("shed")
		num("handle", a.Request)
		if a.Wait > 0 {
			num("holdOff", a.Wait)
		}
	case standpoint.Fail:
		open("endFailed")
		num("handle", a.Request)
	case standpoint.Timer:
		open("setTimer")
		num("wait", a.Wait)
		num("ctx", a.Token)
	case standpoint.Probe:
		open("test")
		str("engine", a.Engine)
	case standpoint.Subscribe:
		open("listen")
		b = append(b, `,"active":true`...)
	case standpoint.Tell:
		open("writePeer")
		num("target", int64(a.Peer))
		str("data", a.Data)
	}
	return append(b, '}', '\n')
}

func appendString(b []byte, s string) []byte {
	quoted, err := json.Marshal(s)
	if err != nil { // cannot happen for a string; keep the line well formed all the same
		return append(b, `""`...)
	}
	return append(b, bytes.TrimSpace(quoted)...)
}

// AppendOK appends the line that ends a reply.
func AppendOK(b []byte) []byte { return append(b, "{\"verb\":\"ok\"}\n"...) }
